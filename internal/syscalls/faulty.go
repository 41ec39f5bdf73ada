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
	Errno  unix.Errno
	Chance float64       // of each call
	Count  int           // at most, 0: without bound
	From   time.Duration // since the start
	For    time.Duration // 0: to the end
}

// Table is what is injected.
type Table struct {
	Seed   uint64
	Faults []Fault
	// Step is how far the wall clock is from the true time.
	Step time.Duration
}

// short is the word for a read or write of one byte.
const short = "SHORT"

var callNames = []string{"epoll_wait", "epoll_ctl", "poll", "socket", "connect", "accept", "read", "write", "shutdown"}

var errnos = map[string]unix.Errno{short: 0, "EINTR": unix.EINTR, "EAGAIN": unix.EAGAIN, "EMFILE": unix.EMFILE, "ENFILE": unix.ENFILE,
	"ENOBUFS": unix.ENOBUFS, "ENOMEM": unix.ENOMEM, "ENOSPC": unix.ENOSPC, "ECONNABORTED": unix.ECONNABORTED,
	"EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "ENETUNREACH": unix.ENETUNREACH, "EHOSTUNREACH": unix.EHOSTUNREACH,
	"ETIMEDOUT": unix.ETIMEDOUT, "ECONNRESET": unix.ECONNRESET, "EPIPE": unix.EPIPE, "EPERM": unix.EPERM, "EPROTO": unix.EPROTO,
	"EINVAL": unix.EINVAL}

// Parse reads a table: entries separated by semicolons, each "seed N", "step DURATION", or
// "CALL ERRNO [chance P] [count N] [from DURATION] [for DURATION]".
func Parse(text string) (*Table, error) {
	t := &Table{Seed: 1}
	for entry := range strings.SplitSeq(text, ";") {
		words := strings.Fields(entry)
		if len(words) == 0 {
			continue
		}
		if err := t.entry(words); err != nil {
			return nil, fmt.Errorf("%q: %w", strings.TrimSpace(entry), err)
		}
	}
	return t, nil
}

func (t *Table) entry(words []string) (err error) {
	if len(words) < 2 {
		return fmt.Errorf("want a word and its value")
	}
	switch words[0] {
	case "seed":
		t.Seed, err = strconv.ParseUint(words[1], 10, 64)
		return err
	case "step":
		t.Step, err = time.ParseDuration(words[1])
		return err
	}
	f := Fault{Call: words[0], Chance: 1}
	known := false
	for _, name := range callNames {
		known = known || name == f.Call
	}
	errno, ok := errnos[words[1]]
	if !known || !ok {
		return fmt.Errorf("want one of %v and one of the errors known here", callNames)
	}
	if f.Errno = errno; errno == 0 && f.Call != "read" && f.Call != "write" {
		return fmt.Errorf("%s is for read and write", short)
	}
	if len(words)%2 != 0 {
		return fmt.Errorf("a word without its value")
	}
	for i := 2; i < len(words); i += 2 {
		switch value := words[i+1]; words[i] {
		case "chance":
			f.Chance, err = strconv.ParseFloat(value, 64)
		case "count":
			f.Count, err = strconv.Atoi(value)
		case "from":
			f.From, err = time.ParseDuration(value)
		case "for":
			f.For, err = time.ParseDuration(value)
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
	table Table
	rand  *rand.Rand
	start time.Time
	left  []int // of each fault's count
	made  []int // how often each was injected
}

// NewFaulty returns calls that fail by a table, and else go to those given.
func NewFaulty(calls Calls, table Table) *Faulty {
	f := &Faulty{Calls: calls, table: table, rand: rand.New(rand.NewPCG(table.Seed, 0x66617578)), start: time.Now(),
		left: make([]int, len(table.Faults)), made: make([]int, len(table.Faults))}
	for i := range table.Faults {
		f.left[i] = table.Faults[i].Count
	}
	return f
}

// Injected is how many calls were made to fail, or cut short.
func (f *Faulty) Injected() (n int) {
	for _, made := range f.made {
		n += made
	}
	return n
}

// fault draws whether a call fails now.
func (f *Faulty) fault(call string) (unix.Errno, bool) {
	age := time.Since(f.start)
	for i := range f.table.Faults {
		fault := &f.table.Faults[i]
		if fault.Call != call || age < fault.From || fault.For > 0 && age >= fault.From+fault.For ||
			fault.Count > 0 && f.left[i] == 0 || f.rand.Float64() >= fault.Chance {
			continue
		}
		f.left[i]--
		f.made[i]++
		return fault.Errno, true
	}
	return 0, false
}

// EpollWait waits for events.
func (f *Faulty) EpollWait(epfd int, events []unix.EpollEvent, msec int) (int, error) {
	if errno, fails := f.fault("epoll_wait"); fails {
		return -1, errno
	}
	return f.Calls.EpollWait(epfd, events, msec)
}

// EpollCtl changes what is waited for.
func (f *Faulty) EpollCtl(epfd, op, fd int, event *unix.EpollEvent) error {
	if errno, fails := f.fault("epoll_ctl"); fails && op != unix.EPOLL_CTL_DEL {
		return errno
	}
	return f.Calls.EpollCtl(epfd, op, fd, event)
}

// Poll tells the events of descriptors.
func (f *Faulty) Poll(fds []unix.PollFd) (int, error) {
	if errno, fails := f.fault("poll"); fails {
		return -1, errno
	}
	return f.Calls.Poll(fds)
}

// Socket opens a socket.
func (f *Faulty) Socket(family int) (int, error) {
	if errno, fails := f.fault("socket"); fails {
		return -1, errno
	}
	return f.Calls.Socket(family)
}

// Connect begins a connection; one that is interrupted goes on by itself (connect(2)).
func (f *Faulty) Connect(fd int, to unix.Sockaddr) error {
	if errno, fails := f.fault("connect"); fails {
		if errno == unix.EINTR {
			f.Calls.Connect(fd, to)
		}
		return errno
	}
	return f.Calls.Connect(fd, to)
}

// Accept takes a connection. One that is aborted is gone, as it is from the system's queue.
func (f *Faulty) Accept(fd int) (int, unix.Sockaddr, error) {
	if errno, fails := f.fault("accept"); fails {
		return -1, nil, errno
	}
	return f.Calls.Accept(fd)
}

func (f *Faulty) Read(fd int, p []byte) (int, error) {
	if errno, fails := f.fault("read"); fails {
		if errno != 0 {
			return -1, errno
		}
		p = p[:min(1, len(p))]
	}
	return f.Calls.Read(fd, p)
}

func (f *Faulty) Write(fd int, p []byte) (int, error) {
	if errno, fails := f.fault("write"); fails {
		if errno != 0 {
			return -1, errno
		}
		p = p[:min(1, len(p))]
	}
	return f.Calls.Write(fd, p)
}

// Shutdown ends one side of a connection.
func (f *Faulty) Shutdown(fd, how int) error {
	if errno, fails := f.fault("shutdown"); fails {
		return errno
	}
	return f.Calls.Shutdown(fd, how)
}

// Start reads both clocks, the wall clock with its step.
func (f *Faulty) Start() (monotonic, wall time.Time) {
	monotonic, wall = f.Calls.Start()
	return monotonic, wall.Add(f.table.Step)
}
