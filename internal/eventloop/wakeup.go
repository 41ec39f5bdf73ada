package eventloop

import (
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sys/unix"
)

// noDescriptor stands for a descriptor that is not open.
const noDescriptor = -1

// wakeup is the eventfd with which other goroutines wake the loop.
type wakeup struct {
	mu sync.Mutex
	fd int // eventfd; noDescriptor after release
}

// openWakeup opens the eventfd and registers it with epoll.
func (l *Loop) openWakeup() (err error) {
	if l.wakeup.fd, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		return fmt.Errorf("eventfd: %w", err)
	}
	l.descriptors[l.wakeup.fd] = descriptorWakeup
	return l.addToEpoll(l.wakeup.fd, unix.EPOLLIN)
}

// Wake makes the loop call OnWake, and ends its wait for events. It may be called from any
// goroutine, even after Close: Close releases the descriptor under the lock, so that a late
// call does not write to another file that has been given the same descriptor number.
func (l *Loop) Wake() { l.wakeup.signal() }

// signal writes to the eventfd, unless it has been released.
func (w *wakeup) signal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fd < 0 {
		return
	}
	increment := [8]byte{7: 1}
	for range maxInterrupts {
		if _, err := unix.Write(w.fd, increment[:]); !errors.Is(err, unix.EINTR) {
			return // EAGAIN: a wake-up is already pending
		}
	}
}

// release marks the descriptor as closed and returns it for the caller to close.
func (w *wakeup) release() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	fd := w.fd
	w.fd = noDescriptor
	return fd
}

// serveWakeup resets the eventfd and calls OnWake. It also rearms the shared listeners, because
// the kernel may have sent the notification of a new connection to a hung process.
func (l *Loop) serveWakeup(fd int) {
	var counter [8]byte
	unix.Read(fd, counter[:])
	l.rearmSharedListeners()
	if l.OnWake != nil {
		l.OnWake()
	}
}
