package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

// gatewayStart is the reading of the monotonic clock at the gateway's start.
const gatewayStart = 24 * time.Hour

// wallAtStart is the true time at the gateway's start.
var wallAtStart = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func node(name string, state scheduler.NodeState, started time.Time) nodelist.Node {
	return nodelist.Node{Name: name, Addr: "10.0.0.1:1", State: state, Started: started}
}

// newTable returns the table of a gateway whose wall clock was ahead by an error at its start.
func newTable(clockError time.Duration) *Table {
	return New(wallAtStart.Add(clockError - gatewayStart))
}

func TestApplyReturnsOnlyChanges(t *testing.T) {
	table := newTable(0)
	started := wallAtStart.Add(-time.Minute)
	list := []nodelist.Node{node("a", scheduler.Serving, time.Time{}), node("b", scheduler.Serving, started), node("c", scheduler.Draining, time.Time{})}
	if got := table.Apply(gatewayStart, Update{Nodes: list, Full: true}); len(got) != 3 || !got[0].AddressChanged {
		t.Fatalf("the first list: %+v", got)
	}
	if got := table.Apply(gatewayStart+1, Update{Nodes: list, Full: true}); len(got) != 0 {
		t.Fatalf("the same list: %+v", got)
	}
	list[0].State = scheduler.Draining
	list[1].Addr = "10.0.0.2:1"
	got := table.Apply(gatewayStart+2, Update{Nodes: list[:2], Full: true})
	if len(got) != 3 || got[0].AddressChanged || !got[1].AddressChanged || got[2].Endpoint.Node != "c" || got[2].Endpoint.State != scheduler.Removed || table.Len() != 2 {
		t.Fatalf("%+v, %d listed", got, table.Len())
	}
	got = table.Apply(gatewayStart+3, Update{Nodes: []nodelist.Node{node("b", scheduler.Removed, started)}})
	if len(got) != 1 || got[0].Endpoint.State != scheduler.Removed || table.Len() != 1 {
		t.Fatalf("%+v, %d listed", got, table.Len())
	}
}

// Full lists and changes come in any order. A scheduler that applies the changes it is given has
// the same nodes as the list, at each step.
func TestChangesAddUpToList(t *testing.T) {
	for seed := range uint64(200) {
		draw := rand.New(rand.NewPCG(seed, 3))
		table, applied := newTable(0), map[string]scheduler.NodeState{}
		want := map[string]scheduler.NodeState{}
		for step := range 40 {
			update := Update{Full: draw.IntN(3) == 0 || step == 0}
			if update.Full {
				clear(want)
			}
			for i := range 6 {
				if draw.IntN(2) == 0 {
					n := node(fmt.Sprint("n", i), scheduler.NodeState(draw.IntN(3)), wallAtStart.Add(time.Duration(draw.IntN(3))*time.Second))
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

func setState(nodes map[string]scheduler.NodeState, name string, state scheduler.NodeState) {
	nodes[name] = state
	if state == scheduler.Removed {
		delete(nodes, name)
	}
}

// A node is restarted while the gateway serves, and is listed up to 1.4 s later. Whatever the
// error of the gateway's wall clock, the node is warming up for about as long as it should.
func TestStartTimeWithWrongClock(t *testing.T) {
	const warmup = 8 * time.Second
	const confirmedBefore = 150 * time.Millisecond
	for _, clockError := range []time.Duration{0, time.Second, 3 * time.Second, time.Hour, -time.Second, -3 * time.Second, -time.Hour} {
		for _, listingDelay := range []time.Duration{0, 300 * time.Millisecond, 1400 * time.Millisecond} {
			table := newTable(clockError)
			table.Apply(gatewayStart, Update{Nodes: []nodelist.Node{node("a", scheduler.Serving, time.Time{})}, Full: true})
			listedAt := gatewayStart + time.Minute
			restarted := []nodelist.Node{node("a", scheduler.Serving, wallAtStart.Add(time.Minute-listingDelay))}
			changes := table.Apply(listedAt, Update{Nodes: restarted, PreviousConfirmedAt: listedAt - confirmedBefore})
			want, got := listedAt-listingDelay, changes[0].Endpoint.Started
			if early := want - got; early > maxListingDelay+confirmedBefore {
				t.Errorf("clock wrong by %v, listed after %v: the start is %v early", clockError, listingDelay, early)
			}
			if got > listedAt || got < listedAt-warmup {
				t.Errorf("clock wrong by %v, listed after %v: started %v after it was listed", clockError, listingDelay, got-listedAt)
			}
			if clockError == 0 && got != want {
				t.Errorf("with a right clock the start is wrong by %v", got-want)
			}
		}
	}
}

// A gateway starts and gets its first list. Start times on it are taken as they are, but for
// those in the future.
func TestStartTimeOnFirstList(t *testing.T) {
	for clockError, want := range map[time.Duration]Time{
		0:          gatewayStart - 2*time.Second,
		-time.Hour: gatewayStart,
		time.Hour:  gatewayStart - time.Hour - 2*time.Second,
	} {
		list := []nodelist.Node{node("a", scheduler.Serving, wallAtStart.Add(-2*time.Second))}
		changes := newTable(clockError).Apply(gatewayStart, Update{Nodes: list, Full: true})
		if got := changes[0].Endpoint.Started; got != want {
			t.Errorf("clock wrong by %v: %v, want %v", clockError, got, want)
		}
	}
}
