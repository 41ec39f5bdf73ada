package daemon

import (
	"fmt"
	"log/slog"
	"time"

	"maddergap/internal/config"
	"maddergap/internal/gateway"
)

const (
	// handshakeGrace is the time that connections whose handshake has begun have to complete
	// it, once the kernel takes no new ones: many round trips within a data center.
	handshakeGrace = 20 * time.Millisecond
	// abortGrace is the time that clients have to read the responses of aborted requests.
	abortGrace = 100 * time.Millisecond
	// timerSlack puts a timer behind the deadline that it is for, so that the deadline has passed
	// by the loop's clock when the timer wakes the loop.
	timerSlack = time.Millisecond
)

// shutdownPhase is how far a shutdown has come. It only moves forward.
type shutdownPhase uint8

const (
	// phaseServing: no stop was requested.
	phaseServing shutdownPhase = iota
	// phaseDraining: new connections and requests are still taken, as clients learn of the
	// stop late; each client is told with its next response that its connection ends.
	phaseDraining
	// phaseStopping: the listeners are being closed, and the requests that were taken get their
	// responses. A connection that had no request yet has a short time for it.
	phaseStopping
	// phaseAborting: the shutdown timeout is over, the requests that were left were aborted,
	// and their responses are being written.
	phaseAborting
	// phaseStopped: nothing is left to do, or no time.
	phaseStopped
)

func (p shutdownPhase) String() string {
	return [...]string{"serving", "draining", "stopping", "aborting", "stopped"}[p]
}

// listenerPhase is how far the listeners are closed. It moves forward, from phaseStopping on.
type listenerPhase uint8

const (
	// listenersOpen: the kernel completes handshakes.
	listenersOpen listenerPhase = iota
	// listenersDraining: the kernel takes no new connection; those in the listen queues are
	// accepted.
	listenersDraining
	// listenersClosed: the queues are empty and the listeners closed.
	listenersClosed
)

func (p listenerPhase) String() string {
	return [...]string{"open", "draining", "closed"}[p]
}

// shutdownLoop is what a shutdown needs of the event loop.
type shutdownLoop interface {
	Now() time.Duration
	Wake()
	// DropNewConnections keeps the kernel from completing handshakes of new connections.
	DropNewConnections()
	// DrainListenQueues accepts what is in the listen queues and reports that they are empty.
	// It is false while descriptors have run out.
	DrainListenQueues() bool
	CloseListeners()
}

// shutdownGateway is what a shutdown needs of the gateway.
type shutdownGateway interface {
	Counts() gateway.Counts
	Drain(now time.Duration)
	Shutdown(now time.Duration)
	AbortRemaining(now time.Duration)
	// Idle reports that no request is pending and no client connected.
	Idle() bool
	EachPendingRequest(func(id, method, path string, age time.Duration))
}

// shutdown carries a graceful shutdown through its phases:
//
//	serving  -> draining  a stop is requested
//	draining -> stopping  Timeouts.Drain is over (at once if it is 0)
//	stopping -> aborting  Timeouts.Shutdown is over, and requests are pending
//	aborting -> stopped   abortGrace is over
//
// The listeners begin to close with phaseStopping. From then on the shutdown is over as soon as
// they are closed and the gateway is idle. A connection that the kernel has accepted counts as
// taken: closing a listener earlier would reset it, and a request on it would have no response.
//
// It is driven by the loop's goroutine: startOrEndDraining whenever the loop was woken, advance in
// each iteration. It wakes the loop itself when a deadline has come.
type shutdown struct {
	loop    shutdownLoop
	gateway shutdownGateway
	log     *slog.Logger

	phase     shutdownPhase
	listeners listenerPhase

	// Deadlines, as readings of the loop's clock. Each is valid from the phase on that it ends.
	drainUntil      time.Duration // end of phaseDraining
	abortAt         time.Duration // end of phaseStopping
	exitAt          time.Duration // end of phaseAborting
	drainQueuesFrom time.Duration // in listenersDraining, when the handshakes are complete

	requestedAt time.Duration // when the stop was requested; valid after phaseServing
	aborted     int           // requests that were aborted
}

// AbortedError says that a shutdown did not complete gracefully.
type AbortedError struct {
	Requests int           // that had no response at the end of the timeout
	Timeout  time.Duration // Timeouts.Shutdown
}

func (e *AbortedError) Error() string {
	return fmt.Sprintf("%d requests were aborted after the shutdown timeout of %v", e.Requests, e.Timeout)
}

func newShutdown(loop shutdownLoop, g shutdownGateway, log *slog.Logger) *shutdown {
	return &shutdown{loop: loop, gateway: g, log: log}
}

// startOrEndDraining is called on each wake of the loop once a stop was requested: it begins the
// shutdown, and ends the draining phase when its time is over.
func (s *shutdown) startOrEndDraining(timeouts config.Timeouts) {
	if s.phase == phaseServing {
		s.startDraining(s.loop.Now(), timeouts.Drain)
	}
	if now := s.loop.Now(); s.phase == phaseDraining && now >= s.drainUntil {
		s.startStopping(now, timeouts.Shutdown)
	}
}

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

func (s *shutdown) startStopping(now, timeout time.Duration) {
	s.phase = phaseStopping
	s.abortAt = now + timeout
	s.closeListeners(now)
	s.gateway.Shutdown(now)
	s.log.Info("shutting down", "clients", s.gateway.Counts().Clients)
	wakeAfter(s.loop, timeout)
}

// closeListeners takes the closing of the listeners one step further. Where descriptors have run
// out it takes several iterations to accept what is in the queues.
func (s *shutdown) closeListeners(now time.Duration) {
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

// advance continues a shutdown that is past draining, and reports that it is over.
func (s *shutdown) advance() (done bool) {
	if s.phase < phaseStopping {
		return false
	}
	now := s.loop.Now()
	s.closeListeners(now)
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

// abort gives each pending request a response. Without it, the end of the process would close
// their connections without a word, and clients could not tell whether to retry.
func (s *shutdown) abort(now time.Duration) {
	s.phase = phaseAborting
	s.gateway.EachPendingRequest(func(id, method, path string, age time.Duration) {
		s.aborted++
		s.log.Error("request aborted at shutdown", "request", id, "method", method, "path", path, "age", age)
	})
	s.gateway.AbortRemaining(now)
	s.exitAt = now + abortGrace
	wakeAfter(s.loop, abortGrace+timerSlack)
	s.loop.Wake() // the responses are written in the next iteration
}
