package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxAccepts is the maximum number of connections accepted in one iteration.
	maxAccepts = 64
	// maxAcceptsShared replaces maxAccepts if several processes share the listeners. It is
	// small, so that a burst of connections is spread over the processes.
	maxAcceptsShared = 4
	// acceptPause is how long the loop stops accepting after the process has run out of
	// descriptors or client slots.
	acceptPause = 50 * time.Millisecond
	// maxTransientErrors is how many transient errors in a row are retried at once. A
	// persistent error would otherwise keep the loop busy.
	maxTransientErrors = 16

	// The accept phase may last as long as the rest of the iteration has taken, but at
	// least minAcceptTime and at most maxAcceptTime.
	minAcceptTime = 100 * time.Microsecond
	maxAcceptTime = 500 * time.Microsecond
)

// acceptState holds the limits and the current state of accepting connections.
type acceptState struct {
	maxClients      int           // maximum number of open client connections
	firstListener   int           // index of the listener that the next round starts with, modulo their number
	resumeAt        time.Duration // end of the current pause; 0 if accepting is not paused
	transientErrors int           // number of transient errors in a row; EAGAIN does not reset it
}

func (a *acceptState) isPaused() bool { return a.resumeAt > 0 }

// pauseAccepting stops accepting for acceptPause. Without the pause, a listener that has
// connections waiting would keep waking the loop although no descriptor or slot is free for them.
func (l *Loop) pauseAccepting() {
	now := l.Now()
	l.accepting.resumeAt = now + acceptPause
	for _, ln := range l.listeners {
		ln.wait.beginPause(now)
		l.unwatchListener(ln)
	}
}

// resumeAccepting ends a pause. If a listener cannot be added to epoll, another pause begins.
func (l *Loop) resumeAccepting() {
	l.accepting.resumeAt = 0
	for _, ln := range l.listeners {
		l.recordQueueLength(ln)
		l.rewatchListener(ln)
	}
}

// rearmSharedListeners registers the shared listeners with epoll again. This puts the process
// at the end of the kernel's list of waiters, so that the connections are spread over all
// processes instead of going to the same process each time.
func (l *Loop) rearmSharedListeners() {
	for _, ln := range l.listeners {
		if ln.shared && !l.accepting.isPaused() {
			l.rewatchListener(ln)
		}
	}
}

// unwatchListener removes a listener from epoll.
func (l *Loop) unwatchListener(ln *listener) {
	unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_DEL, ln.fd, nil)
}

// rewatchListener removes a listener from epoll and adds it again. If that fails, accepting
// is paused.
func (l *Loop) rewatchListener(ln *listener) {
	l.unwatchListener(ln)
	if l.watchListener(ln) != nil {
		now := l.Now()
		ln.wait.beginPause(now)
		l.accepting.resumeAt = now + acceptPause
	}
}

// acceptBudget limits how much one iteration accepts.
type acceptBudget struct {
	remaining int           // number of connections that may still be accepted
	until     time.Duration // time at which accepting stops, by the loop's clock
	exhausted bool          // set when no more is accepted in this iteration
}

// serveListeners runs the accept phase of an iteration that began at iterationStart. Actions
// that are due by now are applied first, and the phase ends early for the gateway's next timer.
func (l *Loop) serveListeners(iterationStart time.Duration) {
	nextTimer := l.applyActions()
	l.endPhase(PhaseActions)
	elapsed := l.phaseStart - iterationStart
	until := l.phaseStart + min(max(elapsed, minAcceptTime), maxAcceptTime)
	until = min(until, max(nextTimer, l.phaseStart+minAcceptTime))
	l.acceptUntil(until)
	l.endPhase(PhaseAccept)
}

