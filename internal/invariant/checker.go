package invariant

import "fmt"

// Violation describes a violation of a rule, or an attempt that was withheld to prevent one.
type Violation struct {
	Rule      Rule
	Withheld  bool   // true if the attempt was withheld, so that the rule was not violated
	Request   uint64 // the gateway's number of the request
	RequestID string // the client's ID of the request, or the gateway's if it has none; set by the gateway
	Node      string // node of the attempt; "" if the rule does not concern attempts
	Attempt   int    // number of the attempt, counted from 0
	Now       Time   // time of the check
	Limit     Time   // the time that Now was compared with; 0 if there was none
}

func (v Violation) String() string {
	return fmt.Sprintf("%v: request %d %s, node %s, attempt %d, at %v, limit %v", v.Rule, v.Request, v.RequestID, v.Node, v.Attempt, v.Now, v.Limit)
}

// Counts holds totals by rule since the gateway's start.
type Counts struct {
	Withheld [RuleCount]uint64 // attempts that were withheld
	Violated [RuleCount]uint64 // violations; each is a fault of the gateway
}

// Checker checks the rules, and counts and reports violations and withheld attempts. The zero value
// is ready to use. A Checker is not safe for concurrent use.
type Checker struct {
	counts Counts
	// OnViolation, if not nil, is called for each violation and each withheld attempt. The call is
	// made synchronously by the method that found it.
	OnViolation func(Violation)
}

// Counts returns the totals so far.
func (c *Checker) Counts() Counts { return c.counts }

// CheckBeforeWrite returns the rule that an attempt would violate if its first byte was written now,
// or None. Unless the result is None, the caller must withhold the attempt. The check guards against
// events between the decision to send and the write: a connection that was established late, a full
// socket buffer, a change of the node list, a client that disconnected.
func (c *Checker) CheckBeforeWrite(now Time, a *Attempt) Rule {
	rule, limit := checkAttempt(now, a, &toleranceBeforeWrite)
	if rule != None {
		c.counts.Withheld[rule]++
		c.report(newViolation(a, rule, now, limit, true))
	}
	return rule
}

// CheckAfterWrite must be called after the first byte of an attempt was written. It returns the rule
// that was violated, or None. It tolerates a delay of the process between its clock reading and the
// write.
func (c *Checker) CheckAfterWrite(now Time, a *Attempt) Rule {
	rule, limit := checkAttempt(now, a, &toleranceAfterWrite)
	if rule != None {
		c.recordViolation(newViolation(a, rule, now, limit, false))
	}
	return rule
}

// RecordDuplicateResponse records that a request got a second final response.
func (c *Checker) RecordDuplicateResponse(now Time, request uint64) {
	c.recordViolation(Violation{Rule: SingleResponse, Request: request, Now: now})
}

// CheckUnansweredClose must be called when the gateway closes a connection while the response to a
// request on it is due. It records a violation unless the close is allowed.
func (c *Checker) CheckUnansweredClose(now Time, u *UnansweredClose) {
	if !u.Allowed(now) {
		c.RecordUnansweredClose(now, u.Request)
	}
}

// RecordUnansweredClose records that the gateway closed a connection while the response to a request
// on it was due.
func (c *Checker) RecordUnansweredClose(now Time, request uint64) {
	c.recordViolation(Violation{Rule: ResponseBeforeClose, Request: request, Now: now})
}

// newViolation returns the Violation of a rule by an attempt.
func newViolation(a *Attempt, rule Rule, now, limit Time, withheld bool) Violation {
	return Violation{Rule: rule, Withheld: withheld, Request: a.Request, Node: a.Node, Attempt: a.Number, Now: now, Limit: limit}
}

// recordViolation counts and reports a violation.
func (c *Checker) recordViolation(v Violation) {
	c.counts.Violated[v.Rule]++
	c.report(v)
}

func (c *Checker) report(v Violation) {
	if c.OnViolation != nil {
		c.OnViolation(v)
	}
}
