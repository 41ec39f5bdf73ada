// Package eventloop drives one head over real sockets: one epoll instance, one
// goroutine, level triggered. It alone touches descriptors and the clock; it
// knows nothing of HTTP and decides nothing.
package eventloop

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/gateway"
	"maddergap/internal/syscalls"
)

const (
	readSize   = 64 << 10
	maxEvents  = 256
	acceptTurn = 64 // connections taken of the listeners in one turn
	// The same where processes share the listeners: few, so that a burst is spread.
	acceptShared = 4
	acceptRest   = 50 * time.Millisecond
	backlog      = 4096

	// What newcomers may take of a turn: as long as all else in it took, but no less
	// than the one, lest an idle head keep them waiting, and no more than the other.
	acceptLeast = 100 * time.Microsecond
	acceptMost  = 500 * time.Microsecond
)

// Phase of a turn of the loop.
type Phase int

// PhaseCount, in their order within a turn: what is due, and answers, before newcomers.
const (
	PhaseWakeup  Phase = iota // how much later than asked the kernel woke the loop
	PhaseNodes                // what nodes sent
	PhaseClients              // what clients sent
	PhaseActions              // timers, decisions and writes
	PhaseAccept               // newcomers, those turned away with them
	PhaseFiles                // node list, configuration, signals
	PhaseCount                // how many there are
)

func (p Phase) String() string {
	return [...]string{"wake", "nodes", "clients", "acts", "accept", "files"}[p]
}

// Iteration is what one turn of the loop took, without the wait for events.
type Iteration struct {
	Durations [PhaseCount]time.Duration
	Events    int
}

// Total is all that a turn took.
func (t *Iteration) Total() (sum time.Duration) {
	for _, d := range t.Durations {
		sum += d
	}
	return sum
}

// Loop is an epoll loop around a head.
type Loop struct {
	Gateway *gateway.Gateway

	// OnFileChange is called when a watched file was replaced or written.
	OnFileChange func()
	// OnWake is called after Wake.
	OnWake func()
	// OnIteration is told of every turn, if it is not nil. It must not keep the turn.
	OnIteration func(*Iteration)

	calls     syscalls.Calls
	epfd      int
	mu        sync.Mutex // of wakefd
	wakefd    int
	inotify   int
	watchName string
	start     time.Time // of the monotonic clock, from which all spans are taken
	wall      time.Time // the wall-clock time then
	listeners []listener
	first     int // listener whose turn it is to be first
	lingering lingering
	conns     []sock  // by the head's slot
	byFD      []int32 // slot + 1 of a descriptor, 0: none
	buf       []byte
	blocked   time.Duration // since when newcomers may have waited, 0: they do not
	resumeAt  time.Duration // when accepting goes on after descriptors ran out, 0: it goes on
	aborted   int           // newcomers in a row that were gone
	clients   int
	most      int
	kind      map[int]int // descriptors that are no connections
	redials   redials
	stalled   stalled
	mark      time.Duration
	turn      Iteration
}

type sock struct {
	fd       int // -1: none
	id       gateway.ConnID
	addr     string // of a node
	wanted   uint32 // events it should be watched for
	events   uint32 // events it is watched for
	watched  bool   // epoll has it
	dialing  bool
	client   bool
	shut     bool // read to its end
	stalled  bool // a call on it failed for a while
	shutOwed bool // its sending side is to be ended
}

const (
	kindListener = iota + 1
	kindWake
	kindInotify
)

// past is what the clock shows at the start: what began before the process did,
// as a node that is still cold, has a time above zero too.
const past = 24 * time.Hour

// New returns a loop. most is how many client connections are held at once; more
// wait in the listen queue. told is how many of those turned away with an answer
// are held beside them until they have read it.
func New(most, told int) (*Loop, error) { return NewWithCalls(syscalls.Linux{}, most, told) }

// NewWithCalls is New with other system calls.
func NewWithCalls(calls syscalls.Calls, most, told int) (*Loop, error) {
	epfd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	monotonic, wall := calls.Clocks()
	l := &Loop{calls: calls, epfd: epfd, inotify: -1, start: monotonic.Add(-past), wall: wall.Add(-past), buf: make([]byte, readSize), most: most, kind: map[int]int{}}
	l.lingering.most = told
	if l.wakefd, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		unix.Close(epfd)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l.kind[l.wakefd] = kindWake
	if err := l.add(l.wakefd, unix.EPOLLIN); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Now is the time since a day before the loop was made.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// Origin is the wall-clock time of the clock's zero.
func (l *Loop) Origin() time.Time { return l.wall }

// Wake makes a loop that waits call Woken; it may be called from any goroutine,
// also after Close. Guards against a late call that writes to whatever has the
// descriptor's number by then.
func (l *Loop) Wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wakefd < 0 {
		return
	}
	one := [8]byte{7: 1}
	for range interruptedMost {
		if _, err := unix.Write(l.wakefd, one[:]); !errors.Is(err, unix.EINTR) {
			return // EAGAIN: it is awake already
		}
	}
}

