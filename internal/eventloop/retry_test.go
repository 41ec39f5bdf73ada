package eventloop

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/syscalls"
)

// newFaultyLoop returns a loop whose system calls fail as a fault table says.
func newFaultyLoop(t *testing.T, text string) (*Loop, *syscalls.Faulty, []string) {
	t.Helper()
	l, _, addrs := newLoop(t, 1)
	table, err := syscalls.ParseFaultTable(text)
	if err != nil {
		t.Fatal(err)
	}
	faulty := syscalls.NewFaulty(syscalls.Linux{}, *table)
	l.calls = faulty
	return l, faulty, addrs
}

// A client waits in the listen queue while every accept fails with the same error. The
// loop pauses between its attempts in place of spinning, both in its iterations and when
// it drains the queue before closing it.
func TestLastingAcceptErrorsPauseAccepting(t *testing.T) {
	for _, errno := range []string{"ECONNABORTED", "ENFILE", "ENOBUFS", "EINVAL", "EINTR", "EPERM"} {
		t.Run(errno, func(t *testing.T) {
			l, faulty, addrs := newFaultyLoop(t, "accept "+errno)
			dial(t, "127.0.0.1", addrs[0])
			began := time.Now()
			if err := l.Run(func() bool { return time.Since(began) > 200*time.Millisecond }); err != nil {
				t.Fatal(err)
			}
			if n := faulty.Injected(); n == 0 || n > 10*(maxAborted+1) {
				t.Errorf("accept was called %d times within 200 ms", n)
			}
			before := faulty.Injected()
			if l.DrainListenQueues() {
				t.Error("the queue counts as drained")
			}
			if n := faulty.Injected() - before; n > maxAborted+1 {
				t.Errorf("accept was called %d times to drain the queue", n)
			}
		})
	}
}

// Signals interrupt about half of the waits for events. The loop goes on and still serves its
// wake-ups.
func TestInterruptedWaitsGoOn(t *testing.T) {
	l, faulty, _ := newFaultyLoop(t, "epoll_wait EINTR chance 0.5")
	iterations, began := 0, time.Now()
	go func() {
		for range 20 {
			time.Sleep(5 * time.Millisecond)
			l.Wake()
		}
	}()
	err := l.Run(func() bool { iterations++; return time.Since(began) > 100*time.Millisecond && iterations > 20 })
	if err != nil || faulty.Injected() == 0 {
		t.Errorf("%v, %d interrupted", err, faulty.Injected())
	}
}

// Errors of the gateway's own machine are told from those of the peer.
func TestLocalErrors(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.EADDRNOTAVAIL, unix.ENETUNREACH} {
		if !isLocal(errno) {
			t.Errorf("%v counts as an error of the peer", errno)
		}
	}
	for _, errno := range []unix.Errno{unix.ECONNREFUSED, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET} {
		if isLocal(errno) {
			t.Errorf("%v counts as an error of this machine", errno)
		}
	}
}
