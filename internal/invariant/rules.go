// Package invariant checks what a gateway does on its connections against rules that hold
// whatever the scheduler decides: when an attempt may begin, when it may be a retry, that a
// request has one final response, and that no connection is closed without it. The checks stand
// apart from the scheduler and repeat none of its code, so that a fault of the scheduler, or of
// the path from its decision to the socket, shows here and not at a client.
//
// The gateway asks the Checker when an attempt is decided, and again in the one place where bytes are
// handed to a node's connection. It reports to it in the one place where they were written. The package does no I/O and reads
// no clock.
//
// rules.go holds the rules, checker.go counts and reports what they find.
package invariant

import (
	"time"

	"maddergap/scheduler"
)

// Time is a reading of the gateway's monotonic clock.
type Time = scheduler.Time

// Rule is an invariant. Its comment says which failure it guards against, how that shows, and
// what is allowed.
type Rule uint8

const (
	// None stands for no violation.
	None Rule = iota
	// MembershipKnown requires that no attempt begins before a node list is in force. Guards
	// against a gateway that sends by addresses from nowhere, which shows as requests at wrong
	// nodes after a start. Nothing is allowed.
	MembershipKnown
	// NodeServing requires that no attempt begins at a node that is draining, removed or at
	// another address than its connection leads to. Guards against a connection that came up, or a
	// buffer that was written, after the change: it shows as requests lost when the node stops. A
	// process that is held up between its clock reading and the write is allowed for.
	NodeServing
	// ClientConnected requires that no attempt begins for a client that has disconnected. Guards
	// against work for nobody, which shows as load on nodes that grows while clients give up.
	// Allowed for disconnectGrace after it was seen.
	ClientConnected
	// WithinDeadline requires that no attempt begins after the client's deadline, or tells its
	// node a timeout beyond it. Guards against work whose response nobody waits for, which shows
	// as nodes that are busy with requests that have ended. A late write is allowed for, and an
	// attempt encoded a moment ago.
	WithinDeadline
	// SafeRetry requires that no attempt begins that could take effect a second time, where the
	// class does not permit that. Guards against a retry beside or after an attempt that may have
	// run, which shows as a write applied twice. What is allowed is in PriorAttempts.
	SafeRetry
	// SingleResponse requires that a request has one final response. Guards against two attempts
	// that both answer, which shows as a client that takes the second response for that of its
	// next request. Nothing is allowed.
	SingleResponse
	// ResponseBeforeClose requires that the gateway closes no connection while a request on it is
	// owed a response. Guards against requests lost in a shutdown or by an idle timeout, which
	// show as resets at clients. Allowed is what UnansweredClose.Allowed says of the client.
	ResponseBeforeClose
	// RuleCount is the number of rules, None among them.
	RuleCount
)

// String returns the value of the rule's label in metrics and logs. These are kept: dashboards
// and alerts select by them.
func (r Rule) String() string {
	return [...]string{
		None:                "none",
		MembershipKnown:     "start",
		NodeServing:         "drain",
		ClientConnected:     "cancelled",
		WithinDeadline:      "deadline",
		SafeRetry:           "repeat",
		SingleResponse:      "answer",
		ResponseBeforeClose: "close",
	}[r]
}

const (
	// maxWriteDelay is how long the process may be held up between reading its clock and the
	// write. It is well within the grace of a drain, which has to cover it.
	maxWriteDelay = 150 * time.Millisecond
	// disconnectGrace is how long after the client disconnected an attempt may be written.
	disconnectGrace = 100 * time.Millisecond
	// maxEncodingAge is how long ago an attempt may have been encoded, with the timeout that was
	// right at that moment.
	maxEncodingAge = 20 * time.Millisecond
)

// tolerance is how much may pass between an event and the write of an attempt that the event
// should have prevented.
type tolerance struct {
	nodeChange  time.Duration // since the node's state changed
	disconnect  time.Duration // since the client disconnected
	deadline    time.Duration // since the client's deadline
	timeout     time.Duration // of the timeout told to the node, beyond the deadline
	retryWindow time.Duration // since the window of an idempotent retry ended
}

