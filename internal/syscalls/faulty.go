package syscalls

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Fault is a line of a table: a call that fails.
type Fault struct {
	Call string
	// Errno is what it fails with; 0: a read or write of one byte.
	Errno       unix.Errno
	Probability float64       // of each call
	MaxCount    int           // at most, 0: without bound
	StartAfter  time.Duration // since the start
	Duration    time.Duration // 0: to the end
}

// FaultTable is what is injected.
type FaultTable struct {
	Seed   uint64
	Faults []Fault
	// WallClockStep is how far the wall clock is from the true time.
	WallClockStep time.Duration
}

// shortTransfer is the word for a read or write of one byte.
const shortTransfer = "SHORT"

var callNames = []string{"epoll_wait", "epoll_ctl", "poll", "socket", "connect", "accept", "read", "write", "shutdown"}

var errnos = map[string]unix.Errno{shortTransfer: 0, "EINTR": unix.EINTR, "EAGAIN": unix.EAGAIN, "EMFILE": unix.EMFILE, "ENFILE": unix.ENFILE,
	"ENOBUFS": unix.ENOBUFS, "ENOMEM": unix.ENOMEM, "ENOSPC": unix.ENOSPC, "ECONNABORTED": unix.ECONNABORTED,
	"EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "ENETUNREACH": unix.ENETUNREACH, "EHOSTUNREACH": unix.EHOSTUNREACH,
	"ETIMEDOUT": unix.ETIMEDOUT, "ECONNRESET": unix.ECONNRESET, "EPIPE": unix.EPIPE, "EPERM": unix.EPERM, "EPROTO": unix.EPROTO,
	"EINVAL": unix.EINVAL}

// ParseFaultTable reads a table: entries separated by semicolons, each "seed N", "step DURATION", or
// "CALL ERRNO [chance P] [count N] [from DURATION] [for DURATION]".
func ParseFaultTable(text string) (*FaultTable, error) {
	t := &FaultTable{Seed: 1}
	for entry := range strings.SplitSeq(text, ";") {
		words := strings.Fields(entry)
		if len(words) == 0 {
			continue
		}
		if err := t.parseEntry(words); err != nil {
			return nil, fmt.Errorf("%q: %w", strings.TrimSpace(entry), err)
		}
	}
	return t, nil
}

func (t *FaultTable) parseEntry(words []string) (err error) {
	if len(words) < 2 {
		return fmt.Errorf("want a word and its value")
	}
	switch words[0] {
	case "seed":
		t.Seed, err = strconv.ParseUint(words[1], 10, 64)
		return err
	case "step":
		t.WallClockStep, err = time.ParseDuration(words[1])
		return err
	}
	f := Fault{Call: words[0], Probability: 1}
	known := false
	for _, name := range callNames {
		known = known || name == f.Call
	}
	errno, ok := errnos[words[1]]
	if !known || !ok {
		return fmt.Errorf("want one of %v and one of the errors known here", callNames)
	}
	if f.Errno = errno; errno == 0 && f.Call != "read" && f.Call != "write" {
		return fmt.Errorf("%s is for read and write", shortTransfer)
	}
	if len(words)%2 != 0 {
		return fmt.Errorf("a word without its value")
	}
	for i := 2; i < len(words); i += 2 {
		switch value := words[i+1]; words[i] {
		case "chance":
			f.Probability, err = strconv.ParseFloat(value, 64)
		case "count":
			f.MaxCount, err = strconv.Atoi(value)
		case "from":
			f.StartAfter, err = time.ParseDuration(value)
		case "for":
			f.Duration, err = time.ParseDuration(value)
		default:
			err = fmt.Errorf("%s is none of chance, count, from, for", words[i])
		}
		if err != nil {
			return err
		}
	}
	t.Faults = append(t.Faults, f)
	return nil
}

// Faulty makes calls that fail by a table. It is for one loop, which makes its calls one at
// a time.
type Faulty struct {
	Calls
	table     FaultTable
	rand      *rand.Rand
	start     time.Time
	remaining []int // of each fault's count
	injected  []int // how often each was injected
}

