package scenario

import (
	"maddergap/internal/gateway"
	"maddergap/scheduler"
)

// passThrough is what stands beside the module in a comparison: everything is
// sent at once, first come first served, once.
type passThrough struct {
	nodes map[int]string // by shard
}

// PassThrough makes one; it fits daemon.CoreOf.
func PassThrough(scheduler.Settings, uint64, scheduler.Time) (gateway.Core, error) {
	return &passThrough{nodes: map[int]string{}}, nil
}

func (p *passThrough) Handle(_ scheduler.Time, events []scheduler.Event) (acts []scheduler.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.List:
			for _, n := range e.Entries {
				p.nodes[n.Shard] = n.Node
			}
		case scheduler.Arrival:
			acts = append(acts, scheduler.Send{ID: e.ID, Node: p.nodes[e.Shard]})
		case scheduler.Ended:
			switch {
			case e.Closed:
			case e.Outcome == scheduler.Full || e.Outcome == scheduler.ConnectFailed || e.Outcome == scheduler.Moot:
				acts = append(acts, scheduler.Refuse{ID: e.ID})
			default:
				acts = append(acts, scheduler.Fail{ID: e.ID})
			}
		}
	}
	return acts
}
