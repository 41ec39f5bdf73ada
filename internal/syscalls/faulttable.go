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

// Fault is an entry of a fault table. It makes a system call fail, or transfer one byte only.
type Fault struct {
	// Call is the system call, one of callNames.
	Call string
	// Errno is the error that the call returns. 0 stands for a read or write of one byte.
	Errno unix.Errno
	// Probability is the probability that the fault applies to a call, from 0 to 1.
	Probability float64
	// MaxCount is the maximum number of calls that the fault applies to, 0 for no limit.
	MaxCount int
	// StartAfter is the time from NewFaulty until the fault begins to apply.
	StartAfter time.Duration
	// Duration is how long the fault applies, 0 for no end.
	Duration time.Duration
}

// activeAt reports whether the fault applies at the given age of the table.
func (f *Fault) activeAt(age time.Duration) bool {
	if age < f.StartAfter {
		return false
	}
	return f.Duration <= 0 || age < f.StartAfter+f.Duration
}

// FaultTable holds the faults that a Faulty injects.
type FaultTable struct {
	Seed   uint64 // seed of the random draws; 1 if the text names none
	Faults []Fault
	// WallClockStep is added to the readings of the wall clock.
	WallClockStep time.Duration
}

// FaultTableError reports a mistake in the text of a fault table.
type FaultTableError struct {
	Entry string // text of the wrong entry
	Err   error  // cause
}

func (e *FaultTableError) Error() string { return fmt.Sprintf("%q: %v", e.Entry, e.Err) }

// Unwrap returns the cause of the error.
func (e *FaultTableError) Unwrap() error { return e.Err }

// shortTransfer takes the place of an errno name for a read or write of one byte.
const shortTransfer = "SHORT"

// callNames lists the system calls that a fault can apply to.
var callNames = []string{"epoll_wait", "epoll_ctl", "poll", "socket", "connect", "accept", "read", "write", "shutdown"}

// errnoByName maps the errno names of a fault table to their values.
var errnoByName = map[string]unix.Errno{shortTransfer: 0, "EINTR": unix.EINTR, "EAGAIN": unix.EAGAIN, "EMFILE": unix.EMFILE,
	"ENFILE": unix.ENFILE, "ENOBUFS": unix.ENOBUFS, "ENOMEM": unix.ENOMEM, "ENOSPC": unix.ENOSPC,
	"ECONNABORTED": unix.ECONNABORTED, "EADDRNOTAVAIL": unix.EADDRNOTAVAIL, "ENETUNREACH": unix.ENETUNREACH,
	"EHOSTUNREACH": unix.EHOSTUNREACH, "ETIMEDOUT": unix.ETIMEDOUT, "ECONNRESET": unix.ECONNRESET, "EPIPE": unix.EPIPE,
	"EPERM": unix.EPERM, "EPROTO": unix.EPROTO, "EINVAL": unix.EINVAL}

// ParseFaultTable parses a fault table. Its entries are separated by semicolons; each is
// "seed N", "step DURATION" (of the wall clock), or
// "CALL ERRNO [chance P] [count N] [from DURATION] [for DURATION]". An error is a
// *FaultTableError.
func ParseFaultTable(text string) (*FaultTable, error) {
	t := &FaultTable{Seed: 1}
	for entry := range strings.SplitSeq(text, ";") {
		fields := strings.Fields(entry)
		if len(fields) == 0 {
			continue
		}
		if err := t.parseEntry(fields); err != nil {
			return nil, &FaultTableError{Entry: strings.TrimSpace(entry), Err: err}
		}
	}
	return t, nil
}

// parseEntry parses the fields of one entry and stores the result in the table.
func (t *FaultTable) parseEntry(fields []string) (err error) {
	if len(fields) < 2 {
		return errors.New("want a keyword or system call and its value")
	}
	switch fields[0] {
	case "seed":
		t.Seed, err = strconv.ParseUint(fields[1], 10, 64)
		return err
	case "step":
		t.WallClockStep, err = time.ParseDuration(fields[1])
		return err
	}
	f, err := parseFault(fields)
	if err != nil {
		return err
	}
	t.Faults = append(t.Faults, f)
	return nil
}

// parseFault parses "CALL ERRNO" and the options after it.
func parseFault(fields []string) (Fault, error) {
	f := Fault{Call: fields[0], Probability: 1}
	errno, known := errnoByName[fields[1]]
	if !known || !slices.Contains(callNames, f.Call) {
		return f, fmt.Errorf("want one of the system calls %v and a known errno name", callNames)
	}
	f.Errno = errno
	if errno == 0 && f.Call != "read" && f.Call != "write" {
		return f, fmt.Errorf("%s applies to read and write only", shortTransfer)
	}
	if len(fields)%2 != 0 {
		return f, errors.New("an option has no value")
	}
	for i := 2; i < len(fields); i += 2 {
		if err := f.parseOption(fields[i], fields[i+1]); err != nil {
			return f, err
		}
	}
	return f, nil
}

// parseOption parses the value of one option of a fault.
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
