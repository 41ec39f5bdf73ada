package eventloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// listener is one listen queue. An address may have two: the second is for the
// clients that the sorter names, so that no burst of others stands before them.
type listener struct {
	fd     int
	key    int  // the same of both queues of an address
	sorted bool // the second queue
	shared bool // with other processes
}

// Listen opens a listener and returns its address. sorter is a program that the
// kernel runs over a new connection's packet: 1 puts it into a queue of its own.
// With none, or where the kernel does not take it, all wait in one queue.
func (l *Loop) Listen(addr string, sorter []bpf.RawInstruction) (string, error) {
	sa, family, err := sockaddr(addr)
	if err != nil {
		return "", err
	}
	fail := func(err error) (string, error) { return "", fmt.Errorf("listen %s: %w", addr, err) }
	if len(sorter) > 0 {
		// Two queues of one address need SO_REUSEPORT, which would also let a second
		// head in beside this one: that the address is free is seen first without it.
		probe, err := l.bound(sa, family, false)
		if err != nil {
			return fail(err)
		}
		unix.Close(probe)
	}
	fd, err := l.bound(sa, family, len(sorter) > 0)
	if err != nil {
		return fail(err)
	}
	if sa, err = unix.Getsockname(fd); err != nil {
		unix.Close(fd)
		return fail(err)
	}
	bound := addrOf(sa)
	if err := l.listen(listener{fd: fd, key: fd}); err != nil {
		return fail(err)
	}
	if len(sorter) > 0 {
		second, err := l.bound(sa, family, true)
		if err == nil {
			err = l.listen(listener{fd: second, key: fd, sorted: true})
		}
		if err != nil {
			return fail(err)
		}
		if l.SetKnownClientFilter(sorter) != nil { // an old kernel: one queue does for all
			l.drop(len(l.listeners) - 1)
		}
	}
	return bound.String(), nil
}

