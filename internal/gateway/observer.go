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

// Final answers; Left is a client that went before it had one.
const (
	Served Outcome = iota
	Refused
	Failed
	Left
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "left"}[o] }

// Span is an attempt or a whole request, as an Observer is told of it.
type Span struct {
	Request  string // the request id that clients and nodes see
	Trace    [16]byte
	ID       [8]byte
	Parent   [8]byte
	Sampled  bool
	Start    Time
	End      Time
	Method   string
	Path     string
	Volume   string
	Class    string
	Status   int
	Outcome  Outcome // of a request
	Client   string  // of a request: the client's address
	Attempts int     // of a request
	Attempt  int     // of an attempt: its number
	Node     string  // of an attempt
	Ended    scheduler.Outcome
	Reason   string // why the head itself answered
}

// Observer is told what was done; it must not keep the span.
type Observer interface {
	Request(*Span)
	Attempt(*Span)
	Members([]membership.Change)                                   // what changed of the node list
	Violation(invariant.Violation)                                 // an invariant that was broken, or an attempt that was withheld
	Turned(client netip.AddrPort, why admission.Reason, told bool) // a connection that was not admitted
}

// Counts are sums since the start.
type Counts struct {
	Taken, Served, Refused, Failed, Left uint64                    // requests given to the module, and how they ended
	Attempts, Own, Bad                   uint64                    // sends; answers of the head's own; requests refused as malformed
	Clients, NodeConns                   int                       // connections now
	Preempted                            uint64                    // idle connections closed for others
	Turned                               [admission.Reasons]uint64 // connections and requests not admitted
	Admitted                             admission.Counts
	Held                                 int64 // bytes held for clients
	Lag                                  time.Duration
	Guard                                invariant.Counts // attempts withheld, invariants broken
}

// Counts returns the sums.
func (h *Head) Counts() Counts {
	c := h.counts
	c.Admitted, c.Held, c.Lag = h.admission.Counts(), h.heldBytes, h.lag.now(h.now)
	c.Guard = h.guard.Counts()
	return c
}
