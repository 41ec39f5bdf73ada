package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A PROPFIND of a volume's root is answered from all its shards or not at all: a listing
// that lacks a part would read as if the resources had been deleted. A part that does not
// come, is malformed or too long fails the listing, and a client that leaves ends all
// parts.
func TestMergedListing(t *testing.T) {
	const find = "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\nContent-Length: 0\r\n\r\n"
	part := func(name string) string {
		x := `<D:multistatus xmlns:D="DAV:"><D:response><D:href>` + name + `</D:href><D:status>HTTP/1.1 200 OK</D:status></D:response></D:multistatus>`
		return fmt.Sprintf("HTTP/1.1 207 Multi-Status\r\nContent-Length: %d\r\n\r\n%s", len(x), x)
	}
	h := newHarness(t, "")
	c := h.connectClient(find)
	h.deliver(h.nodeConn(0), part("/feed-b/one"))
	if got := h.takeWritten(c); got != "" {
		t.Fatalf("a listing without a part: %q", got)
	}
	h.deliver(h.nodeConn(1), part("/feed-b/two"))
	h.wantContains("the listing", h.takeWritten(c), "207 Multi-Status", "/feed-b/one", "/feed-b/two")
	h.wantOutcomes(map[Outcome]int{Served: 2})

	h = newHarness(t, "") // one shard never answers
	c = h.connectClient(find)
	h.deliver(h.nodeConn(0), part("/feed-b/one"))
	h.advanceTime(2 * time.Second)
	got := h.takeWritten(c)
	h.wantContains("the response", got, "HTTP/1.1 503 ", "part of the listing")
	if strings.Contains(got, "multistatus") || strings.Count(got, "HTTP/1.1") != 1 {
		t.Errorf("a listing without a part: %q", got)
	}

	h = newHarness(t, "") // one gives nonsense
	c = h.connectClient(find)
	h.deliver(h.nodeConn(0), part("/feed-b/one"))
	h.deliver(h.nodeConn(1), "HTTP/1.1 207 Multi-Status\r\nContent-Length: 3\r\n\r\n<a>")
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 502 ", "malformed")

	h = newHarness(t, "listing-max 1k\n")
	c = h.connectClient(find)
	h.deliver(h.nodeConn(0), part("/feed-b/"+strings.Repeat("x", 2000)))
	h.deliver(h.nodeConn(1), part("/feed-b/two"))
	h.advanceTime(2 * time.Second)
	h.wantContains("the response", h.takeWritten(c), "HTTP/1.1 507 ")

	h = newHarness(t, "") // the client leaves
	c = h.connectClient(find)
	h.gateway.Closed(h.now, c)
	h.runActions()
	h.deliver(h.nodeConn(0), part("/feed-b/one"))
	h.deliver(h.nodeConn(1), part("/feed-b/two"))
	h.wantOutcomes(map[Outcome]int{ClientDisconnected: 2})
}
