package syscalls

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"
)

// randStream is the second seed of the random generator, whose first seed is the table's.
const randStream = 0x66617578

// Faulty implements Calls and injects the faults of a table. It is not safe for concurrent
// use: it is for one event loop, which makes one call at a time.
type Faulty struct {
	Calls     // calls that are made if no fault applies
	table     FaultTable
	rand      *rand.Rand
	start     time.Time // time of NewFaulty, from which the table's times count
	remaining []int     // number of calls left of each fault's MaxCount, if that is not 0
	injected  []int     // number of calls that each fault applied to
}

// NewFaulty returns a Faulty that injects the faults of a table and otherwise makes the given
// calls. The table's times count from the call of NewFaulty.
func NewFaulty(calls Calls, table FaultTable) *Faulty {
	f := &Faulty{
		Calls:     calls,
		table:     table,
		rand:      rand.New(rand.NewPCG(table.Seed, randStream)),
		start:     time.Now(),
		remaining: make([]int, len(table.Faults)),
		injected:  make([]int, len(table.Faults)),
	}
	for i := range table.Faults {
		f.remaining[i] = table.Faults[i].MaxCount
	}
	return f
}

// Injected returns the number of calls that a fault applied to. All of them failed or transferred
// one byte, except removals of a descriptor from epoll, which are counted but do not fail.
func (f *Faulty) Injected() (n int) {
	for _, count := range f.injected {
		n += count
	}
	return n
}

// drawFault decides by random draws whether a fault applies to a call now, and returns the
// fault's errno, which is 0 for a transfer of one byte.
func (f *Faulty) drawFault(call string) (errno unix.Errno, applies bool) {
	age := time.Since(f.start)
	for i := range f.table.Faults {
		fault := &f.table.Faults[i]
		if fault.Call != call || !fault.activeAt(age) {
			continue
		}
		if fault.MaxCount > 0 && f.remaining[i] == 0 {
			continue
		}
		if f.rand.Float64() >= fault.Probability {
			continue
		}
		f.remaining[i]--
		f.injected[i]++
		return fault.Errno, true
	}
	return 0, false
}

// EpollWait is Calls.EpollWait with injected faults.
func (f *Faulty) EpollWait(epollFD int, events []unix.EpollEvent, timeout int) (int, error) {
	if errno, applies := f.drawFault("epoll_wait"); applies {
		return -1, errno
	}
	return f.Calls.EpollWait(epollFD, events, timeout)
}

// EpollCtl is Calls.EpollCtl with injected faults. The removal of a descriptor never fails.
func (f *Faulty) EpollCtl(epollFD, op, fd int, event *unix.EpollEvent) error {
	if errno, applies := f.drawFault("epoll_ctl"); applies && op != unix.EPOLL_CTL_DEL {
		return errno
	}
	return f.Calls.EpollCtl(epollFD, op, fd, event)
}

// Poll is Calls.Poll with injected faults.
func (f *Faulty) Poll(fds []unix.PollFd) (int, error) {
	if errno, applies := f.drawFault("poll"); applies {
		return -1, errno
	}
	return f.Calls.Poll(fds)
}

// Socket is Calls.Socket with injected faults.
func (f *Faulty) Socket(family int) (int, error) {
	if errno, applies := f.drawFault("socket"); applies {
		return -1, errno
	}
	return f.Calls.Socket(family)
}

// Connect is Calls.Connect with injected faults. With EINTR the connection attempt goes on in
// the background, as described in connect(2).
func (f *Faulty) Connect(fd int, to unix.Sockaddr) error {
	if errno, applies := f.drawFault("connect"); applies {
		if errno == unix.EINTR {
			f.Calls.Connect(fd, to)
		}
		return errno
	}
	return f.Calls.Connect(fd, to)
}

// Accept is Calls.Accept with injected faults. After a fault the connection stays in the listen
// queue.
func (f *Faulty) Accept(fd int) (int, unix.Sockaddr, error) {
	if errno, applies := f.drawFault("accept"); applies {
		return -1, nil, errno
	}
	return f.Calls.Accept(fd)
}

// Read is Calls.Read with injected faults.
func (f *Faulty) Read(fd int, p []byte) (int, error) { return f.receive(fd, p, f.Calls.Read) }

// Discard is Calls.Discard with the injected faults of read.
func (f *Faulty) Discard(fd int, p []byte) (int, error) { return f.receive(fd, p, f.Calls.Discard) }

// receive calls Read or Discard with the injected faults of read.
func (f *Faulty) receive(fd int, p []byte, call func(int, []byte) (int, error)) (int, error) {
	if errno, applies := f.drawFault("read"); applies {
		if errno != 0 {
			return -1, errno
		}
		p = p[:min(1, len(p))]
	}
	return call(fd, p)
}

// Write is Calls.Write with injected faults.
func (f *Faulty) Write(fd int, p []byte) (int, error) {
	if errno, applies := f.drawFault("write"); applies {
		if errno != 0 {
			return -1, errno
		}
		p = p[:min(1, len(p))]
	}
	return f.Calls.Write(fd, p)
}

// Shutdown is Calls.Shutdown with injected faults.
func (f *Faulty) Shutdown(fd, how int) error {
	if errno, applies := f.drawFault("shutdown"); applies {
		return errno
	}
	return f.Calls.Shutdown(fd, how)
}

// Clocks is Calls.Clocks with the table's WallClockStep added to the wall clock.
func (f *Faulty) Clocks() (monotonic, wall time.Time) {
	monotonic, wall = f.Calls.Clocks()
	return monotonic, wall.Add(f.table.WallClockStep)
}
