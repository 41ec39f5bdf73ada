package scenario

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/daemon"
	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// testSize is short and light enough for a scenario with every fault to run often.
var testSize = Size{Instances: 3, Nodes: 6, Length: 9 * time.Second, Rate: 340}

// An instance breaks a rule, and the audit of the scenario finds exactly that rule violated. With
// instances as they are, it finds none.
func TestAuditDetectsFaultyInstances(t *testing.T) {
	if testing.Short() {
		t.Skip("nine scenarios of nine seconds")
	}
	for i, c := range []struct {
		name         string
		newScheduler daemon.SchedulerFactory
		editNodeList func([]nodelist.Node) []nodelist.Node
		want         []audit.Rule // rules that are violated
	}{
		{name: "no fault"},
		{name: "gives some requests no response", newScheduler: newFaulty(dropRejections), want: []audit.Rule{audit.RuleSingleResponse}},
		{name: "retries non-idempotent requests", newScheduler: newFaulty(retryResets(1, segmentWrite)), want: []audit.Rule{audit.RuleSafeRetry}},
		// The gateway's invariants withhold what such a scheduler sends to a draining node, so
		// no rule is violated. A gateway whose node list has it as serving does send there.
		{name: "decides on a draining node", newScheduler: newFaulty(ignoreDraining)},
		{name: "sends to a draining node", editNodeList: withoutDraining, want: []audit.Rule{audit.RuleNodeServing}},
		{name: "overloads a warming node", newScheduler: newFaulty(bypass(overloadWarmingNodes)), want: []audit.Rule{audit.RuleSlowStart}},
		{name: "keeps no order", newScheduler: newFaulty(swapOrder), want: []audit.Rule{audit.RuleKeyOrder}},
		{name: "exceeds the retry budget", newScheduler: newFaulty(duplicateSends(5, traceRead, archiveExport)), want: []audit.Rule{audit.RuleRetryBudget}},
		{name: "exceeds a plan's limit", newScheduler: newFaulty(bypass(ignorePlanLimit)), want: []audit.Rule{audit.RuleTenantLimit}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			report, err := Run(&Options{
				Plan:          Draw(3, testSize),
				Dir:           t.TempDir(),
				NewScheduler:  c.newScheduler,
				EditNodeList:  c.editNodeList,
				Network:       1 + 2*i,
				LateTolerance: time.Second,
			})
			if err != nil {
				t.Fatal(err)
			}
			if got := report.ViolatedRules(); !slices.Equal(got, c.want) {
				for _, verdict := range report.Verdicts {
					t.Log(fmt.Sprint(verdict))
				}
				t.Errorf("rules %v are violated, want %v", got, c.want)
			}
		})
	}
}

// withoutDraining is a node list in which draining nodes are serving.
func withoutDraining(nodes []nodelist.Node) []nodelist.Node {
	for i := range nodes {
		if nodes[i].State == scheduler.Draining {
			nodes[i].State = scheduler.Serving
		}
	}
	return nodes
}
