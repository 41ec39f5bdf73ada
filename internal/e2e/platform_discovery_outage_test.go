package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"maddergap/internal/discovery"
	"maddergap/internal/scriptednode"
	"maddergap/internal/stallwatch"
)

// During an outage the discovery agent does not respond. A change made during the outage counts as
// delivered to the instance when the outage ends.
const (
	// drainGrace is the time for which an instance may still send requests to a node after
	// discovery has notified it that the node is draining.
	drainGrace = 500 * time.Millisecond
	// maxListDelay is the maximum time from the end of an outage until the agent has sent the
	// endpoint list to the instance. It is drainGrace less the 150 ms for which an instance may
	// be stalled.
	maxListDelay = 350 * time.Millisecond

	outageInstances    = 12
	outagesPerInstance = 2
	outageSeed         = 31
)

// Verifies that an instance follows a change made during a discovery outage of random start and
// length, in which a node begins to drain. After the outage the instance gets the list within
// maxListDelay, and the node is sent no request after drainGrace. The longest stall of the test
// process since the end of the outage is added to both limits.
func TestPlatformDiscoveryRecovers(t *testing.T) {
	stalls := stallwatch.Start()
	defer stalls.Stop()
	var delays listDelays
	t.Run("instances", func(t *testing.T) {
		for n := range outageInstances {
			t.Run(fmt.Sprint(n), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(uint64(n), outageSeed))
				o := startOutageTest(t, stalls, &delays)
				for range outagesPerInstance {
					o.drainDuringOutage(random)
					o.wantDrained()
					o.undrainDuringOutage()
				}
			})
		}
	})
	t.Logf("delays of the endpoint list after the end of an outage: %v", delays.all)
}

// listDelays records the times from the end of an outage until an instance was sent the list.
type listDelays struct {
	mu  sync.Mutex
	all []time.Duration
}

func (l *listDelays) add(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, delay)
}

// outageTest is one instance under load with two nodes. At any time discovery lists one of them as up
// and the other as draining.
type outageTest struct {
	t        *testing.T
	instance *platformInstance
	*fakeDiscovery
	stalls        *stallwatch.Watch
	delays        *listDelays
	firstUp       []discovery.Endpoint // list in which the first node is up
	firstDraining []discovery.Endpoint // list in which the first node is draining

	mu       sync.Mutex
	lastSent time.Time // time of the last request to the first node
}

func startOutageTest(t *testing.T, stalls *stallwatch.Watch, delays *listDelays) *outageTest {
	o := &outageTest{t: t, stalls: stalls, delays: delays}
	first := startPlatformNode(t, o.respondFirst)
	second := startNodeResponding(t, "up")
	o.firstUp = []discovery.Endpoint{endpointOf("a", first, 0, "up"), endpointOf("b", second, 0, "draining")}
	o.firstDraining = []discovery.Endpoint{endpointOf("a", first, 0, "draining"), endpointOf("b", second, 0, "up")}
	o.fakeDiscovery = startDiscovery(t)
	o.setEndpoints(o.firstUp...)
	o.instance = startPlatformInstance(t, o.addr, platformOptions{})
	within(t, 2*time.Second, o.instance.ready)
	quit := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { o.instance.readUntil(quit) })
	t.Cleanup(func() {
		close(quit)
		load.Wait()
	})
	return o
}

// respondFirst is the handler of the first node. It records the time of the request.
func (o *outageTest) respondFirst(*http.Request) scriptednode.Response {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastSent = time.Now()
	return okResponse("draining")
}

// readUntil sends reads to shard 0, one after the other, until quit is closed.
func (i *platformInstance) readUntil(quit <-chan struct{}) {
	for {
		select {
		case <-quit:
			return
		default:
			i.roundTrip(i.newRead(0, "400m").text)
		}
	}
}

// drainDuringOutage lists the first node as draining during an outage of random start and length. It
// returns 500 ms after drainGrace has passed.
func (o *outageTest) drainDuringOutage(random *rand.Rand) {
	time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	o.StartOutage()
	time.Sleep(time.Duration(100+random.IntN(3400)) * time.Millisecond)
	o.setEndpoints(o.firstDraining...)
	o.EndOutage()
	time.Sleep(drainGrace + 500*time.Millisecond)
}

// wantDrained checks that the instance was sent the list in time, and that the first node was sent no
// request after drainGrace.
func (o *outageTest) wantDrained() {
	o.t.Helper()
	recovered, listed := o.RecoveryTimes()
	if listed.IsZero() {
		o.t.Errorf("the instance was sent no list within %v after the outage", time.Since(recovered))
	} else {
		delay := listed.Sub(recovered)
		o.delays.add(delay)
		if delay > maxListDelay+o.stalls.LongestSince(recovered) {
			o.t.Errorf("the instance was sent the list %v after the outage, want at most %v plus stalls", delay, maxListDelay)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if late := o.lastSent.Sub(recovered); late > drainGrace+o.stalls.LongestSince(recovered) {
		o.t.Errorf("a request was sent to a draining node %v after the outage, want at most %v plus stalls", late, drainGrace)
	}
}

// undrainDuringOutage lists the first node as up again during another outage, and waits until it is
// sent a request.
func (o *outageTest) undrainDuringOutage() {
	o.StartOutage()
	o.setEndpoints(o.firstUp...)
	o.EndOutage()
	within(o.t, 2*time.Second, func() bool {
		_, body := o.instance.roundTrip(o.instance.newRead(0, "400m").text)
		return body == "draining"
	})
}
