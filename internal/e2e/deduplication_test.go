package e2e

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"maddergap/internal/discovery"
	"maddergap/internal/scriptednode"
)

// deduplicationWindow is for how long nodes remember an idempotent write in these tests.
const deduplicationWindow = 400 * time.Millisecond

// forgetfulNode is a node that executes each write that arrives, and answers the first one with 500. It
// holds the link to itself when it answers.
type forgetfulNode struct {
	*platformNode
	link *heldLink

	mu     sync.Mutex
	writes int // number of writes that have arrived whole
}

func startForgetfulNode(t *testing.T) *forgetfulNode {
	n := &forgetfulNode{}
	n.platformNode = startPlatformNode(t, n.respond)
	n.link = startHeldLink(t, n.Addr())
	return n
}

func (n *forgetfulNode) respond(r *http.Request) scriptednode.Response {
	if r.Method != http.MethodPut {
		return okResponse("fine")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.writes++; n.writes > 1 {
		return okResponse("fine")
	}
	n.link.setHeld(true)
	return scriptednode.Response{Text: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"}
}

func (n *forgetfulNode) writesArrived() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.writes
}

// endpoint returns the node as an endpoint that is reached through its link.
func (n *forgetfulNode) endpoint() discovery.Endpoint {
	return discovery.Endpoint{Name: "s0", Address: n.link.addr, Zone: "z0", Status: "up"}
}

// Regression test: a retry of an idempotent write that was sent in time, into a network that was cut just
// then, arrived after the nodes' deduplication window, and the write was executed twice.
func TestRetryDoesNotArriveAfterDeduplicationWindow(t *testing.T) {
	t.Run("platform", func(t *testing.T) {
		node := startForgetfulNode(t)
		d := startDiscovery(t)
		d.setEndpoints(node.endpoint())
		instance := startPlatformReady(t, d, platformOptions{configChange: strings.NewReplacer(`"fragile","group":"all"`, `"dedup","group":"all","window":400000`)})
		instance.readBody()
		testRetryAfterDeduplicationWindow(t, node, instance.testInstance, instance.newWrite(0, "1500m").text)
		if log := instance.log.String(); !strings.Contains(log, `msg="attempt given up"`) {
			t.Error("the log does not name the attempt that was given up")
		}
	})
	t.Run("WebDAV", func(t *testing.T) {
		node := startForgetfulNode(t)
		instance := startWebDAVWithConfig(t, strings.Replace(webdavConfig, "effect unsafe", "effect keyed window 400ms", 1), node.link.addr)
		instance.roundTrip(getRequest("/feed-a/x"))
		testRetryAfterDeduplicationWindow(t, node, instance.testInstance, putRequest("/feed-a/x", "payload"))
	})
}

// testRetryAfterDeduplicationWindow sends a write, releases the link after the window, and checks that the
// retry never arrives and that the client gets a response.
func testRetryAfterDeduplicationWindow(t *testing.T, node *forgetfulNode, instance *testInstance, write string) {
	_, responses := instance.send(write)
	time.AfterFunc(2*deduplicationWindow, func() { node.link.setHeld(false) })
	response, _, err := readResponse(responses, http.MethodPut)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %v, error %v; want 503, as a retry does no harm", response, err)
	}
	time.Sleep(2 * deduplicationWindow)
	if n := node.writesArrived(); n != 1 {
		t.Errorf("the write arrived %d times, want once: the second one after the window", n)
	}
}

// Regression test: a write that was on its way when its request was aborted by a shutdown arrived after the
// process had ended, because the kernel went on sending it.
func TestAbortedWriteDoesNotArriveAfterExit(t *testing.T) {
	test := func(t *testing.T, node *forgetfulNode, instance *testInstance, write string) {
		node.link.setHeld(true)
		_, responses := instance.send(write)
		time.Sleep(50 * time.Millisecond)
		if err := instance.stop(); err == nil {
			t.Error("the instance stopped without an error, want that a request was aborted")
		}
		if response, _, err := readResponse(responses, http.MethodPut); err != nil || response.StatusCode != http.StatusBadGateway {
			t.Errorf("response %v, error %v; want 502", response, err)
		}
		node.link.setHeld(false)
		time.Sleep(100 * time.Millisecond)
		if n := node.writesArrived(); n != 0 {
			t.Errorf("the write arrived %d times after the exit, want never", n)
		}
	}
	testOverHeldLink(t, "30000m", strings.Replace(webdavConfig, "stop-time 5s", "stop-time 300ms", 1), test)
}

// testOverHeldLink runs a test with an instance of each protocol and a write to a node that is reached through
// a link. platformDeadline is that of the write on a platform; webdavText is the other configuration.
func testOverHeldLink(t *testing.T, platformDeadline, webdavText string, test func(t *testing.T, node *forgetfulNode, instance *testInstance, write string)) {
	t.Run("platform", func(t *testing.T) {
		node := startForgetfulNode(t)
		d := startDiscovery(t)
		d.setEndpoints(node.endpoint())
		instance := startPlatformReady(t, d, platformOptions{})
		instance.readBody()
		test(t, node, instance.testInstance, instance.newWrite(0, platformDeadline).text)
	})
	t.Run("WebDAV", func(t *testing.T) {
		node := startForgetfulNode(t)
		instance := startWebDAVWithConfig(t, webdavText, node.link.addr)
		instance.roundTrip(getRequest("/feed-a/x"))
		test(t, node, instance.testInstance, putRequest("/feed-a/x", "payload"))
	})
}
