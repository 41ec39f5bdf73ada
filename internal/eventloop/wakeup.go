package eventloop

import (
	"errors"
	"fmt"
	"sync"

	"golang.org/x/sys/unix"
)

// noDescriptor stands for a descriptor that is not open.
const noDescriptor = -1

// wakeup is the eventfd by which other goroutines wake the loop.
type wakeup struct {
	mu sync.Mutex
	fd int // noDescriptor after release
}

// openWakeup opens the eventfd and watches it.
func (l *Loop) openWakeup() (err error) {
	if l.wakeup.fd, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
		return fmt.Errorf("eventfd: %w", err)
	}
	l.descriptors[l.wakeup.fd] = descriptorWakeup
	return l.addToEpoll(l.wakeup.fd, unix.EPOLLIN)
}

// Wake has a waiting loop call OnWake. It may be called from any goroutine, also
// after Close. Guards against a late call that writes to another file which has
// got the descriptor's number by then: the number is given up under the lock.
func (l *Loop) Wake() { l.wakeup.signal() }

func (w *wakeup) signal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fd < 0 {
		return
	}
	one := [8]byte{7: 1}
	for range maxInterrupts {
		if _, err := unix.Write(w.fd, one[:]); !errors.Is(err, unix.EINTR) {
			return // EAGAIN means that a wake-up is pending already
		}
	}
}

// release gives up the descriptor and returns it for the caller to close.
func (w *wakeup) release() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	fd := w.fd
	w.fd = noDescriptor
	return fd
}

// serveWakeup resets the eventfd and calls OnWake. It also rearms shared listeners:
// the kernel may have given the wake-up for a new connection to a process that hangs.
func (l *Loop) serveWakeup(fd int) {
	var counter [8]byte
	unix.Read(fd, counter[:])
	l.rearmSharedListeners()
	if l.OnWake != nil {
		l.OnWake()
	}
}
