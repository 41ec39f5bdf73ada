package eventloop

import (
	"fmt"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// listenBacklog is the length of a listen queue, in connections.
const listenBacklog = 4096

// listener is one listen queue. An address may have two: the second takes the
// known clients that the kernel's filter picks, so that they do not wait behind a
// burst of others.
type listener struct {
	fd           int
	addressKey   int  // the same in both queues of an address
	knownClients bool // it is the queue of the known clients
	shared       bool // other processes accept from it too
	wait         queueWait
}

// ListenQueue is a listen queue that processes share.
type ListenQueue struct {
	FD           int
	AddressKey   int  // the same in both queues of an address
	KnownClients bool // it is the queue of the known clients
}

// Listen opens the listen queues of an address and returns the address, with the
// port that the system chose if none was given. filter is a program that the kernel
// runs over a new connection's packet; 1 puts the connection into the queue of the
// known clients. Without a filter, or if the kernel does not take it, the address
// has one queue.
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
	fd, err := openBound(sa, family, twoQueues)
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
	second, err := openBound(sa, family, true)
	if err != nil {
		return nil, err
	}
	if err := l.startListener(&listener{fd: second, addressKey: fd, knownClients: true}); err != nil {
		return nil, err
	}
	if l.SetKnownClientFilter(filter) != nil { // an old kernel: one queue takes all
		l.closeListener(len(l.listeners) - 1)
	}
	return sa, nil
}

// checkAddressFree tells by a bind without SO_REUSEPORT whether an address is in use.
// Guards against a second gateway on the same address: the two queues of one address
// need SO_REUSEPORT, with which both would listen, each for a part of the connections.
func checkAddressFree(sa unix.Sockaddr, family int) error {
	fd, err := openBound(sa, family, false)
	if err != nil {
		return err
	}
	unix.Close(fd)
	return nil
}

// openBound returns a socket bound to an address. Accepted connections inherit its
// TCP_NODELAY, which saves a call for each.
func openBound(sa unix.Sockaddr, family int, reusePort bool) (int, error) {
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

// startListener begins to listen on a bound socket. It closes the socket on an error.
func (l *Loop) startListener(n *listener) error {
	err := unix.Listen(n.fd, listenBacklog)
	if err == nil {
		err = l.watchListener(n)
	}
	if err != nil {
		unix.Close(n.fd)
		return err
	}
	l.descriptors[n.fd] = descriptorListener
	l.listeners = append(l.listeners, n)
	return nil
}

// watchListener adds a listener to epoll. Of the processes that share it, the kernel
// wakes only the one that waits for the longest.
func (l *Loop) watchListener(n *listener) error {
	events := uint32(unix.EPOLLIN)
	if n.shared {
		events |= unix.EPOLLEXCLUSIVE
	}
	return l.addToEpoll(n.fd, events)
}

// ListenQueues returns the open listen queues, for other processes to adopt.
func (l *Loop) ListenQueues() (queues []ListenQueue) {
	for _, n := range l.listeners {
		queues = append(queues, ListenQueue{FD: n.fd, AddressKey: n.addressKey, KnownClients: n.knownClients})
	}
	return queues
}

// AdoptQueue accepts connections from a listen queue that other processes accept
// from too, and returns its address.
func (l *Loop) AdoptQueue(q ListenQueue) (string, error) {
	sa, err := unix.Getsockname(q.FD)
	if err != nil {
		return "", fmt.Errorf("adopt descriptor %d: %w", q.FD, err)
	}
	unix.CloseOnExec(q.FD)
	unix.SetNonblock(q.FD, true)
	n := &listener{fd: q.FD, addressKey: q.AddressKey, knownClients: q.KnownClients, shared: true}
	return addrPort(sa).String(), l.startListener(n)
}

// SetKnownClientFilter replaces the filter of every address that has two queues.
// An empty filter sends all connections to the first.
func (l *Loop) SetKnownClientFilter(filter []bpf.RawInstruction) error {
	if len(filter) == 0 {
		const firstQueue = 0
		filter = []bpf.RawInstruction{{Op: unix.BPF_RET | unix.BPF_K, K: firstQueue}}
	}
	program := make([]unix.SockFilter, len(filter))
	for i, in := range filter {
		program[i] = unix.SockFilter{Code: in.Op, Jt: in.Jt, Jf: in.Jf, K: in.K}
	}
	for _, n := range l.listeners {
		if !n.knownClients {
			continue
		}
		if err := attachFilter(n.fd, unix.SO_ATTACH_REUSEPORT_CBPF, program); err != nil {
			return err
		}
	}
	return nil
}

// attachFilter attaches a program to a socket by one of the SO_ATTACH options.
func attachFilter(fd, option int, program []unix.SockFilter) error {
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, option, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}

// DropNewConnections has the kernel drop the first packet of new connections, while
// those already under way still enter the listen queues. Guards against a connection
// that is made between the last accept and the close of its listener: the close would
// reset it, and its request would be lost. A queue that other processes share is left
// as it is, and so is one whose kernel does not take the filter.
func (l *Loop) DropNewConnections() {
	const (
		flagsOffset = 13 // of the TCP header
		synFlag     = 0x02
		drop        = 0
		keep        = 1 << 18 // bytes: more than any packet has
	)
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: synFlag},
		{Code: unix.BPF_RET | unix.BPF_K, K: drop},
		{Code: unix.BPF_RET | unix.BPF_K, K: keep},
	}
	for _, n := range l.listeners {
		if !n.shared {
			attachFilter(n.fd, unix.SO_ATTACH_FILTER, program)
		}
	}
}

// closeListener closes one listener by its index.
func (l *Loop) closeListener(i int) {
	n := l.listeners[i]
	l.listeners = append(l.listeners[:i], l.listeners[i+1:]...)
	delete(l.descriptors, n.fd)
	unix.Close(n.fd)
}

// CloseListeners closes the listen queues. Connections that still stand in them are
// reset by the kernel: see DropNewConnections and DrainListenQueues.
func (l *Loop) CloseListeners() {
	for len(l.listeners) > 0 {
		l.closeListener(len(l.listeners) - 1)
	}
}
