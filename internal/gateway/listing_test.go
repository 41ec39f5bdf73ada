package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Verifies that a PROPFIND of a volume's root is answered only with the parts of all its shards:
// in a listing without a part, the client would take the missing resources for deleted. The
// listing fails if a part does not arrive, is malformed or too long. If the client disconnects,
// all parts end.
func TestMergedListing(t *testing.T) {
	const propfind = "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nContent-Length: 0\r\n\r\n"
	partResponse := func(name string) string {
		x := `<D:multistatus xmlns:D="DAV:"><D:response><D:href>` + name + `</D:href><D:status>HTTP/1.1 200 OK</D:status></D:response></D:multistatus>`
		return fmt.Sprintf("HTTP/1.1 207 Multi-Status\r\nContent-Length: %d\r\n\r\n%s", len(x), x)
	}
	h := newHarness(t, "")
	c := h.connectClient(propfind)
	h.deliver(h.nodeConn(0), partResponse("/feed-b/one"))
	if got := h.takeWritten(c); got != "" {
		t.Fatalf("response %q before the second part, want none", got)
	}
	h.deliver(h.nodeConn(1), partResponse("/feed-b/two"))
	h.wantContains("the listing", h.takeWritten(c), "207 Multi-Status", "/feed-b/one", "/feed-b/two")
	h.wantOutcomes(map[Outcome]int{Served: 2})

	h = newHarness(t, "") // one shard does not answer
	c = h.connectClient(propfind)
	h.deliver(h.nodeConn(0), partResponse("/feed-b/one"))
	h.advanceTime(2 * time.Second)
	got := h.takeWritten(c)
	h.wantContains("the response", got, "HTTP/1.1 503 ", "part of the listing")
	if strings.Contains(got, "multistatus") || strings.Count(got, "HTTP/1.1") != 1 {
		t.Errorf("the response is %q, want a single error without a listing", got)
	}

	h = newHarness(t, "") // the response of one shard is malformed
	c = h.connectClient(propfind)
	h.deliver(h.nodeConn(0), partResponse("/feed-b/one"))
	h.deliver(h.nodeConn(1), "HTTP/1.1 207 Multi-Status\r\nContent-Length: 3\r\n\r\n<a>")
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 502 ", "malformed")

	h = newHarness(t, "listing-max 1k\n")
	c = h.connectClient(propfind)
	h.deliver(h.nodeConn(0), partResponse("/feed-b/"+strings.Repeat("x", 2000)))
	h.deliver(h.nodeConn(1), partResponse("/feed-b/two"))
	h.advanceTime(2 * time.Second)
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 507 ")

	h = newHarness(t, "") // the client disconnects
	c = h.connectClient(propfind)
	h.gateway.Closed(h.now, c)
	h.runActions()
	h.deliver(h.nodeConn(0), partResponse("/feed-b/one"))
	h.deliver(h.nodeConn(1), partResponse("/feed-b/two"))
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 2})
}
