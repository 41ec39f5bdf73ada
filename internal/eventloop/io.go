package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/gateway"
)

// readEvents are the epoll events that call for a read.
const readEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// applyActions advances the gateway and applies its actions until none is left. It returns
// the time by which the gateway has to be advanced again.
func (l *Loop) applyActions() time.Duration {
	for {
		actions, next := l.Gateway.Advance(l.Now())
		if len(actions) == 0 {
			return next
		}
		for _, a := range actions {
			l.apply(a)
		}
	}
}

// apply carries out one action of the gateway.
func (l *Loop) apply(a gateway.Action) {
	if a.Op == gateway.Dial {
		l.dial(a)
		return
	}
	s := l.conns.lookup(a.Conn)
	if s == nil { // already closed, or a delayed dial that the gateway gives up
		l.dials.remove(a.Conn)
		return
	}
	switch a.Op {
	case gateway.Flush:
		l.write(s)
	case gateway.Discard:
		s.discards = true
	case gateway.Read:
		if s.wanted&unix.EPOLLIN != 0 {
			l.read(s)
		}
	case gateway.Pause:
		l.setWanted(s, s.wanted&^l.pausedEvents(s))
	case gateway.Resume:
		if s.state == socketOpen {
			l.setWanted(s, s.wanted|readEvents)
		}
	case gateway.CloseWrite:
		l.shutdownWrite(s)
	case gateway.Close, gateway.Abort:
		l.closeSocket(s, a.Op == gateway.Abort)
	}
}

// pausedEvents returns the events that a paused connection does not need.
func (l *Loop) pausedEvents(s *socket) uint32 {
	if s.side == clientSide && l.Gateway.WantsPeerShutDown() {
		return unix.EPOLLIN
	}
	return readEvents
}

// reportShutDown tells the gateway that a client has shut down its sending side, and reports whether its
// bytes still have to be read. A paused connection does not need the event any more then.
func (l *Loop) reportShutDown(s *socket) (readOn bool) {
	if s.wanted&unix.EPOLLIN == 0 {
		l.setWanted(s, s.wanted&^unix.EPOLLRDHUP)
	}
	return l.Gateway.PeerShutDown(l.Now(), s.id)
}

// serveSocket handles the epoll events of one connection.
func (l *Loop) serveSocket(s *socket, events uint32) {
	if s.state == socketConnecting {
		l.finishDial(s, events)
		return
	}
	if events == 0 { // already handled in this iteration
		return
	}
	id := s.id
	paused := s.wanted&unix.EPOLLIN == 0
	if events&unix.EPOLLERR != 0 {
		// A node may have sent a complete response before it reset the connection. The
		// response is read first; the next read then returns the reset.
		if s.side == clientSide || s.state == socketReadClosed || paused || events&unix.EPOLLIN == 0 {
			l.failConnection(id)
			return
		}
	} else if events&unix.EPOLLOUT != 0 {
		l.write(s)
		if s = l.conns.lookup(id); s == nil {
			return
		}
	}
	hangup := events&unix.EPOLLHUP != 0
	readable := events&readEvents != 0 || hangup
	switch {
	case readable && s.state != socketReadClosed && !paused:
		l.read(s)
	case hangup: // reading is paused or over, and nothing can be written any more
		l.failConnection(id)
	}
}

// read reads once from a connection, or drops its input, and passes the result to the gateway.
func (l *Loop) read(s *socket) {
	id := s.id
	n, err := l.receive(s)
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
	case isOutOfMemory(err):
		l.stallAndReport(s)
	case err != nil:
		l.failConnection(id)
	case n == 0:
		s.state = socketReadClosed
		l.setWanted(s, s.wanted&^readEvents)
		l.Gateway.EOF(l.Now(), id)
	case !s.discards:
		l.Gateway.Data(l.Now(), id, l.readBuffer[:n])
	}
}

// receive reads once from a socket. Input that the gateway does not want is dropped without being copied,
// up to maxDiscards reads at a time: its end says that the client has disconnected, and is behind it.
func (l *Loop) receive(s *socket) (n int, err error) {
	if !s.discards {
		return l.calls.Read(s.fd, l.readBuffer)
	}
	for range maxDiscards {
		if n, err = l.calls.Discard(s.fd, l.readBuffer); n <= 0 || err != nil {
			break
		}
	}
	return n, err
}

// write sends the gateway's pending output on a connection until none is left or the send
// buffer is full.
func (l *Loop) write(s *socket) {
	id := s.id
	interrupts := 0
	for s != nil && s.state != socketConnecting {
		p := l.Gateway.PendingOutput(l.Now(), id)
		if len(p) == 0 {
			l.setWanted(s, s.wanted&^unix.EPOLLOUT)
			return
		}
		n, err := l.calls.Write(s.fd, p)
		if n > 0 {
			l.Gateway.Wrote(l.Now(), id, n)
			s = l.conns.lookup(id)
			if n == len(p) {
				continue
			}
		}
		switch {
		case errors.Is(err, unix.EINTR) && interrupts < maxInterrupts:
			interrupts++
		case isOutOfMemory(err), errors.Is(err, unix.EINTR):
			s.wanted |= unix.EPOLLOUT
			l.stallAndReport(s)
			return
		case err != nil && !errors.Is(err, unix.EAGAIN):
			l.failConnection(id)
			return
		case s != nil:
			l.setWanted(s, s.wanted|unix.EPOLLOUT)
			return
		}
	}
}

// shutdownWrite shuts down the sending side of a connection. After a local error the
// call is retried.
func (l *Loop) shutdownWrite(s *socket) {
	err := l.calls.Shutdown(s.fd, unix.SHUT_WR)
	s.closeWritePending = err != nil && isLocalError(err)
	if s.closeWritePending {
		l.stall(s)
	}
}
