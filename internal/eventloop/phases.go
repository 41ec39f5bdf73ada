package eventloop

import "time"

// Phase is a part of an iteration of the event loop, whose duration is measured separately.
type Phase int

// The phases of an iteration. Responses and timers come before new connections.
const (
	PhaseWakeup  Phase = iota // delay with which the kernel woke the loop after a timeout
	PhaseNodes                // events of connections to nodes
	PhaseClients              // events of client connections
	PhaseActions              // timers, scheduling decisions, writes and retries
	PhaseAccept               // new connections, including rejected ones
	PhaseFiles                // changes of the watched file, and wake-ups, for example by signals
	PhaseCount                // number of phases
)

// String returns the phase's name in logs and metrics.
func (p Phase) String() string {
	return [...]string{"wake", "nodes", "clients", "acts", "accept", "files"}[p]
}

// Iteration holds the durations of one iteration of the loop, without its wait for events.
type Iteration struct {
	Durations [PhaseCount]time.Duration
	Events    int // number of events that epoll returned
}

// Total returns the sum of the durations of all phases.
func (i *Iteration) Total() (sum time.Duration) {
	for _, d := range i.Durations {
		sum += d
	}
	return sum
}

// endPhase adds the time since the end of the previous phase to the duration of phase p.
func (l *Loop) endPhase(p Phase) {
	now := l.Now()
	l.iteration.Durations[p] += now - l.phaseStart
	l.phaseStart = now
}
