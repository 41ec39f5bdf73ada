// Package invariant checks the actions of a gateway on its connections against rules that must hold
// whatever the scheduler decides. The rules say when an attempt may begin, when a retry is allowed,
// that a request gets one final response, and that no connection is closed before it. The checks are
// independent of the scheduler and share no code with it, so that a fault of the scheduler, or of the
// code between its decision and the socket, is detected here and not by a client.
//
// The gateway calls CheckBeforeWrite when the scheduler has decided on an attempt, and again in the one
// place where bytes are passed to a node's connection. It calls CheckAfterWrite in the one place that
// learns that they were written. The package does no I/O and reads no clock.
//
// rules.go holds the rules; checker.go counts and reports violations.
package invariant

import (
	"time"

	"maddergap/scheduler"
)

// Time is a reading of the gateway's monotonic clock.
type Time = scheduler.Time

// Rule is an invariant. The comment on each constant says which failure the rule guards against, by
// which symptom that failure shows, and which exceptions the rule allows.
type Rule uint8

const (
	// None means that no rule was violated.
	None Rule = iota
	// MembershipKnown requires that no attempt begins before the gateway has a node list. It guards
	// against sending to addresses that come from no node list, which shows as requests at wrong
	// nodes after a start. There are no exceptions.
	MembershipKnown
	// NodeServing requires that no attempt begins at a node that is draining or removed, or on a
	// connection to a previous address or incarnation of the node. It guards against a connection
	// that was established, or a buffer that was written, after the change, which shows as requests
	// lost when the node stops. After a write, the rule tolerates a delay of the process between its
	// clock reading and the write.
	NodeServing
	// ClientConnected requires that no attempt begins for a client that has disconnected. It guards
	// against useless work, which shows as load on the nodes that grows while clients give up. After
	// a write, the rule tolerates a disconnection that is less than disconnectGrace ago.
	ClientConnected
	// WithinDeadline requires that no attempt begins after the client's deadline, or sends its node
	// a timeout that ends after the deadline. It guards against work whose response no client waits
	// for, which shows as nodes that are busy with requests that have ended. The rule tolerates a
	// timeout that was encoded at most maxEncodingAge before and, after a write, a late write.
	WithinDeadline
	// SafeRetry requires that no attempt begins that could take effect a second time, unless the
	// class permits that. It guards against a retry during or after an attempt that may have run,
	// which shows as a write that is applied twice. PriorAttempts.allowsRetry lists the exceptions;
	// after a write, the rule also tolerates a late write.
	SafeRetry
	// SingleResponse requires that a request gets at most one final response. It guards against two
	// attempts that both respond, which shows as a client that takes the second response for the
	// response to its next request. There are no exceptions.
	SingleResponse
	// ResponseBeforeClose requires that the gateway closes no connection while the response to a
	// request on it is due. It guards against requests lost in a shutdown or by an idle timeout,
	// which show as connection resets at clients. UnansweredClose.Allowed defines the exception.
	ResponseBeforeClose
	// RuleCount is the number of rules, including None.
	RuleCount
)

// String returns the value of the rule's label in metrics and logs. The values must not change,
// because dashboards and alerts select by them.
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
	// maxWriteDelay is the longest tolerated delay between the clock reading and the write. The grace
	// period of draining nodes must cover this delay and is well above it.
	maxWriteDelay = 150 * time.Millisecond
	// disconnectGrace is the time after a client's disconnection within which an attempt may still
	// be written.
	disconnectGrace = 100 * time.Millisecond
	// maxEncodingAge is the longest tolerated time between the encoding of an attempt and its write.
	// The encoded attempt contains the timeout as of its encoding.
	maxEncodingAge = 20 * time.Millisecond
)

// tolerance holds, for each event that forbids an attempt, the time after it within which the write
// of the attempt is still allowed.
type tolerance struct {
	nodeChange  time.Duration // time since the node's state changed
	disconnect  time.Duration // time since the client disconnected
	deadline    time.Duration // time since the client's deadline
	timeout     time.Duration // time by which the timeout sent to the node may exceed the deadline
	retryWindow time.Duration // time since the deduplication window of an idempotent request ended
}

