package soak

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Lengths of a listener's accept queue. During a pause the queue is so short that the kernel drops
// further connection requests. Their connections are established when the client's kernel retries after
// the pause.
const (
	pausedBacklog  = 1
	regularBacklog = 512
)

// pausePollInterval is the interval at which Accept checks whether a pause is over.
const pausePollInterval = 5 * time.Millisecond

// pausableListener is a TCP listener that can stop accepting connections for a while, like the listener
// of a hung process.
type pausableListener struct {
	*net.TCPListener
	// paused is shared by successive listeners at the address: if the node restarts during a pause, the
	// new listener is paused too.
	paused *atomic.Bool
}

// listen listens on an address. If paused is already set, connections are not refused, but wait until
// the end of the pause and are then reset.
func listen(addr string, paused *atomic.Bool) (*pausableListener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &pausableListener{TCPListener: listener.(*net.TCPListener), paused: paused}, nil
}

// Accept returns the next connection that is accepted outside a pause. A connection accepted during a
// pause is reset when the pause ends, since the time for its requests is then over.
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

// resume accepts connections again. Connections that were established during the pause are reset.
func (l *pausableListener) resume() {
	l.control(func(fd int) {
		resetQueuedConns(fd)
		syscall.Listen(fd, regularBacklog)
	})
	l.paused.Store(false)
}

// control calls a function with the listener's descriptor. It does nothing if the listener is closed.
func (l *pausableListener) control(call func(fd int)) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { call(int(fd)) })
}

// resetQueuedConns resets all connections in the accept queue of a listening descriptor.
func resetQueuedConns(listener int) {
	for {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		syscall.Close(fd)
	}
}
