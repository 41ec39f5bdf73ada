// Package invariant holds the invariants of what a head does on its connections, apart from the
// module that decides it: when an attempt may begin, when it may be a repeat, that a request
// has one final answer, and that no connection ends without it. It is asked at the one place
// where bytes are handed to a node's connection, and told at the one place where they were
// written. What it withholds and what it finds broken is counted by rule. It is pure.
package invariant

import (
	"fmt"
	"time"

	"maddergap/scheduler"
)

// Time is a reading of the head's monotonic clock.
type Time = scheduler.Time

// Rule is an invariant.
type Rule uint8

// RuleCount. None is that of an attempt which may begin.
const (
	None                Rule = iota
	MembershipKnown          // nothing is sent before a node list is in force
	NodeServing              // nothing begins at a node that drains, is removed, or moved
	ClientConnected          // nothing begins for a client that has gone
	WithinDeadline           // nothing begins after the client's time, or tells a node more than is left
	SafeRetry                // nothing runs twice that may not
	SingleResponse           // a request has one final answer
	ResponseBeforeClose      // no connection is ended while a request on it is owed one
	RuleCount                // how many there are
)

func (r Rule) String() string {
	return [...]string{"none", "start", "drain", "cancelled", "deadline", "repeat", "answer", "close"}[r]
}

// What may pass between an event and the write that it should have stopped. The bounds of the
// acceptance are wider by what passed before the head was notified.
const (
	// heldUp is for how long a head may be held up between reading its clock and writing.
	heldUp = 150 * time.Millisecond
	// cancelGrace is after a client has gone.
	cancelGrace = 100 * time.Millisecond
	// encodedFor is how long ago an attempt may have been encoded, with the time then left.
	encodedFor = 20 * time.Millisecond
)

// allowance is what may pass between an event and the write.
type allowance struct{ drain, cancel, due, timeout, window time.Duration }

var (
	beforeWrite = allowance{timeout: encodedFor}
	afterWrite  = allowance{drain: heldUp, cancel: cancelGrace, due: heldUp, timeout: heldUp, window: heldUp}
)

// TimeoutOutdated tells whether an attempt has to be encoded anew before it is written, as it tells
// its node clearly more time than is left.
func TimeoutOutdated(now, due Time, timeout time.Duration) bool { return now+timeout > due+encodedFor }

// Attempt is what is known of an attempt when its first byte goes out.
type Attempt struct {
	Request uint64 // the head's number of it
	Node    string
	Number  int // from 0
	// MembershipKnown: a node list was had. Serving: the node serves by it, and the connection leads to
	// its present address and life; Changed is when the head was notified of its state.
	MembershipKnown      bool
	Serving              bool
	StateChangedAt       Time
	ClientDisconnectedAt Time // when the client was seen to go, 0: it is there
	Deadline             Time // when the client's time is over
	Timeout              time.Duration
	Prior                PriorAttempts
}

// PriorAttempts is what became of the attempts before it.
type PriorAttempts struct {
	Effect                 scheduler.Effect
	InFlight               int  // attempts that are still out
	MayHaveRun             bool // one may have run
	RetryBefore            Time // a keyed repeat begins before that
	SameDeduplicationScope bool // the node drops repeats of the one that may have run
}

// allowRetry tells whether the attempt can run without running twice.
func (e *PriorAttempts) allowRetry(now Time) bool {
	switch {
	case e.Effect == scheduler.Safe:
		return true
	case e.InFlight > 0:
		return e.Effect == scheduler.Idempotent && e.SameDeduplicationScope && now < e.RetryBefore
	case !e.MayHaveRun:
		return true
	}
	return e.Effect == scheduler.Idempotent && e.SameDeduplicationScope && now < e.RetryBefore
}

// Violation is an invariant that was broken, or would have been.
type Violation struct {
	Rule      Rule
	Withheld  bool // nothing of it went out
	Request   uint64
	RequestID string // the client's name for the request, filled in by the head
	Node      string
	Attempt   int
	Now       Time
	Limit     Time // the time that it was held against, 0: none
}

func (v Violation) String() string {
	return fmt.Sprintf("%v: request %d %s, node %s, attempt %d, at %v, limit %v", v.Rule, v.Request, v.RequestID, v.Node, v.Attempt, v.Now, v.Limit)
}

// Counts are sums by rule.
type Counts struct {
	Withheld [RuleCount]uint64 // attempts that were not begun
	Violated [RuleCount]uint64 // found after the fact
}

// Checker counts what it is asked and told. The zero value is ready.
type Checker struct {
	counts Counts
	// OnViolation is told of each violation, and of each attempt that was withheld; nil: nobody is.
	OnViolation func(Violation)
}

// Counts returns the sums.
func (g *Checker) Counts() Counts { return g.counts }

// CheckBeforeWrite tells whether the first byte of an attempt may go out now, or the rule against it.
// Guards against whatever came to pass between the decision to send and the write: a
// connection that came up late, one whose buffer was full, a list, a client that left.
func (g *Checker) CheckBeforeWrite(now Time, a *Attempt) Rule {
	rule, limit := check(now, a, &beforeWrite)
	if rule != None {
		g.counts.Withheld[rule]++
		g.report(Violation{Rule: rule, Withheld: true, Request: a.Request, Node: a.Node, Attempt: a.Number, Now: now, Limit: limit})
	}
	return rule
}

// CheckAfterWrite tells that the first byte of an attempt was written, and returns the rule that it
// broke, allowing for a head that is held up.
func (g *Checker) CheckAfterWrite(now Time, a *Attempt) Rule {
	rule, limit := check(now, a, &afterWrite)
	if rule != None {
		g.broke(Violation{Rule: rule, Request: a.Request, Node: a.Node, Attempt: a.Number, Now: now, Limit: limit})
	}
	return rule
}

// check returns the first rule against an attempt and the time it is held against.
func check(now Time, a *Attempt, allowed *allowance) (Rule, Time) {
	switch {
	case !a.MembershipKnown:
		return MembershipKnown, 0
	case !a.Serving && now >= a.StateChangedAt+allowed.drain:
		return NodeServing, a.StateChangedAt
	case a.ClientDisconnectedAt > 0 && now >= a.ClientDisconnectedAt+allowed.cancel:
		return ClientConnected, a.ClientDisconnectedAt
	case now >= a.Deadline+allowed.due || now+a.Timeout > a.Deadline+allowed.timeout:
		return WithinDeadline, a.Deadline
	case !a.Prior.allowRetry(now - allowed.window):
		return SafeRetry, a.Prior.RetryBefore
	}
	return None, 0
}

// RecordDuplicateResponse tells that a request was given a second final answer.
func (g *Checker) RecordDuplicateResponse(now Time, request uint64) {
	g.broke(Violation{Rule: SingleResponse, Request: request, Now: now})
}

// RecordUnansweredClose tells that the head ended a connection while a request on it was owed its
// answer.
func (g *Checker) RecordUnansweredClose(now Time, request uint64) {
	g.broke(Violation{Rule: ResponseBeforeClose, Request: request, Now: now})
}

func (g *Checker) broke(v Violation) {
	g.counts.Violated[v.Rule]++
	g.report(v)
}

func (g *Checker) report(v Violation) {
	if g.OnViolation != nil {
		g.OnViolation(v)
	}
}