func (l *Loop) add(fd int, events uint32) error {
	if err := l.calls.EpollCtl(l.epfd, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("epoll_ctl: %w", err)
	}
	return nil
}

func sockaddr(addr string) (unix.Sockaddr, int, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, 0, err
	}
	if a := ap.Addr().Unmap(); a.Is4() {
		return &unix.SockaddrInet4{Port: int(ap.Port()), Addr: a.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}, unix.AF_INET6, nil
}

func addrOf(sa unix.Sockaddr) netip.AddrPort {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// WatchFile calls Watched when the file is replaced or written.
func (l *Loop) WatchFile(file string) error {
	fd, err := unix.InotifyInit1(unix.IN_CLOEXEC | unix.IN_NONBLOCK)
	if err == nil {
		// The folder is watched: a file that is replaced is another file.
		_, err = unix.InotifyAddWatch(fd, filepath.Dir(file), unix.IN_CLOSE_WRITE|unix.IN_MOVED_TO)
	}
	if err != nil {
		return fmt.Errorf("watch %s: %w", file, err)
	}
	l.inotify, l.watchName = fd, filepath.Base(file)
	l.kind[fd] = kindInotify
	return l.add(fd, unix.EPOLLIN)
}

// Close lets go of every descriptor.
func (l *Loop) Close() {
	l.CloseListeners()
	l.lingering.end(math.MaxInt64)
	for i := range l.conns {
		if l.conns[i].fd >= 0 {
			unix.Close(l.conns[i].fd)
		}
	}
	l.conns = nil
	l.mu.Lock()
	wakefd := l.wakefd
	l.wakefd = -1
	l.mu.Unlock()
	for _, fd := range []int{l.inotify, wakefd, l.epfd} {
		if fd >= 0 {
			unix.Close(fd)
		}
	}
}

// took books the time since the last call on a part of the turn.
func (l *Loop) took(p Phase) {
	now := l.Now()
	l.turn.Durations[p] += now - l.mark
	l.mark = now
}

// Run goes on until done says so; that is asked once a turn. In a turn, what nodes
// sent comes first, then clients, then what is due and what is to be written, and
// newcomers last and for a bounded time. Guards against a burst of connections
// behind which answers that are due would wait.
func (l *Loop) Run(done func() bool) error {
	events := make([]unix.EpollEvent, maxEvents)
	l.mark = l.Now()
	for {
		next := l.act()
		l.took(PhaseActions)
		if l.OnIteration != nil {
			l.OnIteration(&l.turn)
		}
		l.turn = Iteration{}
		if done() {
			return nil
		}
		wait := -1
		next = min(next, l.lingering.next(), l.retryAt())
		if l.resumeAt > 0 {
			next = min(next, l.resumeAt)
		}
		if next < 1<<62 {
			wait = int(min(max((next-l.Now()+time.Millisecond-1)/time.Millisecond, 0), 60000))
		}
		n, err := l.calls.EpollWait(l.epfd, events, wait)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll_wait: %w", err)
		}
		l.mark = l.Now()
		if n <= 0 && next < 1<<62 {
			l.turn.Durations[PhaseWakeup] = max(l.mark-next-time.Millisecond, 0)
		}
		l.serve(events[:max(n, 0)])
		l.redial()
		l.unstall()
	}
}

// serve takes the events of one turn.
func (l *Loop) serve(events []unix.EpollEvent) {
	l.turn.Events = len(events)
	began := l.mark
	newcomers, files := false, false
	for _, client := range []bool{false, true} {
		for i := range events {
			fd := int(events[i].Fd)
			if fd < len(l.byFD) && l.byFD[fd] > 0 {
				if s := &l.conns[l.byFD[fd]-1]; s.client == client {
					l.ready(s, events[i].Events)
					events[i].Events = 0
				}
			} else if kind := l.kind[fd]; kind == kindListener {
				newcomers = true
			} else if kind != 0 {
				files = true
			}
		}
		if client {
			l.took(PhaseClients)
		} else {
			l.took(PhaseNodes)
		}
	}
	if files {
		for i := range events {
			if fd := int(events[i].Fd); l.kind[fd] == kindWake || l.kind[fd] == kindInotify {
				l.special(fd, l.kind[fd])
			}
		}
		l.took(PhaseFiles)
	}
	l.lingering.end(l.mark)
	if l.resumeAt > 0 && l.mark >= l.resumeAt {
		l.accepting(true)
	}
	if !newcomers || l.resumeAt > 0 {
		return
	}
	due := l.act()
	l.took(PhaseActions)
	until := l.mark + min(max(l.mark-began, acceptLeast), acceptMost)
	l.accept(min(until, max(due, l.mark+acceptLeast)))
	l.took(PhaseAccept)
}

