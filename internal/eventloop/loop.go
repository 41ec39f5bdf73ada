// Package eventloop runs one gateway on real sockets, with one level-triggered epoll
// instance and one goroutine. The loop owns all descriptors and reads the clock; the gateway
// does neither. The loop does not interpret HTTP and makes no scheduling decisions.
package eventloop

import (
	"errors"
	"fmt"
	"math"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/gateway"
	"maddergap/internal/syscalls"
)

const (
	// readBufferSize is the maximum number of bytes taken by one read.
	readBufferSize = 64 << 10
	// maxDiscards is the maximum number of reads in a row from a connection whose input is dropped.
	maxDiscards = 64
	// maxEvents is the maximum number of events that one iteration takes from epoll.
	maxEvents = 256
	// maxWait is the longest timeout of one wait for events.
	maxWait = time.Minute
	// timeoutResolution is the unit of epoll_wait's timeout. Waits are rounded up to it.
	timeoutResolution = time.Millisecond
	// clockOffset is the reading of the loop's clock when the loop is created. It is a day, so
	// that events of up to a day before the process started have a positive time too, such
	// as the start of a node that is still warming up.
	clockOffset = 24 * time.Hour
	// never is a time that is not reached. The gateway's own value for it is greater.
	never = time.Duration(1 << 62)
)

// Loop is an epoll event loop that runs a gateway. All methods except Wake may be called
// only on the goroutine that calls Run.
type Loop struct {
	// Gateway is set once, before Run.
	Gateway *gateway.Gateway

	// OnFileChange is called after the watched file was replaced or written; see WatchFile.
	OnFileChange func()
	// OnWake is called after Wake, on the loop's goroutine.
	OnWake func()
	// OnIteration, if set, is called after each iteration. It must not retain its argument.
	OnIteration func(*Iteration)

	calls      syscalls.Calls
	clockStart time.Time // monotonic clock reading at which Now is zero
	origin     time.Time // wall-clock time at which Now is zero

	epollFD     int
	descriptors map[int]descriptorKind // kinds of the descriptors that are not connections
	wakeup      wakeup
	fileWatch   fileWatch
	listeners   []*listener
	accepting   acceptState
	rejected    rejectedQueue
	conns       connTable
	readBuffer  []byte
	dials       delayedDials
	stalled     stalledConns

	phaseStart time.Duration // start of the current phase
	iteration  Iteration     // durations of the current iteration
}

// descriptorKind is the kind of a descriptor that is not a connection. The zero value stands
// for a descriptor that the loop does not know or has closed.
type descriptorKind uint8

const (
	descriptorListener descriptorKind = iota + 1
	descriptorWakeup
	descriptorFileWatch
)

// New returns a loop. maxClients is the maximum number of open client connections; further
// clients wait in the listen queue. maxRejected is the maximum number of rejected
// connections that are kept open in addition, until the client has had time to read its
// response.
func New(maxClients, maxRejected int) (*Loop, error) {
	return NewWithCalls(syscalls.Linux{}, maxClients, maxRejected)
}

// NewWithCalls is like New but makes its system calls through calls, for example to inject
// faults.
func NewWithCalls(calls syscalls.Calls, maxClients, maxRejected int) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll_create1: %w", err)
	}
	monotonic, wall := calls.Clocks()
	l := &Loop{
		calls:       calls,
		clockStart:  monotonic.Add(-clockOffset),
		origin:      wall.Add(-clockOffset),
		epollFD:     epollFD,
		descriptors: map[int]descriptorKind{},
		fileWatch:   fileWatch{fd: noDescriptor},
		accepting:   acceptState{maxClients: maxClients},
		rejected:    rejectedQueue{capacity: maxRejected},
		readBuffer:  make([]byte, readBufferSize),
	}
	if err := l.openWakeup(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Close closes every descriptor of the loop.
func (l *Loop) Close() {
	l.CloseListeners()
	l.rejected.closeExpired(math.MaxInt64)
	l.conns.closeAll()
	for _, fd := range []int{l.fileWatch.fd, l.wakeup.release(), l.epollFD} {
		if fd >= 0 {
			unix.Close(fd)
		}
	}
}

// Now returns the reading of the loop's monotonic clock. It is clockOffset, a day, when the loop
// is created.
func (l *Loop) Now() time.Duration { return time.Since(l.clockStart) }

// Origin returns the wall-clock time that corresponds to zero of Now.
func (l *Loop) Origin() time.Time { return l.origin }

// addToEpoll registers a descriptor that is not a connection.
func (l *Loop) addToEpoll(fd int, events uint32) error {
	if err := l.calls.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("epoll_ctl: %w", err)
	}
	return nil
}

