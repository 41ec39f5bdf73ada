package gateway

import (
	"net/netip"
	"time"

	"maddergap/internal/admission"
	"maddergap/internal/invariant"
	"maddergap/internal/membership"
	"maddergap/scheduler"
)

// Outcome is the final answer of a request.
type Outcome uint8

// Final answers; ClientDisconnected is a client that went before it had one.
const (
	Served Outcome = iota
	Rejected
	Failed
	ClientDisconnected
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "left"}[o] }

// Span is an attempt or a whole request, as an Observer is told of it.
type Span struct {
	Request        string // the request id that clients and nodes see
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
	Status         int
	Outcome        Outcome // of a request
	Client         string  // of a request: the client's address
	Attempts       int     // of a request
	Attempt        int     // of an attempt: its number
	Node           string  // of an attempt
	AttemptOutcome scheduler.Outcome
	Reason         string // why the head itself answered
}

// Observer is told what was done; it must not keep the span.
type Observer interface {
	Request(*Span)
	Attempt(*Span)
	MembersChanged([]membership.Change)                                        // what changed of the node list
	InvariantViolated(invariant.Violation)                                     // an invariant that was broken, or an attempt that was withheld
	ConnectionRejected(client netip.AddrPort, why admission.Reason, told bool) // a connection that was not admitted
}

// Counts are sums since the start.
type Counts struct {
	Received, Served, Rejected, Failed, Disconnected uint64                        // requests given to the module, and how they ended
	Attempts, Local, Malformed                       uint64                        // sends; answers of the head's own; requests refused as malformed
	Clients, NodeConns                               int                           // connections now
	Preempted                                        uint64                        // idle connections closed for others
	ConnectionsRejected                              [admission.ReasonCount]uint64 // connections and requests not admitted
	Admitted                                         admission.Counts
	BufferedBytes                                    int64 // bytes held for clients
	Stall                                            time.Duration
	Invariants                                       invariant.Counts // attempts withheld, invariants broken
}

// Counts returns the sums.
func (g *Gateway) Counts() Counts {
	c := g.counts
	c.Clients, c.NodeConns = g.clientConns, g.nodes.conns
	c.Admitted, c.BufferedBytes, c.Stall = g.admission.Counts(), g.buffers.clientBytes, g.stall.current(g.clock.now)
	c.Invariants = g.invariants.Counts()
	return c
}
