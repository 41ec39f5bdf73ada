package syscalls

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Fault is a line of a fault table: a call that fails, or that transfers one byte only.
type Fault struct {
	// Call is one of the names in callNames.
	Call string
	// Errno is what the call fails with; 0 is a read or write of one byte.
	Errno unix.Errno
	// Probability is that of each call, from 0 to 1.
	Probability float64
	// MaxCount is how many calls fail at most, 0 for no bound.
	MaxCount int
	// StartAfter is the time from the start of the process's loop to the first failure.
	StartAfter time.Duration
	// Duration is for how long calls fail, 0 for no end.
	Duration time.Duration
}

// activeAt tells whether the fault is in force at an age of the table.
func (f *Fault) activeAt(age time.Duration) bool {
	if age < f.StartAfter {
		return false
	}
	return f.Duration <= 0 || age < f.StartAfter+f.Duration
}

// FaultTable is what a Faulty injects.
type FaultTable struct {
	Seed   uint64
	Faults []Fault
	// WallClockStep is how far the wall clock is ahead of the true time.
	WallClockStep time.Duration
}

// FaultTableError is a mistake in the text of a fault table.
type FaultTableError struct {
	Entry string // the entry at fault
	Err   error  // what is wrong with it
}

func (e *FaultTableError) Error() string { return fmt.Sprintf("%q: %v", e.Entry, e.Err) }

// Unwrap returns what is wrong with the entry.
func (e *FaultTableError) Unwrap() error { return e.Err }

// shortTransfer stands in a table for a read or write of one byte.
const shortTransfer = "SHORT"

// callNames are the calls that can fail.
var callNames = []string{"epoll_wait", "epoll_ctl", "poll", "socket", "connect", "accept", "read", "write", "shutdown"}

var errnoByName = map[string]unix.Errno{shortTransfer: 0, "EINTR": unix.EINTR, "EAGAIN": unix.EAGAIN, "EMFILE": unix.EMFILE,
	"ENFILE": unix.ENFILE, "ENOBUFS": unix.ENOBUFS, "ENOMEM": unix.ENOMEM, "ENOSPC": unix.ENOSPC,
	"ECONNABORTED": unix.ECONNABORTED, "EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "ENETUNREACH": unix.ENETUNREACH,
	"EHOSTUNREACH": unix.EHOSTUNREACH, "ETIMEDOUT": unix.ETIMEDOUT, "ECONNRESET": unix.ECONNRESET, "EPIPE": unix.EPIPE,
	"EPERM": unix.EPERM, "EPROTO": unix.EPROTO, "EINVAL": unix.EINVAL}

// ParseFaultTable reads a table: entries separated by semicolons, each "seed N",
// "step DURATION", or "CALL ERRNO [chance P] [count N] [from DURATION] [for DURATION]".
// Its error is a *FaultTableError.
func ParseFaultTable(text string) (*FaultTable, error) {
	t := &FaultTable{Seed: 1}
	for entry := range strings.SplitSeq(text, ";") {
		words := strings.Fields(entry)
		if len(words) == 0 {
			continue
		}
		if err := t.parseEntry(words); err != nil {
			return nil, &FaultTableError{Entry: strings.TrimSpace(entry), Err: err}
		}
	}
	return t, nil
}

func (t *FaultTable) parseEntry(words []string) (err error) {
	if len(words) < 2 {
		return errors.New("want a keyword and its value")
	}
	switch words[0] {
	case "seed":
		t.Seed, err = strconv.ParseUint(words[1], 10, 64)
		return err
	case "step":
		t.WallClockStep, err = time.ParseDuration(words[1])
		return err
	}
	f, err := parseFault(words)
	if err != nil {
		return err
	}
	t.Faults = append(t.Faults, f)
	return nil
}

// parseFault reads "CALL ERRNO" and the options after it.
func parseFault(words []string) (Fault, error) {
	f := Fault{Call: words[0], Probability: 1}
	errno, known := errnoByName[words[1]]
	if !known || !slices.Contains(callNames, f.Call) {
		return f, fmt.Errorf("want one of %v and a known error", callNames)
	}
	f.Errno = errno
	if errno == 0 && f.Call != "read" && f.Call != "write" {
		return f, fmt.Errorf("%s is for read and write", shortTransfer)
	}
	if len(words)%2 != 0 {
		return f, errors.New("an option without its value")
	}
	for i := 2; i < len(words); i += 2 {
		if err := f.parseOption(words[i], words[i+1]); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fault) parseOption(name, value string) (err error) {
	switch name {
	case "chance":
		f.Probability, err = strconv.ParseFloat(value, 64)
	case "count":
		f.MaxCount, err = strconv.Atoi(value)
	case "from":
		f.StartAfter, err = time.ParseDuration(value)
	case "for":
		f.Duration, err = time.ParseDuration(value)
	default:
		err = fmt.Errorf("%s is none of chance, count, from, for", name)
	}
	return err
}
