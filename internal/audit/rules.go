package audit

import (
	"fmt"
	"strings"
)

// Rule is a rule that a run is judged by. Its value is the number of the rule in the user documentation
// and in the report. The comment of each rule says what is allowed.
type Rule int

// The rules. Package invariant checks some of them within the gateway, under the same names without the
// prefix Rule.
const (
	// RuleSingleResponse requires that a request gets one final response, at most LateTolerance after
	// its deadline. No attempt may begin after the response, or later than DisconnectGrace after the
	// client disconnected. The timeout that an attempt carries may extend at most TimeoutTolerance
	// beyond the deadline.
	RuleSingleResponse Rule = iota + 1
	// RuleSafeRetry requires that a request is executed twice only if its class permits that. A retry
	// is allowed for a safe request, after an attempt that the node did not execute, and for an
	// idempotent request within the deduplication window.
	RuleSafeRetry
	// RuleNodeServing requires that no attempt is sent to a node later than DrainGrace after the notice
	// that the node drains or was removed.
	RuleNodeServing
	// RuleSlowStart requires that a node that is warming up is not sent more work than Input.SlowStart
	// allows, and that no node fails from overload.
	RuleSlowStart
	// RuleKeyOrder requires that the requests of an order key are executed one at a time and in the
	// order in which they were sent.
	RuleKeyOrder
	// RuleRetryBudget requires that an instance's retries stay within its budget in any window.
	RuleRetryBudget
	// RuleTenantLimit requires that the first attempts of a volume, from all instances together, stay
	// within the limit of its plan plus slack.
	RuleTenantLimit
	ruleEnd
)

// ruleTexts are the texts of the rules in the report.
var ruleTexts = [ruleEnd]struct {
	name string
	unit string // unit of Verdict.Figure and Verdict.Bound
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

// unit returns the unit of a Verdict's Figure and Bound, for the report.
func (r Rule) unit() string { return ruleTexts[r].unit }

// maxExamples is the number of violations that a verdict keeps as examples.
const maxExamples = 3

// Verdict is the result of judging a run by a rule.
type Verdict struct {
	Rule Rule
	// Figure is the worst measured value and Bound the limit for it, both in the rule's unit and without
	// tolerances. Whether the rule is violated depends only on Violations.
	Figure     float64
	Bound      float64
	Violations int         // number of violations found
	Examples   []Violation // the first maxExamples violations found
}

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule
	Subject string // trace ID, node, instance, order key or volume that violated the rule
	Detail  string
}

// String returns the violation as a line of the report.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d: %s", v.Rule, strings.TrimSpace(v.Detail))
}

// addViolation counts a violation, and keeps it as an example if there are fewer than maxExamples.
func (v *Verdict) addViolation(subject, format string, args ...any) {
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, Violation{Rule: v.Rule, Subject: subject, Detail: fmt.Sprintf(format, args...)})
	}
}
