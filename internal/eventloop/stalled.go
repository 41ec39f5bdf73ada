package eventloop

import (
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/gateway"
)

// stalledConns holds the connections on which a system call failed with a local error: they are
// not registered with epoll for all their wanted events, or a read, write or shutdown has to be
// repeated.
type stalledConns struct {
	ids     []gateway.ConnID
	retryAt time.Duration // time of the next retry; 0 if no connection is stalled
}

// next returns the time of the next retry, or never if no connection is stalled.
func (c *stalledConns) next() time.Duration {
	if c.retryAt == 0 {
		return never
	}
	return c.retryAt
}

// stall schedules a retry for a connection. While it is stalled, register leaves out the
// events that would wake the loop at once.
func (l *Loop) stall(s *socket) {
	if !s.stalled {
		s.stalled = true
		l.stalled.ids = append(l.stalled.ids, s.id)
	}
	if l.stalled.retryAt == 0 {
		l.stalled.retryAt = l.Now() + initialRetryDelay
	}
}

// stallAndReport stalls a connection whose read or write failed, and tells the gateway, so that
// it does not blame the peer for the delay.
func (l *Loop) stallAndReport(s *socket) {
	id := s.id
	l.stall(s)
	l.register(s)
	l.Gateway.Stalled(l.Now(), id)
}

// retryStalled retries the stalled connections when their time has come. Connections that still
// cannot be registered with epoll are polled. Otherwise the gateway would not learn of an
// established connection or a response, and would regard the peer as silent.
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

// pollStalled handles the events of the stalled connections that epoll does not report.
func (l *Loop) pollStalled() {
	var ids []gateway.ConnID
	var fds []unix.PollFd
	for _, id := range l.stalled.ids {
		if s := l.conns.lookup(id); s != nil && s.isMissedByEpoll() {
			ids = append(ids, id)
			fds = append(fds, unix.PollFd{Fd: int32(s.fd), Events: int16(s.wanted)})
		}
	}
	if len(fds) == 0 {
		return
	}
	if _, err := l.calls.Poll(fds); err != nil {
		return // the connections are still stalled and are retried
	}
	for i, id := range ids {
		if s := l.conns.lookup(id); s != nil && fds[i].Revents != 0 {
			l.serveSocket(s, uint32(uint16(fds[i].Revents)))
		}
	}
}
