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

// delayedDials holds the dials that wait to be retried after a local error (see isLocalError).
type delayedDials struct {
	waiting []gateway.Action
	backoff backoff
	err     error // error of the last dial that failed locally
}

// remove drops the dial of a connection if it is among the delayed ones.
func (d *delayedDials) remove(id gateway.ConnID) {
	d.waiting = slices.DeleteFunc(d.waiting, func(a gateway.Action) bool { return a.Conn == id })
}

// next returns the time of the next retry, or never if no dial waits.
func (d *delayedDials) next() time.Duration {
	if len(d.waiting) == 0 {
		return never
	}
	return d.backoff.retryAt
}

// dial begins to open a connection. After a local error the dial is retried later and is not
// reported to the gateway as failed, as the peer is not the cause.
func (l *Loop) dial(a gateway.Action) {
	if len(l.dials.waiting) > 0 && l.Now() < l.dials.backoff.retryAt { // would likely fail in the same way
		l.dials.waiting = append(l.dials.waiting, a)
		l.reportDialDelay(a.Conn)
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
	// An interrupted connect goes on in the background, see connect(2).
	inProgress := err == nil || errors.Is(err, unix.EINPROGRESS) || errors.Is(err, unix.EINTR)
	if !inProgress {
		unix.Close(fd)
		if isLocalError(err) {
			l.delayDial(a, err)
		} else {
			l.Gateway.Closed(l.Now(), a.Conn)
		}
		return
	}
	l.conns.add(socket{fd: fd, id: a.Conn, address: a.Addr, side: nodeSide, state: socketConnecting, wanted: unix.EPOLLOUT})
	l.registerConn(a.Conn)
}

// finishDial handles an event of a socket whose connect is in progress: the connection is
// open, has failed, or is to be dialed again after a local error.
func (l *Loop) finishDial(s *socket, events uint32) {
	id := s.id
	code, err := l.calls.SocketError(s.fd)
	switch {
	case err != nil || code != 0 && isLocalError(code):
		a := gateway.Action{Op: gateway.Dial, Conn: id, Addr: s.address}
		l.closeSocket(s, false)
		l.delayDial(a, cmp.Or(err, error(code)))
		return
	case code != 0:
		l.failConnection(id)
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

// delayDial schedules the retry of a dial that failed with a local error.
func (l *Loop) delayDial(a gateway.Action, err error) {
	l.dials.waiting = append(l.dials.waiting, a)
	l.dials.backoff.extend(l.Now())
	l.dials.err = err
	l.reportDialDelay(a.Conn)
}

// reportDialDelay tells the gateway that a dial is delayed, and whether the cause is a shortage
// of resources, which no peer can cause.
func (l *Loop) reportDialDelay(id gateway.ConnID) {
	if isResourceShortage(l.dials.err) {
		l.Gateway.DialShortOfResources(l.Now(), id)
	} else {
		l.Gateway.Stalled(l.Now(), id)
	}
}

// retryDials retries the delayed dials when the backoff is over. It stops at the first
// dial that is delayed again; the dials after it keep waiting.
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

// parseSockaddr parses "address:port" and also returns the address family.
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

// addrPort converts a socket address. It returns the zero value if sa is not an IP address.
func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}