func (l *Loop) special(fd, kind int) {
	switch kind {
	case kindWake:
		var b [8]byte
		unix.Read(fd, b[:])
		l.yield() // looks at shared listeners anew: the wake for one may have gone to a process that hangs
		if l.OnWake != nil {
			l.OnWake()
		}
	case kindInotify:
		if l.notices() && l.OnFileChange != nil {
			l.OnFileChange()
		}
	}
}

// notices reads inotify's records and tells whether one names the watched file;
// an overflow may have lost one and counts too.
func (l *Loop) notices() (hit bool) {
	for {
		n, err := unix.Read(l.inotify, l.buf)
		if err != nil || n < unix.SizeofInotifyEvent {
			return hit
		}
		for p := l.buf[:n]; len(p) >= unix.SizeofInotifyEvent; {
			mask := uint32(p[4]) | uint32(p[5])<<8 | uint32(p[6])<<16 | uint32(p[7])<<24
			size := int(uint32(p[12]) | uint32(p[13])<<8 | uint32(p[14])<<16 | uint32(p[15])<<24)
			name := p[unix.SizeofInotifyEvent:min(unix.SizeofInotifyEvent+size, len(p))]
			for len(name) > 0 && name[len(name)-1] == 0 {
				name = name[:len(name)-1]
			}
			hit = hit || string(name) == l.watchName || mask&unix.IN_Q_OVERFLOW != 0
			p = p[min(unix.SizeofInotifyEvent+size, len(p)):]
		}
	}
}

func (l *Loop) put(id gateway.ConnID, s sock) {
	for id.Slot() >= len(l.conns) {
		l.conns = append(l.conns, sock{fd: -1})
	}
	l.conns[id.Slot()] = s
	for s.fd >= len(l.byFD) {
		l.byFD = append(l.byFD, 0)
	}
	l.byFD[s.fd] = int32(id.Slot()) + 1
}

// sock finds the descriptor of a connection, nil where there is none any more.
func (l *Loop) sock(id gateway.ConnID) *sock {
	if s := id.Slot(); s < len(l.conns) && l.conns[s].fd >= 0 && l.conns[s].id == id {
		return &l.conns[s]
	}
	return nil
}

// let closes a connection's descriptor, with a reset where asked.
func (l *Loop) let(s *sock, reset bool) {
	if reset {
		unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	}
	l.byFD[s.fd] = 0
	unix.Close(s.fd)
	if s.client {
		l.clients--
	}
	*s = sock{fd: -1}
}

func (l *Loop) lost(id gateway.ConnID) {
	if s := l.sock(id); s != nil {
		l.let(s, false)
	}
	l.Gateway.Closed(l.Now(), id)
}

// want sets the events a connection is to be watched for.
func (l *Loop) want(s *sock, events uint32) {
	s.wanted = events
	l.arm(s)
}

// arm has a connection watched for what is wanted, or stalled where that fails.
func (l *Loop) arm(s *sock) {
	events := s.wanted
	if s.stalled { // it would wake the loop at once
		events &^= unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP
	}
	if s.watched && s.events == events {
		return
	}
	op := unix.EPOLL_CTL_MOD
	if !s.watched {
		op = unix.EPOLL_CTL_ADD
	}
	if l.calls.EpollCtl(l.epfd, op, s.fd, &unix.EpollEvent{Events: events, Fd: int32(s.fd)}) != nil {
		l.stall(s)
		return
	}
	s.watched, s.events = true, events
}

// unwatched tells whether events that are wanted would not wake the loop.
func (s *sock) unwatched() bool { return !s.watched || s.wanted&^s.events != 0 }

// watchConn begins to watch a connection.
func (l *Loop) watchConn(id gateway.ConnID) {
	if s := l.sock(id); s != nil {
		l.arm(s)
	}
}

