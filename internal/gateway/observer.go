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
	// Served: a node's response was passed on.
	Served Outcome = iota
	// Rejected: the scheduler, or AbortRemaining, rejected the request, which was not
	// executed and may be retried.
	Rejected
	// Failed: it is not known whether the request was executed.
	Failed
	// ClientDisconnected: the client left before the final response.
	ClientDisconnected
	// Dropped: the gateway ended the client's connection before the final response, for
	// instance as the client did not read it.
	Dropped
	// AnsweredLocally: the gateway itself responded, without a decision of the scheduler. That may
	// be an error, such as 408, 413, or the 503 for a request that was not admitted.
	AnsweredLocally
)

// String returns the outcome as it stands in metric labels.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "left", "dropped", "local"}[o]
}

// Span describes an attempt or a request.
type Span struct {
	Request        string // the request id that clients and nodes see; empty: the request was not submitted
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
	Status         int // of the response; 0: none
	Outcome        Outcome
	Client         string // the client's address; empty for an attempt
	Attempts       int    // how many a request had
	Attempt        int    // the number of an attempt, from 0
	Node           string // of an attempt; empty for a request
	AttemptOutcome scheduler.Outcome
	Reason         string // why the gateway itself responded to a request; empty: it did not
	WaitReason     string // what kept a request from being sent that was rejected or failed; empty: nothing did
}

// Observer is notified of what the gateway has done. It must not keep a span after the call.
type Observer interface {
	Request(*Span)
	Attempt(*Span)
	// MembersChanged is called with the changes of the endpoint list.
	MembersChanged([]membership.Change)
	// InvariantViolated is called with an invariant that was violated, or that would have
	// been by an attempt that was withheld.
	InvariantViolated(invariant.Violation)
	// ConnectionRejected is called with a connection or request that was not admitted;
	// responseSent reports whether the client gets a response.
	ConnectionRejected(client netip.AddrPort, reason admission.Reason, responseSent bool)
}

// Counts are counters since the start, and gauges.
type Counts struct {
	// Requests submitted to the scheduler, and how they ended. Disconnected counts the requests
	// that cancelRequest ended.
	Received, Served, Rejected, Failed, Disconnected uint64
	Dropped                                          uint64 // of Disconnected: the gateway ended them, not the client

	Attempts  uint64 // attempts, those included that ended before anything was sent
	Local     uint64 // requests that the gateway answered without the scheduler
	Malformed uint64 // requests rejected as malformed or too slow
	Preempted uint64 // client connections closed for others

	// ConnectionsRejected counts connections and requests that were not admitted.
	ConnectionsRejected [admission.ReasonCount]uint64
	Admitted            admission.Counts
	Invariants          invariant.Counts // attempts withheld, and invariants violated

	Clients, NodeConns int           // open connections
	BufferedBytes      int64         // held for clients
	Lag                time.Duration // estimate of how late Advance is called; see lagEstimate
}

// Counts returns the counters and gauges.
func (g *Gateway) Counts() Counts {
	c := g.counts
	c.Clients, c.NodeConns = g.clientConns, g.nodes.conns
	c.BufferedBytes = g.buffers.clientBytes
	c.Lag = g.lag.current(g.clock.now)
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

// reportRequestEnd notifies the protocol and the observer of the end of a request.
func (g *Gateway) reportRequestEnd(req *request, outcome Outcome) {
	if req.response.reported && req.id != 0 {
		g.invariants.RecordDuplicateResponse(g.clock.now, req.id)
	}
	req.response.reported = true
	g.protocol.requestEnded(req, outcome)
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
		g.span.Volume, g.span.Class = req.info.Arrival.Volume, g.class(req).Name
	}
	g.observer.Request(&g.span)
}
