package soak

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/scriptednode"
)

// newTestClient returns a client of a scripted server that stands in for an instance. handler responds to
// its requests.
func newTestClient(t *testing.T, handler scriptednode.Handler) *client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := scriptednode.Serve(listener, handler)
	d := &deployment{classes: []class{{name: "read", deadline: 400 * time.Millisecond}}, shards: 1, instances: 1}
	c := &client{
		clientGroup: &clientGroup{addr: server.Addr(), deployment: d, lastRequestID: &atomic.Uint64{}},
		rand:        rand.New(rand.NewPCG(1, 1)),
	}
	t.Cleanup(func() {
		c.disconnect()
		server.Close()
	})
	return c
}

// requestOnce makes the client send a request and returns the record of the request.
func requestOnce(t *testing.T, c *client) audit.RequestRecord {
	t.Helper()
	if !c.connect() {
		t.Fatal("the client could not connect")
	}
	c.sendRequest()
	records := c.allRecords()
	return records[len(records)-1]
}

// respondOK responds as a node does without a fault.
func respondOK(r *http.Request) scriptednode.Response {
	return scriptednode.OK(responseBody(r.Header.Get("X-Txn")))
}

// Verifies that the record of a request agrees with how the instance responded, or that it did not respond.
// A wrong record would make the audit blame an instance, or miss a fault.
func TestClientRecordsOutcome(t *testing.T) {
	for _, c := range []struct {
		name      string
		handler   scriptednode.Handler
		isCorrect func(r audit.RequestRecord) bool
	}{
		{"response", respondOK, func(r audit.RequestRecord) bool {
			return r.Responses == 1 && r.Status == 200 && r.RespondedAt >= r.SentAt
		}},
		{"response to another request", func(*http.Request) scriptednode.Response { return scriptednode.OK(responseBody("other")) },
			func(r audit.RequestRecord) bool { return r.Responses == 2 }},
		{"truncated response", func(*http.Request) scriptednode.Response {
			return scriptednode.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", ConnAction: scriptednode.Close}
		}, func(r audit.RequestRecord) bool { return r.Truncated && r.RespondedAt == 0 }},
		{"closed without a response", func(*http.Request) scriptednode.Response {
			return scriptednode.Response{ConnAction: scriptednode.Close}
		},
			func(r audit.RequestRecord) bool { return r.ConnectionLostAt > 0 && r.Responses == 0 }},
		{"no response in time", func(*http.Request) scriptednode.Response { return scriptednode.Response{ConnAction: scriptednode.Hang} },
			func(r audit.RequestRecord) bool { return r.ConnectionLostAt > r.Deadline && r.Responses == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			if r := requestOnce(t, newTestClient(t, c.handler)); !c.isCorrect(r) {
				t.Errorf("%+v", r)
			}
		})
	}
}

// Verifies that a request is sent again if the instance closes a reused connection without a response. An
// instance may close an idle connection just as the client sends a request on it. The instance has not
// read this request, so the request must not be recorded as lost.
func TestClientResendsOnReusedConnection(t *testing.T) {
	var mu sync.Mutex
	var requests []string
	c := newTestClient(t, func(r *http.Request) scriptednode.Response {
		mu.Lock()
		defer mu.Unlock()
		requests = append(requests, r.Header.Get("X-Txn"))
		if len(requests) == 2 {
			return scriptednode.Response{ConnAction: scriptednode.Close}
		}
		return respondOK(r)
	})
	requestOnce(t, c)
	if r := requestOnce(t, c); r.Responses != 1 || r.ConnectionLostAt != 0 {
		t.Errorf("%+v", r)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(requests) != 3 || requests[1] != requests[2] {
		t.Errorf("got requests %v, want 3, of which the second and third have the same ID", requests)
	}
}

// Verifies that stall reports an instance that waits for the rest of an incomplete request without
// limit, and neither responds nor closes the connection.
func TestStallReportsConnectionThatStaysOpen(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for stalledRequestTimeout and responseGrace")
	}
	t.Parallel()
	c := newTestClient(t, respondOK) // the scripted server waits for the rest of the request
	if err := c.stall(); err == nil || !strings.Contains(err.Error(), "neither an error nor an end") {
		t.Errorf("got error %v, want one that contains \"neither an error nor an end\"", err)
	}
}
