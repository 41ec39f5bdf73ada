package eventloop

import (
	"golang.org/x/sys/unix"

	"maddergap/internal/gateway"
)

// The life of a descriptor, and who closes it:
//
//   - A listener is opened by Listen or adopted by AdoptQueue, and closed by
//     CloseListeners.
//   - A client's descriptor comes from accept. If the gateway admits it, it enters
//     the connTable. If the gateway rejects it with a response, it enters the
//     rejectedQueue, which closes it once its time is over. Otherwise accept
//     closes it at once.
//   - A node's descriptor (or that of the discovery agent) comes from dial and
//     enters the connTable while its connect is under way.
//   - A descriptor in the connTable is closed in one place, closeSocket: for a
//     Close or Abort action of the gateway, for a connection that failed
//     (Gateway.Closed then reports it), or to begin a failed dial anew.
//   - Whatever is left is closed by Close.
//
// closeSocket takes the descriptor out of the table before the kernel can give
// its number out again, so that no late event reaches another connection.

// side tells whose connection a socket is.
type side uint8

const (
	nodeSide   side = iota // dialed: to a node or the discovery agent
	clientSide             // accepted
)

// socketState is the life cycle of a socket in the connTable.
type socketState uint8

const (
	socketFree       socketState = iota // the slot has no descriptor
	socketConnecting                    // connect is under way
	socketOpen                          // both directions are open
	socketReadClosed                    // the peer ended its sending side; writes go on
)

// String names the state.
func (s socketState) String() string {
	return [...]string{"free", "connecting", "open", "read closed"}[s]
}

// socket is the descriptor of one connection. It is registered with epoll for the
// wanted events, unless it is stalled or the registration failed; then it is in
// the loop's stalledConns.
type socket struct {
	fd         int
	id         gateway.ConnID
	address    string // of a dialed connection
	side       side
	state      socketState
	wanted     uint32 // epoll events that the connection needs
	registered uint32 // epoll events that it is registered for, if inEpoll
	inEpoll    bool
	stalled    bool // it waits for the retry of a call
	// closeWritePending tells that closing the sending side failed and is to be retried.
	closeWritePending bool
}

// missedByEpoll tells whether epoll would not report events that are wanted; they are polled for.
func (s *socket) missedByEpoll() bool { return !s.inEpoll || s.wanted&^s.registered != 0 }

// connTable holds the sockets of connections, by the gateway's slot and by
// descriptor. Pointers into it are good until the next add.
type connTable struct {
	bySlot      []socket
	slotByFD    []int32 // slot + 1, 0 for a descriptor that is no connection
	clientCount int
}

// add puts a socket into the slot of its connection.
func (t *connTable) add(s socket) {
	slot := s.id.Slot()
	for slot >= len(t.bySlot) {
		t.bySlot = append(t.bySlot, socket{})
	}
	t.bySlot[slot] = s
	for s.fd >= len(t.slotByFD) {
		t.slotByFD = append(t.slotByFD, 0)
	}
	t.slotByFD[s.fd] = int32(slot) + 1
	if s.side == clientSide {
		t.clientCount++
	}
}

// lookup finds the socket of a connection, nil if it is closed.
func (t *connTable) lookup(id gateway.ConnID) *socket {
	slot := id.Slot()
	if slot >= len(t.bySlot) {
		return nil
	}
	s := &t.bySlot[slot]
	if s.state == socketFree || s.id != id {
		return nil
	}
	return s
}

// byDescriptor finds the socket of a descriptor, nil if it is no connection.
func (t *connTable) byDescriptor(fd int) *socket {
	if fd >= len(t.slotByFD) || t.slotByFD[fd] == 0 {
		return nil
	}
	return &t.bySlot[t.slotByFD[fd]-1]
}

// remove frees the slot of a socket. The caller closes the descriptor.
func (t *connTable) remove(s *socket) {
	t.slotByFD[s.fd] = 0
	if s.side == clientSide {
		t.clientCount--
	}
	*s = socket{}
}

// closeAll closes every socket.
func (t *connTable) closeAll() {
	for i := range t.bySlot {
		if t.bySlot[i].state != socketFree {
			unix.Close(t.bySlot[i].fd)
		}
	}
	t.bySlot = nil
}

// closeSocket closes a connection's descriptor, with a reset if asked.
func (l *Loop) closeSocket(s *socket, reset bool) {
	if reset {
		unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	}
	fd := s.fd
	l.conns.remove(s)
	unix.Close(fd)
}

// connectionFailed closes a connection and tells the gateway.
func (l *Loop) connectionFailed(id gateway.ConnID) {
	if s := l.conns.lookup(id); s != nil {
		l.closeSocket(s, false)
	}
	l.Gateway.Closed(l.Now(), id)
}

// setWanted sets the epoll events that a connection needs.
func (l *Loop) setWanted(s *socket, events uint32) {
	s.wanted = events
	l.register(s)
}

// register brings epoll in line with what a connection needs. If epoll fails, the
// connection is stalled.
func (l *Loop) register(s *socket) {
	events := s.wanted
	if s.stalled { // these would wake the loop at once
		events &^= unix.EPOLLIN | unix.EPOLLOUT | unix.EPOLLRDHUP
	}
	if s.inEpoll && s.registered == events {
		return
	}
	op := unix.EPOLL_CTL_MOD
	if !s.inEpoll {
		op = unix.EPOLL_CTL_ADD
	}
	if l.calls.EpollCtl(l.epollFD, op, s.fd, &unix.EpollEvent{Events: events, Fd: int32(s.fd)}) != nil {
		l.stall(s)
		return
	}
	s.inEpoll, s.registered = true, events
}

// registerConn is register for a connection that was just added.
func (l *Loop) registerConn(id gateway.ConnID) {
	if s := l.conns.lookup(id); s != nil {
		l.register(s)
	}
}
