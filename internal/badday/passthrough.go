package badday

import (
	"maddergap/internal/head"
	"maddergap/logic"
)

// passThrough is what stands beside the module in a comparison: everything is
// sent at once, first come first served, once.
type passThrough struct {
	nodes map[int]string // by shard
}

// PassThrough makes one; it fits daemon.CoreOf.
func PassThrough(logic.Settings, uint64, logic.Time) (head.Core, error) {
	return &passThrough{nodes: map[int]string{}}, nil
}

func (p *passThrough) Handle(_ logic.Time, events []logic.Event) (acts []logic.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case logic.List:
			for _, n := range e.Entries {
				p.nodes[n.Shard] = n.Node
			}
		case logic.Arrival:
			acts = append(acts, logic.Send{ID: e.ID, Node: p.nodes[e.Shard]})
		case logic.Ended:
			switch {
			case e.Closed:
			case e.Outcome == logic.Full || e.Outcome == logic.ConnectFailed || e.Outcome == logic.Moot:
				acts = append(acts, logic.Refuse{ID: e.ID})
			default:
				acts = append(acts, logic.Fail{ID: e.ID})
			}
		}
	}
	return acts
}
