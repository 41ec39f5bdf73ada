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

// testSize is the size of a scenario that has every fault and is short enough to run several times.
var testSize = Size{Instances: 3, Nodes: 6, Length: 9 * time.Second, Rate: 340}

// Verifies that the audit of a scenario reports exactly the rules that faulty instances violate, and
// none for instances without a fault.
func TestAuditDetectsFaultyInstances(t *testing.T) {
	if testing.Short() {
		t.Skip("nine scenarios of nine seconds")
	}
	for i, c := range []struct {
		name         string
		newScheduler daemon.SchedulerFactory
		editNodeList func([]nodelist.Node) []nodelist.Node
		want         []audit.Rule // violated rules
	}{
		{name: "no fault"},
		{name: "gives some requests no response", newScheduler: newFaulty(dropRejections), want: []audit.Rule{audit.RuleSingleResponse}},
		{name: "retries non-idempotent requests", newScheduler: newFaulty(retryResets(1, segmentWrite)), want: []audit.Rule{audit.RuleSafeRetry}},
		// This scheduler takes a draining node for a serving one. The gateway's invariants withhold
		// its attempts there, so no rule is violated. In the next case the node list itself says
		// that the node is serving, and the gateway does send there.
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
				Plan:          GeneratePlan(3, testSize),
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
				t.Errorf("violated rules: got %v, want %v", got, c.want)
			}
		})
	}
}

// withoutDraining returns the node list with the state of draining nodes changed to serving.
func withoutDraining(nodes []nodelist.Node) []nodelist.Node {
	for i := range nodes {
		if nodes[i].State == scheduler.Draining {
			nodes[i].State = scheduler.Serving
		}
	}
	return nodes
}
