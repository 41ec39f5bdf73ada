// Package syscalls defines the interface between the event loop and the operating system.
// The system calls of the loop that may fail at run time go through Calls, so that faults can
// be injected (see Faulty). Production uses Linux, which makes the plain system calls.
package syscalls

import (
	"time"

	"golang.org/x/sys/unix"
)

// Calls is the set of system calls and the two clocks that an event loop uses. All errors are of
// type unix.Errno.
type Calls interface {
	// EpollWait waits for events, for at most timeout milliseconds, and returns their number.
	// With a timeout of -1 it waits indefinitely.
	EpollWait(epollFD int, events []unix.EpollEvent, timeout int) (int, error)
	// EpollCtl adds, changes or removes the epoll registration of a descriptor.
	EpollCtl(epollFD, op, fd int, event *unix.EpollEvent) error
	// Poll sets Revents of each element of fds and returns the number of elements that have
	// an event. It does not wait for one.
	Poll(fds []unix.PollFd) (int, error)
	// Socket opens a non-blocking TCP socket of the given address family.
	Socket(family int) (int, error)
	// Connect starts to connect a socket. The usual result is EINPROGRESS.
	Connect(fd int, to unix.Sockaddr) error
	// Accept accepts a connection from a listener. The new descriptor is non-blocking.
	Accept(fd int) (int, unix.Sockaddr, error)
	// ListenQueueLength returns the number of connections that wait in a listener's queue.
	ListenQueueLength(fd int) (int, error)
	Read(fd int, p []byte) (int, error)
	// Discard receives up to len(p) bytes and drops them. It does not write to p.
	Discard(fd int, p []byte) (int, error)
	Write(fd int, p []byte) (int, error)
	// Shutdown closes one direction of a connection.
	Shutdown(fd, how int) error
	// SocketError returns and clears the pending error of a socket. It is 0 if there is none.
	SocketError(fd int) (unix.Errno, error)
	// Clocks reads both clocks at the same moment: the monotonic clock, for measuring
	// durations, and the wall clock, for display and for comparison with other machines.
	Clocks() (monotonic, wall time.Time)
}

// Linux implements Calls with the plain system calls.
type Linux struct{}

// EpollWait calls epoll_wait(2).
func (Linux) EpollWait(epollFD int, events []unix.EpollEvent, timeout int) (int, error) {
	return unix.EpollWait(epollFD, events, timeout)
}

// EpollCtl calls epoll_ctl(2).
func (Linux) EpollCtl(epollFD, op, fd int, event *unix.EpollEvent) error {
	return unix.EpollCtl(epollFD, op, fd, event)
}

// Poll calls poll(2) with a timeout of zero.
func (Linux) Poll(fds []unix.PollFd) (int, error) { return unix.Poll(fds, 0) }

// Socket calls socket(2) for a non-blocking TCP socket.
func (Linux) Socket(family int) (int, error) {
	return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Connect calls connect(2).
func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Accept calls accept4(2) with SOCK_NONBLOCK.
func (Linux) Accept(fd int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

// ListenQueueLength reads the length from TCP_INFO: for a listener, the field Unacked holds it.
func (Linux) ListenQueueLength(fd int) (int, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return int(info.Unacked), nil
}

// Read calls read(2).
func (Linux) Read(fd int, p []byte) (int, error) { return unix.Read(fd, p) }

// Discard calls recvfrom(2) with MSG_TRUNC, which for TCP drops the bytes without copying them (tcp(7)).
func (Linux) Discard(fd int, p []byte) (int, error) {
	n, _, err := unix.Recvfrom(fd, p, unix.MSG_TRUNC)
	return n, err
}

// Write calls write(2).
func (Linux) Write(fd int, p []byte) (int, error) { return unix.Write(fd, p) }

// Shutdown calls shutdown(2).
func (Linux) Shutdown(fd, how int) error { return unix.Shutdown(fd, how) }

// SocketError calls getsockopt(2) for SO_ERROR.
func (Linux) SocketError(fd int) (unix.Errno, error) {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	return unix.Errno(code), err
}

// Clocks reads the clock once. monotonic is the reading with its monotonic part, wall is the same
// reading without it.
func (Linux) Clocks() (monotonic, wall time.Time) {
	now := time.Now()
	return now, now.Round(0)
}
