package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"maddergap/internal/scriptednode"
)

// Verifies that malformed, incomplete and too large requests, and a request with the id of a pending
// one, end in an error or a close within 2.5 s, and that none of them is sent to a node.
func TestPlatformInvalidRequests(t *testing.T) {
	release := make(chan struct{})
	node := startPlatformNode(t, func(*http.Request) scriptednode.Response { <-release; return okResponse("fine") })
	instance := startPlatformReady(t, startDiscovery(t, node), platformOptions{})
	defer close(release)
	pending := instance.newRead(0, "5000m")
	go instance.roundTrip(pending.text)
	within(t, time.Second, func() bool { return len(node.received()) == 1 })
	valid := instance.newWrite(0, "1200m").text
	duplicateID := strings.Replace(valid, "X-Txn: ", "X-Txn: "+pending.id+"\r\nX-Old: ", 1)
	if status := instance.wantNotServed("id of a pending request", duplicateID); status == 503 {
		t.Error("id of a pending request: status 503, which tells the client that a retry is harmless")
	}
	for name, text := range invalidRequests(valid, pending.text) {
		instance.wantNotServed(name, text)
	}
	if ids := node.received(); len(ids) != 1 {
		t.Errorf("the node was sent the requests %v, want only the pending one", ids)
	}
}

// invalidRequests returns invalid variants of a valid request. The keys say what is wrong with them.
// One of them contains a second request, smuggled, in bytes that could be parsed as the body.
func invalidRequests(valid, smuggled string) map[string]string {
	replace := func(old, replacement string) string { return strings.Replace(valid, old, replacement, 1) }
	return map[string]string{
		"length and chunked":  replace("Content-Length: 7\r\n\r\npayload", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+smuggled),
		"two lengths":         replace("Content-Length: 7", "Content-Length: 7\r\nContent-Length: 8"),
		"negative length":     replace("Content-Length: 7", "Content-Length: -7"),
		"60 MB":               replace("Content-Length: 7", "Content-Length: 60000000") + strings.Repeat("x", 4<<20),
		"overflowing length":  replace("Content-Length: 7", "Content-Length: 99999999999999999999"),
		"too many chunks":     replace("Content-Length: 7\r\n\r\npayload", "Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("4000\r\n"+strings.Repeat("x", 0x4000)+"\r\n", 20)),
		"header without end":  "PUT /api HTTP/1.1\r\nX: " + strings.Repeat("y", 1<<20),
		"garbage":             "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
		"unknown class":       replace("X-Lane: write", "X-Lane: none"),
		"malformed remaining": replace("1200m", "soon"),
		"incomplete body":     valid[:len(valid)-4],
		"incomplete header":   valid[:40],
		"empty":               "",
	}
}

// wantNotServed sends a request and checks that it does not get 200 and ends within 2.5 s. It returns
// the status of the response, as roundTrip does.
func (i *platformInstance) wantNotServed(name, text string) (status int) {
	i.t.Helper()
	start := time.Now()
	status, _ = i.roundTrip(text)
	if status == 200 || time.Since(start) > 2500*time.Millisecond {
		i.t.Errorf("%s: status %d after %v, want an error or a close within 2.5 s", name, status, time.Since(start))
	}
	return status
}
