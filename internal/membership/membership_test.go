package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"maddergap/internal/nodelist"
	"maddergap/scheduler"
)

const zero = 24 * time.Hour // the monotonic clock at the head's start

var wall = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC) // the true time then

func node(name string, state scheduler.NodeState, started time.Time) nodelist.Node {
	return nodelist.Node{Name: name, Addr: "10.0.0.1:1", State: state, Started: started}
}

// newTable makes the table of a head whose wall clock was off by so much at its start.
func newTable(off time.Duration) *Table { return New(wall.Add(off - zero)) }

func TestOnlyWhatChangedIsTold(t *testing.T) {
	table := newTable(0)
	started := wall.Add(-time.Minute)
	list := []nodelist.Node{node("a", scheduler.Serving, time.Time{}), node("b", scheduler.Serving, started), node("c", scheduler.Draining, time.Time{})}
	if got := table.Apply(zero, Update{Nodes: list, Full: true}); len(got) != 3 || !got[0].AddressChanged {
		t.Fatalf("the first list: %+v", got)
	}
	if got := table.Apply(zero+1, Update{Nodes: list, Full: true}); len(got) != 0 {
		t.Fatalf("the same list: %+v", got)
	}
	list[0].State = scheduler.Draining
	list[1].Addr = "10.0.0.2:1"
	got := table.Apply(zero+2, Update{Nodes: list[:2], Full: true})
	if len(got) != 3 || got[0].AddressChanged || !got[1].AddressChanged || got[2].Endpoint.Node != "c" || got[2].Endpoint.State != scheduler.Removed || table.Len() != 2 {
		t.Fatalf("%+v, %d listed", got, table.Len())
	}
	got = table.Apply(zero+3, Update{Nodes: []nodelist.Node{node("b", scheduler.Removed, started)}})
	if len(got) != 1 || got[0].Endpoint.State != scheduler.Removed || table.Len() != 1 {
		t.Fatalf("%+v, %d listed", got, table.Len())
	}
}

// Whatever the news, what the changes add up to is the list.
func TestChangesAddUp(t *testing.T) {
	for seed := range uint64(200) {
		draw := rand.New(rand.NewPCG(seed, 3))
		table, held := newTable(0), map[string]scheduler.NodeState{}
		truth := map[string]scheduler.NodeState{}
		for step := range 40 {
			full := draw.IntN(3) == 0 || step == 0
			if full {
				clear(truth)
			}
			var nodes []nodelist.Node
			for i := range 6 {
				if draw.IntN(2) == 0 {
					n := node(fmt.Sprint("n", i), scheduler.NodeState(draw.IntN(3)), wall.Add(time.Duration(draw.IntN(3))*time.Second))
					nodes = append(nodes, n)
					if truth[n.Name] = n.State; n.State == scheduler.Removed {
						delete(truth, n.Name)
					}
				}
			}
			for _, c := range table.Apply(zero+Time(step)*time.Second, Update{Nodes: nodes, Full: full}) {
				if held[c.Endpoint.Node] = c.Endpoint.State; c.Endpoint.State == scheduler.Removed {
					delete(held, c.Endpoint.Node)
				}
			}
			if fmt.Sprint(held) != fmt.Sprint(truth) {
				t.Fatalf("seed %d, step %d: %v, want %v", seed, step, held, truth)
			}
		}
	}
}

// A node comes back while the head serves, and is listed up to 1.4 s later. Whatever the wall
// clock of the head's machine, it is cold for as long as it should be, and not for much longer.
func TestStartsBySteppedClocks(t *testing.T) {
	const cold = 8 * time.Second
	for _, off := range []time.Duration{0, time.Second, 3 * time.Second, time.Hour, -time.Second, -3 * time.Second, -time.Hour} {
		for _, late := range []time.Duration{0, 300 * time.Millisecond, 1400 * time.Millisecond} {
			table := newTable(off)
			table.Apply(zero, Update{Nodes: []nodelist.Node{node("a", scheduler.Serving, time.Time{})}, Full: true})
			notified := zero + time.Minute
			news := []nodelist.Node{node("a", scheduler.Serving, wall.Add(time.Minute-late))}
			got := table.Apply(notified, Update{Nodes: news, PreviousConfirmedAt: notified - 150*time.Millisecond})
			truth, placed := notified-late, got[0].Endpoint.Started
			if early := truth - placed; early > notifiedWithin+150*time.Millisecond {
				t.Errorf("clock %v off, told %v late: counts as %v older than it is", off, late, early)
			}
			if placed > notified || placed < notified-cold {
				t.Errorf("clock %v off, told %v late: placed %v after it was told", off, late, placed-notified)
			}
			if off == 0 && placed != truth {
				t.Errorf("a clock that is right: placed %v from its start", placed-truth)
			}
		}
	}
}

// On the first list the wall clock is believed, but not where it puts a start in the future.
func TestStartsOnTheFirstList(t *testing.T) {
	for off, want := range map[time.Duration]Time{0: zero - 2*time.Second, -time.Hour: zero, time.Hour: zero - time.Hour - 2*time.Second} {
		got := newTable(off).Apply(zero, Update{Nodes: []nodelist.Node{node("a", scheduler.Serving, wall.Add(-2*time.Second))}, Full: true})
		if got[0].Endpoint.Started != want {
			t.Errorf("clock %v off: %v, want %v", off, got[0].Endpoint.Started, want)
		}
	}
}
