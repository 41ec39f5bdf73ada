package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/gateway"
)

// readEvents are the epoll events that a connection is read for.
const readEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// applyActions applies the gateway's actions until it has none left, and returns
// when the gateway is to be advanced again.
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

func (l *Loop) apply(a gateway.Action) {
	if a.Op == gateway.Dial {
		l.dial(a)
		return
	}
	s := l.conns.lookup(a.Conn)
	if s == nil { // closed already, or its dial is delayed and is now given up
		l.dials.remove(a.Conn)
		return
	}
	switch a.Op {
	case gateway.Flush:
		l.write(s)
	case gateway.Pause:
		l.setWanted(s, s.wanted&^readEvents)
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

// serveSocket serves the events of one connection.
func (l *Loop) serveSocket(s *socket, events uint32) {
	if s.state == socketConnecting {
		l.finishDial(s, events)
		return
	}
	if events == 0 { // served in this iteration
		return
	}
	id := s.id
	paused := s.wanted&unix.EPOLLIN == 0
	if events&unix.EPOLLERR != 0 {
		// What a node sent before it reset the connection may be a complete response:
		// it is read first, and the read after it finds the reset.
		if s.side == clientSide || s.state == socketReadClosed || paused || events&unix.EPOLLIN == 0 {
			l.connectionFailed(id)
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
	case hangup: // nothing more is read, and nothing can be written
		l.connectionFailed(id)
	}
}

// read reads once from a connection and passes the bytes to the gateway.
func (l *Loop) read(s *socket) {
	id := s.id
	n, err := l.calls.Read(s.fd, l.readBuffer)
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
	case outOfMemory(err):
		l.suspend(s)
	case err != nil:
		l.connectionFailed(id)
	case n == 0:
		s.state = socketReadClosed
		l.setWanted(s, s.wanted&^readEvents)
		l.Gateway.EOF(l.Now(), id)
	default:
		l.Gateway.Data(l.Now(), id, l.readBuffer[:n])
	}
}

// write sends what the gateway has for a connection, as far as the kernel takes it.
func (l *Loop) write(s *socket) {
	id := s.id
	interrupts := 0
	for s != nil && s.state != socketConnecting {
		p := l.Gateway.Out(l.Now(), id)
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
		case outOfMemory(err), errors.Is(err, unix.EINTR):
			s.wanted |= unix.EPOLLOUT
			l.suspend(s)
			return
		case err != nil && !errors.Is(err, unix.EAGAIN):
			l.connectionFailed(id)
			return
		case s != nil:
			l.setWanted(s, s.wanted|unix.EPOLLOUT)
			return
		}
	}
}

// shutdownWrite ends a connection's sending side. If the machine has no means for
// that now, it is retried.
func (l *Loop) shutdownWrite(s *socket) {
	err := l.calls.Shutdown(s.fd, unix.SHUT_WR)
	s.closeWritePending = err != nil && isLocal(err)
	if s.closeWritePending {
		l.stall(s)
	}
}
