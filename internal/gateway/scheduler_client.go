package gateway

import "maddergap/scheduler"

// Scheduler decides which request is sent to which node, and when. It is implemented by
// scheduler.Scheduler, and by substitutes for tests and comparisons.
type Scheduler interface {
	// Handle takes the events since the last call, in their order, and returns the actions
	// to carry out. It must not keep the events, and the gateway does not keep the actions.
	Handle(now Time, events []scheduler.Event) []scheduler.Action
}

// schedulerClient collects the events for the scheduler and keeps its timer. It has two
// event buffers, because carrying out the scheduler's decisions leads to further events.
type schedulerClient struct {
	impl    Scheduler
	pending []scheduler.Event // events for the next call of decide
	spare   []scheduler.Event // buffer of the last call, to be reused
	wakeAt  Time              // time at which the scheduler's timer fires; never: it is not set
}

// waitReasonReporter is implemented by a Scheduler that reports what kept a request from being
// sent until the scheduler ended the request.
type waitReasonReporter interface {
	ExpiryReason(id uint64) scheduler.Reason
}

func newSchedulerClient(s Scheduler) schedulerClient {
	return schedulerClient{impl: s, wakeAt: never}
}

// notify adds an event for the next call of decide.
func (s *schedulerClient) notify(event scheduler.Event) {
	s.pending = append(s.pending, event)
}

// setTimer sets the time at which the scheduler's timer fires. It replaces the time that was
// set before, even by a later one.
func (s *schedulerClient) setTimer(at Time) { s.wakeAt = at }

// runTimer adds a TimerFired event if the scheduler's timer has expired.
func (s *schedulerClient) runTimer(now Time) {
	if now >= s.wakeAt {
		s.wakeAt = never
		s.notify(scheduler.TimerFired{})
	}
}

// hasEvents reports whether there are events, so that decide has to be called.
func (s *schedulerClient) hasEvents() bool { return len(s.pending) > 0 }

// waitReasonOf returns what kept a request from being sent. It is valid for a request that the
// last call of decide has ended. It returns ReasonAllowed if the scheduler reports no reasons.
func (s *schedulerClient) waitReasonOf(id uint64) scheduler.Reason {
	if reporter, ok := s.impl.(waitReasonReporter); ok {
		return reporter.ExpiryReason(id)
	}
	return scheduler.ReasonAllowed
}

// decide hands the events to the scheduler and returns its decisions, which are valid
// until the next call.
func (s *schedulerClient) decide(now Time) []scheduler.Action {
	events := s.pending
	s.pending, s.spare = s.spare[:0], events
	return s.impl.Handle(now, events)
}