// acceptUntil accepts connections until the given time, or until a limit is reached. The queues
// of known clients come first, then the other queues. Queues of the same kind are served
// round-robin, one connection each.
func (l *Loop) acceptUntil(until time.Duration) {
	defer l.rearmSharedListeners()
	budget := acceptBudget{remaining: maxAccepts, until: until}
	if len(l.listeners) > 0 && l.listeners[0].shared {
		budget.remaining = maxAcceptsShared
	}
	for _, knownClients := range []bool{true, false} {
		for more := true; more && !budget.exhausted; {
			more = l.acceptRound(knownClients, &budget)
		}
	}
}

// acceptRound accepts one connection from each queue of known clients, or from each other
// queue, and reports whether more connections may be waiting.
func (l *Loop) acceptRound(knownClients bool, budget *acceptBudget) (more bool) {
	for i := range l.listeners {
		ln := l.listeners[(l.accepting.firstListener+i)%len(l.listeners)]
		if ln.knownClients != knownClients || !l.acceptOne(ln) {
			continue
		}
		more = true
		budget.remaining--
		if budget.remaining == 0 || l.accepting.isPaused() || l.Now() >= budget.until {
			l.accepting.firstListener++
			budget.exhausted = true
			return false
		}
	}
	if l.accepting.isPaused() {
		budget.exhausted = true
	}
	return more
}

// DrainListenQueues accepts all connections that wait in the listen queues and reports
// whether the queues are empty. It is called before the listeners are closed. It returns
// false if accepting is paused, for example for lack of descriptors; the caller then calls
// it again later.
func (l *Loop) DrainListenQueues() bool {
	if l.accepting.isPaused() {
		if l.Now() < l.accepting.resumeAt {
			return false
		}
		l.resumeAccepting()
	}
	for _, ln := range l.listeners {
		for accepted := 0; l.acceptOne(ln); accepted++ {
			if accepted > listenBacklog { // more than fit in the queue: new connections still arrive
				break
			}
		}
		if l.accepting.isPaused() {
			return false
		}
	}
	return true
}

// acceptOne accepts one connection and reports whether another may be waiting.
func (l *Loop) acceptOne(ln *listener) bool {
	if l.conns.clientCount >= l.accepting.maxClients {
		l.pauseAccepting()
		return false
	}
	fd, peer, err := l.calls.Accept(ln.fd)
	switch {
	case err == nil:
		l.accepting.transientErrors = 0
		l.handleAccepted(ln, fd, peer)
		return true
	case errors.Is(err, unix.EAGAIN):
		ln.wait.recordEmpty()
		return false
	case isTransientAcceptError(err) && l.accepting.transientErrors < maxTransientErrors:
		l.accepting.transientErrors++
		return true
	default: // no descriptor or memory, or a persistent error
		l.accepting.transientErrors = 0
		l.pauseAccepting()
		return false
	}
}

// handleAccepted asks the gateway whether to admit an accepted connection, and keeps it,
// rejects it with a response, or closes it without one.
func (l *Loop) handleAccepted(ln *listener, fd int, peer unix.Sockaddr) {
	now := l.Now()
	delay := ln.wait.recordAccept(now)
	decision := l.Gateway.Accept(now, addrPort(peer), ln.addressKey)
	switch {
	case decision.Admitted:
		if delay > 0 {
			l.Gateway.SetAcceptDelay(decision.ID, delay)
		}
		l.conns.add(socket{fd: fd, id: decision.ID, side: clientSide, state: socketOpen, wanted: readEvents})
		l.registerConn(decision.ID)
	case len(decision.Response) > 0 && l.rejected.hasCapacity():
		// Written at once and without epoll: the response fits in the send buffer of a new socket.
		l.calls.Write(fd, decision.Response)
		unix.Shutdown(fd, unix.SHUT_WR)
		l.rejected.add(fd, l.Now()+decision.Linger)
	default:
		unix.Close(fd)
	}
}

// isTransientAcceptError reports whether accept failed because of this one connection, which
// ended before it was accepted (accept(2) passes its network error on), or because of a signal.
func isTransientAcceptError(err error) bool {
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EPERM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
