package gateway

import (
	"net/netip"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/invariant"
	"maddergap/internal/membership"
	"maddergap/scheduler"
)

// Outcome is how a request ended.
type Outcome uint8

// Outcomes.
const (
	// Served: a node's response was forwarded.
	Served Outcome = iota
	// Rejected: the scheduler, or AbortRemaining, rejected the request, and the client may
	// safely retry it.
	Rejected
	// Failed: the request failed, and it is not known whether it was executed.
	Failed
	// ClientDisconnected: the client disconnected before the final response.
	ClientDisconnected
	// Dropped: the gateway closed the client's connection before the final response, for
	// instance because the client did not read it.
	Dropped
	// AnsweredLocally: the gateway itself responded, without a decision of the scheduler. The
	// response may be an error, such as 408, 413, or the 503 for a request that was not admitted.
	AnsweredLocally
)

// String returns the value of the outcome's metric label.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "left", "dropped", "local"}[o]
}

// Span describes a request, or one attempt of a request, that has ended. A field applies to
// both unless its comment says otherwise.
type Span struct {
	Request        string // request id that clients and nodes see; empty: the request was not submitted
	Trace          [16]byte
	ID             [8]byte
	Parent         [8]byte
	Sampled        bool
	Start          Time
	End            Time
	Method         string
	Path           string
	Volume         string
	Class          string
	Status         int               // HTTP status of the response; 0: there was none
	Outcome        Outcome           // how a request ended; not used for an attempt
	Client         string            // address of a request's client; empty for an attempt
	Attempts       int               // number of attempts of a request
	Attempt        int               // index of an attempt among those of its request, from 0
	Node           string            // name of an attempt's node; empty for a request
	AttemptOutcome scheduler.Outcome // how an attempt ended; not used for a request
	Reason         string            // why the gateway itself responded to a request; empty: it did not
	WaitReason     string            // what kept a rejected or failed request from being sent; empty: nothing
}

// Observer is notified of events in the gateway. It must not keep a span after the call.
type Observer interface {
	// Request is called at the end of each request that was submitted to the scheduler or
	// answered by the gateway itself.
	Request(*Span)
	// Attempt is called at the end of each attempt.
	Attempt(*Span)
	// AttemptGivenUp is called when an attempt has no response by scheduler.Send's ArriveBefore.
	// requestID is the id that the client knows.
	AttemptGivenUp(requestID, node string, attempt int, age time.Duration)
	// MembersChanged is called with the changes of the endpoint list.
	MembersChanged([]membership.Change)
	// InvariantViolated is called with an invariant that was violated, or that an attempt
	// would have violated if it had not been withheld.
	InvariantViolated(invariant.Violation)
	// ConnectionRejected is called for a connection or request that was not admitted;
	// responseSent reports whether the client gets a response.
	ConnectionRejected(client netip.AddrPort, reason admission.Reason, responseSent bool)
}

// Counts holds counters since the start, and gauges.
type Counts struct {
	// Requests submitted to the scheduler, and how they ended. Disconnected counts the requests
	// that cancelRequest ended.
	Received, Served, Rejected, Failed, Disconnected uint64
	// Dropped is the part of Disconnected that was ended by the gateway and not by the client.
	Dropped uint64

	Attempts  uint64 // attempts, including those that ended before anything was sent
	Local     uint64 // requests that the gateway answered without the scheduler
	Malformed uint64 // requests rejected as malformed, or as received too slowly
	Preempted uint64 // client connections closed to make room for others

	// AttemptsGivenUp counts attempts without a response by scheduler.Send's ArriveBefore.
	AttemptsGivenUp uint64
	NodeConnsOpened uint64 // connections to nodes that were opened, established or not
	// UnsolicitedResponses counts idle connections to nodes on which data arrived, such as a second
	// response to a request. They are closed.
	UnsolicitedResponses uint64

	// ConnectionsRejected counts connections and requests that were not admitted.
	ConnectionsRejected [admission.ReasonCount]uint64
	Admitted            admission.Counts
	Invariants          invariant.Counts // attempts withheld, and invariants violated

	Clients, NodeConns int           // open connections
	BufferedBytes      int64         // capacity of the buffers in use
	Lag                time.Duration // estimated delay of the calls of Advance; see lagEstimate
}

// Counts returns the counters and gauges.
func (g *Gateway) Counts() Counts {
	c := g.counts
	c.Clients, c.NodeConns = g.clientConns, g.nodes.conns
	c.BufferedBytes = g.buffers.usedBytes
	c.Lag = g.lag.at(g.clock.now)
	c.Admitted = g.admission.Counts()
	c.Invariants = g.invariants.Counts()
	return c
}

// reportAttempt notifies the observer of the end of an attempt.
func (g *Gateway) reportAttempt(attempt *nodeAttempt, outcome scheduler.Outcome) {
	if g.observer == nil {
		return
	}
	request := &attempt.identity
	g.span = Span{
		Request:        g.ids.requestID(request.id),
		Trace:          request.trace.id,
		ID:             attempt.spanID,
		Parent:         request.trace.span,
		Sampled:        request.trace.sampled,
		Start:          attempt.startedAt,
		End:            g.clock.now,
		Method:         request.method,
		Path:           request.path,
		Volume:         request.volume,
		Class:          request.class.Name,
		Status:         attempt.status,
		Attempt:        attempt.number,
		Node:           attempt.nodeName,
		AttemptOutcome: outcome,
	}
	g.observer.Attempt(&g.span)
}

// reportGivenUp notifies the observer of an attempt that has no response by its arriveBefore.
func (g *Gateway) reportGivenUp(attempt *nodeAttempt) {
	g.counts.AttemptsGivenUp++
	if g.observer == nil {
		return
	}
	requestID := g.ids.requestID(attempt.identity.id)
	if req := attempt.req.live(); req != nil {
		requestID = g.clientRequestID(req)
	}
	g.observer.AttemptGivenUp(requestID, attempt.nodeName, attempt.number, g.clock.now-attempt.startedAt)
}

// reportRequestEnd notifies the protocol and the observer of the end of a request. A second
// call for a submitted request is recorded as a violated invariant.
func (g *Gateway) reportRequestEnd(req *request, outcome Outcome) {
	if req.response.reported && req.id != 0 {
		g.invariants.RecordDuplicateResponse(g.clock.now, req.id)
	}
	req.response.reported = true
	g.protocol.handleRequestEnd(req, outcome)
	if g.observer == nil {
		return
	}
	g.span = Span{
		Request:  g.ids.requestID(req.id),
		Trace:    req.trace.id,
		ID:       req.trace.span,
		Parent:   req.trace.parent,
		Sampled:  req.trace.sampled,
		Start:    req.headerReceivedAt,
		End:      g.clock.now,
		Method:   req.method,
		Path:     req.location.Path,
		Status:   req.response.status,
		Outcome:  outcome,
		Attempts: req.attempts.count,
		Reason:   req.response.reason,
	}
	if req.response.waitReason != scheduler.ReasonAllowed {
		g.span.WaitReason = req.response.waitReason.String()
	}
	if req.client != nil {
		g.span.Client = req.client.remote.String()
	}
	if req.id != 0 {
		g.span.Start = req.submittedAt
		g.span.Volume, g.span.Class = req.info.Arrival.Volume, req.class().Name
	}
	g.observer.Request(&g.span)
}
