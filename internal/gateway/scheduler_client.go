package gateway

import "maddergap/scheduler"

// Scheduler decides what is sent where and when: scheduler.Scheduler, or what a test or a
// comparison puts in its place.
type Scheduler interface {
	// Handle takes the events since the last call, in their order, and returns what is to
	// be done. It must not keep the events, and the gateway does not keep the actions.
	Handle(now Time, events []scheduler.Event) []scheduler.Action
}

// schedulerClient collects the events for the scheduler, and has its timer. It has two
// buffers, as carrying out the scheduler's decisions leads to further events.
type schedulerClient struct {
	impl    Scheduler
	pending []scheduler.Event // for the next call of decide
	spare   []scheduler.Event
	wakeAt  Time // when the scheduler's timer fires
}

// expiryReporter is a Scheduler that says what kept a request from being sent that it has ended.
type expiryReporter interface {
	ExpiryReason(id uint64) scheduler.Reason
}

func newSchedulerClient(s Scheduler) schedulerClient {
	return schedulerClient{impl: s, wakeAt: never}
}

// notify adds an event for the next call of decide.
func (s *schedulerClient) notify(event scheduler.Event) {
	s.pending = append(s.pending, event)
}

// setTimer sets when the scheduler's timer fires. It replaces the timer before, also by a
// later time.
func (s *schedulerClient) setTimer(at Time) { s.wakeAt = at }

// runTimer notifies the scheduler if its timer has expired.
func (s *schedulerClient) runTimer(now Time) {
	if now >= s.wakeAt {
		s.wakeAt = never
		s.notify(scheduler.TimerFired{})
	}
}

// hasEvents reports whether decide has to be called.
func (s *schedulerClient) hasEvents() bool { return len(s.pending) > 0 }

// expiryReason returns what kept a request from being sent that a decision of the last call of
// decide has ended.
func (s *schedulerClient) expiryReason(id uint64) scheduler.Reason {
	if reporter, ok := s.impl.(expiryReporter); ok {
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
