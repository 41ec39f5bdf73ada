package e2e

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"maddergap/internal/scriptednode"
)

// nodeResponseCase is a node's response to the first attempt of a request, and the expected result.
// The node responds to further attempts with 200.
type nodeResponseCase struct {
	name          string
	response      scriptednode.Response
	readStatus    int // status that the client of an idempotent read gets
	writeStatus   int // status that the client of a non-idempotent write gets
	writeAttempts int // number of attempts of the write
}

// longText is longer than the limit of a response header, 8 KB.
var longText = strings.Repeat("x", 20<<10)

// largeBody is larger than the buffers of a connection.
var largeBody = strings.Repeat("x", 400000)

var nodeResponseCases = []nodeResponseCase{
	{"served", okResponse("fine"), 200, 200, 1},
	{"400 KB", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + largeBody}, 200, 200, 1},
	{"1xx before the response", scriptednode.Response{Text: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + okResponse("fine").Text}, 200, 200, 1},
	{"1xx without end", scriptednode.Response{Text: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40)}, 200, 502, 1},
	{"malformed load report", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\nX-Pressure: inflight=;;\r\nContent-Length: 4\r\n\r\nfine"}, 200, 200, 1},
	{"second response behind the first", scriptednode.Response{Text: okResponse("fine").Text + okResponse("fine").Text}, 200, 200, 1},
	{"garbage behind the response", scriptednode.Response{Text: okResponse("fine").Text + "\x00\xff\x17noise"}, 200, 200, 1},
	{"rejected", scriptednode.Response{Text: "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"}, 200, 200, 2},
	{"503 that may have been executed", scriptednode.Response{Text: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}, 200, 502, 1},
	{"error", scriptednode.Response{Text: "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"}, 200, 502, 1},
	{"closed without a response", scriptednode.Response{ConnAction: scriptednode.Close}, 200, 502, 1},
	{"closed during the response", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfin", ConnAction: scriptednode.Close}, 200, 502, 1},
	{"no length", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\n\r\nfine", ConnAction: scriptednode.Close}, 200, 200, 1},
	{"no length, reset", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\n\r\nfi", ConnAction: scriptednode.Reset}, 200, 502, 1},
	{"no length, no end", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\n\r\nfi"}, 200, 502, 1},
	{"garbage", scriptednode.Response{Text: "\x01\x02\x03\r\n\r\n"}, 200, 502, 1},
	{"header without end", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\nX: " + longText}, 200, 502, 1},
	{"3 GB", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + longText}, 200, 502, 1},
	{"shorter than its length", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nfine"}, 200, 502, 1},
	{"negative length", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfine"}, 200, 502, 1},
	{"malformed chunk", scriptednode.Response{Text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}, 200, 502, 1},
}

// Verifies the handling of valid, malformed, truncated and failed responses of nodes. Reads are
// retried, and their clients get 200 within a second. A write that the node may have executed is
// never sent again.
func TestPlatformNodeResponses(t *testing.T) {
	for _, c := range nodeResponseCases {
		t.Run(c.name, func(t *testing.T) { testNodeResponse(t, c) })
	}
}

func testNodeResponse(t *testing.T, c nodeResponseCase) {
	var mu sync.Mutex
	attempted := map[string]bool{}
	node := startPlatformNode(t, func(r *http.Request) scriptednode.Response {
		mu.Lock()
		defer mu.Unlock()
		if id := r.Header.Get("X-Txn"); !attempted[id] {
			attempted[id] = true
			return c.response
		}
		return okResponse("fine")
	})
	instance := startPlatformReady(t, startDiscovery(t, node), platformOptions{})
	read := instance.newRead(0, "1200m")
	instance.wantResponse("read", read, c.readStatus)
	if n := node.countReceived(read.id); n < 1 || n > 4 {
		t.Errorf("read: %d attempts, want 1 to 4", n)
	}
	write := instance.newWrite(0, "1200m")
	instance.wantResponse("write", write, c.writeStatus)
	if n := node.countReceived(write.id); n != c.writeAttempts || n < 1 || n > 4 {
		t.Errorf("write: %d attempts, want the number of the case, within 1 to 4", n)
	}
	if status, body := instance.roundTrip(instance.newRead(0, "1200m").text); status == 0 {
		t.Errorf("read afterwards: status %d, body %q; want a response", status, body)
	}
}

// wantResponse sends a request and checks that it gets the wanted status within a second. The body of
// a response of 200 has to be one of the bodies in nodeResponseCases.
func (i *platformInstance) wantResponse(name string, request platformRequest, want int) {
	i.t.Helper()
	start := time.Now()
	status, body := i.roundTrip(request.text)
	if status != want || status == 200 && body != "fine" && body != largeBody {
		i.t.Errorf("%s: status %d, body %.40q; want %d", name, status, body, want)
	}
	if took := time.Since(start); took > time.Second {
		i.t.Errorf("%s: the response took %v, want at most 1 s", name, took)
	}
}
