package daemon

import (
	"fmt"
	"log/slog"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/gateway"
)

const (
	// handshakeGrace is the time for handshakes in progress to complete, after the kernel has been told to
	// drop new connections. It is many round-trip times within a data center.
	handshakeGrace = 20 * time.Millisecond
	// abortGrace is the time for clients to read the responses to aborted requests.
	abortGrace = 100 * time.Millisecond
	// timerSlack is added to the delay of a timer, so that the timer's deadline has passed by the
	// loop's clock when the timer wakes the loop.
	timerSlack = time.Millisecond
)

// shutdownPhase is the phase of a shutdown. Phases follow each other in the order of the constants.
type shutdownPhase uint8

const (
	// phaseServing: no stop has been requested.
	phaseServing shutdownPhase = iota
	// phaseDraining: new connections and requests are still accepted, because clients learn of the
	// stop late. The next response to each client tells it to close its connection.
	phaseDraining
	// phaseStopping: the listeners are being closed, and accepted requests get their responses.
	// Connections without a request are closed, after a short wait if one may be on its way.
	phaseStopping
	// phaseAborting: the shutdown timeout has passed, the pending requests were aborted, and their
	// responses are being written.
	phaseAborting
	// phaseStopped: the gateway is idle and the listeners are closed, or abortGrace has passed.
	phaseStopped
)

func (p shutdownPhase) String() string {
	return [...]string{"serving", "draining", "stopping", "aborting", "stopped"}[p]
}

// listenerPhase is the phase of closing the listeners, which begins with phaseStopping. Phases follow
// each other in the order of the constants.
type listenerPhase uint8

const (
	// listenersOpen: the kernel completes handshakes.
	listenersOpen listenerPhase = iota
	// listenersDraining: the kernel takes no new connections. Connections in the listen queues are
	// accepted.
	listenersDraining
	// listenersClosed: the queues were emptied and the listeners are closed.
	listenersClosed
)

func (p listenerPhase) String() string {
	return [...]string{"open", "draining", "closed"}[p]
}

// shutdownLoop is the part of the event loop that a shutdown uses.
type shutdownLoop interface {
	Now() time.Duration
	Wake()
	// DropNewConnections makes the kernel drop the first packet of new connections. Handshakes that
	// have begun can still complete.
	DropNewConnections()
	// DrainListenQueues accepts the connections in the listen queues and reports whether the queues
	// are empty. It returns false while no descriptors are available.
	DrainListenQueues() bool
	CloseListeners()
}

// shutdownGateway is the part of the gateway that a shutdown uses.
type shutdownGateway interface {
	Counts() gateway.Counts
	Drain(now time.Duration)
	Shutdown(now time.Duration)
	// AbortRemaining gives each request its final response. It returns the number of requests that
	// were rejected while they were still arriving.
	AbortRemaining(now time.Duration) (incomplete int)
	// Idle reports whether no request is pending and no client is connected.
	Idle() bool
	EachPendingRequest(func(id, method, path string, age time.Duration))
}

// shutdown is the state machine of a graceful shutdown:
//
//	serving  -> draining  a stop is requested
//	draining -> stopping  Timeouts.Drain has passed (at once if it is 0)
//	stopping -> aborting  Timeouts.Shutdown has passed, and the shutdown is not complete
//	aborting -> stopped   abortGrace has passed
//
// In phaseStopping the listeners begin to close. From then on, the shutdown completes as soon as the
// listeners are closed and the gateway is idle. Connections in the listen queues are accepted before a
// listener closes: closing it would reset them, and requests on them would get no response.
//
// The loop's goroutine calls startOrEndDraining after each wake, once a stop was requested, and advance
// in each iteration. shutdown sets timers that wake the loop at its deadlines.
type shutdown struct {
	loop    shutdownLoop
	gateway shutdownGateway
	log     *slog.Logger

	phase     shutdownPhase
	listeners listenerPhase

	// Deadlines, as readings of the loop's clock. Each is set when the phase that it ends begins.
	drainUntil      time.Duration // end of phaseDraining
	abortAt         time.Duration // end of phaseStopping
	exitAt          time.Duration // end of phaseAborting
	drainQueuesFrom time.Duration // end of handshakeGrace; set when listenersDraining begins

	requestedAt time.Duration // time at which the shutdown began; valid after phaseServing
	aborted     int           // number of requests that were aborted
}

