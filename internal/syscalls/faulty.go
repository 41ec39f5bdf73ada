package syscalls

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"
)

// randStream is the stream of the generator that a table's seed selects within.
const randStream = 0x66617578

// Faulty makes system calls that fail as a table says. It is not safe for concurrent
// use: it is for one loop, which makes its calls one at a time.
type Faulty struct {
	Calls
	table     FaultTable
	rand      *rand.Rand
	start     time.Time
	remaining []int // calls left of each fault's MaxCount
	injected  []int // how often each was injected
}

// NewFaulty returns calls that fail as the table says, and otherwise are those given.
// The table's times count from now.
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

// Injected is how many calls the table applied to. All of them failed or were cut short, but for the
// removal of a descriptor from epoll, which does not fail.
func (f *Faulty) Injected() (n int) {
	for _, count := range f.injected {
		n += count
	}
	return n
}

// drawFault draws whether a call fails now, and with what error.
func (f *Faulty) drawFault(call string) (errno unix.Errno, fails bool) {
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

// EpollWait is Calls.EpollWait, with faults.
func (f *Faulty) EpollWait(epollFD int, events []unix.EpollEvent, timeout int) (int, error) {
	if errno, fails := f.drawFault("epoll_wait"); fails {
		return -1, errno
	}
	return f.Calls.EpollWait(epollFD, events, timeout)
}

// EpollCtl is Calls.EpollCtl, with faults. A removal never fails.
func (f *Faulty) EpollCtl(epollFD, op, fd int, event *unix.EpollEvent) error {
	if errno, fails := f.drawFault("epoll_ctl"); fails && op != unix.EPOLL_CTL_DEL {
		return errno
	}
	return f.Calls.EpollCtl(epollFD, op, fd, event)
}

// Poll is Calls.Poll, with faults.
func (f *Faulty) Poll(fds []unix.PollFd) (int, error) {
	if errno, fails := f.drawFault("poll"); fails {
		return -1, errno
	}
	return f.Calls.Poll(fds)
}

// Socket is Calls.Socket, with faults.
func (f *Faulty) Socket(family int) (int, error) {
	if errno, fails := f.drawFault("socket"); fails {
		return -1, errno
	}
	return f.Calls.Socket(family)
}

// Connect is Calls.Connect, with faults. An interrupted one goes on in the background,
// as connect(2) says.
func (f *Faulty) Connect(fd int, to unix.Sockaddr) error {
	if errno, fails := f.drawFault("connect"); fails {
		if errno == unix.EINTR {
			f.Calls.Connect(fd, to)
		}
		return errno
	}
	return f.Calls.Connect(fd, to)
}

// Accept is Calls.Accept, with faults. The connection stays in the listen queue.
func (f *Faulty) Accept(fd int) (int, unix.Sockaddr, error) {
	if errno, fails := f.drawFault("accept"); fails {
		return -1, nil, errno
	}
	return f.Calls.Accept(fd)
}

// Read is Calls.Read, with faults.
func (f *Faulty) Read(fd int, p []byte) (int, error) {
	if errno, fails := f.drawFault("read"); fails {
		if errno != 0 {
			return -1, errno
		}
		p = p[:min(1, len(p))]
	}
	return f.Calls.Read(fd, p)
}

// Write is Calls.Write, with faults.
func (f *Faulty) Write(fd int, p []byte) (int, error) {
	if errno, fails := f.drawFault("write"); fails {
		if errno != 0 {
			return -1, errno
		}
		p = p[:min(1, len(p))]
	}
	return f.Calls.Write(fd, p)
}

// Shutdown is Calls.Shutdown, with faults.
func (f *Faulty) Shutdown(fd, how int) error {
	if errno, fails := f.drawFault("shutdown"); fails {
		return errno
	}
	return f.Calls.Shutdown(fd, how)
}

// Clocks is Calls.Clocks, with the table's step of the wall clock.
func (f *Faulty) Clocks() (monotonic, wall time.Time) {
	monotonic, wall = f.Calls.Clocks()
	return monotonic, wall.Add(f.table.WallClockStep)
}
