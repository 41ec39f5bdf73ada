package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// startTime is the clock reading at the start of a test.
const startTime = 24 * time.Hour

// harness drives a client through simulated time and simulates its connections and its server.
// Connections are established at once, and requests get no response until the test sends one.
type harness struct {
	t      *testing.T
	client *Client
	now    Time
	wakeAt Time // time returned by the last Step
	// dials holds the addresses dialed so far.
	dials []string
	open  map[int]bool // open connections
	// pendingRequests holds the request lines without a response, by connection.
	pendingRequests map[int]string
	lastRequest     string // last request line
	lastConn        int    // connection of lastRequest
	closedConns     int    // number of connections closed by the client
	maxOpen         int    // maximum number of connections open at a time
	// onRequest, if not nil, is called with each request line.
	onRequest func(conn int, line string)
}

// newAgentHarness returns a harness with a client of an agent.
func newAgentHarness(t *testing.T) *harness {
	return newHarness(t, New("10.0.0.1:1", []string{"z0", "z1"}, false, 1))
}

// newHarness returns a harness after the first step of the client.
func newHarness(t *testing.T, c *Client) *harness {
	h := &harness{t: t, client: c, now: startTime, pendingRequests: map[int]string{}, open: map[int]bool{}}
	h.step()
	return h
}

// step carries out the client's operations until there are none at the current time.
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
	h.t.Fatal("Step still returns operations after 100 of them at one time")
}

func (h *harness) dial(conn int, addr string) {
	if h.open[conn] {
		h.t.Fatal("the client dials with the number of an open connection")
	}
	h.dials = append(h.dials, addr)
	h.open[conn] = true
	h.maxOpen = max(h.maxOpen, len(h.open))
	h.client.Connected(h.now, conn)
}

func (h *harness) close(conn int) {
	if !h.open[conn] {
		h.t.Fatal("the client closes a connection that is not open")
	}
	delete(h.open, conn)
	delete(h.pendingRequests, conn)
	h.closedConns++
}

func (h *harness) write(conn int, request []byte) {
	if !h.open[conn] || h.pendingRequests[conn] != "" {
		h.t.Fatal("the client writes on a connection that is not open or has a pending request")
	}
	line, _, _ := strings.Cut(string(request), "\r\n")
	h.lastRequest = line
	h.lastConn = conn
	h.pendingRequests[conn] = line
	if h.onRequest != nil {
		h.onRequest(conn, line)
	}
}

// advance moves the clock forward by d and carries out the operations that are due.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = max(min(end, h.wakeAt), h.now+time.Microsecond)
		h.step()
	}
}

// deliver passes bytes to the client as received on a connection, if the connection is open.
func (h *harness) deliver(conn int, p string) {
	if h.open[conn] {
		h.client.Data(h.now, conn, []byte(p))
	}
}

// resetConn closes a connection on the server side.
func (h *harness) resetConn(conn int) {
	if h.open[conn] {
		delete(h.open, conn)
		delete(h.pendingRequests, conn)
		h.client.Closed(h.now, conn)
	}
}

// respond sends a response with the given body to the last request, in pieces of n bytes, and then
// advances the clock by minCallInterval.
func (h *harness) respond(body string, n int) {
	conn := h.lastConn
	delete(h.pendingRequests, conn)
	for remaining := httpResponse(body); len(remaining) > 0 && h.open[conn]; {
		size := min(n, len(remaining))
		h.deliver(conn, remaining[:size])
		remaining = remaining[size:]
		h.step()
	}
	h.advance(minCallInterval)
}

// httpResponse returns a response with the given body.
func httpResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// listJSON returns an endpoint list with the given endpoints in JSON.
func listJSON(index int, snapshot bool, endpoints ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, snapshot, strings.Join(endpoints, ","))
}

// endpointJSON returns an endpoint in JSON, with fields that the client does not know.
func endpointJSON(name, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":"10.0.0.9:1","zone":"z1","type":"x","group":2,"status":%q,"weight":1.0,"since_ms":1700000000123}`, name, status)
}
