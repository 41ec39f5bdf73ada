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

// trackedRequest is the state of one request as the test observes it.
type trackedRequest struct {
	id            string
	client        ConnID
	nonIdempotent bool
	disconnected  bool // the gateway has handled the client's disconnect
	attemptsSent  int  // number of attempts written to a node
	responseCount int  // number of responses written to the client
}

// raceHistory runs a random history in batches. In each batch the gateway gets several events in
// any order before it is advanced. A decision of the scheduler may thus be carried out after an
// event that would have changed it.
type raceHistory struct {
	*harness
	rt *rapid.T

	requests      []*trackedRequest
	requestsByID  map[string]*trackedRequest
	clients       []ConnID
	lastRequest   map[ConnID]*trackedRequest // last request of each client connection
	carried       map[ConnID]*trackedRequest // request that each node connection carries
	disconnecting []*trackedRequest          // requests whose client disconnected in this batch
	nodeDraining  bool                       // n0 is draining
	// connsToN0 tells for each open connection whether it leads to n0; set by endBatch.
	connsToN0 map[ConnID]bool
	// connectedBeforeDrain tells for each connection that was established in this batch whether n0
	// was not draining at that time.
	connectedBeforeDrain map[ConnID]bool
	stopped              bool // Shutdown was called
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

func (x *raceHistory) pickConn(conns []ConnID) ConnID {
	return conns[rapid.IntRange(0, len(conns)-1).Draw(x.rt, "which")]
}

// event draws one event and delivers it to the gateway.
func (x *raceHistory) event() {
	switch event := rapid.IntRange(0, 11).Draw(x.rt, "event"); {
	case event < 3 && !x.stopped:
		x.clientSendsRequest()
	case event < 5 && len(x.clients) > 0:
		x.clientDisconnects()
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

// clientSendsRequest sends a request, on a new connection or on one whose last request has its
// response.
func (x *raceHistory) clientSendsRequest() {
	request := &trackedRequest{
		id:            fmt.Sprint("r", len(x.requests)+1),
		nonIdempotent: rapid.Bool().Draw(x.rt, "non-idempotent"),
	}
	method := map[bool]string{false: "GET", true: "PUT"}[request.nonIdempotent]
	text := fmt.Sprintf("%s / HTTP/1.1\r\nHost: h\r\nid: %s\r\nContent-Length: 0\r\n\r\n", method, request.id)
	request.client = x.gateway.Accept(x.now, netip.MustParseAddrPort("127.0.0.1:1000"), 0).ID
	if len(x.clients) > 0 && rapid.Bool().Draw(x.rt, "reuse") {
		c := x.pickConn(x.clients)
		last := x.lastRequest[c]
		if last.responseCount == 1 && !last.disconnected && x.gateway.conns.find(c) != nil && !x.writeClosed[c] {
			request.client = c
		}
	}
	x.requestsByID[request.id], x.lastRequest[request.client] = request, request
	x.requests, x.clients = append(x.requests, request), append(x.clients, request.client)
	x.gateway.Data(x.now, request.client, []byte(text))
}

func (x *raceHistory) clientDisconnects() {
	c := x.pickConn(x.clients)
	if rapid.Bool().Draw(x.rt, "reset") {
		x.gateway.Closed(x.now, c)
	} else {
		x.gateway.EOF(x.now, c)
	}
	x.disconnecting = append(x.disconnecting, x.lastRequest[c])
}

// dialEnds lets the dial of a connection to a node succeed or fail.
func (x *raceHistory) dialEnds() {
	id := x.pickConn(x.dialed)
	refused := rapid.IntRange(0, 3).Draw(x.rt, "refused") == 0
	c := x.findNodeConn(id)
	dialing := c != nil && c.state == nodeDialing
	switch {
	case !refused:
		if dialing {
			x.connectedBeforeDrain[id] = !x.nodeDraining
		}
		x.gateway.Connected(x.now, id)
	case dialing:
		x.gateway.Closed(x.now, id)
	}
}

// nodeResponds sends the response to the request that a node connection carries, or closes the
// connection before the response is complete.
func (x *raceHistory) nodeResponds() {
	id := x.pickConn(x.dialed)
	request := x.carried[id]
	if request == nil || x.gateway.conns.find(id) == nil {
		return
	}
	response := okResponse("for " + request.id + ".")
	switch rapid.IntRange(0, 4).Draw(x.rt, "response") {
	case 0: // all but its last byte
		x.gateway.Data(x.now, id, []byte(response[:len(response)-1]))
		x.gateway.Closed(x.now, id)
	case 1: // no response
		x.gateway.Closed(x.now, id)
	case 2: // a response without a length, which ends with the connection
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

// endBatch advances the gateway after the events of a batch, and checks what it wrote.
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

// checkWritten checks the requests and responses that the gateway wrote since the last call.
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

// checkSent checks that the gateway was allowed to send a request on a node connection, and counts
// the attempt.
func (x *raceHistory) checkSent(conn ConnID, requestID string) {
	request := x.requestsByID[requestID]
	switch {
	case request == nil:
		x.rt.Fatalf("request %q was sent to a node, but no client sent it", requestID)
	case request.disconnected:
		x.rt.Fatalf("%s was sent although its client has disconnected", requestID)
	case request.responseCount > 0:
		x.rt.Fatalf("%s was sent after its response", requestID)
	case request.nonIdempotent && request.attemptsSent > 0:
		x.rt.Fatalf("%s was sent again although it may have been executed", requestID)
	case x.carried[conn] != nil:
		x.rt.Fatalf("%s was sent on a connection that carries %s", requestID, x.carried[conn].id)
	case x.nodeDraining && x.connsToN0[conn] && !x.connectedBeforeDrain[conn]:
		x.rt.Fatalf("%s was sent to a draining node", requestID)
	}
	request.attemptsSent++
	x.carried[conn] = request
}

// checkResponse checks that a response, given without its HTTP version, is the only response to the
// last request of a client connection, and that its status is permitted.
func (x *raceHistory) checkResponse(c ConnID, response string) {
	request := x.lastRequest[c]
	if request == nil {
		x.rt.Fatalf("response %q on a connection without a request", response)
	}
	if request.responseCount++; request.responseCount > 1 {
		x.rt.Fatalf("%s has two responses, want one", request.id)
	}
	if strings.HasPrefix(response, "200") && !strings.Contains(response, "for "+request.id+".") {
		x.rt.Fatalf("%s got the response %q of another request", request.id, response)
	}
	if strings.HasPrefix(response, "503") && request.nonIdempotent && request.attemptsSent > 0 {
		x.rt.Fatalf("%s was rejected although it may have been executed", request.id)
	}
}

// checkEnd checks at the end of the history that no request is left, and that each has a response
// unless its client has disconnected.
func (x *raceHistory) checkEnd() {
	if n := len(x.gateway.requests.byID); n != 0 {
		x.rt.Fatalf("%d requests are left, want 0", n)
	}
	for _, request := range x.requests {
		if request.responseCount == 0 && !request.disconnected {
			x.rt.Fatalf("%s has no response", request.id)
		}
	}
}

// Regression test: events that were handled in one batch have led to requests that were sent for
// clients that had disconnected, to draining nodes, or twice. Here requests, responses, disconnects,
// dialed connections, endpoint lists, timers and a shutdown come in any order within a batch.
// Verifies that a request whose client has disconnected is not sent, that each request gets one
// response, its own, that a non-idempotent request that may have been executed is not sent again, and
// that nothing is sent to a draining node.
func TestRandomRaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newRaceHistory(t, rt)
		for range rapid.IntRange(3, 40).Draw(rt, "batches") {
			x.connectedBeforeDrain = map[ConnID]bool{}
			for range rapid.IntRange(1, 5).Draw(rt, "events") {
				x.event()
			}
			x.endBatch()
			if problem := x.gateway.accountingError(); problem != "" {
				rt.Fatal(problem)
			}
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