// NewFaulty returns calls that fail by a table, and else go to those given.
func NewFaulty(calls Calls, table FaultTable) *Faulty {
	f := &Faulty{Calls: calls, table: table, rand: rand.New(rand.NewPCG(table.Seed, 0x66617578)), start: time.Now(),
		remaining: make([]int, len(table.Faults)), injected: make([]int, len(table.Faults))}
	for i := range table.Faults {
		f.remaining[i] = table.Faults[i].MaxCount
	}
	return f
}

// Injected is how many calls were made to fail, or cut short.
func (f *Faulty) Injected() (n int) {
	for _, made := range f.injected {
		n += made
	}
	return n
}

// drawFault draws whether a call fails now.
func (f *Faulty) drawFault(call string) (unix.Errno, bool) {
	age := time.Since(f.start)
	for i := range f.table.Faults {
		fault := &f.table.Faults[i]
		if fault.Call != call || age < fault.StartAfter || fault.Duration > 0 && age >= fault.StartAfter+fault.Duration ||
			fault.MaxCount > 0 && f.remaining[i] == 0 || f.rand.Float64() >= fault.Probability {
			continue
		}
		f.remaining[i]--
		f.injected[i]++
		return fault.Errno, true
	}
	return 0, false
}

// EpollWait waits for events.
func (f *Faulty) EpollWait(epfd int, events []unix.EpollEvent, msec int) (int, error) {
	if errno, fails := f.drawFault("epoll_wait"); fails {
		return -1, errno
	}
	return f.Calls.EpollWait(epfd, events, msec)
}

// EpollCtl changes what is waited for.
func (f *Faulty) EpollCtl(epfd, op, fd int, event *unix.EpollEvent) error {
	if errno, fails := f.drawFault("epoll_ctl"); fails && op != unix.EPOLL_CTL_DEL {
		return errno
	}
	return f.Calls.EpollCtl(epfd, op, fd, event)
}

// Poll tells the events of descriptors.
func (f *Faulty) Poll(fds []unix.PollFd) (int, error) {
	if errno, fails := f.drawFault("poll"); fails {
		return -1, errno
	}
	return f.Calls.Poll(fds)
}

// Socket opens a socket.
func (f *Faulty) Socket(family int) (int, error) {
	if errno, fails := f.drawFault("socket"); fails {
		return -1, errno
	}
	return f.Calls.Socket(family)
}

// Connect begins a connection; one that is interrupted goes on by itself (connect(2)).
func (f *Faulty) Connect(fd int, to unix.Sockaddr) error {
	if errno, fails := f.drawFault("connect"); fails {
		if errno == unix.EINTR {
			f.Calls.Connect(fd, to)
		}
		return errno
	}
	return f.Calls.Connect(fd, to)
}

// Accept takes a connection. One that is aborted is gone, as it is from the system's queue.
func (f *Faulty) Accept(fd int) (int, unix.Sockaddr, error) {
	if errno, fails := f.drawFault("accept"); fails {
		return -1, nil, errno
	}
	return f.Calls.Accept(fd)
}

func (f *Faulty) Read(fd int, p []byte) (int, error) {
	if errno, fails := f.drawFault("read"); fails {
		if errno != 0 {
			return -1, errno
		}
		p = p[:min(1, len(p))]
	}
	return f.Calls.Read(fd, p)
}

func (f *Faulty) Write(fd int, p []byte) (int, error) {
	if errno, fails := f.drawFault("write"); fails {
		if errno != 0 {
			return -1, errno
		}
		p = p[:min(1, len(p))]
	}
	return f.Calls.Write(fd, p)
}

// Shutdown ends one side of a connection.
func (f *Faulty) Shutdown(fd, how int) error {
	if errno, fails := f.drawFault("shutdown"); fails {
		return errno
	}
	return f.Calls.Shutdown(fd, how)
}

// Clocks reads both clocks, the wall clock with its step.
func (f *Faulty) Clocks() (monotonic, wall time.Time) {
	monotonic, wall = f.Calls.Clocks()
	return monotonic, wall.Add(f.table.WallClockStep)
}
