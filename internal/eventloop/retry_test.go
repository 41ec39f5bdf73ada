package eventloop

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/syscalls"
)

// newFaultyLoop returns a loop whose system calls fail according to a fault table, given as text
// for syscalls.ParseFaultTable, with the calls that inject the faults and the addresses of the
// loop's listeners.
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

// Verifies that the loop does not spin when every accept fails with the same error while a
// client waits in the listen queue. It pauses between its attempts, both in its iterations and
// when it drains the queue before closing it.
func TestPersistentAcceptErrorsPauseAccepting(t *testing.T) {
	for _, errno := range []string{"ECONNABORTED", "ENFILE", "ENOBUFS", "EINVAL", "EINTR", "EPERM"} {
		t.Run(errno, func(t *testing.T) {
			l, faulty, addrs := newFaultyLoop(t, "accept "+errno)
			dial(t, "127.0.0.1", addrs[0])
			began := time.Now()
			if err := l.Run(func() bool { return time.Since(began) > 200*time.Millisecond }); err != nil {
				t.Fatal(err)
			}
			if n := faulty.Injected(); n == 0 || n > 10*(maxTransientErrors+1) {
				t.Errorf("accept was called %d times in 200 ms, want at least 1 and a pause after each series", n)
			}
			before := faulty.Injected()
			if l.DrainListenQueues() {
				t.Error("DrainListenQueues reports an empty queue while accept fails")
			}
			if n := faulty.Injected() - before; n > maxTransientErrors+1 {
				t.Errorf("accept was called %d times to drain the queue, want one series of retries at most", n)
			}
		})
	}
}

// Verifies that Run continues and still serves wake-ups when signals interrupt about half of its
// waits for events.
func TestLoopContinuesAfterInterruptedWaits(t *testing.T) {
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
		t.Errorf("Run returned %v, with %d interrupted waits; want no error, and at least 1", err, faulty.Injected())
	}
}

// Verifies that errors of the gateway's own machine are distinguished from errors of the peer.
func TestLocalErrors(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.EADDRNOTAVAIL, unix.ENETUNREACH} {
		if !isLocalError(errno) {
			t.Errorf("%v is not regarded as a local error", errno)
		}
	}
	for _, errno := range []unix.Errno{unix.ECONNREFUSED, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET} {
		if isLocalError(errno) {
			t.Errorf("%v is regarded as a local error", errno)
		}
	}
}
