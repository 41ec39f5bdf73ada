package soak

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Lengths of a listener's accept queue. While it is paused, the queue is full with one connection:
// the kernel drops further ones, which connect when their client's kernel tries again.
const (
	pausedBacklog  = 1
	regularBacklog = 512
)

// pausePollInterval is how often Accept looks whether a pause is over.
const pausePollInterval = 5 * time.Millisecond

// pausableListener is a TCP listener that can stop accepting connections for a while, as a process
// does that is stuck.
type pausableListener struct {
	*net.TCPListener
	// paused outlives the listener: the next one at the address is paused too.
	paused *atomic.Bool
}

// listen listens on an address. If it is paused already, the first connections are not refused,
// but reset when the pause is over.
func listen(addr string, paused *atomic.Bool) (*pausableListener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &pausableListener{TCPListener: listener.(*net.TCPListener), paused: paused}, nil
}

// Accept returns the next connection that is accepted outside of a pause. One that came in a pause
// waited to the end of it, beyond the time for its requests, and is reset.
func (l *pausableListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if !l.paused.Load() {
			return conn, nil
		}
		for l.paused.Load() {
			time.Sleep(pausePollInterval)
		}
		conn.SetLinger(0)
		conn.Close()
	}
}

// pause stops accepting connections.
func (l *pausableListener) pause() {
	l.control(func(fd int) { syscall.Listen(fd, pausedBacklog) })
	l.paused.Store(true)
}

// resume accepts connections again, but none of those that came in the pause.
func (l *pausableListener) resume() {
	l.control(func(fd int) {
		resetQueue(fd)
		syscall.Listen(fd, regularBacklog)
	})
	l.paused.Store(false)
}

// control calls a function with the listener's descriptor, unless the listener is closed.
func (l *pausableListener) control(call func(fd int)) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { call(int(fd)) })
}

// resetQueue resets all connections that wait to be accepted.
func resetQueue(listener int) {
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		syscall.Close(fd)
	}
}
