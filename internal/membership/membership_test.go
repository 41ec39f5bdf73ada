package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// gatewayStart is the monotonic time at which the gateway starts.
const gatewayStart = 24 * time.Hour

// wallTimeAtStart is the correct wall-clock time at the gateway's start.
var wallTimeAtStart = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func node(name string, state scheduler.NodeState, started time.Time) nodelist.Node {
	return nodelist.Node{Name: name, Addr: "10.0.0.1:1", State: state, Started: started}
}

// newTable returns the table of a gateway whose wall clock was ahead by clockError at its start.
func newTable(clockError time.Duration) *Table {
	return New(wallTimeAtStart.Add(clockError - gatewayStart))
}

// Verifies that Apply returns exactly the nodes that an update adds, changes or removes.
func TestApplyReturnsOnlyChanges(t *testing.T) {
	table := newTable(0)
	started := wallTimeAtStart.Add(-time.Minute)
	list := []nodelist.Node{node("a", scheduler.Serving, time.Time{}), node("b", scheduler.Serving, started), node("c", scheduler.Draining, time.Time{})}
	if got := table.Apply(gatewayStart, Update{Nodes: list, Full: true}); len(got) != 3 || !got[0].AddressChanged {
		t.Fatalf("changes of the first list: %+v, want 3, the first with AddressChanged", got)
	}
	if got := table.Apply(gatewayStart+1, Update{Nodes: list, Full: true}); len(got) != 0 {
		t.Fatalf("changes of an identical list: %+v, want none", got)
	}
	list[0].State = scheduler.Draining
	list[1].Addr = "10.0.0.2:1"
	got := table.Apply(gatewayStart+2, Update{Nodes: list[:2], Full: true})
	if len(got) != 3 || got[0].AddressChanged || !got[1].AddressChanged || got[2].Endpoint.Node != "c" || got[2].Endpoint.State != scheduler.Removed || table.Len() != 2 {
		t.Fatalf("changes %+v, %d nodes listed; want a changed state, a new address, c removed and 2 listed", got, table.Len())
	}
	got = table.Apply(gatewayStart+3, Update{Nodes: []nodelist.Node{node("b", scheduler.Removed, started)}})
	if len(got) != 1 || got[0].Endpoint.State != scheduler.Removed || table.Len() != 1 {
		t.Fatalf("changes %+v, %d nodes listed; want b removed and 1 listed", got, table.Len())
	}
}

// Applies random sequences of full lists and updates of changed nodes. Verifies after each update that
// a scheduler that applies the returned changes has the same nodes as the list.
func TestAppliedChangesMatchList(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		table, applied := newTable(0), map[string]scheduler.NodeState{}
		want := map[string]scheduler.NodeState{}
		for step := range 40 {
			update := Update{Full: random.IntN(3) == 0 || step == 0}
			if update.Full {
				clear(want)
			}
			for i := range 6 {
				if random.IntN(2) == 0 {
					n := node(fmt.Sprint("n", i), scheduler.NodeState(random.IntN(3)), wallTimeAtStart.Add(time.Duration(random.IntN(3))*time.Second))
					update.Nodes = append(update.Nodes, n)
					setState(want, n.Name, n.State)
				}
			}
			for _, c := range table.Apply(gatewayStart+Time(step)*time.Second, update) {
				setState(applied, c.Endpoint.Node, c.Endpoint.State)
			}
			if fmt.Sprint(applied) != fmt.Sprint(want) {
				t.Fatalf("seed %d, step %d: %v, want %v", seed, step, applied, want)
			}
		}
	}
}

// setState records the state of a node, or deletes the node if it was removed.
func setState(nodes map[string]scheduler.NodeState, name string, state scheduler.NodeState) {
	nodes[name] = state
	if state == scheduler.Removed {
		delete(nodes, name)
	}
}

// Guards against treating a restarted node as warm, or as cold for too long, because the gateway's wall
// clock is wrong. A node restarts while the gateway is running and is listed up to 1.4 s later. Its
// converted start time must stay close to the real one for each error of the wall clock.
func TestStartTimeWithWrongClock(t *testing.T) {
	const warmup = 8 * time.Second
	const confirmationAge = 150 * time.Millisecond
	for _, clockError := range []time.Duration{0, time.Second, 3 * time.Second, time.Hour, -time.Second, -3 * time.Second, -time.Hour} {
		for _, listingDelay := range []time.Duration{0, 300 * time.Millisecond, 1400 * time.Millisecond} {
			table := newTable(clockError)
			table.Apply(gatewayStart, Update{Nodes: []nodelist.Node{node("a", scheduler.Serving, time.Time{})}, Full: true})
			listedAt := gatewayStart + time.Minute
			restarted := []nodelist.Node{node("a", scheduler.Serving, wallTimeAtStart.Add(time.Minute-listingDelay))}
			changes := table.Apply(listedAt, Update{Nodes: restarted, PreviousConfirmedAt: listedAt - confirmationAge})
			want, got := listedAt-listingDelay, changes[0].Endpoint.Started
			if early := want - got; early > maxListingDelay+confirmationAge {
				t.Errorf("clock wrong by %v, listed after %v: the start time is %v too early", clockError, listingDelay, early)
			}
			if got > listedAt || got < listedAt-warmup {
				t.Errorf("clock wrong by %v, listed after %v: the start time is %v after the listing", clockError, listingDelay, got-listedAt)
			}
			if clockError == 0 && got != want {
				t.Errorf("with a correct clock the start time is wrong by %v", got-want)
			}
		}
	}
}

// Verifies that start times on a gateway's first list are used as they are, except for start times in
// the future, which count as now.
func TestStartTimeOnFirstList(t *testing.T) {
	for clockError, want := range map[time.Duration]Time{
		0:          gatewayStart - 2*time.Second,
		-time.Hour: gatewayStart,
		time.Hour:  gatewayStart - time.Hour - 2*time.Second,
	} {
		list := []nodelist.Node{node("a", scheduler.Serving, wallTimeAtStart.Add(-2*time.Second))}
		changes := newTable(clockError).Apply(gatewayStart, Update{Nodes: list, Full: true})
		if got := changes[0].Endpoint.Started; got != want {
			t.Errorf("clock wrong by %v: start time %v, want %v", clockError, got, want)
		}
	}
}