// bound returns a socket bound to an address. What is accepted from it inherits
// TCP_NODELAY, which saves a call for each.
func (l *Loop) bound(sa unix.Sockaddr, family int, shared bool) (int, error) {
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if shared {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err == nil {
		err = unix.Bind(fd, sa)
	}
	if err != nil {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

func (l *Loop) listen(n listener) error {
	err := unix.Listen(n.fd, backlog)
	if err == nil {
		err = l.watch(n)
	}
	if err != nil {
		unix.Close(n.fd)
		return err
	}
	l.kind[n.fd] = kindListener
	l.listeners = append(l.listeners, n)
	return nil
}

// watch asks for a listener's events. Of processes that share it the one that waits
// longest is woken alone.
func (l *Loop) watch(n listener) error {
	if n.shared {
		return l.add(n.fd, unix.EPOLLIN|unix.EPOLLEXCLUSIVE)
	}
	return l.add(n.fd, unix.EPOLLIN)
}

// ListenQueue is a listen queue that processes share: its descriptor, the address's other
// queue if it has one, and whether it is that of the clients the sorter names.
type ListenQueue struct {
	FD           int
	AddressKey   int // the same of both queues of an address
	KnownClients bool
}

// ListenQueues returns the listen queues, for other processes to adopt.
func (l *Loop) ListenQueues() (out []ListenQueue) {
	for _, n := range l.listeners {
		out = append(out, ListenQueue{n.fd, n.key, n.sorted})
	}
	return out
}

// AdoptQueue takes newcomers from a listen queue that other processes take from too, and
// returns its address.
func (l *Loop) AdoptQueue(q ListenQueue) (string, error) {
	sa, err := unix.Getsockname(q.FD)
	if err != nil {
		return "", fmt.Errorf("adopt descriptor %d: %w", q.FD, err)
	}
	unix.CloseOnExec(q.FD)
	unix.SetNonblock(q.FD, true)
	return addrOf(sa).String(), l.listen(listener{fd: q.FD, key: q.AddressKey, sorted: q.KnownClients, shared: true})
}

// SetKnownClientFilter puts another sorter in force, for the addresses that have two queues.
func (l *Loop) SetKnownClientFilter(sorter []bpf.RawInstruction) error {
	if len(sorter) == 0 { // no one has the queue to himself
		sorter = []bpf.RawInstruction{{Op: unix.BPF_RET | unix.BPF_K}}
	}
	filter := make([]unix.SockFilter, len(sorter))
	for i, in := range sorter {
		filter[i] = unix.SockFilter{Code: in.Op, Jt: in.Jt, Jf: in.Jf, K: in.K}
	}
	for _, n := range l.listeners {
		if n.sorted {
			if err := unix.SetsockoptSockFprog(n.fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
				&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *Loop) drop(i int) {
	n := l.listeners[i]
	l.listeners = append(l.listeners[:i], l.listeners[i+1:]...)
	delete(l.kind, n.fd)
	unix.Close(n.fd)
}

// CloseListeners takes no more connections.
func (l *Loop) CloseListeners() {
	for len(l.listeners) > 0 {
		l.drop(len(l.listeners) - 1)
	}
}

// accepting stops or goes on taking connections. Guards against a busy loop
// over a listener that is ready while no descriptor is free for what it has.
func (l *Loop) accepting(on bool) {
	l.resumeAt = 0
	if !on {
		l.resumeAt = l.Now() + acceptRest
		if l.blocked == 0 {
			l.blocked = l.Now()
		}
	}
	for _, n := range l.listeners {
		unix.EpollCtl(l.epfd, unix.EPOLL_CTL_DEL, n.fd, nil)
		if on && l.watch(n) != nil {
			l.resumeAt = l.Now() + acceptRest
		}
	}
}

// yield puts this process last among those that wait for a shared listener, so that
// all of them get connections, not the same one always.
func (l *Loop) yield() {
	for _, n := range l.listeners {
		if n.shared && l.resumeAt == 0 {
			unix.EpollCtl(l.epfd, unix.EPOLL_CTL_DEL, n.fd, nil)
			if l.watch(n) != nil {
				l.resumeAt = l.Now() + acceptRest
			}
		}
	}
}

// accept takes newcomers until a time: first from the queues of those that the
// sorter names, then from the others, one of each in turn.
func (l *Loop) accept(until time.Duration) {
	defer l.yield()
	left := acceptTurn
	if len(l.listeners) > 0 && l.listeners[0].shared {
		left = acceptShared
	}
	for _, sorted := range []bool{true, false} {
		for more := true; more && left > 0; {
			more = false
			for i := range l.listeners {
				n := l.listeners[(l.first+i)%len(l.listeners)]
				if n.sorted != sorted {
					continue
				}
				if !l.acceptOne(n) {
					continue
				}
				more = true
				if left--; left == 0 || l.resumeAt > 0 || l.Now() >= until {
					l.first++
					return
				}
			}
			if l.resumeAt > 0 {
				return
			}
		}
	}
}

// DropNewConnections has the system drop what would begin a connection, while those that have
// begun go on to stand in the listen queues. Guards against a connection that is made between
// the last accept and the close of its listener, which would reset it with its request. Where
// other processes share the queue, or the system does not take the filter, nothing is done.
func (l *Loop) DropNewConnections() {
	const flags, syn = 13, 0x02 // of the TCP header
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: syn},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 18},
	}
	for _, n := range l.listeners {
		if !n.shared {
			unix.SetsockoptSockFprog(n.fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
		}
	}
}

// DrainListenQueues takes all that stand in the listen queues, before these are closed, and tells
// whether there is none left: where descriptors have run out it is to be called again.
func (l *Loop) DrainListenQueues() bool {
	if l.resumeAt > 0 {
		if l.Now() < l.resumeAt {
			return false
		}
		l.accepting(true)
	}
	for _, n := range l.listeners {
		for taken := 0; l.acceptOne(n); taken++ {
			if taken > backlog { // more come than the queue can have had
				break
			}
		}
		if l.resumeAt > 0 {
			return false
		}
	}
	return true
}

// acceptOne takes one newcomer and tells whether there may be another.
func (l *Loop) acceptOne(n listener) bool {
	if l.clients >= l.most {
		l.accepting(false)
		return false
	}
	fd, sa, err := l.calls.Accept(n.fd)
	switch {
	case err == nil:
		l.aborted = 0
	case errors.Is(err, unix.EAGAIN):
		l.blocked = 0
		return false
	case aborted(err) && l.aborted < abortedMost:
		l.aborted++
		return true
	default: // no descriptor or memory for it, or an error that lasts
		l.aborted = 0
		l.accepting(false)
		return false
	}
	w := l.Gateway.Accept(l.Now(), addrOf(sa), n.key)
	switch {
	case w.Admitted:
		if l.blocked > 0 {
			l.Gateway.SetAcceptDelay(w.ID, l.Now()-l.blocked)
		}
		l.clients++
		l.put(w.ID, sock{fd: fd, id: w.ID, client: true, wanted: unix.EPOLLIN | unix.EPOLLRDHUP})
		l.watchConn(w.ID)
	case len(w.Answer) > 0 && l.lingering.room():
		// Straight away and without epoll: the buffer of a new socket has room for it.
		l.calls.Write(fd, w.Answer)
		unix.Shutdown(fd, unix.SHUT_WR)
		l.lingering.add(fd, l.Now()+w.Linger)
	default:
		unix.Close(fd)
	}
	return true
}

// abortedMost is how many newcomers in a row may be gone before they are taken. Guards
// against an error that lasts, over which the loop would spin.
const abortedMost = 16

// aborted tells whether accept failed for the newcomer alone, which ended meanwhile (accept(2)
// passes its network errors on), or for a signal.
func aborted(err error) bool {
	for _, own := range []unix.Errno{unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EPERM} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// lingering are connections that were turned away with an answer. They are closed
// a while later, and not before, lest a reset for what they still send take the
// answer from them.
type lingering struct {
	queue []lingerer
	most  int
}

type lingerer struct {
	fd    int
	until time.Duration
}

func (q *lingering) room() bool { return len(q.queue) < q.most }

func (q *lingering) add(fd int, until time.Duration) {
	q.queue = append(q.queue, lingerer{fd, until})
}

func (q *lingering) next() time.Duration {
	if len(q.queue) == 0 {
		return 1 << 62
	}
	return q.queue[0].until
}

// end closes those whose time is over; they stand in its order.
func (q *lingering) end(now time.Duration) {
	n := 0
	for n < len(q.queue) && q.queue[n].until <= now {
		unix.Close(q.queue[n].fd)
		n++
	}
	q.queue = append(q.queue[:0], q.queue[n:]...)
}
