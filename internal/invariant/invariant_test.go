package invariant

import (
	"testing"
	"time"

	"maddergap/scheduler"
)

const now = 24 * time.Hour

func good() Attempt {
	return Attempt{Request: 7, Node: "n", MembershipKnown: true, Serving: true, StateChangedAt: now - time.Hour, Deadline: now + time.Second, Timeout: time.Second}
}

// Each rule, broken on purpose: at once it is withheld; once written it counts as broken past
// what a held-up head may take, and not before.
func TestRules(t *testing.T) {
	keyed := PriorAttempts{Effect: scheduler.Idempotent, MayHaveRun: true, SameDeduplicationScope: true, RetryBefore: now + time.Second}
	tests := []struct {
		name   string
		change func(a *Attempt)
		want   Rule
		// broken: it is found so after the fact too
		broken bool
	}{
		{"nothing against it", func(a *Attempt) {}, None, false},
		{"no list", func(a *Attempt) { a.MembershipKnown = false }, MembershipKnown, true},
		{"drains, just notified", func(a *Attempt) { a.Serving, a.StateChangedAt = false, now-100*time.Millisecond }, NodeServing, false},
		{"drains", func(a *Attempt) { a.Serving, a.StateChangedAt = false, now-200*time.Millisecond }, NodeServing, true},
		{"client gone just now", func(a *Attempt) { a.ClientDisconnectedAt = now - 50*time.Millisecond }, ClientConnected, false},
		{"client gone", func(a *Attempt) { a.ClientDisconnectedAt = now - 120*time.Millisecond }, ClientConnected, true},
		{"past its time", func(a *Attempt) { a.Deadline, a.Timeout = now, 0 }, WithinDeadline, false},
		{"long past its time", func(a *Attempt) { a.Deadline, a.Timeout = now-200*time.Millisecond, 0 }, WithinDeadline, true},
		{"was encoded just now", func(a *Attempt) { a.Timeout += 15 * time.Millisecond }, None, false},
		{"tells a little more than is left", func(a *Attempt) { a.Timeout += 100 * time.Millisecond }, WithinDeadline, false},
		{"tells more than is left", func(a *Attempt) { a.Timeout += 200 * time.Millisecond }, WithinDeadline, true},
		{"safe repeat", func(a *Attempt) { a.Prior = PriorAttempts{Effect: scheduler.Safe, MayHaveRun: true, InFlight: 1} }, None, false},
		{"unsafe, none ran", func(a *Attempt) { a.Prior = PriorAttempts{Effect: scheduler.NonIdempotent} }, None, false},
		{"unsafe, may have run", func(a *Attempt) { a.Prior = PriorAttempts{Effect: scheduler.NonIdempotent, MayHaveRun: true} }, SafeRetry, true},
		{"unsafe, still out", func(a *Attempt) { a.Prior = PriorAttempts{Effect: scheduler.NonIdempotent, InFlight: 1} }, SafeRetry, true},
		{"keyed within its window", func(a *Attempt) { a.Prior = keyed }, None, false},
		{"keyed elsewhere", func(a *Attempt) { a.Prior = keyed; a.Prior.SameDeduplicationScope = false }, SafeRetry, true},
		{"keyed just past its window", func(a *Attempt) { a.Prior = keyed; a.Prior.RetryBefore = now - 50*time.Millisecond }, SafeRetry, false},
		{"keyed past its window", func(a *Attempt) { a.Prior = keyed; a.Prior.RetryBefore = now - 200*time.Millisecond }, SafeRetry, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var reports []Violation
			g := Checker{OnViolation: func(v Violation) { reports = append(reports, v) }}
			a := good()
			c.change(&a)
			if got := g.CheckBeforeWrite(now, &a); got != c.want {
				t.Errorf("may begin: %v, want %v", got, c.want)
			}
			found := None
			if c.broken {
				found = c.want
			}
			if got := g.CheckAfterWrite(now, &a); got != found {
				t.Errorf("began: %v, want %v", got, found)
			}
			want := Counts{}
			if c.want != None {
				want.Withheld[c.want] = 1
			}
			if c.broken {
				want.Violated[c.want] = 1
			}
			if got := g.Counts(); got != want {
				t.Errorf("counted %+v, want %+v", got, want)
			}
			if n := len(reports); c.want != None && (n == 0 || reports[0].Request != 7 || reports[0].Node != "n") || c.broken && n != 2 {
				t.Errorf("reported %v", reports)
			}
		})
	}
}

func TestAnswersAndCloses(t *testing.T) {
	var g Checker
	g.RecordDuplicateResponse(now, 7)
	g.RecordUnansweredClose(now, 7)
	if got := g.Counts().Violated; got[SingleResponse] != 1 || got[ResponseBeforeClose] != 1 {
		t.Errorf("%v", got)
	}
}
