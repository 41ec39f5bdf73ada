package gateway

import (
	"testing"
	"time"

	"maddergap/internal/http1"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// fakeProtocol is a Protocol for tests. A request has its id in the header field id, and the id
// is the path of the request at the node.
type fakeProtocol struct{}

func (fakeProtocol) ParseRequest(r *http1.Request) RequestInfo {
	const readClass, writeClass = 0, 1
	class := readClass
	if string(r.Method) == "PUT" {
		class = writeClass
	}
	return RequestInfo{
		ID:      string(r.Get("id")),
		Arrival: scheduler.Arrival{Class: class, Volume: "v", Units: 1, Instances: 1, TimeRemaining: 800 * time.Millisecond},
	}
}

func (fakeProtocol) BeginRequest(*RequestInfo) *http1.Error { return nil }

func (fakeProtocol) EndRequest(*RequestInfo, Outcome) {}

func (fakeProtocol) AppendRequest(b []byte, r *http1.Request, remaining time.Duration) []byte {
	b = append(append(append(b, r.Method...), " /"...), r.Get("id")...)
	return http1.AppendIntField(append(b, " HTTP/1.1\r\n"...), "Left-Ms", int64(remaining/time.Millisecond))
}

func (fakeProtocol) ParseResponse(*http1.Response) ResponseInfo {
	return ResponseInfo{Outcome: scheduler.OK}
}

func (fakeProtocol) AppendRetryAfter(b []byte, _ time.Duration) []byte { return b }

func (fakeProtocol) MaxResponseBytes() (perResponse, total int64) { return 1 << 16, 1 << 18 }

func (fakeProtocol) ResponseNoProgressTimeout() time.Duration { return 250 * time.Millisecond }

// newProtocolHarness returns a harness whose gateway uses fakeProtocol.
func newProtocolHarness(t *testing.T) *harness {
	return harnessesByProtocol["buffered"](t, harnessConfig)
}

// harnessesByProtocol holds a constructor of a harness for each protocol, which takes the text of a
// configuration.
var harnessesByProtocol = map[string]func(t *testing.T, text string) *harness{
	"WebDAV": newHarnessWithConfig,
	"buffered": func(t *testing.T, text string) *harness {
		h := newHarnessWithConfig(t, text)
		h.gateway.SetProtocol(fakeProtocol{})
		return h
	},
}

func requestWithID(id string) string { return getRequest("/", "id: "+id) }

// setNodeState replaces the endpoint list by n0, in the given state, and n2.
func (h *harness) setNodeState(state scheduler.NodeState) {
	h.gateway.SetNodes(h.now, []nodelist.Node{{Name: "n0", Addr: "node:0", State: state}, {Name: "n2", Addr: "node:2"}})
	h.runActions()
}
