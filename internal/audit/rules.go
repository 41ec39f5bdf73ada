package audit

import (
	"fmt"
	"strings"
)

// Rule is a rule that a run is judged by. Its value is the number by which the users' pages and
// the report name it. Its comment says what is allowed.
type Rule int

// The rules. Where package invariant has the same rule at the gateway's own write, it has the
// same name there.
const (
	// RuleSingleResponse requires that a request has one final response, by its deadline and
	// LateTolerance, and that no attempt begins after it, after the client disconnected (by
	// DisconnectGrace), or with a timeout beyond the deadline (by TimeoutTolerance).
	RuleSingleResponse Rule = iota + 1
	// RuleSafeRetry requires that no request takes effect twice where its class does not permit
	// that. A retry is allowed for a safe request, after an attempt that its node did not
	// execute, and for an idempotent one within the deduplication window.
	RuleSafeRetry
	// RuleNodeServing requires that no attempt is sent to a node that drains, or is gone, past
	// DrainGrace.
	RuleNodeServing
	// RuleSlowStart requires that a node that is warming up is sent no more than it bears, by
	// Input.SlowStart, and that none fails.
	RuleSlowStart
	// RuleKeyOrder requires that requests of an ordered key are executed one at a time, in the
	// order in which they were sent.
	RuleKeyOrder
	// RuleRetryBudget requires that an instance's retries stay within its budget in any window.
	RuleRetryBudget
	// RuleTenantLimit requires that the first attempts of a volume, from all instances together,
	// stay within the limit of its plan and its slack.
	RuleTenantLimit
	ruleEnd
)

// ruleTexts are the rules' columns in the report.
var ruleTexts = [ruleEnd]struct {
	name string
	unit string // of Verdict.Figure and Verdict.Bound
}{
	RuleSingleResponse: {"one final answer in time", "requests without, or with another"},
	RuleSafeRetry:      {"no effect twice", "unsafe repeats or false refusals"},
	RuleNodeServing:    {"drains kept", "ms past being told, of the last send"},
	RuleSlowStart:      {"cold nodes not pushed over", "x what the node can do, in any window"},
	RuleKeyOrder:       {"order kept", "requests beside or before their turn"},
	RuleRetryBudget:    {"attempt budget", "x the budget, in any window"},
	RuleTenantLimit:    {"limits with their slack", "x the bucket with its slack, at the fullest"},
}

// String returns the rule's name in the report.
func (r Rule) String() string {
	if r <= 0 || r >= ruleEnd {
		return "unknown"
	}
	return ruleTexts[r].name
}

// unit is what a Verdict's Figure and Bound count.
func (r Rule) unit() string { return ruleTexts[r].unit }

// maxExamples bounds the violations that a verdict keeps.
const maxExamples = 3

// Verdict is what became of a rule in a run.
type Verdict struct {
	Rule Rule
	// Figure is the worst that was measured, and Bound the limit for it; both in the rule's unit
	// and without tolerances. A rule is violated by Violations alone.
	Figure     float64
	Bound      float64
	Violations int         // how many were found
	Examples   []Violation // the first maxExamples found
}

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule
	Subject string // trace id, node, instance, order key or volume that it is about
	Detail  string
}

// String returns the violation as a line of the report.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d: %s", v.Rule, strings.TrimSpace(v.Detail))
}

// violated counts a violation about a subject.
func (v *Verdict) violated(subject, format string, args ...any) {
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, Violation{Rule: v.Rule, Subject: subject, Detail: fmt.Sprintf(format, args...)})
	}
}
