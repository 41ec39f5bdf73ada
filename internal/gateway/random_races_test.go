package gateway

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// trackedRequest is what a raceHistory knows of one request.
type trackedRequest struct {
	id            string
	client        ConnID
	nonIdempotent bool
	disconnected  bool // the gateway has handled that its client left
	sent          int  // attempts that were written to a node
	responses     int
}

// raceHistory is a random history. In each of its batches the gateway gets some events in
// any order, and is then advanced once, so that events cross: a decision of the scheduler
// is carried out after what would have changed it.
type raceHistory struct {
	*harness
	rt *rapid.T

	requests        []*trackedRequest
	requestsByID    map[string]*trackedRequest
	clients         []ConnID
	lastRequest     map[ConnID]*trackedRequest // of a client connection
	carried         map[ConnID]*trackedRequest // by a connection to a node
	disconnecting   []*trackedRequest          // whose client left in this batch
	nodeDraining    bool                       // n0 drains
	connsToN0       map[ConnID]bool            // at the end of the batch
	connectedBefore map[ConnID]bool            // established in this batch, before the drain
	stopped         bool
}

func newRaceHistory(t *testing.T, rt *rapid.T) *raceHistory {
	x := &raceHistory{
		harness:      newProtocolHarness(t),
		rt:           rt,
		requestsByID: map[string]*trackedRequest{},
		lastRequest:  map[ConnID]*trackedRequest{},
		carried:      map[ConnID]*trackedRequest{},
		connsToN0:    map[ConnID]bool{},
	}
	x.deferConnects = true
	return x
}

func (x *raceHistory) pick(conns []ConnID) ConnID {
	return conns[rapid.IntRange(0, len(conns)-1).Draw(x.rt, "which")]
}

// event draws one event and delivers it.
func (x *raceHistory) event() {
	switch event := rapid.IntRange(0, 11).Draw(x.rt, "event"); {
	case event < 3 && !x.stopped:
		x.clientSendsRequest()
	case event < 5 && len(x.clients) > 0:
		x.clientLeaves()
	case event < 7 && len(x.dialed) > 0:
		x.dialEnds()
	case event < 9 && len(x.dialed) > 0:
		x.nodeResponds()
	case event == 9:
		x.nodeStateChanges()
	case event == 10:
		x.now += time.Duration(rapid.IntRange(1, 400).Draw(x.rt, "ms")) * time.Millisecond
	case event == 11 && !x.stopped && rapid.IntRange(0, 5).Draw(x.rt, "stop") == 0:
		x.gateway.Shutdown(x.now)
		x.stopped = true
	}
}

