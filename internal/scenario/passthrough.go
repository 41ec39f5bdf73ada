package scenario

import (
	"maddergap/internal/gateway"
	"maddergap/scheduler"
)

// passThrough is a scheduler for comparison. It sends each request at once, in the order of arrival,
// and never retries.
type passThrough struct {
	nodesByShard map[int]string
}

// NewPassThrough returns a scheduler that sends every request at once and never retries. It has the
// signature of daemon.SchedulerFactory.
func NewPassThrough(scheduler.Settings, uint64, scheduler.Time) (gateway.Scheduler, error) {
	return &passThrough{nodesByShard: map[int]string{}}, nil
}

func (p *passThrough) Handle(_ scheduler.Time, events []scheduler.Event) (actions []scheduler.Action) {
	for _, event := range events {
		switch e := event.(type) {
		case scheduler.EndpointUpdate:
			for _, endpoint := range e.Endpoints {
				p.nodesByShard[endpoint.Shard] = endpoint.Node
			}
		case scheduler.Arrival:
			actions = append(actions, scheduler.Send{ID: e.ID, Node: p.nodesByShard[e.Shard]})
		case scheduler.AttemptEnded:
			if !e.Responded {
				actions = append(actions, endWithoutResponse(e))
			}
		}
	}
	return actions
}

// endWithoutResponse ends a request whose only attempt got no response: with a rejection if the node
// cannot have executed the request, and with a failure otherwise.
func endWithoutResponse(e scheduler.AttemptEnded) scheduler.Action {
	switch e.Outcome {
	case scheduler.QueueFull, scheduler.ConnectFailed, scheduler.NotSent:
		return scheduler.Reject{ID: e.ID}
	}
	return scheduler.Fail{ID: e.ID}
}