// ready serves one connection's events.
func (l *Loop) ready(s *sock, events uint32) {
	id := s.id
	if s.dialing {
		code, err := l.calls.SocketError(s.fd)
		switch {
		case err != nil || code != 0 && local(code):
			a := gateway.Action{Op: gateway.Dial, Conn: id, Addr: s.addr}
			l.let(s, false)
			l.postpone(a)
			return
		case code != 0:
			l.lost(id)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		s.dialing = false
		l.want(s, unix.EPOLLIN|unix.EPOLLRDHUP)
		l.redials.backoff.succeed()
		l.Gateway.Connected(l.Now(), id)
		return
	}
	if events == 0 { // served in this turn
		return
	}
	paused := s.wanted&unix.EPOLLIN == 0
	if events&unix.EPOLLERR != 0 {
		// What a node sent before it reset the connection may be a whole answer: it is
		// read first, and the reset found behind it.
		if s.client || s.shut || paused || events&unix.EPOLLIN == 0 {
			l.lost(id)
			return
		}
	} else if events&unix.EPOLLOUT != 0 {
		l.write(s)
		if s = l.sock(id); s == nil {
			return
		}
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP) != 0 && !s.shut {
		if paused { // only the end of it is news, and waits its turn
			if events&unix.EPOLLHUP != 0 {
				l.lost(id)
			}
			return
		}
		n, err := l.calls.Read(s.fd, l.buf)
		switch {
		case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM):
			l.stall(s)
			l.arm(s)
			l.Gateway.Stalled(l.Now(), id)
		case err != nil:
			l.lost(id)
		case n == 0:
			s.shut = true
			l.want(s, s.wanted&^(unix.EPOLLIN|unix.EPOLLRDHUP))
			l.Gateway.EOF(l.Now(), id)
		default:
			l.Gateway.Data(l.Now(), id, l.buf[:n])
		}
	} else if events&unix.EPOLLHUP != 0 {
		l.lost(id)
	}
}

// write sends what the head has for a connection, as far as it goes.
func (l *Loop) write(s *sock) {
	id := s.id
	for interrupted := 0; s != nil && !s.dialing; {
		p := l.Gateway.Out(l.Now(), id)
		if len(p) == 0 {
			l.want(s, s.wanted&^unix.EPOLLOUT)
			return
		}
		n, err := l.calls.Write(s.fd, p)
		if n > 0 {
			l.Gateway.Wrote(l.Now(), id, n)
			s = l.sock(id)
			if n == len(p) {
				continue
			}
		}
		switch {
		case errors.Is(err, unix.EINTR) && interrupted < interruptedMost:
			interrupted++
		case errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM), errors.Is(err, unix.EINTR):
			s.wanted |= unix.EPOLLOUT
			l.stall(s)
			l.arm(s)
			l.Gateway.Stalled(l.Now(), id)
			return
		case err != nil && !errors.Is(err, unix.EAGAIN):
			l.lost(id)
			return
		case s != nil:
			l.want(s, s.wanted|unix.EPOLLOUT)
			return
		}
	}
}

// shutdown ends a connection's sending side.
func (l *Loop) shutdown(s *sock) {
	err := l.calls.Shutdown(s.fd, unix.SHUT_WR)
	if s.shutOwed = err != nil && local(err); s.shutOwed {
		l.stall(s)
	}
}

// act carries out what the head asks for and returns when it is to be asked again.
func (l *Loop) act() time.Duration {
	for {
		acts, next := l.Gateway.Advance(l.Now())
		if len(acts) == 0 {
			return next
		}
		for _, a := range acts {
			if a.Op == gateway.Dial {
				l.dial(a)
				continue
			}
			s := l.sock(a.Conn)
			if s == nil {
				l.redials.forget(a.Conn)
				continue
			}
			switch a.Op {
			case gateway.Flush:
				l.write(s)
			case gateway.Pause:
				l.want(s, s.wanted&^(unix.EPOLLIN|unix.EPOLLRDHUP))
			case gateway.Resume:
				if !s.shut && !s.dialing {
					l.want(s, s.wanted|unix.EPOLLIN|unix.EPOLLRDHUP)
				}
			case gateway.CloseWrite:
				l.shutdown(s)
			case gateway.Close, gateway.Abort:
				l.let(s, a.Op == gateway.Abort)
			}
		}
	}
}

// dial begins a connection. A failure of the head's own machine is not the other side's: it
// is begun later.
func (l *Loop) dial(a gateway.Action) {
	if len(l.redials.waiting) > 0 && l.Now() < l.redials.backoff.at { // it would fail like those
		l.redials.waiting = append(l.redials.waiting, a)
		l.Gateway.Stalled(l.Now(), a.Conn)
		return
	}
	sa, family, err := sockaddr(a.Addr)
	if err != nil {
		l.Gateway.Closed(l.Now(), a.Conn)
		return
	}
	fd, err := l.calls.Socket(family)
	if err != nil {
		l.postpone(a)
		return
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	err = l.calls.Connect(fd, sa)
	if err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EINTR) { // interrupted: it goes on
		unix.Close(fd)
		if local(err) {
			l.postpone(a)
		} else {
			l.Gateway.Closed(l.Now(), a.Conn)
		}
		return
	}
	l.put(a.Conn, sock{fd: fd, id: a.Conn, addr: a.Addr, dialing: true, wanted: unix.EPOLLOUT})
	l.watchConn(a.Conn)
}
