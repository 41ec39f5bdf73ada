package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const startTime = 24 * time.Hour

// harness drives a client through simulated time, and stands for its connections and its server.
// Connections open at once, and requests stay unanswered until the test responds.
type harness struct {
	t      *testing.T
	client *Client
	now    Time
	wakeAt Time // as the client's last step returned it
	// dials are the addresses dialled so far.
	dials []string
	open  map[int]bool // connections
	// pendingRequests are the request lines that have no response, by connection.
	pendingRequests map[int]string
	lastRequest     string // the last request line
	lastConn        int    // that it was written on
	closedConns     int    // by the client
	maxOpen         int    // connections at a time
	// onRequest is called with each request line, nil: nothing is.
	onRequest func(conn int, line string)
}

// newAgentHarness drives a client of an agent.
func newAgentHarness(t *testing.T) *harness {
	return newHarness(t, New("10.0.0.1:1", []string{"z0", "z1"}, false, 1))
}

func newHarness(t *testing.T, c *Client) *harness {
	h := &harness{t: t, client: c, now: startTime, pendingRequests: map[int]string{}, open: map[int]bool{}}
	h.step()
	return h
}

// step carries out what the client wants done now.
func (h *harness) step() {
	for range 100 {
		op, wakeAt := h.client.Step(h.now)
		h.wakeAt = wakeAt
		switch {
		case op.Dial != "":
			h.dial(op.Conn, op.Dial)
		case op.Close:
			h.close(op.Conn)
		case len(op.Write) > 0:
			h.write(op.Conn, op.Write)
		default:
			return
		}
	}
	h.t.Fatal("the client wants something done without end")
}

func (h *harness) dial(conn int, addr string) {
	if h.open[conn] {
		h.t.Fatal("dials a connection that is open")
	}
	h.dials = append(h.dials, addr)
	h.open[conn] = true
	h.maxOpen = max(h.maxOpen, len(h.open))
	h.client.Connected(h.now, conn)
}

func (h *harness) close(conn int) {
	if !h.open[conn] {
		h.t.Fatal("closes a connection that is not open")
	}
	delete(h.open, conn)
	delete(h.pendingRequests, conn)
	h.closedConns++
}

func (h *harness) write(conn int, request []byte) {
	if !h.open[conn] || h.pendingRequests[conn] != "" {
		h.t.Fatal("writes on a connection that is not open, or that has a request")
	}
	line, _, _ := strings.Cut(string(request), "\r\n")
	h.lastRequest = line
	h.lastConn = conn
	h.pendingRequests[conn] = line
	if h.onRequest != nil {
		h.onRequest(conn, line)
	}
}

// advance lets time pass.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = max(min(end, h.wakeAt), h.now+time.Microsecond)
		h.step()
	}
}

// deliver gives the client bytes on a connection, if that is open.
func (h *harness) deliver(conn int, p string) {
	if h.open[conn] {
		h.client.Data(h.now, conn, []byte(p))
	}
}

// resetConn closes a connection from the server's end.
func (h *harness) resetConn(conn int) {
	if h.open[conn] {
		delete(h.open, conn)
		delete(h.pendingRequests, conn)
		h.client.Closed(h.now, conn)
	}
}

// respond sends a body in response to the last request, in pieces of n bytes, and lets the
// spacing of calls pass.
func (h *harness) respond(body string, n int) {
	conn := h.lastConn
	delete(h.pendingRequests, conn)
	for remaining := httpResponse(body); len(remaining) > 0 && h.open[conn]; {
		size := min(n, len(remaining))
		h.deliver(conn, remaining[:size])
		remaining = remaining[size:]
		h.step()
	}
	h.advance(callSpacing)
}

func httpResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func listJSON(index int, snapshot bool, endpoints ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot, strings.Join(endpoints, ","))
}

func endpointJSON(name, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":"10.0.0.9:1","zone":"z1","type":"x","group":2,"status":%q,"weight":1.0,"since_ms":1700000000123}`, name, status)
}
