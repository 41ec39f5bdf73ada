package eventloop

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/gateway"
)

// delayedDials are dials that failed for want of the gateway's own machine and
// wait for their retry.
type delayedDials struct {
	waiting []gateway.Action
	backoff backoff
	err     error // of the last dial that was delayed
}

// remove gives up the dial of a connection, if it waits.
func (d *delayedDials) remove(id gateway.ConnID) {
	d.waiting = slices.DeleteFunc(d.waiting, func(a gateway.Action) bool { return a.Conn == id })
}

// next is when the dials are retried, never if none waits.
func (d *delayedDials) next() time.Duration {
	if len(d.waiting) == 0 {
		return never
	}
	return d.backoff.retryAt
}

// dial begins a connection. A failure of the gateway's own machine is not held
// against the peer: the dial is retried later.
func (l *Loop) dial(a gateway.Action) {
	if len(l.dials.waiting) > 0 && l.Now() < l.dials.backoff.retryAt { // it would fail as those did
		l.dials.waiting = append(l.dials.waiting, a)
		l.reportDelay(a.Conn)
		return
	}
	address, family, err := parseSockaddr(a.Addr)
	if err != nil {
		l.Gateway.Closed(l.Now(), a.Conn)
		return
	}
	fd, err := l.calls.Socket(family)
	if err != nil {
		l.delayDial(a, err)
		return
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	err = l.calls.Connect(fd, address)
	underWay := err == nil || errors.Is(err, unix.EINPROGRESS) || errors.Is(err, unix.EINTR) // connect(2): goes on in the background
	if !underWay {
		unix.Close(fd)
		if isLocal(err) {
			l.delayDial(a, err)
		} else {
			l.Gateway.Closed(l.Now(), a.Conn)
		}
		return
	}
	l.conns.add(socket{fd: fd, id: a.Conn, address: a.Addr, side: nodeSide, state: socketConnecting, wanted: unix.EPOLLOUT})
	l.registerConn(a.Conn)
}

// finishDial looks at the result of a connect.
func (l *Loop) finishDial(s *socket, events uint32) {
	id := s.id
	code, err := l.calls.SocketError(s.fd)
	switch {
	case err != nil || code != 0 && isLocal(code):
		a := gateway.Action{Op: gateway.Dial, Conn: id, Addr: s.address}
		l.closeSocket(s, false)
		l.delayDial(a, cmp.Or(err, error(code)))
		return
	case code != 0:
		l.connectionFailed(id)
		return
	}
	if events&unix.EPOLLOUT == 0 {
		return
	}
	s.state = socketOpen
	l.setWanted(s, readEvents)
	l.dials.backoff.reset()
	l.Gateway.Connected(l.Now(), id)
}

// delayDial has a dial that failed with a local error retried later.
func (l *Loop) delayDial(a gateway.Action, err error) {
	l.dials.waiting = append(l.dials.waiting, a)
	l.dials.backoff.extend(l.Now())
	l.dials.err = err
	l.reportDelay(a.Conn)
}

// reportDelay tells the gateway that a dial is delayed, and whether the peer may be the cause.
func (l *Loop) reportDelay(id gateway.ConnID) {
	if isShortage(l.dials.err) {
		l.Gateway.DialShort(l.Now(), id)
	} else {
		l.Gateway.Stalled(l.Now(), id)
	}
}

// retryDials begins the delayed dials once their time has come, up to the first
// that fails again.
func (l *Loop) retryDials() {
	if len(l.dials.waiting) == 0 || l.Now() < l.dials.backoff.retryAt {
		return
	}
	waiting := l.dials.waiting
	l.dials.waiting = nil
	for i, a := range waiting {
		l.dial(a)
		if len(l.dials.waiting) > 0 {
			l.dials.waiting = append(l.dials.waiting, waiting[i+1:]...)
			return
		}
	}
}

// parseSockaddr reads "address:port" and returns the address family with it.
func parseSockaddr(text string) (unix.Sockaddr, int, error) {
	ap, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, 0, err
	}
	if a := ap.Addr().Unmap(); a.Is4() {
		return &unix.SockaddrInet4{Port: int(ap.Port()), Addr: a.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}, unix.AF_INET6, nil
}

// addrPort converts a socket address, the zero value for one that is not of IP.
func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}