// Run iterates until done returns true; done is called once per iteration. Run returns an
// error only if epoll_wait fails.
//
// An iteration handles the events of nodes, then those of clients, then runs timers and
// writes. It accepts new connections last and for a bounded time, so that a burst of
// connections does not delay responses that are ready.
func (l *Loop) Run(done func() bool) error {
	events := make([]unix.EpollEvent, maxEvents)
	l.phaseStart = l.Now()
	for {
		next := l.applyActions()
		l.endPhase(PhaseActions)
		if l.OnIteration != nil {
			l.OnIteration(&l.iteration)
		}
		l.iteration = Iteration{}
		if done() {
			return nil
		}
		next = min(next, l.nextOwnTimer())
		n, err := l.calls.EpollWait(l.epollFD, events, l.waitTimeout(next))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll_wait: %w", err)
		}
		l.phaseStart = l.Now()
		if n <= 0 && next < never { // woken by the timeout, not by events
			l.iteration.Durations[PhaseWakeup] = max(l.phaseStart-next-timeoutResolution, 0)
		}
		l.serveEvents(events[:max(n, 0)])
		l.retryDials()
		l.retryStalled()
	}
}

// nextOwnTimer returns the time of the loop's own next timer, as opposed to the gateway's: to
// close a rejected connection, to retry a call, or to resume accepting.
func (l *Loop) nextOwnTimer() time.Duration {
	next := min(l.rejected.next(), l.dials.next(), l.stalled.next())
	if l.accepting.isPaused() {
		next = min(next, l.accepting.resumeAt)
	}
	return next
}

// waitTimeout returns the timeout of epoll_wait, in milliseconds, for a wait until the
// given time. It is -1, which means no timeout, if until is never.
func (l *Loop) waitTimeout(until time.Duration) int {
	if until >= never {
		return -1
	}
	timeout := (until - l.Now() + timeoutResolution - 1) / timeoutResolution
	return int(min(max(timeout, 0), maxWait/timeoutResolution))
}

// pendingEvents tells which kinds of descriptors other than connections have an event.
type pendingEvents struct {
	newConnections bool // set if a listener has an event
	notifications  bool // set if the wake-up descriptor or the file watch has an event
}

// serveEvents handles the events of one iteration, phase by phase.
func (l *Loop) serveEvents(events []unix.EpollEvent) {
	l.iteration.Events = len(events)
	iterationStart := l.phaseStart
	var pending pendingEvents
	l.serveLeaving(events)
	l.serveConnections(events, nodeSide, &pending)
	l.endPhase(PhaseNodes)
	l.serveConnections(events, clientSide, &pending)
	l.endPhase(PhaseClients)
	if pending.notifications {
		l.serveNotifications(events)
		l.endPhase(PhaseFiles)
	}
	l.rejected.closeExpired(l.phaseStart)
	switch {
	case l.accepting.isPaused():
		if l.phaseStart >= l.accepting.resumeAt {
			l.resumeAccepting()
		}
	case pending.newConnections:
		l.serveListeners(iterationStart)
	case len(events) < maxEvents:
		l.recordEmptyQueues()
	}
}

// serveLeaving reports the clients that have shut down their sending side, before any other client's bytes
// are read: what a client that has left has requested must not be sent meanwhile.
func (l *Loop) serveLeaving(events []unix.EpollEvent) {
	if !l.Gateway.WantsPeerShutDown() {
		return
	}
	for i := range events {
		if events[i].Events&unix.EPOLLRDHUP == 0 {
			continue
		}
		s := l.conns.byDescriptor(int(events[i].Fd))
		if s != nil && s.side == clientSide && s.state == socketOpen && !l.reportShutDown(s) {
			events[i].Events = 0
		}
	}
}

// serveConnections handles the events of the connections on one side, and records in pending
// which other descriptors have an event.
func (l *Loop) serveConnections(events []unix.EpollEvent, onSide side, pending *pendingEvents) {
	for i := range events {
		fd := int(events[i].Fd)
		if s := l.conns.byDescriptor(fd); s != nil {
			if s.side == onSide {
				l.serveSocket(s, events[i].Events)
				events[i].Events = 0
			}
			continue
		}
		switch l.descriptors[fd] {
		case descriptorListener:
			pending.newConnections = true
		case descriptorWakeup, descriptorFileWatch:
			pending.notifications = true
		}
	}
}

// serveNotifications handles the events of the wake-up descriptor and the file watch.
func (l *Loop) serveNotifications(events []unix.EpollEvent) {
	for i := range events {
		switch fd := int(events[i].Fd); l.descriptors[fd] {
		case descriptorWakeup:
			l.serveWakeup(fd)
		case descriptorFileWatch:
			l.serveFileWatch()
		}
	}
}
