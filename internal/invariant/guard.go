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

// Rules. None is that of an attempt which may begin.
const (
	None      Rule = iota
	Start          // nothing is sent before a node list is in force
	Drain          // nothing begins at a node that drains, is removed, or moved
	Cancelled      // nothing begins for a client that has gone
	Deadline       // nothing begins after the client's time, or tells a node more than is left
	Repeat         // nothing runs twice that may not
	Answer         // a request has one final answer
	Close          // no connection is ended while a request on it is owed one
	Rules          // how many there are
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

// Outdated tells whether an attempt has to be encoded anew before it is written, as it tells
// its node clearly more time than is left.
func Outdated(now, due Time, timeout time.Duration) bool { return now+timeout > due+encodedFor }

// Attempt is what is known of an attempt when its first byte goes out.
type Attempt struct {
	Request uint64 // the head's number of it
	Node    string
	Number  int // from 0
	// InForce: a node list was had. Serving: the node serves by it, and the connection leads to
	// its present address and life; Changed is when the head was notified of its state.
	InForce    bool
	Serving    bool
	Changed    Time
	ClientLeft Time // when the client was seen to go, 0: it is there
	Deadline   Time // when the client's time is over
	Timeout    time.Duration
	Earlier    Earlier
}

// Earlier is what became of the attempts before it.
type Earlier struct {
	Effect  scheduler.Effect
	Out     int  // attempts that are still out
	Ran     bool // one may have run
	Until   Time // a keyed repeat begins before that
	Grouped bool // the node drops repeats of the one that may have run
}

// mayRepeat tells whether the attempt can run without running twice.
func (e *Earlier) mayRepeat(now Time) bool {
	switch {
	case e.Effect == scheduler.Safe:
		return true
	case e.Out > 0:
		return e.Effect == scheduler.Keyed && e.Grouped && now < e.Until
	case !e.Ran:
		return true
	}
	return e.Effect == scheduler.Keyed && e.Grouped && now < e.Until
}

// Violation is an invariant that was broken, or would have been.
type Violation struct {
	Rule     Rule
	Withheld bool // nothing of it went out
	Request  uint64
	Name     string // the client's name for the request, filled in by the head
	Node     string
	Attempt  int
	Now      Time
	Limit    Time // the time that it was held against, 0: none
}

func (v Violation) String() string {
	return fmt.Sprintf("%v: request %d %s, node %s, attempt %d, at %v, limit %v", v.Rule, v.Request, v.Name, v.Node, v.Attempt, v.Now, v.Limit)
}

// Counts are sums by rule.
type Counts struct {
	Withheld [Rules]uint64 // attempts that were not begun
	Broken   [Rules]uint64 // found after the fact
}

// Guard counts what it is asked and told. The zero value is ready.
type Guard struct {
	counts Counts
	// Report is told of each violation, and of each attempt that was withheld; nil: nobody is.
	Report func(Violation)
}

// Counts returns the sums.
func (g *Guard) Counts() Counts { return g.counts }

// MayBegin tells whether the first byte of an attempt may go out now, or the rule against it.
// Guards against whatever came to pass between the decision to send and the write: a
// connection that came up late, one whose buffer was full, a list, a client that left.
func (g *Guard) MayBegin(now Time, a *Attempt) Rule {
	rule, limit := check(now, a, &beforeWrite)
	if rule != None {
		g.counts.Withheld[rule]++
		g.report(Violation{Rule: rule, Withheld: true, Request: a.Request, Node: a.Node, Attempt: a.Number, Now: now, Limit: limit})
	}
	return rule
}

// Began tells that the first byte of an attempt was written, and returns the rule that it
// broke, allowing for a head that is held up.
func (g *Guard) Began(now Time, a *Attempt) Rule {
	rule, limit := check(now, a, &afterWrite)
	if rule != None {
		g.broke(Violation{Rule: rule, Request: a.Request, Node: a.Node, Attempt: a.Number, Now: now, Limit: limit})
	}
	return rule
}

// check returns the first rule against an attempt and the time it is held against.
func check(now Time, a *Attempt, allowed *allowance) (Rule, Time) {
	switch {
	case !a.InForce:
		return Start, 0
	case !a.Serving && now >= a.Changed+allowed.drain:
		return Drain, a.Changed
	case a.ClientLeft > 0 && now >= a.ClientLeft+allowed.cancel:
		return Cancelled, a.ClientLeft
	case now >= a.Deadline+allowed.due || now+a.Timeout > a.Deadline+allowed.timeout:
		return Deadline, a.Deadline
	case !a.Earlier.mayRepeat(now - allowed.window):
		return Repeat, a.Earlier.Until
	}
	return None, 0
}

// AnsweredAgain tells that a request was given a second final answer.
func (g *Guard) AnsweredAgain(now Time, request uint64) {
	g.broke(Violation{Rule: Answer, Request: request, Now: now})
}

// ClosedUnanswered tells that the head ended a connection while a request on it was owed its
// answer.
func (g *Guard) ClosedUnanswered(now Time, request uint64) {
	g.broke(Violation{Rule: Close, Request: request, Now: now})
}

func (g *Guard) broke(v Violation) {
	g.counts.Broken[v.Rule]++
	g.report(v)
}

func (g *Guard) report(v Violation) {
	if g.Report != nil {
		g.Report(v)
	}
}
