package soak

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the unit of times in /proc/PID/stat: so many are a second.
const clockTicks = 100

// Indexes of fields of /proc/PID/stat, counted from the one after the command's name.
const (
	statUserTime   = 11
	statSystemTime = 12
	statFields     = 13 // that are needed
)

// errProcFormat is returned for a file of /proc that lacks a field.
var errProcFormat = errors.New("unexpected format")

// processUsage is what a process used so far.
type processUsage struct {
	cpuTime     time.Duration // user and system
	peakKB      int64         // of resident memory
	descriptors int           // that are open
}

// readProcessUsage reads the usage of a running process from /proc.
func readProcessUsage(pid int) (u processUsage, err error) {
	if u.cpuTime, err = readCPUTime(fmt.Sprintf("/proc/%d/stat", pid)); err != nil {
		return u, err
	}
	if u.peakKB, err = readPeakMemory(fmt.Sprintf("/proc/%d/status", pid)); err != nil {
		return u, err
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.descriptors = len(open)
	return u, err
}

func readCPUTime(path string) (total time.Duration, err error) {
	stat, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < statFields {
		return 0, fmt.Errorf("%s: %w", path, errProcFormat)
	}
	for _, i := range []int{statUserTime, statSystemTime} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		total += time.Duration(ticks) * time.Second / clockTicks
	}
	return total, nil
}

// readPeakMemory returns the peak of resident memory in KB.
func readPeakMemory(path string) (int64, error) {
	status, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, fmt.Errorf("%s: %w", path, errProcFormat)
	}
	return strconv.ParseInt(fields[0], 10, 64)
}
