package invariant

import (
	"testing"
	"time"

	"maddergap/scheduler"
)

const now = 24 * time.Hour

// allowedAttempt returns an attempt that violates no rule.
func allowedAttempt() Attempt {
	return Attempt{Request: 7, Node: "n", MembershipKnown: true, Serving: true, StateChangedAt: now - time.Hour, Deadline: now + time.Second, Timeout: time.Second}
}

// ruleCase is an attempt that violates a rule or is close to violating one.
type ruleCase struct {
	name   string
	change func(a *Attempt) // turns an allowed attempt into that of the test case
	want   Rule             // expected result of the check before the write
	// violatesAfterWrite is true if the check after the write, which tolerates a delay, also returns want.
	violatesAfterWrite bool
}

func ruleCases() []ruleCase {
	idempotent := PriorAttempts{Effect: scheduler.Idempotent, MayHaveRun: true, SameDeduplicationScope: true, RetryBefore: now + time.Second}
	return []ruleCase{
		{"permitted", func(a *Attempt) {}, None, false},
		{"no node list", func(a *Attempt) { a.MembershipKnown = false }, MembershipKnown, true},
		{"draining for a moment", func(a *Attempt) { a.Serving, a.StateChangedAt = false, now-100*time.Millisecond }, NodeServing, false},
		{"draining", func(a *Attempt) { a.Serving, a.StateChangedAt = false, now-200*time.Millisecond }, NodeServing, true},
		{"client disconnected a moment ago", func(a *Attempt) { a.ClientDisconnectedAt = now - 50*time.Millisecond }, ClientConnected, false},
		{"client disconnected", func(a *Attempt) { a.ClientDisconnectedAt = now - 120*time.Millisecond }, ClientConnected, true},
		{"at the deadline", func(a *Attempt) { a.Deadline, a.Timeout = now, 0 }, WithinDeadline, false},
		{"long past the deadline", func(a *Attempt) { a.Deadline, a.Timeout = now-200*time.Millisecond, 0 }, WithinDeadline, true},
		{"encoded a moment ago", func(a *Attempt) { a.Timeout += 15 * time.Millisecond }, None, false},
		{"timeout a little beyond the deadline", func(a *Attempt) { a.Timeout += 100 * time.Millisecond }, WithinDeadline, false},
		{"timeout beyond the deadline", func(a *Attempt) { a.Timeout += 200 * time.Millisecond }, WithinDeadline, true},
		{"safe retry", func(a *Attempt) { a.Prior = PriorAttempts{Effect: scheduler.Safe, MayHaveRun: true, InFlight: 1} }, None, false},
		{"non-idempotent, none ran", func(a *Attempt) { a.Prior = PriorAttempts{Effect: scheduler.NonIdempotent} }, None, false},
		{"non-idempotent, one may have run", func(a *Attempt) { a.Prior = PriorAttempts{Effect: scheduler.NonIdempotent, MayHaveRun: true} }, SafeRetry, true},
		{"non-idempotent, one in flight", func(a *Attempt) { a.Prior = PriorAttempts{Effect: scheduler.NonIdempotent, InFlight: 1} }, SafeRetry, true},
		{"idempotent within its window", func(a *Attempt) { a.Prior = idempotent }, None, false},
		{"idempotent in another scope", func(a *Attempt) { a.Prior = idempotent; a.Prior.SameDeduplicationScope = false }, SafeRetry, true},
		{"idempotent just past its window", func(a *Attempt) { a.Prior = idempotent; a.Prior.RetryBefore = now - 50*time.Millisecond }, SafeRetry, false},
		{"idempotent past its window", func(a *Attempt) { a.Prior = idempotent; a.Prior.RetryBefore = now - 200*time.Millisecond }, SafeRetry, true},
	}
}

// Verifies that each rule is checked. Before the write an attempt that would violate a rule is withheld.
// After the write a violation counts only if it exceeds the tolerance for a delayed process.
func TestRules(t *testing.T) {
	for _, test := range ruleCases() {
		t.Run(test.name, func(t *testing.T) {
			var reports []Violation
			checker := Checker{OnViolation: func(v Violation) { reports = append(reports, v) }}
			attempt := allowedAttempt()
			test.change(&attempt)
			if got := checker.CheckBeforeWrite(now, &attempt); got != test.want {
				t.Errorf("before the write: %v, want %v", got, test.want)
			}
			wantAfter := None
			if test.violatesAfterWrite {
				wantAfter = test.want
			}
			if got := checker.CheckAfterWrite(now, &attempt); got != wantAfter {
				t.Errorf("after the write: %v, want %v", got, wantAfter)
			}
			wantCounts := Counts{}
			if test.want != None {
				wantCounts.Withheld[test.want] = 1
			}
			if test.violatesAfterWrite {
				wantCounts.Violated[test.want] = 1
			}
			if got := checker.Counts(); got != wantCounts {
				t.Errorf("counted %+v, want %+v", got, wantCounts)
			}
			if n := len(reports); test.want != None && (n == 0 || reports[0].Request != 7 || reports[0].Node != "n") || test.violatesAfterWrite && n != 2 {
				t.Errorf("wrong reports: %v", reports)
			}
		})
	}
}

// Verifies that the violations recorded by the gateway are counted under their rule.
func TestDuplicateResponseAndUnansweredClose(t *testing.T) {
	var checker Checker
	checker.RecordDuplicateResponse(now, 7)
	checker.RecordUnansweredClose(now, 7)
	if got := checker.Counts().Violated; got[SingleResponse] != 1 || got[ResponseBeforeClose] != 1 {
		t.Errorf("%v", got)
	}
}

// Verifies the labels of the rules, which are part of the metrics: dashboards and alerts select by them.
func TestRuleLabels(t *testing.T) {
	want := map[Rule]string{None: "none", MembershipKnown: "start", NodeServing: "drain", ClientConnected: "cancelled",
		WithinDeadline: "deadline", SafeRetry: "repeat", SingleResponse: "answer", ResponseBeforeClose: "close"}
	for rule := range RuleCount {
		if rule.String() != want[rule] || want[rule] == "" {
			t.Errorf("rule %d is %q, want %q", rule, rule, want[rule])
		}
	}
}