var (
	// toleranceBeforeWrite applies to an attempt that can still be withheld. Only the age of its
	// encoding is tolerated.
	toleranceBeforeWrite = tolerance{timeout: maxEncodingAge}
	// toleranceAfterWrite applies to an attempt that was written, possibly late because the process
	// was delayed.
	toleranceAfterWrite = tolerance{
		nodeChange:  maxWriteDelay,
		disconnect:  disconnectGrace,
		deadline:    maxWriteDelay,
		timeout:     maxWriteDelay,
		retryWindow: maxWriteDelay,
	}
)

// TimeoutOutdated reports whether an attempt must be encoded again before it is written, because its
// timeout would end more than maxEncodingAge after the deadline.
func TimeoutOutdated(now, deadline Time, timeout time.Duration) bool {
	return now+timeout > deadline+maxEncodingAge
}

// UnansweredClose describes the close of a connection while the response to a request on it is due.
type UnansweredClose struct {
	Request      uint64 // the gateway's number of the request
	Unwritten    int    // number of bytes queued for the client
	ReadDeadline Time   // deadline for the client to read more of the queued bytes; valid if Unwritten > 0
}

// Allowed reports whether the gateway cannot respond because the client does not read earlier output
// and its time for that has passed. Other clients need no exception: for a client that has
// disconnected no response is due, and a client that cuts off its request body gets an error status.
func (u *UnansweredClose) Allowed(now Time) bool { return u.Unwritten > 0 && now >= u.ReadDeadline }

// Attempt describes an attempt, and the state of its node, client and request, at the time of a check.
type Attempt struct {
	Request         uint64 // the gateway's number of the request
	Node            string // name of the node
	Number          int    // number of the attempt, counted from 0
	MembershipKnown bool   // true once the gateway has a node list
	// Serving is true if the node is serving according to the node list and the connection, if there
	// is one, leads to the node's current address and incarnation.
	Serving              bool
	StateChangedAt       Time          // time at which the node's state, address or incarnation last changed
	ClientDisconnectedAt Time          // 0 while the client is connected
	Deadline             Time          // the client's deadline
	Timeout              time.Duration // timeout sent to the node with the attempt; 0 if none
	Prior                PriorAttempts
}

// PriorAttempts describes the earlier attempts of the request that an Attempt belongs to.
type PriorAttempts struct {
	Effect     scheduler.Effect // effect of the request's class
	InFlight   int              // number of earlier attempts that have not ended
	MayHaveRun bool             // true if an earlier attempt has ended and may have run
	// RetryBefore is the end of the deduplication window: from then on, nodes may have forgotten the
	// attempt that may have run. It is valid if MayHaveRun is set and the effect is Idempotent.
	RetryBefore Time
	// SameDeduplicationScope is true if the new attempt's node is in the same deduplication scope as
	// the node of the attempt that may have run. It is valid if MayHaveRun is set and the effect is
	// Idempotent.
	SameDeduplicationScope bool
}

// allowsRetry reports whether a new attempt cannot take effect a second time, or does no harm if it
// does. The attempt is allowed
//   - if the effect of the request is Safe;
//   - if no earlier attempt is in flight and none may have run;
//   - if the effect is Idempotent, the new attempt's node is in the same deduplication scope and the
//     deduplication window has not ended.
func (p *PriorAttempts) allowsRetry(now Time) bool {
	if p.Effect == scheduler.Safe {
		return true
	}
	if p.InFlight == 0 && !p.MayHaveRun {
		return true
	}
	return p.Effect == scheduler.Idempotent && p.SameDeduplicationScope && now < p.RetryBefore
}

// checkAttempt returns the first rule that an attempt violates, or None, and the time that now was
// compared with, 0 if there was none.
func checkAttempt(now Time, a *Attempt, allowed *tolerance) (Rule, Time) {
	switch {
	case !a.MembershipKnown:
		return MembershipKnown, 0
	case !a.Serving && now >= a.StateChangedAt+allowed.nodeChange:
		return NodeServing, a.StateChangedAt
	case a.ClientDisconnectedAt > 0 && now >= a.ClientDisconnectedAt+allowed.disconnect:
		return ClientConnected, a.ClientDisconnectedAt
	case now >= a.Deadline+allowed.deadline || now+a.Timeout > a.Deadline+allowed.timeout:
		return WithinDeadline, a.Deadline
	case !a.Prior.allowsRetry(now - allowed.retryWindow):
		return SafeRetry, a.Prior.RetryBefore
	}
	return None, 0
}
