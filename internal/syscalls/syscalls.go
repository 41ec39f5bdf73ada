// Package syscalls is the seam between the loop and the system: every call that may fail at
// run time goes through Calls, so that its failures can be injected (see Faulty). Production
// uses Linux, which adds nothing.
package syscalls

import (
	"time"

	"golang.org/x/sys/unix"
)

// Calls are the system calls of a loop, and its two clocks.
type Calls interface {
	EpollWait(epfd int, events []unix.EpollEvent, msec int) (int, error)
	EpollCtl(epfd, op, fd int, event *unix.EpollEvent) error
	// Poll tells the events of descriptors without waiting for any.
	Poll(fds []unix.PollFd) (int, error)
	Socket(family int) (int, error)
	Connect(fd int, to unix.Sockaddr) error
	Accept(fd int) (int, unix.Sockaddr, error)
	Read(fd int, p []byte) (int, error)
	Write(fd int, p []byte) (int, error)
	Shutdown(fd, how int) error
	SocketError(fd int) (unix.Errno, error)
	// Clocks is one reading of both clocks: the monotonic one that spans are taken from, and
	// the wall-clock time, which is for showing and for comparing with other machines.
	Clocks() (monotonic, wall time.Time)
}

// Linux makes the calls.
type Linux struct{}

// EpollWait waits for events.
func (Linux) EpollWait(epfd int, events []unix.EpollEvent, msec int) (int, error) {
	return unix.EpollWait(epfd, events, msec)
}

// EpollCtl changes what is waited for.
func (Linux) EpollCtl(epfd, op, fd int, event *unix.EpollEvent) error {
	return unix.EpollCtl(epfd, op, fd, event)
}

// Poll tells the events of descriptors without waiting for any.
func (Linux) Poll(fds []unix.PollFd) (int, error) { return unix.Poll(fds, 0) }

// Socket opens a TCP socket that does not block.
func (Linux) Socket(family int) (int, error) {
	return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// Connect begins a connection.
func (Linux) Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Accept takes a connection that does not block.
func (Linux) Accept(fd int) (int, unix.Sockaddr, error) {
	return unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
}

func (Linux) Read(fd int, p []byte) (int, error) { return unix.Read(fd, p) }

func (Linux) Write(fd int, p []byte) (int, error) { return unix.Write(fd, p) }

// Shutdown ends one side of a connection.
func (Linux) Shutdown(fd, how int) error { return unix.Shutdown(fd, how) }

// SocketError returns a socket's pending error, 0 for none.
func (Linux) SocketError(fd int) (unix.Errno, error) {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	return unix.Errno(code), err
}

// Clocks reads both clocks.
func (Linux) Clocks() (monotonic, wall time.Time) {
	now := time.Now()
	return now, now.Round(0)
}
