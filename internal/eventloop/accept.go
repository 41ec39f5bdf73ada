package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxAccepts is how many connections one iteration accepts at most.
	maxAccepts = 64
	// maxAcceptsShared is the same where processes share the listeners. It is small, so
	// that a burst is spread over the processes.
	maxAcceptsShared = 4
	// acceptPause is for how long no connection is accepted after the process has run
	// out of descriptors or client slots.
	acceptPause = 50 * time.Millisecond
	// maxAborted is how many connections in a row may be gone before they are accepted.
	// Guards against an error that lasts, over which the loop would spin.
	maxAborted = 16

	// Accepting may take as long as all else in the iteration, within these bounds: an
	// idle loop accepts for at least the one, a busy one for at most the other.
	minAcceptTime = 100 * time.Microsecond
	maxAcceptTime = 500 * time.Microsecond
)

// acceptState tells whether connections are accepted, and from which queue first.
type acceptState struct {
	maxClients    int           // client connections open at once
	firstListener int           // index, modulo the listeners, of the first in the next round
	resumeAt      time.Duration // end of a pause, 0: not paused
	aborted       int           // connections in a row that were gone before they were accepted
}

func (a *acceptState) paused() bool { return a.resumeAt > 0 }

// pauseAccepting stops accepting for acceptPause. Guards against a busy loop over a
// listener that is ready while no descriptor is free for its connections.
func (l *Loop) pauseAccepting() {
	now := l.Now()
	l.accepting.resumeAt = now + acceptPause
	for _, n := range l.listeners {
		n.wait.pauseBegins(now)
		l.unwatchListener(n)
	}
}

// resumeAccepting ends a pause. Where epoll fails, another begins.
func (l *Loop) resumeAccepting() {
	l.accepting.resumeAt = 0
	for _, n := range l.listeners {
		l.endPause(n)
		l.rewatchListener(n)
	}
}

// rearmSharedListeners puts this process last among those that wait for a shared
// listener, so that each gets connections and not always the same one.
func (l *Loop) rearmSharedListeners() {
	for _, n := range l.listeners {
		if n.shared && !l.accepting.paused() {
			l.rewatchListener(n)
		}
	}
}

func (l *Loop) unwatchListener(n *listener) {
	unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_DEL, n.fd, nil)
}

func (l *Loop) rewatchListener(n *listener) {
	l.unwatchListener(n)
	if l.watchListener(n) != nil {
		now := l.Now()
		n.wait.pauseBegins(now)
		l.accepting.resumeAt = now + acceptPause
	}
}

// acceptBudget bounds the accepts of one iteration.
type acceptBudget struct {
	remaining int           // connections
	until     time.Duration // of the clock
	spent     bool
}

// serveListeners is the accept phase of an iteration that began at a time. What is
// due in the meantime is done first, and ends the phase early.
func (l *Loop) serveListeners(iterationStart time.Duration) {
	nextTimer := l.applyActions()
	l.endPhase(PhaseActions)
	spent := l.phaseStart - iterationStart
	until := l.phaseStart + min(max(spent, minAcceptTime), maxAcceptTime)
	until = min(until, max(nextTimer, l.phaseStart+minAcceptTime))
	l.acceptUntil(until)
	l.endPhase(PhaseAccept)
}

// acceptUntil accepts connections until a time: those in the queues of known clients
// first, then the others, one of each queue in a round.
func (l *Loop) acceptUntil(until time.Duration) {
	defer l.rearmSharedListeners()
	budget := acceptBudget{remaining: maxAccepts, until: until}
	if len(l.listeners) > 0 && l.listeners[0].shared {
		budget.remaining = maxAcceptsShared
	}
	for _, knownClients := range []bool{true, false} {
		for more := true; more && !budget.spent; {
			more = l.acceptRound(knownClients, &budget)
		}
	}
}

// acceptRound accepts one connection from each queue of known clients, or of the
// others, and returns whether there may be more.
func (l *Loop) acceptRound(knownClients bool, budget *acceptBudget) (more bool) {
	for i := range l.listeners {
		n := l.listeners[(l.accepting.firstListener+i)%len(l.listeners)]
		if n.knownClients != knownClients || !l.acceptOne(n) {
			continue
		}
		more = true
		budget.remaining--
		if budget.remaining == 0 || l.accepting.paused() || l.Now() >= budget.until {
			l.accepting.firstListener++
			budget.spent = true
			return false
		}
	}
	if l.accepting.paused() {
		budget.spent = true
	}
	return more
}

// DrainListenQueues accepts all connections that stand in the listen queues, before
// these are closed, and returns whether none is left. It returns false where
// descriptors have run out; it is then to be called again.
func (l *Loop) DrainListenQueues() bool {
	if l.accepting.paused() {
		if l.Now() < l.accepting.resumeAt {
			return false
		}
		l.resumeAccepting()
	}
	for _, n := range l.listeners {
		for accepted := 0; l.acceptOne(n); accepted++ {
			if accepted > listenBacklog { // more than the queue can have had: new ones still come
				break
			}
		}
		if l.accepting.paused() {
			return false
		}
	}
	return true
}

// acceptOne accepts one connection and returns whether there may be another.
func (l *Loop) acceptOne(n *listener) bool {
	if l.conns.clientCount >= l.accepting.maxClients {
		l.pauseAccepting()
		return false
	}
	fd, peer, err := l.calls.Accept(n.fd)
	switch {
	case err == nil:
		l.accepting.aborted = 0
		l.admit(n, fd, peer)
		return true
	case errors.Is(err, unix.EAGAIN):
		n.wait.emptied()
		return false
	case isAborted(err) && l.accepting.aborted < maxAborted:
		l.accepting.aborted++
		return true
	default: // no descriptor or memory for it, or an error that lasts
		l.accepting.aborted = 0
		l.pauseAccepting()
		return false
	}
}

// admit asks the gateway about an accepted connection and does as it decides: keep
// it, reject it with a response, or close it.
func (l *Loop) admit(n *listener, fd int, peer unix.Sockaddr) {
	now := l.Now()
	delay := n.wait.accepted(now)
	decision := l.Gateway.Accept(now, addrPort(peer), n.addressKey)
	switch {
	case decision.Admitted:
		if delay > 0 {
			l.Gateway.SetAcceptDelay(decision.ID, delay)
		}
		l.conns.add(socket{fd: fd, id: decision.ID, side: clientSide, state: socketOpen, wanted: readEvents})
		l.registerConn(decision.ID)
	case len(decision.Answer) > 0 && l.rejected.hasCapacity():
		// At once and without epoll: the buffer of a new socket has room for it.
		l.calls.Write(fd, decision.Answer)
		unix.Shutdown(fd, unix.SHUT_WR)
		l.rejected.add(fd, l.Now()+decision.Linger)
	default:
		unix.Close(fd)
	}
}

// isAborted tells whether accept failed for this one connection, which ended
// meanwhile (accept(2) passes network errors on), or for a signal.
func isAborted(err error) bool {
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EPERM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
