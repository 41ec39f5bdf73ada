package gateway

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"maddergap/internal/nodelist"
)

// heldBytes returns the capacity of all buffers and counted field tables that connections, requests and
// attempts refer to.
func (g *Gateway) heldBytes() int64 {
	total := int64(0)
	counted := map[any]bool{}
	addListing := func(l *listing) {
		if l != nil && !counted[l] {
			counted[l] = true
			for _, body := range l.bodies {
				total += int64(cap(body))
			}
		}
	}
	addRequest := func(req *request) {
		if req != nil && !counted[req] {
			counted[req] = true
			total += int64(cap(req.rawHeader)+cap(req.body.data)) + req.fieldBytes
			addListing(req.listing)
		}
	}
	for _, conn := range g.conns.slots {
		if conn == nil {
			continue
		}
		total += int64(cap(conn.base().unread) + cap(conn.base().output))
		switch c := conn.(type) {
		case *clientConn:
			addRequest(c.req)
		case *nodeConn:
			total += c.fieldBytes
			if c.attempt != nil {
				total += int64(cap(c.attempt.responseBody))
				addRequest(c.attempt.req.request)
			}
		}
	}
	for _, req := range g.requests.byID {
		addRequest(req)
	}
	return total
}

// accountingError returns how the counted sizes differ from those of what is held, or "".
func (g *Gateway) accountingError() string {
	if held := g.heldBytes(); held != g.buffers.usedBytes {
		return fmt.Sprintf("%d bytes are held in buffers, %d are counted", held, g.buffers.usedBytes)
	}
	free, responses, receiving := int64(0), int64(0), int64(0)
	for _, b := range slices.Concat(g.buffers.small, g.buffers.large) {
		free += int64(cap(b))
	}
	for _, conn := range g.conns.slots {
		switch c := conn.(type) {
		case *clientConn:
			receiving += c.receiving.bytes
		case *nodeConn:
			if c.attempt != nil {
				responses += int64(cap(c.attempt.responseBody))
			}
		}
	}
	if free != g.buffers.freeBytes || responses != g.buffers.responseBytes || receiving != g.receiving.bytes {
		return fmt.Sprintf("free %d, responses %d, receiving %d; counted are %d, %d, %d",
			free, responses, receiving, g.buffers.freeBytes, g.buffers.responseBytes, g.receiving.bytes)
	}
	return ""
}

func (h *harness) checkAccounting() {
	h.t.Helper()
	if problem := h.gateway.accountingError(); problem != "" {
		h.t.Fatal(problem)
	}
}

// memoryLimit is the limit on buffers in these tests. memoryConfig sets it, and buffers a body of 64 KiB.
const memoryLimit = 1 << 20

var memoryConfig = strings.NewReplacer("node-connections 4", "node-connections 64", "body hold 16k", "body hold 64k").
	Replace(harnessConfig + "buffers 1m\nclients 64\n")

