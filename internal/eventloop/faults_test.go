package eventloop

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/syscalls"
)

// injected is a loop whose calls fail by a table.
func injected(t *testing.T, text string) (*Loop, *syscalls.Faulty, []string) {
	t.Helper()
	l, _, addrs := newLoop(t, 1, "")
	table, err := syscalls.ParseFaultTable(text)
	if err != nil {
		t.Fatal(err)
	}
	faulty := syscalls.NewFaulty(syscalls.Linux{}, *table)
	l.calls = faulty
	return l, faulty, addrs
}

// An error of accept that lasts, whatever it is, is met with a rest: the loop does not spin
// over it, nor while it empties the queue before it is closed.
func TestAcceptErrorsThatLast(t *testing.T) {
	for _, errno := range []string{"ECONNABORTED", "ENFILE", "ENOBUFS", "EINVAL", "EINTR", "EPERM"} {
		t.Run(errno, func(t *testing.T) {
			l, faulty, addrs := injected(t, "accept "+errno)
			dial(t, "127.0.0.1", addrs[0])
			began := time.Now()
			if err := l.Run(func() bool { return time.Since(began) > 200*time.Millisecond }); err != nil {
				t.Fatal(err)
			}
			if n := faulty.Injected(); n == 0 || n > 10*(abortedMost+1) {
				t.Errorf("accept was called %d times within 200 ms", n)
			}
			before := faulty.Injected()
			if l.DrainListenQueues() {
				t.Error("the queue counts as empty")
			}
			if n := faulty.Injected() - before; n > abortedMost+1 {
				t.Errorf("accept was called %d times to empty the queue", n)
			}
		})
	}
}

// A wait that is interrupted again and again goes on.
func TestWaitsAreInterrupted(t *testing.T) {
	l, faulty, _ := injected(t, "epoll_wait EINTR chance 0.5")
	turns, began := 0, time.Now()
	go func() {
		for range 20 {
			time.Sleep(5 * time.Millisecond)
			l.Wake()
		}
	}()
	err := l.Run(func() bool { turns++; return time.Since(began) > 100*time.Millisecond && turns > 20 })
	if err != nil || faulty.Injected() == 0 {
		t.Errorf("%v, %d interrupted", err, faulty.Injected())
	}
}

// What is of the head's own machine, and what is the other side's.
func TestLocalErrors(t *testing.T) {
	for _, own := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.EADDRNOTAVAIL, unix.ENETUNREACH} {
		if !local(own) {
			t.Errorf("%v counts as the other side's", own)
		}
	}
	for _, theirs := range []unix.Errno{unix.ECONNREFUSED, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET} {
		if local(theirs) {
			t.Errorf("%v counts as the head's own", theirs)
		}
	}
}
