package eventloop

import "time"

// Phase is a part of an iteration of the loop.
type Phase int

// Phases, in their order within an iteration: responses and timers come before
// new connections. PhaseCount is how many there are.
const (
	PhaseWakeup  Phase = iota // how much later than asked the kernel woke the loop
	PhaseNodes                // reads from nodes
	PhaseClients              // reads from clients
	PhaseActions              // timers, scheduling decisions and writes
	PhaseAccept               // new connections, rejected ones included
	PhaseFiles                // node list, configuration, signals
	PhaseCount
)

// String is the phase's name in logs and metrics.
func (p Phase) String() string {
	return [...]string{"wake", "nodes", "clients", "acts", "accept", "files"}[p]
}

// Iteration is what one iteration of the loop took, without its wait for events.
type Iteration struct {
	Durations [PhaseCount]time.Duration
	Events    int // that epoll returned
}

// Total is the time of all phases.
func (i *Iteration) Total() (sum time.Duration) {
	for _, d := range i.Durations {
		sum += d
	}
	return sum
}

// endPhase adds the time since the end of the phase before to a phase.
func (l *Loop) endPhase(p Phase) {
	now := l.Now()
	l.iteration.Durations[p] += now - l.phaseStart
	l.phaseStart = now
}
