package invariant

import (
	"testing"
	"time"

	"maddergap/scheduler"
)

const now = 24 * time.Hour

// permittedAttempt violates no rule.
func permittedAttempt() Attempt {
	return Attempt{Request: 7, Node: "n", MembershipKnown: true, Serving: true, StateChangedAt: now - time.Hour, Deadline: now + time.Second, Timeout: time.Second}
}

// ruleTest is an attempt that violates a rule, or just does not.
type ruleTest struct {
	name   string
	change func(a *Attempt) // of a permitted attempt
	want   Rule             // before the write
	// violated: want is violated after the write as well, past the tolerance for a late write.
	violated bool
}

func ruleTests() []ruleTest {
	idempotent := PriorAttempts{Effect: scheduler.Idempotent, MayHaveRun: true, SameDeduplicationScope: true, RetryBefore: now + time.Second}
	return []ruleTest{
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

// Each rule is violated on purpose. Before the write the attempt is withheld at once. After the
// write it counts as a violation only past what a process that was held up may take.
func TestRules(t *testing.T) {
	for _, test := range ruleTests() {
		t.Run(test.name, func(t *testing.T) {
			var reports []Violation
			checker := Checker{OnViolation: func(v Violation) { reports = append(reports, v) }}
			attempt := permittedAttempt()
			test.change(&attempt)
			if got := checker.CheckBeforeWrite(now, &attempt); got != test.want {
				t.Errorf("before the write: %v, want %v", got, test.want)
			}
			wantAfter := None
			if test.violated {
				wantAfter = test.want
			}
			if got := checker.CheckAfterWrite(now, &attempt); got != wantAfter {
				t.Errorf("after the write: %v, want %v", got, wantAfter)
			}
			wantCounts := Counts{}
			if test.want != None {
				wantCounts.Withheld[test.want] = 1
			}
			if test.violated {
				wantCounts.Violated[test.want] = 1
			}
			if got := checker.Counts(); got != wantCounts {
				t.Errorf("counted %+v, want %+v", got, wantCounts)
			}
			if n := len(reports); test.want != None && (n == 0 || reports[0].Request != 7 || reports[0].Node != "n") || test.violated && n != 2 {
				t.Errorf("reported %v", reports)
			}
		})
	}
}

func TestDuplicateResponseAndUnansweredClose(t *testing.T) {
	var checker Checker
	checker.RecordDuplicateResponse(now, 7)
	checker.RecordUnansweredClose(now, 7)
	if got := checker.Counts().Violated; got[SingleResponse] != 1 || got[ResponseBeforeClose] != 1 {
		t.Errorf("%v", got)
	}
}

// The labels are part of the metrics: dashboards and alerts select by them.
func TestRuleLabels(t *testing.T) {
	want := map[Rule]string{None: "none", MembershipKnown: "start", NodeServing: "drain", ClientConnected: "cancelled",
		WithinDeadline: "deadline", SafeRetry: "repeat", SingleResponse: "answer", ResponseBeforeClose: "close"}
	for rule := range RuleCount {
		if rule.String() != want[rule] || want[rule] == "" {
			t.Errorf("rule %d is %q, want %q", rule, rule, want[rule])
		}
	}
}
