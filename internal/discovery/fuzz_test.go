package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// FuzzData checks that the client makes another call after any response, and that the sizes of the
// pieces in which a response arrives do not change the update. The updates are compared only for
// responses below 64 bytes that do not contain "200".
func FuzzData(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n"+listJSON(41, true)), 3)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, b []byte, n int) {
		n = max(1, n%64)
		var updates []string
		for _, n := range []int{n, len(b) + 1} {
			h := newAgentHarness(t)
			for conn, remaining := h.lastConn, b; len(remaining) > 0 && h.open[conn]; {
				size := min(n, len(remaining))
				h.deliver(conn, string(remaining[:size]))
				remaining = remaining[size:]
			}
			update, ok := h.client.TakeUpdate()
			updates = append(updates, fmt.Sprint(update, ok))
			h.advance(10 * time.Second)
			if !strings.HasPrefix(h.lastRequest, "GET /api/targets") && len(h.dials) < 2 {
				t.Fatalf("%q: the client makes no further call", b)
			}
		}
		if len(b) < 64 && updates[0] != updates[1] && !strings.Contains(string(b), "200") {
			t.Fatalf("%q: updates differ by the size of the pieces: %v", b, updates)
		}
	})
}
