// Package eventloop drives one gateway over real sockets: one epoll instance,
// one goroutine, level triggered. It alone owns descriptors and reads the
// clock. It knows nothing of HTTP and makes no scheduling decision.
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
	// readBufferSize is how many bytes one read takes at most.
	readBufferSize = 64 << 10
	// maxEvents is how many events one iteration takes from epoll at most.
	maxEvents = 256
	// maxWait bounds one wait for events.
	maxWait = time.Minute
	// waitUnit is the unit of epoll's timeout. Waits are rounded up to it.
	waitUnit = time.Millisecond
	// clockOffset is the clock's reading when the loop is made. It is above zero so
	// that things that began before the process did, such as the start of a node that
	// is still warming up, have a positive time. Warm-ups of up to a day can be told so.
	clockOffset = 24 * time.Hour
	// never is a time that does not come. The gateway's own value for it is later.
	never = time.Duration(1 << 62)
)

// Loop is an epoll loop around a gateway. All methods but Wake are for the
// goroutine that calls Run.
type Loop struct {
	// Gateway is set once, before Run.
	Gateway *gateway.Gateway

	// OnFileChange is called when the watched file was replaced or written.
	OnFileChange func()
	// OnWake is called after Wake, on the loop's goroutine.
	OnWake func()
	// OnIteration, if set, is called after each iteration. It must not keep its argument.
	OnIteration func(*Iteration)

	calls      syscalls.Calls
	clockStart time.Time // the monotonic clock at reading zero of Now
	origin     time.Time // the wall clock at reading zero of Now

	epollFD     int
	descriptors map[int]descriptorKind // of descriptors other than connections
	wakeup      wakeup
	fileWatch   fileWatch
	listeners   []*listener
	accepting   acceptState
	rejected    rejectedQueue
	conns       connTable
	readBuffer  []byte
	dials       delayedDials
	stalled     stalledConns

	phaseStart time.Duration
	iteration  Iteration
}

// descriptorKind tells what a descriptor is that is no connection. The zero
// value stands for a descriptor that the loop does not know (any more).
type descriptorKind uint8

const (
	descriptorListener descriptorKind = iota + 1
	descriptorWakeup
	descriptorFileWatch
)

// New returns a loop. maxClients is how many client connections are open at
// once; more wait in the listen queue. maxRejected is how many rejected
// connections are held beside them until they have read their response.
func New(maxClients, maxRejected int) (*Loop, error) {
	return NewWithCalls(syscalls.Linux{}, maxClients, maxRejected)
}

// NewWithCalls is New with other system calls, as for the injection of faults.
func NewWithCalls(calls syscalls.Calls, maxClients, maxRejected int) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
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

// Now is the loop's monotonic clock. It reads a day when the loop is made.
func (l *Loop) Now() time.Duration { return time.Since(l.clockStart) }

// Origin is the wall-clock time at which Now was zero.
func (l *Loop) Origin() time.Time { return l.origin }

// addToEpoll begins to watch a descriptor that is no connection.
func (l *Loop) addToEpoll(fd int, events uint32) error {
	if err := l.calls.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("epoll_ctl: %w", err)
	}
	return nil
}

// Run iterates until done, which is called once an iteration, returns true. Its
// error is one of epoll itself.
//
// An iteration serves what nodes sent, then clients, then runs timers and
// writes, and accepts new connections last and for a bounded time. Guards
// against a burst of connections that delays responses which are ready.
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
			l.iteration.Durations[PhaseWakeup] = max(l.phaseStart-next-waitUnit, 0)
		}
		l.serveEvents(events[:max(n, 0)])
		l.retryDials()
		l.retryStalled()
	}
}

// nextOwnTimer is when the loop itself has something to do, apart from the
// gateway's timers: close a rejected connection, retry a call, accept again.
func (l *Loop) nextOwnTimer() time.Duration {
	next := min(l.rejected.next(), l.dials.next(), l.stalled.next())
	if l.accepting.paused() {
		next = min(next, l.accepting.resumeAt)
	}
	return next
}

// waitTimeout is epoll's timeout for a wait until a time: -1 for no bound.
func (l *Loop) waitTimeout(until time.Duration) int {
	if until >= never {
		return -1
	}
	units := (until - l.Now() + waitUnit - 1) / waitUnit
	return int(min(max(units, 0), maxWait/waitUnit))
}

// pendingEvents tells which descriptors other than connections have an event.
type pendingEvents struct {
	newConnections bool // a listener
	notifications  bool // the wake-up descriptor or the file watch
}

// serveEvents serves the events of one iteration, phase by phase.
func (l *Loop) serveEvents(events []unix.EpollEvent) {
	l.iteration.Events = len(events)
	started := l.phaseStart
	var pending pendingEvents
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
	case l.accepting.paused():
		if l.phaseStart >= l.accepting.resumeAt {
			l.resumeAccepting()
		}
	case pending.newConnections:
		l.serveListeners(started)
	case len(events) < maxEvents:
		l.noteEmptyQueues()
	}
}

// serveConnections serves the events of one side's connections, and notes in
// pending what else has an event.
func (l *Loop) serveConnections(events []unix.EpollEvent, of side, pending *pendingEvents) {
	for i := range events {
		fd := int(events[i].Fd)
		if s := l.conns.byDescriptor(fd); s != nil {
			if s.side == of {
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

// serveNotifications serves the wake-up descriptor and the file watch.
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
