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

// Verifies that a reload changes the address of the discovery agent, after the reload of a malformed
// configuration was rejected. Requests are served throughout, and by the nodes of the new agent's
// list once the instance has received it. The old agent is no longer polled.
func TestPlatformReloadChangesDiscoveryAddress(t *testing.T) {
	one, two := startNodeResponding(t, "one"), startNodeResponding(t, "two")
	before, after := startDiscovery(t, one), startDiscovery(t, two)
	instance := startPlatformReady(t, before, platformOptions{})
	read := func() string {
		_, body := instance.roundTrip(instance.newRead(0, "1200m").text)
		return body
	}
	if got := read(); got != "one" {
		t.Fatalf("response %q before any reload, want \"one\"", got)
	}
	writeFile(t, instance.configFile, `{"name":`)
	instance.daemon.Reload()
	within(t, time.Second, func() bool { return strings.Contains(instance.log.String(), "reload rejected") })
	if got := read(); got != "one" {
		t.Fatalf("response %q after the reload of a malformed configuration, want \"one\"", got)
	}
	instance.writeConfig(after.addr)
	instance.daemon.Reload()
	instance.daemon.Reload()
	within(t, time.Second, func() bool { return read() == "two" })
	calls := before.Usage().Calls
	time.Sleep(300 * time.Millisecond)
	if before.Usage().Calls != calls {
		t.Error("the discovery agent at the old address is still polled")
	}
}

// Guards against a reload that is rejected and yet applied in part. The new configuration changes a
// scheduler setting, for which it is rejected, and the discovery address, which must stay as it was.
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
		t.Errorf("response %q after a rejected reload, want \"one\" and no change of the discovery address", got)
	}
}

// Guards against changed settings that a reload accepts and silently ignores. Settings that take
// effect only at a restart have to be named in the log.
func TestPlatformReloadLogsSettingsThatNeedRestart(t *testing.T) {
	before, after := startDiscovery(t, startNodeResponding(t, "one")), startDiscovery(t, startNodeResponding(t, "two"))
	instance := startPlatformReady(t, before, platformOptions{})
	instance.configChange = strings.NewReplacer(`"connectTimeout":250000`, `"connectTimeout":300000`, `"zones":["z0"]`, `"zones":["z0","z1"]`)
	instance.writeConfig(after.addr)
	instance.daemon.Reload()
	within(t, time.Second, func() bool { return instance.readBody() == "two" })
	if want := `msg="needs a restart" settings="settings.limits.connectTimeout, settings.zones"`; !strings.Contains(instance.log.String(), want) {
		t.Errorf("the log does not contain %s", want)
	}
}

// Verifies that nodes can be drained, removed and replaced under load. According to the nodes' own
// records, no node is sent a request more than 500 ms after discovery listed it as draining, and no
// request is sent twice. Every request is served.
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
		if len(node.received()) == 0 {
			t.Errorf("node %d was sent no request", n)
		}
	}
	wantSentOnce(t, nodes...)
	if load.served.Load() < 200 || load.notServed.Load() > 0 {
		t.Errorf("%d requests served, %d not served; want at least 200 and 0", load.served.Load(), load.notServed.Load())
	}
}

// replaceNode replaces endpoint n-1, the old node, by endpoint n in discovery's list: the old one is
// first listed as draining and then removed. It checks that the old node is sent no request from
// 500 ms after it was listed as draining.
func replaceNode(t *testing.T, d *fakeDiscovery, n int, old, replacement *platformNode) {
	up := endpointOf(fmt.Sprint("s", n), replacement, 0, "up")
	time.Sleep(200 * time.Millisecond)
	d.setEndpoints(endpointOf(fmt.Sprint("s", n-1), old, 0, "draining"), up)
	time.Sleep(500 * time.Millisecond)
	before := len(old.received())
	d.setEndpoints(up)
	time.Sleep(300 * time.Millisecond)
	if sent := len(old.received()); sent != before {
		t.Errorf("%d requests were sent to a node later than 500 ms after it was listed as draining, want 0", sent-before)
	}
}

// platformLoad is a load of four clients: two send reads, two send writes. Each sends its next request
// after the response to the previous one.
type platformLoad struct {
	instance  *platformInstance
	quit      chan struct{}
	clients   sync.WaitGroup
	served    atomic.Int64
	notServed atomic.Int64
}

func (i *platformInstance) startLoad() *platformLoad {
	load := &platformLoad{instance: i, quit: make(chan struct{})}
	for n := range 4 {
		load.clients.Go(func() { load.run(n%2 == 0) })
	}
	return load
}

// run sends requests of one client until quit is closed.
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

// Verifies the start of an instance with an old endpoint list in its configuration. If discovery
// responds, no request is sent to the node of the old list that is draining by now. If discovery
// does not respond, the instance uses the old list after a second.
func TestPlatformStartsWithOldEndpointList(t *testing.T) {
	old, current := startNodeResponding(t, "old"), startNodeResponding(t, "now")
	oldList := strings.NewReplacer(`"settings":{`, fmt.Sprintf(`"known":%s,"settings":{`, marshalEndpointList(t, endpointOf("old", old, 0, "up"))))
	d := startDiscovery(t)
	d.setEndpoints(endpointOf("old", old, 0, "draining"), endpointOf("now", current, 0, "up"))
	instance := startPlatformInstance(t, d.addr, platformOptions{configChange: oldList})
	if status, body := instance.roundTrip(instance.newRead(0, "1200m").text); status != 200 || body != "now" || len(old.received()) != 0 {
		t.Errorf("status %d, body %q, %d requests sent to the node of the old list; want 200, \"now\" and 0", status, body, len(old.received()))
	}

	instance = startPlatformInstance(t, startUnresponsiveDiscovery(t), platformOptions{configChange: oldList})
	start := time.Now()
	if instance.ready() {
		t.Error("the instance was ready before discovery had a second to respond")
	}
	status, body := instance.roundTrip(instance.newRead(0, "4000m").text)
	if took := time.Since(start); status != 200 || body != "old" || took < 900*time.Millisecond || took > 3*time.Second || !instance.ready() {
		t.Errorf("status %d, body %q after %v, ready %v; want 200 and \"old\" after 0.9 s to 3 s, and ready", status, body, took, instance.ready())
	}
}
