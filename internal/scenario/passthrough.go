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

// PassThrough makes one; it fits daemon.SchedulerFactory.
func PassThrough(scheduler.Settings, uint64, scheduler.Time) (gateway.Scheduler, error) {
	return &passThrough{nodes: map[int]string{}}, nil
}

func (p *passThrough) Handle(_ scheduler.Time, events []scheduler.Event) (acts []scheduler.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.EndpointUpdate:
			for _, n := range e.Endpoints {
				p.nodes[n.Shard] = n.Node
			}
		case scheduler.Arrival:
			acts = append(acts, scheduler.Send{ID: e.ID, Node: p.nodes[e.Shard]})
		case scheduler.AttemptEnded:
			switch {
			case e.Responded:
			case e.Outcome == scheduler.QueueFull || e.Outcome == scheduler.ConnectFailed || e.Outcome == scheduler.Superseded:
				acts = append(acts, scheduler.Reject{ID: e.ID})
			default:
				acts = append(acts, scheduler.Fail{ID: e.ID})
			}
		}
	}
	return acts
}
