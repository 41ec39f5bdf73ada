package eventloop

import (
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/gateway"
)

// stalledConns are connections on which a call failed for want of the gateway's own
// machine: epoll does not watch them for all that they need, or a write or a
// shutdown has to be repeated.
type stalledConns struct {
	ids     []gateway.ConnID
	retryAt time.Duration // 0: none is stalled
}

// next is when the stalled connections are retried, never if there are none.
func (c *stalledConns) next() time.Duration {
	if c.retryAt == 0 {
		return never
	}
	return c.retryAt
}

// stall has a connection retried a little later. Until then epoll does not watch it
// for what would wake the loop at once.
func (l *Loop) stall(s *socket) {
	if !s.stalled {
		s.stalled = true
		l.stalled.ids = append(l.stalled.ids, s.id)
	}
	if l.stalled.retryAt == 0 {
		l.stalled.retryAt = l.Now() + initialRetryDelay
	}
}

// suspend stalls a connection whose read or write failed, and tells the gateway that
// the peer is not the cause.
func (l *Loop) suspend(s *socket) {
	id := s.id
	l.stall(s)
	l.register(s)
	l.Gateway.Stalled(l.Now(), id)
}

// retryStalled goes on with the stalled connections once their time has come. Those
// that epoll still cannot watch are asked for their events by poll. Guards against a
// connection that came up, or a response that arrived, but is taken for silence of
// the peer.
func (l *Loop) retryStalled() {
	if l.stalled.retryAt == 0 || l.Now() < l.stalled.retryAt {
		return
	}
	ids := l.stalled.ids
	l.stalled = stalledConns{}
	for _, id := range ids {
		s := l.conns.lookup(id)
		if s == nil {
			continue
		}
		s.stalled = false
		if s.closeWritePending {
			l.shutdownWrite(s)
		}
		l.register(s)
		if s.state != socketConnecting {
			l.write(s)
		}
	}
	l.pollStalled()
}

// pollStalled serves the stalled connections whose events epoll does not report.
func (l *Loop) pollStalled() {
	var ids []gateway.ConnID
	var fds []unix.PollFd
	for _, id := range l.stalled.ids {
		if s := l.conns.lookup(id); s != nil && s.missedByEpoll() {
			ids = append(ids, id)
			fds = append(fds, unix.PollFd{Fd: int32(s.fd), Events: int16(s.wanted)})
		}
	}
	if len(fds) == 0 {
		return
	}
	if _, err := l.calls.Poll(fds); err != nil {
		return // they are still stalled, and so retried
	}
	for i, id := range ids {
		if s := l.conns.lookup(id); s != nil && fds[i].Revents != 0 {
			l.serveSocket(s, uint32(uint16(fds[i].Revents)))
		}
	}
}
