package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"maddergap/internal/scriptednode"
)

// A reload moves discovery to another address, after a malformed configuration was
// rejected. Requests are served throughout, by the new endpoint list once it is there, and
// the old address is polled no longer.
func TestPlatformReloadChangesDiscoveryAddress(t *testing.T) {
	one, two := startNodeResponding(t, "one"), startNodeResponding(t, "two")
	before, after := startDiscovery(t, one), startDiscovery(t, two)
	instance := startPlatformReady(t, before, platformOptions{})
	read := func() string {
		_, body := instance.roundTrip(instance.newRead(0, "1200m").text)
		return body
	}
	if got := read(); got != "one" {
		t.Fatalf("%q before", got)
	}
	writeFile(t, instance.configFile, `{"name":`)
	instance.daemon.Reload()
	within(t, time.Second, func() bool { return strings.Contains(instance.log.String(), "reload rejected") })
	if got := read(); got != "one" {
		t.Fatalf("%q after a malformed configuration", got)
	}
	instance.writeConfig(after.addr)
	instance.daemon.Reload()
	instance.daemon.Reload()
	within(t, time.Second, func() bool { return read() == "two" })
	calls := before.Usage().Calls
	time.Sleep(300 * time.Millisecond)
	if before.Usage().Calls != calls {
		t.Error("the old address is still polled")
	}
}

// Guards against a reload that is rejected and yet applied in part: with a change of the
// scheduler's settings, discovery stays where it was.
func TestPlatformReloadIsAllOrNothing(t *testing.T) {
	one, two := startNodeResponding(t, "one"), startNodeResponding(t, "two")
	before, after := startDiscovery(t, one), startDiscovery(t, two)
	instance := startPlatformReady(t, before, platformOptions{})
	instance.configChange = strings.NewReplacer(`"fleetSize":1`, `"fleetSize":2`)
	instance.writeConfig(after.addr)
	instance.daemon.Reload()
	within(t, time.Second, func() bool { return strings.Contains(instance.log.String(), "reload rejected") })
	time.Sleep(200 * time.Millisecond)
	if got := instance.readBody(); got != "one" || strings.Contains(instance.log.String(), "discovery address changed") {
		t.Errorf("%q after a configuration that was rejected", got)
	}
}

// Guards against a change that a reload accepts and that has no effect, without a word: it is
// named in the log.
func TestPlatformReloadLogsSettingsThatNeedRestart(t *testing.T) {
	before, after := startDiscovery(t, startNodeResponding(t, "one")), startDiscovery(t, startNodeResponding(t, "two"))
	instance := startPlatformReady(t, before, platformOptions{})
	instance.configChange = strings.NewReplacer(`"connectTimeout":250000`, `"connectTimeout":300000`, `"zones":["z0"]`, `"zones":["z0","z1"]`)
	instance.writeConfig(after.addr)
	instance.daemon.Reload()
	within(t, time.Second, func() bool { return instance.readBody() == "two" })
	if want := `msg="needs a restart" settings="settings.limits.connectTimeout, settings.zones"`; !strings.Contains(instance.log.String(), want) {
		t.Errorf("the log does not say %s", want)
	}
}

// Under load, nodes are drained, removed and replaced by others. By the nodes' own records
// none is sent a request more than 500 ms after discovery has it as draining, every request
// is served, and no write is sent twice.
func TestPlatformNodesAreDrainedAndReplaced(t *testing.T) {
	var nodes []*platformNode
	for range 4 {
		nodes = append(nodes, startPlatformNode(t, func(*http.Request) scriptednode.Response {
			time.Sleep(2 * time.Millisecond)
			return okResponse("fine")
		}))
	}
	d := startDiscovery(t, nodes[0])
	instance := startPlatformReady(t, d, platformOptions{})
	load := instance.startLoad()
	for n := 1; n < len(nodes); n++ {
		replaceNode(t, d, n, nodes[n-1], nodes[n])
	}
	load.stop()
	for n, node := range nodes {
		if len(node.receivedIDs()) == 0 {
			t.Errorf("node %d was never sent a request", n)
		}
	}
	wantSentOnce(t, nodes...)
	if load.served.Load() < 200 || load.notServed.Load() > 0 {
		t.Errorf("%d served, %d not", load.served.Load(), load.notServed.Load())
	}
}

// replaceNode has discovery drain the endpoint before n and then remove it, with n in its
// place.
func replaceNode(t *testing.T, d *fakeDiscovery, n int, old, replacement *platformNode) {
	up := endpointOf(fmt.Sprint("s", n), replacement, 0, "up")
	time.Sleep(200 * time.Millisecond)
	d.setEndpoints(endpointOf(fmt.Sprint("s", n-1), old, 0, "draining"), up)
	time.Sleep(500 * time.Millisecond)
	before := len(old.receivedIDs())
	d.setEndpoints(up)
	time.Sleep(300 * time.Millisecond)
	if sent := len(old.receivedIDs()); sent != before {
		t.Errorf("%d requests were sent to a node 500 ms and more after it was draining", sent-before)
	}
}

// platformLoad is a load of four clients, two of reads and two of writes.
type platformLoad struct {
	instance *platformInstance
	quit     chan struct{}
	clients  sync.WaitGroup
	served   atomic.Int64
	notServed    atomic.Int64 // not served
}

func (i *platformInstance) startLoad() *platformLoad {
	load := &platformLoad{instance: i, quit: make(chan struct{})}
	for n := range 4 {
		load.clients.Go(func() { load.run(n%2 == 0) })
	}
	return load
}

func (l *platformLoad) run(writes bool) {
	for {
		select {
		case <-l.quit:
			return
		default:
		}
		request := l.instance.newRead
		if writes {
			request = l.instance.newWrite
		}
		if status, body := l.instance.roundTrip(request(0, "1200m").text); status == 200 && body == "fine" {
			l.served.Add(1)
		} else {
			l.notServed.Add(1)
		}
	}
}

// stop ends the load and waits for the last responses.
func (l *platformLoad) stop() {
	close(l.quit)
	l.clients.Wait()
}

// A process starts with an old endpoint list in its configuration. As long as discovery may
// respond, no request is sent by the old list. If discovery does not respond, requests are
// served by the old list after a second.
func TestPlatformStartsWithOldEndpointList(t *testing.T) {
	old, current := startNodeResponding(t, "old"), startNodeResponding(t, "now")
	oldList := strings.NewReplacer(`"settings":{`, fmt.Sprintf(`"known":%s,"settings":{`, marshalEndpointList(t, endpointOf("old", old, 0, "up"))))
	d := startDiscovery(t)
	d.setEndpoints(endpointOf("old", old, 0, "draining"), endpointOf("now", current, 0, "up"))
	instance := startPlatform(t, d.addr, platformOptions{configChange: oldList})
	if status, body := instance.roundTrip(instance.newRead(0, "1200m").text); status != 200 || body != "now" || len(old.receivedIDs()) != 0 {
		t.Errorf("%d %q, %d requests sent by the old list", status, body, len(old.receivedIDs()))
	}

	instance = startPlatform(t, startUnresponsiveDiscovery(t), platformOptions{configChange: oldList})
	start := time.Now()
	if instance.ready() {
		t.Error("ready before discovery had time to respond")
	}
	status, body := instance.roundTrip(instance.newRead(0, "4000m").text)
	if took := time.Since(start); status != 200 || body != "old" || took < 900*time.Millisecond || took > 3*time.Second || !instance.ready() {
		t.Errorf("%d %q after %v, ready %v", status, body, took, instance.ready())
	}
}
