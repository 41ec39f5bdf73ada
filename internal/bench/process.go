package bench

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"maddergap/internal/subprocess"
)

// Names of memory figures in /proc/PID/status.
const (
	residentMemory     = "VmRSS"
	peakResidentMemory = "VmHWM"
)

const (
	// Indexes of fields in /proc/PID/stat, counted from 0 after the command name.
	statUserTime   = 11
	statSystemTime = 12
	// clockTick is the unit of these times. It is the same on all Linux platforms that Go supports.
	clockTick = 10 * time.Millisecond
)

// process is a process under measurement.
type process struct {
	*subprocess.Process
	addr string // address that it serves on
}

// startProcess starts a process and waits until it accepts connections on addr.
func startProcess(addr string, argv ...string) (*process, error) {
	p, err := subprocess.Start(addr, nil, argv...)
	if err != nil {
		return nil, err
	}
	return &process{p, addr}, nil
}

// cpuTime returns the user and system CPU time that the process has used.
func (p *process) cpuTime() (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0, err
	}
	// The command name is in parentheses and may itself contain spaces and parentheses.
	afterName := stat[bytes.LastIndexByte(stat, ')')+1:]
	fields := strings.Fields(string(afterName))
	if len(fields) <= statSystemTime {
		return 0, fmt.Errorf("/proc/%d/stat has only %d fields", p.Pid(), len(fields))
	}
	user, userErr := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, systemErr := strconv.ParseInt(fields[statSystemTime], 10, 64)
	return time.Duration(user+system) * clockTick, errors.Join(userErr, systemErr)
}

// memoryBytes returns a memory figure of the process in bytes, or 0 if the process has exited.
func (p *process) memoryBytes(figure string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, figure+":"); ok {
			kibibytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kibibytes << 10
		}
	}
	return 0
}
