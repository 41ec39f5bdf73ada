package gateway

import (
	"strings"
	"testing"
	"time"

	"maddergap/internal/config"
)

const (
	chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	sizedHeader   = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
	listingHeader = "HTTP/1.1 207 Multi-Status\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstChunk    = "5\r\nhello\r\n"
	lastChunks    = "5\r\nworld\r\n0\r\n\r\n"
	listRequest   = "PROPFIND /feed-b/ HTTP/1.1\r\nHost: h\r\nDepth: 1\r\n\r\n"
)

// lateResponse is a case in which a request ends before the response to one of its attempts is
// complete.
type lateResponse struct {
	name    string
	request string
	before  string // bytes that the node sends before the request ends
	end     func(h *harness, client ConnID)
	after   string // bytes that the node sends after the request has ended
	want    map[Outcome]int
}

func lateResponses() []lateResponse {
	get := getRequest("/feed-a/s/x")
	abort := func(h *harness, _ ConnID) { h.gateway.AbortRemaining(h.now) }
	disconnect := func(h *harness, c ConnID) { h.gateway.Closed(h.now, c) }
	deadline := func(h *harness, _ ConnID) { h.advanceTime(time.Second) }
	secondResponse := func(h *harness, _ ConnID) { h.deliver(h.nodeConn(0), okResponse("first")) }
	reload := func(h *harness, _ ConnID) { h.reloadWithout("volume feed-a plan p shards 0\n") }
	failedPart := func(h *harness, _ ConnID) {
		h.deliver(h.nodeConn(1), "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	return []lateResponse{
		{"abort in a chunked response", get, chunkedHeader + firstChunk, abort, lastChunks, map[Outcome]int{Failed: 1}},
		{"abort in a response with a length", get, sizedHeader + "hello", abort, "world", map[Outcome]int{Failed: 1}},
		{"abort before the response", get, "", abort, okResponse("hello"), map[Outcome]int{Failed: 1}},
		{"abort in a part of a listing", listRequest, listingHeader + firstChunk, abort, lastChunks, map[Outcome]int{Failed: 2}},
		{"abort before a part of a listing", listRequest, "", abort, listingHeader + firstChunk + lastChunks, map[Outcome]int{Failed: 2}},
		{"client disconnects in the response", get, chunkedHeader + firstChunk, disconnect, lastChunks, map[Outcome]int{ClientDisconnected: 1}},
		{"client disconnects before the response", get, "", disconnect, chunkedHeader + firstChunk + lastChunks, map[Outcome]int{ClientDisconnected: 1}},
		{"client disconnects in a listing", listRequest, listingHeader + firstChunk, disconnect, lastChunks, map[Outcome]int{ClientDisconnected: 2}},
		{"deadline before the response", get, "", deadline, chunkedHeader + firstChunk + lastChunks, map[Outcome]int{Rejected: 1}},
		{"deadline in the response", get, chunkedHeader + firstChunk, deadline, lastChunks, map[Outcome]int{Served: 1}},
		{"two responses", get, "", secondResponse, chunkedHeader + firstChunk + lastChunks, map[Outcome]int{Served: 1}},
		{"another part of the listing fails", listRequest, listingHeader + firstChunk, failedPart, lastChunks, map[Outcome]int{Served: 2}},
		{"reload drops the volume", get, chunkedHeader + firstChunk, reload, lastChunks, map[Outcome]int{Served: 1}},
	}
}

// reloadWithout reloads harnessConfig without one of its lines.
func (h *harness) reloadWithout(line string) {
	h.t.Helper()
	c, err := config.Parse("harness", []byte(strings.Replace(harnessConfig, line, "", 1)))
	if err == nil {
		err = h.gateway.Reload(c)
	}
	if err != nil {
		h.t.Fatal(err)
	}
}

// Guards against a response that arrives after its request has ended, and causes a panic or a second
// report. Whatever ended the request, it is reported once, with its own properties, and nothing of
// the late response reaches another client.
func TestResponseAfterRequestEnd(t *testing.T) {
	for _, test := range lateResponses() {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "")
			c := h.connectClient(test.request)
			n := h.nodeConn(0)
			h.deliver(n, test.before)
			test.end(h, c)
			h.runActions()
			other := h.connectClient(getRequest("/feed-b/s/other")) // may reuse the object of the request
			h.deliver(n, test.after)
			h.advanceTime(3 * time.Second)
			h.wantEachRequestReportedOnce()
			if h.gateway.intake < intakeAborted { // later requests are rejected without being submitted
				test.want[Rejected]++ // the other request, which no node responds to
			}
			h.wantOutcomes(test.want)
			text := h.takeWritten(other)
			h.wantContains("the response to another client", text, "HTTP/1.1 503 ", "trying again does no harm")
			if strings.Contains(text, "hello") || strings.Contains(text, "world") {
				t.Errorf("another client got the late response: %q", text)
			}
		})
	}
}

// wantEachRequestReportedOnce checks that the end of every submitted request was reported once, that each
// report has the properties of its request, and that the counts add up.
func (h *harness) wantEachRequestReportedOnce() {
	h.t.Helper()
	reported := map[string]int{}
	for _, span := range h.spans {
		untraced := span.Trace == [16]byte{} && span.Reason != reasonStopped
		if span.Method == "" || span.Start == 0 || untraced {
			h.t.Errorf("report without the properties of a request: %+v", span)
		}
		if span.Node == "" && span.Request != "" {
			reported[span.Request]++
		}
	}
	counts := h.gateway.Counts()
	if ended := counts.Served + counts.Rejected + counts.Failed + counts.Disconnected; ended != counts.Received || int(ended) != len(reported) {
		h.t.Errorf("%d requests received, %d ended, %d reported, want the same number: %+v", counts.Received, ended, len(reported), counts)
	}
	for id, times := range reported {
		if times != 1 {
			h.t.Errorf("the end of request %s is reported %d times, want once", id, times)
		}
	}
}
