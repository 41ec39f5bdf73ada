package eventloop

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// A system call may fail with a local error: the gateway's own machine is short of
// descriptors, ports or memory. Such an error is temporary and says nothing about the peer, so
// the loop retries the call after a backoff of its own. Otherwise one node after the other
// would be regarded as down because of a shortage on this machine.
const (
	// initialRetryDelay is the delay before the first retry of a call. For dials it doubles
	// after each further failure, up to maxRetryDelay.
	initialRetryDelay = 5 * time.Millisecond
	maxRetryDelay     = 100 * time.Millisecond
	// maxInterrupts is how often a call interrupted by a signal is repeated at once.
	maxInterrupts = 8
)

// isLocalError reports whether an error is caused by the gateway's own machine and not by the peer.
func isLocalError(err error) bool {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EAGAIN, unix.EINTR,
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENETDOWN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// isResourceShortage reports whether an error is a local lack of descriptors, memory or ports, which no
// peer can cause. An unreachable network is a local error too, but it may affect one peer only.
func isResourceShortage(err error) bool {
	return isLocalError(err) && !errors.Is(err, unix.ENETUNREACH) && !errors.Is(err, unix.ENETDOWN)
}

// isOutOfMemory reports whether the kernel had no memory or buffer for a read or write.
func isOutOfMemory(err error) bool {
	return errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}

// backoff computes the times of retries with exponentially increasing delays.
type backoff struct {
	retryAt time.Duration // time of the next retry; 0 before the first failure
	delay   time.Duration // delay before that retry; 0 before the first failure
}

// extend schedules the next retry after a failure at time now.
func (b *backoff) extend(now time.Duration) {
	b.delay = min(max(2*b.delay, initialRetryDelay), maxRetryDelay)
	b.retryAt = now + b.delay
}

// reset ends the backoff after a success.
func (b *backoff) reset() { *b = backoff{} }