// AbortedError reports that requests were still pending at the shutdown timeout and were aborted.
type AbortedError struct {
	Requests int           // number of aborted requests
	Timeout  time.Duration // Timeouts.Shutdown
}

func (e *AbortedError) Error() string {
	return fmt.Sprintf("%d requests were aborted after the shutdown timeout of %v", e.Requests, e.Timeout)
}

func newShutdown(loop shutdownLoop, g shutdownGateway, log *slog.Logger) *shutdown {
	return &shutdown{loop: loop, gateway: g, log: log}
}

// startOrEndDraining begins the shutdown if it has not begun, and ends phaseDraining if its time has
// passed. It is called on each wake of the loop once a stop was requested.
func (s *shutdown) startOrEndDraining(timeouts config.Timeouts) {
	if s.phase == phaseServing {
		s.startDraining(s.loop.Now(), timeouts.Drain)
	}
	if now := s.loop.Now(); s.phase == phaseDraining && now >= s.drainUntil {
		s.startStopping(now, timeouts.Shutdown)
	}
}

// startDraining begins phaseDraining.
func (s *shutdown) startDraining(now, timeout time.Duration) {
	s.phase = phaseDraining
	s.requestedAt = now
	s.drainUntil = now + timeout
	if timeout == 0 {
		return
	}
	s.log.Info("draining", "clients", s.gateway.Counts().Clients)
	s.gateway.Drain(now)
	wakeAfter(s.loop, timeout+timerSlack)
}

// startStopping begins phaseStopping.
func (s *shutdown) startStopping(now, timeout time.Duration) {
	s.phase = phaseStopping
	s.abortAt = now + timeout
	s.advanceListeners(now)
	s.gateway.Shutdown(now)
	s.log.Info("shutting down", "clients", s.gateway.Counts().Clients)
	wakeAfter(s.loop, timeout)
}

// advanceListeners continues closing the listeners and may have to be called several times. If no
// descriptors are available, it takes several iterations to empty the listen queues.
func (s *shutdown) advanceListeners(now time.Duration) {
	if s.listeners == listenersOpen {
		s.listeners = listenersDraining
		s.loop.DropNewConnections()
		s.drainQueuesFrom = now + handshakeGrace
		wakeAfter(s.loop, handshakeGrace+timerSlack)
	}
	if s.listeners == listenersDraining && now >= s.drainQueuesFrom && s.loop.DrainListenQueues() {
		s.loop.CloseListeners()
		s.listeners = listenersClosed
	}
}

// advance continues a shutdown that has reached phaseStopping, and reports whether it is complete.
func (s *shutdown) advance() (done bool) {
	if s.phase < phaseStopping {
		return false
	}
	now := s.loop.Now()
	s.advanceListeners(now)
	switch {
	case s.listeners == listenersClosed && s.gateway.Idle():
		s.phase = phaseStopped
	case s.phase == phaseStopping && now >= s.abortAt:
		s.abort(now)
	case s.phase == phaseAborting && now >= s.exitAt:
		s.phase = phaseStopped
	}
	return s.phase == phaseStopped
}

// abort makes the gateway respond to each pending request, also to those that are still arriving. Otherwise
// the exit of the process would close the connections without a response, and clients could not tell whether
// to retry.
func (s *shutdown) abort(now time.Duration) {
	s.phase = phaseAborting
	s.gateway.EachPendingRequest(func(id, method, path string, age time.Duration) {
		s.aborted++
		s.log.Error("request aborted at shutdown", "request", id, "method", method, "path", path, "age", age)
	})
	if n := s.gateway.AbortRemaining(now); n > 0 {
		s.log.Warn("incomplete requests rejected at shutdown", "requests", n)
	}
	s.exitAt = now + abortGrace
	wakeAfter(s.loop, abortGrace+timerSlack)
	s.loop.Wake() // the responses are written in the next iteration
}
