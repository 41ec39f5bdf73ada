// Package syscalls is the seam between the event loop and the operating system. Every
// system call of the loop that may fail at run time goes through Calls, so that tests can
// inject its failures (see Faulty). Production uses Linux, which adds nothing.
package syscalls

import (
	"time"

	"golang.org/x/sys/unix"
)

// Calls are the system calls of an event loop, and its two clocks. Errors are unix.Errno.
type Calls interface {
	// EpollWait waits for events, for at most timeout milliseconds; -1 is without bound.
	EpollWait(epollFD int, events []unix.EpollEvent, timeout int) (int, error)
	// EpollCtl changes the events that a descriptor is watched for.
	EpollCtl(epollFD, op, fd int, event *unix.EpollEvent) error
	// Poll reports the events of descriptors without waiting for any.
	Poll(fds []unix.PollFd) (int, error)
	// Socket opens a non-blocking TCP socket of an address family.
	Socket(family int) (int, error)
	// Connect begins a connection; EINPROGRESS is the usual result.
	Connect(fd int, to unix.Sockaddr) error
	// Accept accepts a connection, non-blocking, from a listener.
	Accept(fd int) (int, unix.Sockaddr, error)
	// ListenQueueLength returns how many connections stand in the queue of a listener.
	ListenQueueLength(fd int) (int, error)
	Read(fd int, p []byte) (int, error)
	Write(fd int, p []byte) (int, error)
	// Shutdown closes one direction of a connection.
	Shutdown(fd, how int) error
	// SocketError returns and clears a socket's pending error, 0 for none.
	SocketError(fd int) (unix.Errno, error)
	// Clocks reads both clocks at once: the monotonic one, by which all durations are
	// measured, and the wall clock, for display and for comparison with other machines.
	Clocks() (monotonic, wall time.Time)
}

// Linux makes the system calls themselves.
type Linux struct{}

// EpollWait is epoll_wait(2).
func (Linux) EpollWait(epollFD int, events []unix.EpollEvent, timeout int) (int, error) {
	return unix.EpollWait(epollFD, events, timeout)
}

// EpollCtl is epoll_ctl(2).
func (Linux) EpollCtl(epollFD, op, fd int, event *unix.EpollEvent) error {
	return unix.EpollCtl(epollFD, op, fd, event)
}

// Poll is poll(2) without a wait.
func (Linux) Poll(fds []unix.PollFd) (int, error) { return unix.Poll(fds, 0) }

// Socket is socket(2) for non-blocking TCP.
func (Linux) Socket(family int) (int, error) {
	return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Connect is connect(2).
func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Accept is accept4(2), non-blocking.
func (Linux) Accept(fd int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

// ListenQueueLength is getsockopt(2) of TCP_INFO, which has it for a listener.
func (Linux) ListenQueueLength(fd int) (int, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return int(info.Unacked), nil
}

// Read is read(2).
func (Linux) Read(fd int, p []byte) (int, error) { return unix.Read(fd, p) }

// Write is write(2).
func (Linux) Write(fd int, p []byte) (int, error) { return unix.Write(fd, p) }

// Shutdown is shutdown(2).
func (Linux) Shutdown(fd, how int) error { return unix.Shutdown(fd, how) }

// SocketError is getsockopt(2) of SO_ERROR.
func (Linux) SocketError(fd int) (unix.Errno, error) {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	return unix.Errno(code), err
}

// Clocks is one clock reading, with its monotonic part and without.
func (Linux) Clocks() (monotonic, wall time.Time) {
	now := time.Now()
	return now, now.Round(0)
}