// connect opens a client connection and delivers text on it, as separate reads.
func (h *harness) connect(pieces ...string) ConnID {
	id := h.gateway.Accept(h.now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	for _, piece := range pieces {
		h.deliver(id, piece)
	}
	return id
}

// Regression test: clients that stopped in the middle of a request, or sent heads of very many short
// fields, occupied memory without a bound, since the buffers were checked only when a request began and
// counted by their content. The oldest of such requests are now rejected, and others are served.
func TestIncompleteRequestsDoNotUseUpMemory(t *testing.T) {
	half := func(text string) []string { return []string{text[:100], text[100 : len(text)/2]} }
	for name, pieces := range map[string][]string{
		"half a body": half(putRequest("/feed-a/s/x", strings.Repeat("x", 60<<10), "id: a")),
		"half a head": half(getRequest("/feed-a/s/x", "a: "+strings.Repeat("y", 15<<10))),
		"many fields": half(getRequest("/feed-a/s/x", strings.Repeat("a:b\r\n", 90)+"a: "+strings.Repeat("y", 15<<10))),
	} {
		for protocol, newHarness := range harnessesByProtocol {
			t.Run(name+", "+protocol, func(t *testing.T) {
				h := newHarness(t, memoryConfig)
				h.gateway.config.HeaderLimits.FieldCount = 100
				var clients []ConnID
				for range 60 {
					clients = append(clients, h.connect(pieces...))
					if h.gateway.receiving.bytes > memoryLimit/2 || h.gateway.buffers.totalBytes() > memoryLimit {
						t.Fatalf("%d bytes for requests that arrive, %d in all; want %d and %d at most",
							h.gateway.receiving.bytes, h.gateway.buffers.totalBytes(), memoryLimit/2, memoryLimit)
					}
					h.checkAccounting()
				}
				if h.gateway.receiving.oldestFirst.Len() < 60 {
					h.wantContains("the response to the oldest", h.takeWritten(clients[0]), "503 ", reasonNoBuffers, "Connection: close")
				}
				if got := h.takeWritten(clients[59]); got != "" {
					t.Errorf("the newest request was answered with %.100q, want it to go on arriving", got)
				}
				other := h.connect(putRequest("/feed-a/s/y", "whole", "id: b"))
				h.deliver(h.nodeConn(0), okResponse("fine"))
				h.wantContains("the response to a whole request", h.takeWritten(other), "200 OK", "fine")
			})
		}
	}
}

// Regression test: responses without an end, together with the bodies of requests, took an instance over
// its memory limit, since spare capacity, copies and free buffers were not counted. The longest response
// is now given up, and the others arrive.
func TestEndlessResponsesDoNotUseUpMemory(t *testing.T) {
	h := harnessesByProtocol["buffered"](t, memoryConfig)
	h.gateway.SetProtocol(longerResponses{})
	var nodes []nodelist.Node
	for i := range 8 {
		nodes = append(nodes, nodelist.Node{Name: fmt.Sprint("m", i), Addr: fmt.Sprint("node:m", i)})
	}
	h.gateway.SetNodes(h.now, nodes)
	h.runActions()
	for i := range 12 {
		h.connect(putRequest("/", strings.Repeat("b", 15<<10), fmt.Sprint("id: ", i)))
	}
	endless, good := h.dialed[1:], h.dialed[0]
	header := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := "4000\r\n" + strings.Repeat("?", 0x4000) + "\r\n"
	for _, n := range endless {
		h.deliver(n, header)
	}
	peak := int64(0)
	for range 40 {
		for _, n := range endless {
			h.deliver(n, chunk)
			peak = max(peak, h.gateway.buffers.totalBytes())
			h.checkAccounting()
		}
	}
	if bound := int64(2*memoryLimit + 1<<20); peak > bound {
		t.Errorf("%d bytes in buffers, want %d at most", peak, bound)
	}
	if aborted := len(h.closedBy); aborted == 0 {
		t.Error("no connection with an endless response was aborted")
	}
	h.deliver(good, okResponse("fine"))
	if n := h.gateway.Counts().Served; n != 1 {
		t.Errorf("%d requests served, want the one with a response", n)
	}
}

// longerResponses is a fakeProtocol whose responses may be as long as the memory for all of them.
type longerResponses struct{ fakeProtocol }

func (longerResponses) MaxResponseBytes() (perResponse, total int64) {
	return memoryLimit, 16 * memoryLimit
}

// Verifies that a long body is not copied for its attempt: while a node reads nothing, the request holds
// its body once. It is sent whole, and again in another attempt.
func TestLongBodyIsSentFromItsOwnBuffer(t *testing.T) {
	h := harnessesByProtocol["buffered"](t, memoryConfig)
	body := strings.Repeat("0123456789", 6000)
	h.deferConnects = true
	client := h.connect(putRequest("/", body, "id: a"))
	first := h.nodeConn(0)
	h.blocked[first] = true
	h.gateway.Connected(h.now, first)
	h.runActions()
	if total := h.gateway.buffers.usedBytes; total > int64(len(body)+len(body)/4) {
		t.Errorf("%d bytes in buffers for a body of %d", total, len(body))
	}
	h.checkAccounting()
	h.gateway.Wrote(h.now, first, len(h.gateway.PendingOutput(h.now, first)))
	h.gateway.Wrote(h.now, first, 1000) // a part of the body
	if got, want := string(h.gateway.PendingOutput(h.now, first)), body[1000:]; got != want {
		t.Errorf("the rest of the body is %.20q of %d bytes, want %.20q of %d", got, len(got), want, len(want))
	}
	h.gateway.Closed(h.now, first) // not executed, as the request was incomplete
	h.runActions()
	h.advanceTime(50 * time.Millisecond)
	second := h.nodeConn(1)
	h.gateway.Connected(h.now, second)
	h.runActions()
	if got := h.takeWritten(second); !strings.HasSuffix(got, "\r\n\r\n"+body) {
		t.Errorf("the second attempt has %d bytes, want a header and the body", len(got))
	}
	h.deliver(second, okResponse("fine"))
	h.wantContains("the response", h.takeWritten(client), "200 OK", "fine")
	h.checkAccounting()
}
