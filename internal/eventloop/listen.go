package eventloop

import (
	"fmt"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// listenBacklog is the length of a listen queue, in connections.
const listenBacklog = 4096

// listener is one listening socket with its queue. An address may have two: the second is for
// the known clients (see package admission). A filter in the kernel directs them to it, so that
// they do not wait behind a burst of other clients.
type listener struct {
	fd           int
	addressKey   int  // identifies the address; the same in both of its queues
	knownClients bool // set for the queue of the known clients
	shared       bool // set if other processes accept from the queue too
	wait         queueWait
}

// ListenQueue describes a listen queue that several processes share.
type ListenQueue struct {
	FD           int
	AddressKey   int  // identifies the address; the same in both of its queues
	KnownClients bool // set for the queue of the known clients
}

// Listen opens the listen queues of an address and returns the bound address. If the port
// is 0, the kernel chooses one. filter is a classic BPF program that the kernel runs on the
// first packet of a new connection; result 1 selects the queue of the known clients. Without
// a filter, or if the kernel does not support it, the address has one queue.
func (l *Loop) Listen(addr string, filter []bpf.RawInstruction) (string, error) {
	sa, family, err := parseSockaddr(addr)
	if err != nil {
		return "", err
	}
	bound, err := l.openQueues(sa, family, filter)
	if err != nil {
		return "", fmt.Errorf("listen %s: %w", addr, err)
	}
	return addrPort(bound).String(), nil
}

// openQueues opens one or two listen queues and returns the address they are bound to.
func (l *Loop) openQueues(sa unix.Sockaddr, family int, filter []bpf.RawInstruction) (unix.Sockaddr, error) {
	twoQueues := len(filter) > 0
	if twoQueues {
		if err := checkAddressFree(sa, family); err != nil {
			return nil, err
		}
	}
	fd, err := openBoundSocket(sa, family, twoQueues)
	if err != nil {
		return nil, err
	}
	if sa, err = unix.Getsockname(fd); err != nil {
		unix.Close(fd)
		return nil, err
	}
	if err := l.startListener(&listener{fd: fd, addressKey: fd}); err != nil {
		return nil, err
	}
	if !twoQueues {
		return sa, nil
	}
	knownClientsFD, err := openBoundSocket(sa, family, true)
	if err != nil {
		return nil, err
	}
	if err := l.startListener(&listener{fd: knownClientsFD, addressKey: fd, knownClients: true}); err != nil {
		return nil, err
	}
	if l.SetKnownClientFilter(filter) != nil { // an old kernel: one queue takes all connections
		l.closeListener(len(l.listeners) - 1)
	}
	return sa, nil
}

// checkAddressFree returns an error if the address is in use, which it checks by a bind without
// SO_REUSEPORT. The two queues of an address need SO_REUSEPORT, and with it a second gateway
// could bind the same address too: each gateway would get a part of the connections.
func checkAddressFree(sa unix.Sockaddr, family int) error {
	fd, err := openBoundSocket(sa, family, false)
	if err != nil {
		return err
	}
	unix.Close(fd)
	return nil
}

// openBoundSocket returns a socket bound to an address. Accepted connections inherit its
// TCP_NODELAY option, which saves a setsockopt call on each of them.
func openBoundSocket(sa unix.Sockaddr, family int, reusePort bool) (int, error) {
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return noDescriptor, err
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if reusePort {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}
	if err == nil {
		err = unix.Bind(fd, sa)
	}
	if err != nil {
		unix.Close(fd)
		return noDescriptor, err
	}
	return fd, nil
}

// startListener starts to listen on a bound socket. It closes the socket on an error.
func (l *Loop) startListener(ln *listener) error {
	err := unix.Listen(ln.fd, listenBacklog)
	if err == nil {
		err = l.watchListener(ln)
	}
	if err != nil {
		unix.Close(ln.fd)
		return err
	}
	l.descriptors[ln.fd] = descriptorListener
	l.listeners = append(l.listeners, ln)
	return nil
}

// watchListener adds a listener to epoll. For a shared listener, the kernel wakes only the
// process that has been waiting longest.
func (l *Loop) watchListener(ln *listener) error {
	events := uint32(unix.EPOLLIN)
	if ln.shared {
		events |= unix.EPOLLEXCLUSIVE
	}
	return l.addToEpoll(ln.fd, events)
}

// ListenQueues returns the open listen queues, for other processes to adopt.
func (l *Loop) ListenQueues() (queues []ListenQueue) {
	for _, ln := range l.listeners {
		queues = append(queues, ListenQueue{FD: ln.fd, AddressKey: ln.addressKey, KnownClients: ln.knownClients})
	}
	return queues
}

// AdoptQueue makes the loop accept connections from a listen queue that it shares with other
// processes, and returns the queue's address.
func (l *Loop) AdoptQueue(q ListenQueue) (string, error) {
	sa, err := unix.Getsockname(q.FD)
	if err != nil {
		return "", fmt.Errorf("adopt listen queue on descriptor %d: %w", q.FD, err)
	}
	unix.CloseOnExec(q.FD)
	unix.SetNonblock(q.FD, true)
	ln := &listener{fd: q.FD, addressKey: q.AddressKey, knownClients: q.KnownClients, shared: true}
	return addrPort(sa).String(), l.startListener(ln)
}

// SetKnownClientFilter replaces the filter of every address that has two queues.
// An empty filter sends all connections to the first queue.
func (l *Loop) SetKnownClientFilter(filter []bpf.RawInstruction) error {
	if len(filter) == 0 {
		const firstQueue = 0
		filter = []bpf.RawInstruction{{Op: unix.BPF_RET | unix.BPF_K, K: firstQueue}}
	}
	program := make([]unix.SockFilter, len(filter))
	for i, in := range filter {
		program[i] = unix.SockFilter{Code: in.Op, Jt: in.Jt, Jf: in.Jf, K: in.K}
	}
	for _, ln := range l.listeners {
		if !ln.knownClients {
			continue
		}
		if err := attachFilter(ln.fd, unix.SO_ATTACH_REUSEPORT_CBPF, program); err != nil {
			return err
		}
	}
	return nil
}

// attachFilter attaches a BPF program to a socket. option is one of the SO_ATTACH options.
func attachFilter(fd, option int, program []unix.SockFilter) error {
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, option, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}

// DropNewConnections makes the kernel drop the first packet (SYN) of new connections. If it
// did not, a connection established between the last accept and the close of its listener
// would be reset by the close, and its request lost. Handshakes in progress still complete,
// and their connections enter the listen queues. A queue shared with other processes is left
// unchanged, and so is every queue if the kernel does not support the filter.
func (l *Loop) DropNewConnections() {
	const (
		flagsOffset = 13 // offset of the flags in the TCP header
		synFlag     = 0x02
		drop        = 0
		keep        = 1 << 18 // number of bytes to keep: more than any packet has
	)
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: synFlag},
		{Code: unix.BPF_RET | unix.BPF_K, K: drop},
		{Code: unix.BPF_RET | unix.BPF_K, K: keep},
	}
	for _, ln := range l.listeners {
		if !ln.shared {
			attachFilter(ln.fd, unix.SO_ATTACH_FILTER, program)
		}
	}
}

// closeListener closes the listener with index i and removes it from the loop.
func (l *Loop) closeListener(i int) {
	ln := l.listeners[i]
	l.listeners = append(l.listeners[:i], l.listeners[i+1:]...)
	delete(l.descriptors, ln.fd)
	unix.Close(ln.fd)
}

// CloseListeners closes the listen queues. The kernel resets the connections that still wait
// in them; DropNewConnections and DrainListenQueues, called before, prevent that.
func (l *Loop) CloseListeners() {
	for len(l.listeners) > 0 {
		l.closeListener(len(l.listeners) - 1)
	}
}
