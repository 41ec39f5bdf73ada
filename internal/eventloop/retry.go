package eventloop

import (
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/gateway"
)

// Failures of the head's own machine: they say nothing of the other side, pass, and are met
// with a pause of the loop's own, which grows while they last. Guards against a machine short
// of descriptors, ports or memory that is taken for nodes that are down.
const (
	retryFirst   = 5 * time.Millisecond
	retryLongest = 100 * time.Millisecond
	// interruptedMost is how often a call is made anew at once after a signal.
	interruptedMost = 8
)

// local tells whether an error is of the head's own machine.
func local(err error) bool {
	for _, own := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN, unix.EINTR,
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// backoff is a pause that grows.
type backoff struct {
	at    time.Duration // when to try again, 0: at once
	pause time.Duration
}

func (b *backoff) fail(now time.Duration) {
	b.pause = min(max(2*b.pause, retryFirst), retryLongest)
	b.at = now + b.pause
}

func (b *backoff) succeed() { *b = backoff{} }

// redials are connections that could not be begun yet for a failure of the machine's own.
type redials struct {
	waiting []gateway.Action
	backoff backoff
}

// forget gives one up and tells whether it waited.
func (r *redials) forget(id gateway.ConnID) bool {
	i := slices.IndexFunc(r.waiting, func(a gateway.Action) bool { return a.Conn == id })
	if i < 0 {
		return false
	}
	r.waiting = slices.Delete(r.waiting, i, i+1)
	return true
}

// next is when one is to be tried again.
func (r *redials) next() time.Duration {
	if len(r.waiting) == 0 {
		return noTime
	}
	return r.backoff.at
}

// noTime is later than any.
const noTime = time.Duration(1 << 62)

// postpone has a connection begun later; the head is told that this is not the other side's
// doing.
func (l *Loop) postpone(a gateway.Action) {
	l.redials.waiting = append(l.redials.waiting, a)
	l.redials.backoff.fail(l.Now())
	l.Gateway.Stalled(l.Now(), a.Conn)
}

// redial begins connections that were postponed.
func (l *Loop) redial() {
	if len(l.redials.waiting) == 0 || l.Now() < l.redials.backoff.at {
		return
	}
	waiting := l.redials.waiting
	l.redials.waiting = nil
	for i, a := range waiting {
		if l.dial(a); len(l.redials.waiting) > 0 { // it still fails
			l.redials.waiting = append(l.redials.waiting, waiting[i+1:]...)
			return
		}
	}
}

// stalled are connections on which a call failed for a while: what is watched of them is not
// what should be, or a write or shutdown is owed.
type stalled struct {
	ids []gateway.ConnID
	at  time.Duration
}

// stall has a connection looked at again a little later, and not watched until then for what
// would wake the loop at once.
func (l *Loop) stall(s *sock) {
	if !s.stalled {
		s.stalled = true
		l.stalled.ids = append(l.stalled.ids, s.id)
	}
	if l.stalled.at == 0 {
		l.stalled.at = l.Now() + retryFirst
	}
}

// unstall goes on with the connections that were stalled. Those that epoll still cannot watch
// are asked for their events by poll. Guards against a connection that came up, or an answer
// that arrived, but is taken for the other side's silence.
func (l *Loop) unstall() {
	if l.stalled.at == 0 || l.Now() < l.stalled.at {
		return
	}
	ids := l.stalled.ids
	l.stalled = stalled{}
	for _, id := range ids {
		s := l.sock(id)
		if s == nil {
			continue
		}
		s.stalled = false
		if s.shutOwed {
			l.shutdown(s)
		}
		if l.arm(s); !s.dialing {
			l.write(s)
		}
	}
	l.pollUnwatched()
}

// pollUnwatched serves the connections whose events epoll cannot tell now.
func (l *Loop) pollUnwatched() {
	var ids []gateway.ConnID
	var fds []unix.PollFd
	for _, id := range l.stalled.ids {
		if s := l.sock(id); s != nil && s.unwatched() {
			ids = append(ids, id)
			fds = append(fds, unix.PollFd{Fd: int32(s.fd), Events: int16(s.wanted)})
		}
	}
	if len(fds) == 0 {
		return
	}
	if _, err := l.calls.Poll(fds); err != nil {
		return // tried again with the next look at what is stalled
	}
	for i, id := range ids {
		if s := l.sock(id); s != nil && fds[i].Revents != 0 {
			l.ready(s, uint32(uint16(fds[i].Revents)))
		}
	}
}

// retryAt is when something that failed is tried again.
func (l *Loop) retryAt() time.Duration {
	at := l.redials.next()
	if l.stalled.at > 0 {
		at = min(at, l.stalled.at)
	}
	return at
}
