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

// newTestClient returns a client of a fake instance.
func newTestClient(t *testing.T, handler scriptednode.Handler) *client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := scriptednode.Serve(listener, handler)
	d := &deployment{classes: []class{{name: "read", deadline: 400 * time.Millisecond}}, shards: 1, instances: 1}
	c := &client{
		clientGroup: &clientGroup{addr: server.Addr(), deployment: d, nextID: &atomic.Uint64{}},
		rand:        rand.New(rand.NewPCG(1, 1)),
	}
	t.Cleanup(func() {
		c.disconnect()
		server.Close()
	})
	return c
}

// requestOnce sends a request and returns its record.
func requestOnce(t *testing.T, c *client) audit.RequestRecord {
	t.Helper()
	if !c.connect() {
		t.Fatal("no connection")
	}
	c.request()
	records := c.allRecords()
	return records[len(records)-1]
}

func respondOK(r *http.Request) scriptednode.Response {
	return scriptednode.OK(responseBody(r.Header.Get("X-Txn")))
}

// What an instance does about a request is what the record says, since the audit knows no more.
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
			return scriptednode.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", Ending: scriptednode.Close}
		}, func(r audit.RequestRecord) bool { return r.Truncated && r.RespondedAt == 0 }},
		{"closed without a response", func(*http.Request) scriptednode.Response { return scriptednode.Response{Ending: scriptednode.Close} },
			func(r audit.RequestRecord) bool { return r.ConnectionLostAt > 0 && r.Responses == 0 }},
		{"no response in time", func(*http.Request) scriptednode.Response { return scriptednode.Response{Ending: scriptednode.Hang} },
			func(r audit.RequestRecord) bool { return r.ConnectionLostAt > r.Deadline && r.Responses == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			if r := requestOnce(t, newTestClient(t, c.handler)); !c.isCorrect(r) {
				t.Errorf("%+v", r)
			}
		})
	}
}

// An instance may close a kept-alive connection while a request is on its way. Nobody has read that
// request, so it is not lost: the client sends it again on a new connection.
func TestClientResendsOnReusedConnection(t *testing.T) {
	var mu sync.Mutex
	var requests []string
	c := newTestClient(t, func(r *http.Request) scriptednode.Response {
		mu.Lock()
		defer mu.Unlock()
		requests = append(requests, r.Header.Get("X-Txn"))
		if len(requests) == 2 {
			return scriptednode.Response{Ending: scriptednode.Close}
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
		t.Errorf("requests %v, want the second one twice", requests)
	}
}

// An instance has to end a connection whose request stays incomplete, in time; one that does not is
// a failure of the run.
func TestStallReportsConnectionThatStaysOpen(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the time that an instance has")
	}
	t.Parallel()
	c := newTestClient(t, respondOK) // reads on for the rest of the request
	if err := c.stall(); err == nil || !strings.Contains(err.Error(), "neither an error nor an end") {
		t.Errorf("error %v", err)
	}
}
