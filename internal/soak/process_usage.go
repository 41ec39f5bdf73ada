package soak

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicksPerSecond is the number of clock ticks, the unit of times in /proc/PID/stat, in a second.
const clockTicksPerSecond = 100

// Indexes of fields of /proc/PID/stat, counted from 0 at the field after the command's name.
const (
	statUserTime   = 11
	statSystemTime = 12
	minStatFields  = 13 // number of fields that must be present
)

// errProcFormat is the error for a file in /proc that lacks a field.
var errProcFormat = errors.New("unexpected format")

// processUsage holds the resources that a process has used so far.
type processUsage struct {
	cpuTime     time.Duration // user and system time
	peakKB      int64         // peak of the resident memory, in KiB
	descriptors int           // number of open descriptors
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

// readCPUTime returns the user and system time in a /proc/PID/stat file.
func readCPUTime(path string) (total time.Duration, err error) {
	stat, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < minStatFields {
		return 0, fmt.Errorf("%s: %w", path, errProcFormat)
	}
	for _, i := range []int{statUserTime, statSystemTime} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		total += time.Duration(ticks) * time.Second / clockTicksPerSecond
	}
	return total, nil
}

// readPeakMemory returns the peak resident memory in a /proc/PID/status file, in KiB.
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
