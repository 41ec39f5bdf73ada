package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// A call may fail because the gateway's own machine is short of descriptors,
// ports or memory. Such a failure says nothing of the peer and passes, so the call
// is retried after a backoff of the loop's own. Guards against nodes that are taken
// for down, one after the other, while it is this machine that has run out.
const (
	// initialRetryDelay is the first delay before a call is retried. It doubles up to
	// maxRetryDelay while the failure lasts.
	initialRetryDelay = 5 * time.Millisecond
	maxRetryDelay     = 100 * time.Millisecond
	// maxInterrupts is how often a call that a signal interrupted is repeated at once.
	maxInterrupts = 8
)

// isLocal tells whether an error is due to the gateway's own machine.
func isLocal(err error) bool {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN, unix.EINTR,
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// isShortage tells whether a local error is a lack of descriptors, memory or ports, which no peer
// can cause. An unreachable network, which is local too, may be that of one peer alone.
func isShortage(err error) bool {
	return isLocal(err) && !errors.Is(err, unix.ENETUNREACH) && !errors.Is(err, unix.ENETDOWN)
}

// outOfMemory tells whether the kernel had no memory or buffer for a read or write.
func outOfMemory(err error) bool {
	return errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

// backoff is an exponential backoff.
type backoff struct {
	retryAt time.Duration // 0: at once
	delay   time.Duration // the last one, 0 before the first failure
}

// extend sets the next retry after another failure.
func (b *backoff) extend(now time.Duration) {
	b.delay = min(max(2*b.delay, initialRetryDelay), maxRetryDelay)
	b.retryAt = now + b.delay
}

// reset ends the backoff after a success.
func (b *backoff) reset() { *b = backoff{} }