// clientSendsRequest sends a request, on a connection that has its response or on a new one.
func (x *raceHistory) clientSendsRequest() {
	request := &trackedRequest{
		id:            fmt.Sprint("r", len(x.requests)+1),
		nonIdempotent: rapid.Bool().Draw(x.rt, "non-idempotent"),
	}
	method := map[bool]string{false: "GET", true: "PUT"}[request.nonIdempotent]
	text := fmt.Sprintf("%s / HTTP/1.1\r\nHost: h\r\nid: %s\r\nContent-Length: 0\r\n\r\n", method, request.id)
	request.client = x.gateway.Accept(x.now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	if len(x.clients) > 0 && rapid.Bool().Draw(x.rt, "reuse") {
		c := x.pick(x.clients)
		last := x.lastRequest[c]
		if last.responses == 1 && !last.disconnected && x.gateway.conns.find(c) != nil && !x.writeClosed[c] {
			request.client = c
		}
	}
	x.requestsByID[request.id], x.lastRequest[request.client] = request, request
	x.requests, x.clients = append(x.requests, request), append(x.clients, request.client)
	x.gateway.Data(x.now, request.client, []byte(text))
}

func (x *raceHistory) clientLeaves() {
	c := x.pick(x.clients)
	if rapid.Bool().Draw(x.rt, "reset") {
		x.gateway.Closed(x.now, c)
	} else {
		x.gateway.EOF(x.now, c)
	}
	x.disconnecting = append(x.disconnecting, x.lastRequest[c])
}

// dialEnds establishes or refuses a connection to a node.
func (x *raceHistory) dialEnds() {
	id := x.pick(x.dialed)
	refused := rapid.IntRange(0, 3).Draw(x.rt, "refused") == 0
	c := x.findNodeConn(id)
	dialing := c != nil && c.state == nodeDialing
	switch {
	case !refused:
		if dialing {
			x.connectedBefore[id] = !x.nodeDraining
		}
		x.gateway.Connected(x.now, id)
	case dialing:
		x.gateway.Closed(x.now, id)
	}
}

// nodeResponds has a node respond to what a connection carries, or fail to.
func (x *raceHistory) nodeResponds() {
	id := x.pick(x.dialed)
	request := x.carried[id]
	if request == nil || x.gateway.conns.find(id) == nil {
		return
	}
	response := okResponse("for " + request.id + ".")
	switch rapid.IntRange(0, 4).Draw(x.rt, "response") {
	case 0: // all but its last byte
		x.gateway.Data(x.now, id, []byte(response[:len(response)-1]))
		x.gateway.Closed(x.now, id)
	case 1: // none
		x.gateway.Closed(x.now, id)
	case 2: // one that ends with the connection
		x.gateway.Data(x.now, id, []byte("HTTP/1.1 200 OK\r\n\r\nfor "+request.id+"."))
		x.gateway.EOF(x.now, id)
	default:
		x.gateway.Data(x.now, id, []byte(response))
	}
	delete(x.carried, id)
}

func (x *raceHistory) nodeStateChanges() {
	state := rapid.SampledFrom([]scheduler.NodeState{scheduler.Serving, scheduler.Draining}).Draw(x.rt, "state")
	x.gateway.SetNodes(x.now, []nodelist.Node{{Name: "n0", Addr: "node:0", State: state}, {Name: "n2", Addr: "node:2"}})
	x.nodeDraining = state == scheduler.Draining
}

// endBatch advances the gateway over the events of a batch, and checks what it wrote.
func (x *raceHistory) endBatch() {
	x.connsToN0 = map[ConnID]bool{}
	for _, id := range x.dialed {
		if c := x.findNodeConn(id); c != nil {
			x.connsToN0[id] = c.node.name == "n0"
		}
	}
	x.runActions()
	x.checkWritten()
	for _, request := range x.disconnecting {
		request.disconnected = true
	}
	x.disconnecting = nil
}

// checkWritten checks what the gateway has written to nodes and clients.
func (x *raceHistory) checkWritten() {
	for _, id := range x.dialed {
		for line := range strings.Lines(x.takeWritten(id)) {
			method, path, ok := strings.Cut(strings.TrimSpace(line), " /")
			if ok && (method == "GET" || method == "PUT") {
				requestID, _, _ := strings.Cut(path, " ")
				x.checkSent(id, requestID)
			}
		}
	}
	for _, c := range x.clients {
		for _, response := range strings.Split(x.takeWritten(c), "HTTP/1.1 ")[1:] {
			x.checkResponse(c, response)
		}
	}
}

// checkSent checks that a request may be sent to a node.
func (x *raceHistory) checkSent(conn ConnID, requestID string) {
	request := x.requestsByID[requestID]
	switch {
	case request == nil:
		x.rt.Fatalf("a node is sent %q, which no client sent", requestID)
	case request.disconnected:
		x.rt.Fatalf("%s is sent though its client has left", requestID)
	case request.responses > 0:
		x.rt.Fatalf("%s is sent after its response", requestID)
	case request.nonIdempotent && request.sent > 0:
		x.rt.Fatalf("%s is sent again though it may have been executed", requestID)
	case x.carried[conn] != nil:
		x.rt.Fatalf("%s is sent on a connection that carries %s", requestID, x.carried[conn].id)
	case x.nodeDraining && x.connsToN0[conn] && !x.connectedBefore[conn]:
		x.rt.Fatalf("%s is sent to a node that drains", requestID)
	}
	request.sent++
	x.carried[conn] = request
}

// checkResponse checks that a response, without its protocol, is the one response to the
// last request of a client connection.
func (x *raceHistory) checkResponse(c ConnID, response string) {
	request := x.lastRequest[c]
	if request == nil {
		x.rt.Fatalf("a response %q to nobody", response)
	}
	if request.responses++; request.responses > 1 {
		x.rt.Fatalf("%s has two responses", request.id)
	}
	if strings.HasPrefix(response, "200") && !strings.Contains(response, "for "+request.id+".") {
		x.rt.Fatalf("%s is answered with %q", request.id, response)
	}
	if strings.HasPrefix(response, "503") && request.nonIdempotent && request.sent > 0 {
		x.rt.Fatalf("%s is rejected though it may have been executed", request.id)
	}
}

// checkEnd checks that nothing is left when the history is over.
func (x *raceHistory) checkEnd() {
	if n := len(x.gateway.requests.byID); n != 0 {
		x.rt.Fatalf("%d requests are left", n)
	}
	for _, request := range x.requests {
		if request.responses == 0 && !request.disconnected {
			x.rt.Fatalf("%s has no response", request.id)
		}
	}
}

// Events that cross have led to requests that were sent for clients that had left, to
// nodes that drained, or twice. Here closes, resets, requests, responses, dialed
// connections, endpoint lists, timers and a shutdown come in any order within a batch. A
// request whose client has left is not sent; each request has one response, which is its
// own; a non-idempotent request that may have been executed is not sent again; and a
// draining node is sent nothing.
func TestRandomRaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newRaceHistory(t, rt)
		for range rapid.IntRange(3, 40).Draw(rt, "batches") {
			x.connectedBefore = map[ConnID]bool{}
			for range rapid.IntRange(1, 5).Draw(rt, "events") {
				x.event()
			}
			x.endBatch()
		}
		if x.stopped && rapid.Bool().Draw(rt, "abort") {
			x.gateway.AbortRemaining(x.now)
			x.runActions()
		}
		x.advanceTime(5 * time.Second)
		x.checkWritten()
		x.checkEnd()
	})
}