var (
	// toleranceBeforeWrite is for an attempt that can still be withheld, so that nothing is
	// allowed but the age of its encoding.
	toleranceBeforeWrite = tolerance{timeout: maxEncodingAge}
	// toleranceAfterWrite is for an attempt that was written, at a time that a delay of the
	// process put off.
	toleranceAfterWrite = tolerance{
		nodeChange:  maxWriteDelay,
		disconnect:  disconnectGrace,
		deadline:    maxWriteDelay,
		timeout:     maxWriteDelay,
		retryWindow: maxWriteDelay,
	}
)

// TimeoutOutdated reports whether an attempt has to be encoded again before it is written, since
// the timeout in it reaches further beyond the deadline than the age of an encoding allows.
func TimeoutOutdated(now, deadline Time, timeout time.Duration) bool {
	return now+timeout > deadline+maxEncodingAge
}

// UnansweredClose is the close of a connection while a request on it is owed its response.
type UnansweredClose struct {
	Request   uint64 // the gateway's number of it
	Unwritten int    // bytes that are queued for the client
	ReadBy    Time   // when the client had to have read more of them, if there are any
}

// Allowed reports whether the client leaves no way to respond: it does not read what it was sent
// before, and has had its time for that. A client that has left is owed nothing, and one that cuts its
// body off gets a status.
func (u *UnansweredClose) Allowed(now Time) bool { return u.Unwritten > 0 && now >= u.ReadBy }

// Attempt is the state of an attempt, and of what it depends on, when its first byte is written.
type Attempt struct {
	Request         uint64 // the gateway's number of the request
	Node            string
	Number          int  // of the attempt, from 0
	MembershipKnown bool // a node list is in force
	// Serving: the node is serving by that list, and the connection leads to its present address
	// and incarnation.
	Serving              bool
	StateChangedAt       Time          // when the node list last changed the node's state
	ClientDisconnectedAt Time          // 0: the client is connected
	Deadline             Time          // the client's
	Timeout              time.Duration // told to the node in the attempt; 0: none
	Prior                PriorAttempts
}

// PriorAttempts is the state of a request's attempts before the one in question.
type PriorAttempts struct {
	Effect     scheduler.Effect // of the request's class
	InFlight   int              // attempts without a result
	MayHaveRun bool             // one of them that ended may have run
	// RetryBefore is when the nodes that deduplicate an idempotent request may forget the first
	// attempt; valid if MayHaveRun.
	RetryBefore Time
	// SameDeduplicationScope: the attempt goes to where the one that may have run is
	// deduplicated; valid if MayHaveRun.
	SameDeduplicationScope bool
}

// allowRetry reports whether a second effect is excluded, or harmless. The attempt is allowed
//   - for a safe request;
//   - where no attempt is in flight and none may have run;
//   - for an idempotent request, where the node deduplicates and still remembers.
func (p *PriorAttempts) allowRetry(now Time) bool {
	if p.Effect == scheduler.Safe {
		return true
	}
	if p.InFlight == 0 && !p.MayHaveRun {
		return true
	}
	return p.Effect == scheduler.Idempotent && p.SameDeduplicationScope && now < p.RetryBefore
}

// check returns the first rule that an attempt violates, and the time that now was compared
// with; 0: none was.
func check(now Time, a *Attempt, allowed *tolerance) (Rule, Time) {
	switch {
	case !a.MembershipKnown:
		return MembershipKnown, 0
	case !a.Serving && now >= a.StateChangedAt+allowed.nodeChange:
		return NodeServing, a.StateChangedAt
	case a.ClientDisconnectedAt > 0 && now >= a.ClientDisconnectedAt+allowed.disconnect:
		return ClientConnected, a.ClientDisconnectedAt
	case now >= a.Deadline+allowed.deadline || now+a.Timeout > a.Deadline+allowed.timeout:
		return WithinDeadline, a.Deadline
	case !a.Prior.allowRetry(now - allowed.retryWindow):
		return SafeRetry, a.Prior.RetryBefore
	}
	return None, 0
}
