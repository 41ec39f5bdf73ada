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

// During an outage the discovery agent does not respond. A change that it has when it is
// back counts as notified at once.
const (
	// drainGrace is by when an instance may no longer send to a node, from the time at
	// which discovery has it as draining.
	drainGrace = 500 * time.Millisecond
	// maxListDelay is by when an instance has to have the endpoint list: the grace less
	// the 150 ms for which an instance may be stalled.
	maxListDelay = 350 * time.Millisecond

	outageInstances    = 12
	outagesPerInstance = 2
	outageSeed         = 31
)

// Discovery is back after an outage, whatever its length and phase, and has a node as
// draining. Each instance has the list within maxListDelay, and the node is sent nothing
// after drainGrace. Time for which this process was stalled is allowed for.
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
	t.Logf("list delays after the recovery: %v", delays.all)
}

// listDelays records how long after a recovery of discovery instances had the list.
type listDelays struct {
	mu  sync.Mutex
	all []time.Duration
}

func (l *listDelays) add(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, delay)
}

// outageTest is one instance under load with two nodes, of which discovery has one as up
// and the other as draining.
type outageTest struct {
	t        *testing.T
	instance *platformInstance
	*fakeDiscovery
	stalls *stallwatch.Watch
	delays *listDelays
	firstUp     []discovery.Endpoint // the first node is up
	firstDraining  []discovery.Endpoint // the first node is draining

	mu       sync.Mutex
	lastSent time.Time // when the first node was last sent a request
}

func startOutageTest(t *testing.T, stalls *stallwatch.Watch, delays *listDelays) *outageTest {
	o := &outageTest{t: t, stalls: stalls, delays: delays}
	first := startPlatformNode(t, o.respondFirst)
	second := startNodeResponding(t, "up")
	o.firstUp = []discovery.Endpoint{endpointOf("a", first, 0, "up"), endpointOf("b", second, 0, "draining")}
	o.firstDraining = []discovery.Endpoint{endpointOf("a", first, 0, "draining"), endpointOf("b", second, 0, "up")}
	o.fakeDiscovery = startDiscovery(t)
	o.setEndpoints(o.firstUp...)
	o.instance = startPlatform(t, o.addr, platformOptions{})
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

// respondFirst is the script of the first node.
func (o *outageTest) respondFirst(*http.Request) scriptednode.Response {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastSent = time.Now()
	return okResponse("draining")
}

// readUntil reads from one shard until quit is closed.
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

// drainDuringOutage has the first node drain during an outage of a random time and length,
// and returns when the grace is over.
func (o *outageTest) drainDuringOutage(random *rand.Rand) {
	time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	o.StartOutage()
	time.Sleep(time.Duration(100+random.IntN(3400)) * time.Millisecond)
	o.setEndpoints(o.firstDraining...)
	o.EndOutage()
	time.Sleep(drainGrace + 500*time.Millisecond)
}

// wantDrained checks that the instance had the list in time, and that the first node was
// sent nothing after the grace.
func (o *outageTest) wantDrained() {
	o.t.Helper()
	recovered, listed := o.RecoveryTimes()
	if listed.IsZero() {
		o.t.Errorf("no list was had within %v of the recovery", time.Since(recovered))
	} else {
		delay := listed.Sub(recovered)
		o.delays.add(delay)
		if delay > maxListDelay+o.stalls.LongestSince(recovered) {
			o.t.Errorf("the list was had %v after the recovery, want %v at most", delay, maxListDelay)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if late := o.lastSent.Sub(recovered); late > drainGrace+o.stalls.LongestSince(recovered) {
		o.t.Errorf("a request was sent to a draining node %v after the recovery, past the grace of %v", late, drainGrace)
	}
}

// undrainDuringOutage has the first node up again, and waits until it is used.
func (o *outageTest) undrainDuringOutage() {
	o.StartOutage()
	o.setEndpoints(o.firstUp...)
	o.EndOutage()
	within(o.t, 2*time.Second, func() bool {
		_, body := o.instance.roundTrip(o.instance.newRead(0, "400m").text)
		return body == "draining"
	})
}
