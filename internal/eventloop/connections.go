package eventloop

import (
	"golang.org/x/sys/unix"

	"maddergap/internal/gateway"
)

// The life cycle of a descriptor, and who closes it:
//
//   - A listener is opened by Listen or adopted by AdoptQueue, and closed by
//     CloseListeners.
//   - A client's descriptor comes from accept. If the gateway admits it, it enters
//     the connTable. If the gateway rejects it with a response, it enters the
//     rejectedQueue, which closes it after the linger time. Otherwise
//     handleAccepted closes it at once.
//   - The descriptor of a connection to a node or to the discovery agent comes
//     from dial. It enters the connTable while connect is in progress.
//   - A descriptor in the connTable is closed in one place, closeSocket: for a
//     Close or Abort action of the gateway, after a failure of the connection
//     (which is reported by Gateway.Closed), or to retry a failed dial.
//   - Loop.Close closes all descriptors that are still open.
//
// closeSocket takes the descriptor out of the table before the kernel can reuse
// its number, so that a late event does not reach another connection.

// side tells whether a connection was dialed by the loop or accepted from a client.
type side uint8

const (
	nodeSide   side = iota // dialed, to a node or the discovery agent
	clientSide             // accepted
)

// socketState is the state of a socket in the connTable.
type socketState uint8

const (
	socketFree       socketState = iota // the slot has no descriptor
	socketConnecting                    // connect is in progress
	socketOpen                          // both directions are open
	socketReadClosed                    // the peer has shut down its sending side; writing goes on
)

// String returns the name of the state.
func (s socketState) String() string {
	return [...]string{"free", "connecting", "open", "read closed"}[s]
}

// socket is the descriptor of one connection. It is registered with epoll for the
// wanted events, unless it is stalled or the registration failed. In both of these
// cases its id is in the loop's stalledConns.
type socket struct {
	fd         int
	id         gateway.ConnID
	address    string // address that was dialed; empty for a client
	side       side
	state      socketState
	wanted     uint32 // epoll events that the connection needs
	registered uint32 // epoll events that the socket is registered for; valid if inEpoll
	inEpoll    bool
	stalled    bool // set while a failed call waits to be retried
	discards   bool // set when the gateway has asked to drop the input
	// closeWritePending is set if shutting down the sending side failed and has to be retried.
	closeWritePending bool
}

// isMissedByEpoll reports whether the socket is not registered with epoll for some wanted event. The
// loop then polls the socket instead.
func (s *socket) isMissedByEpoll() bool { return !s.inEpoll || s.wanted&^s.registered != 0 }

// connTable holds the sockets of the open connections, indexed by the gateway's slot and
// by descriptor. A pointer to a socket is valid until the next add.
type connTable struct {
	bySlot      []socket
	slotByFD    []int32 // slot + 1; 0 for a descriptor that is not a connection
	clientCount int     // number of sockets on the client side
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

// lookup returns the socket of a connection, or nil if the connection is closed.
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

// byDescriptor returns the socket of a descriptor, or nil if the descriptor is not a
// connection.
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

// closeAll closes the descriptors of all connections. The table is not used afterwards.
func (t *connTable) closeAll() {
	for i := range t.bySlot {
		if t.bySlot[i].state != socketFree {
			unix.Close(t.bySlot[i].fd)
		}
	}
	t.bySlot = nil
}

// closeSocket removes a connection from the table and closes its descriptor. If reset is
// set, the peer gets a TCP reset.
func (l *Loop) closeSocket(s *socket, reset bool) {
	if reset {
		unix.SetsockoptLinger(s.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	}
	fd := s.fd
	l.conns.remove(s)
	unix.Close(fd)
}

// failConnection closes a connection and reports its loss to the gateway.
func (l *Loop) failConnection(id gateway.ConnID) {
	if s := l.conns.lookup(id); s != nil {
		l.closeSocket(s, false)
	}
	l.Gateway.Closed(l.Now(), id)
}

// setWanted sets the epoll events that a connection needs, and registers them.
func (l *Loop) setWanted(s *socket, events uint32) {
	s.wanted = events
	l.register(s)
}

// register updates the epoll registration of a connection to its wanted events. If
// epoll_ctl fails, the connection is stalled and the registration is retried.
func (l *Loop) register(s *socket) {
	events := s.wanted
	if s.stalled { // these events would wake the loop at once, before the retry is due
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

// registerConn registers a connection that was just added. It looks the socket up, as add
// takes a copy.
func (l *Loop) registerConn(id gateway.ConnID) {
	if s := l.conns.lookup(id); s != nil {
		l.register(s)
	}
}
