package daemon

import (
	"fmt"

	"golang.org/x/sys/unix"

	"maddergap/internal/config"
	"maddergap/internal/syscalls"
)

const (
	// reservedDescriptors is the number of descriptors reserved for connections to nodes, the node
	// list, the configuration and the log, so that accepted requests can be completed.
	reservedDescriptors = 512
	// spareClientConns is the number of connections that are accepted beyond the limit of clients. The
	// loop has to accept a connection to find out that it is from a known client, before another
	// connection is closed to make room for it.
	spareClientConns = 64
	// rejectionResponseSeconds is the time, in seconds, that a rejected client has to read its response
	// and close the connection. It equals lingerTimeout of package gateway.
	rejectionResponseSeconds = 2
)

// connLimits holds the maximum numbers of client connections that the loop may have open at a time.
type connLimits struct {
	clients    int // admitted, or accepted and not yet admitted
	rejections int // rejected, with a response that is still being written
}

// newConnLimits returns the limits for a configuration.
func newConnLimits(c *config.Config) connLimits {
	return connLimits{
		clients:    c.Limits.Clients + spareClientConns,
		rejections: c.Admission.Rejections.Burst + rejectionResponseSeconds*int(c.Admission.Rejections.PerSecond),
	}
}

// DescriptorLimitError reports that the process needs more descriptors than it may open.
type DescriptorLimitError struct {
	Needed int    // number of descriptors
	Limit  uint64 // soft limit of RLIMIT_NOFILE
}

func (e *DescriptorLimitError) Error() string {
	return fmt.Sprintf("needs %d descriptors; the limit is %d", e.Needed, e.Limit)
}

// checkDescriptorLimit returns a *DescriptorLimitError if the process may not open the needed number of
// descriptors. With too few of them, a flood of clients would leave none for connections to nodes. If
// the limit cannot be read, it is assumed to be high enough.
func checkDescriptorLimit(needed int) error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return nil
	}
	if uint64(needed) > limit.Cur {
		return &DescriptorLimitError{Needed: needed, Limit: limit.Cur}
	}
	return nil
}

// newSyscalls returns the system calls of an instance, with the faults that the configuration injects,
// if any.
func newSyscalls(c *config.Config) syscalls.Calls {
	if c.SyscallFaults == nil {
		return syscalls.Linux{}
	}
	return syscalls.NewFaulty(syscalls.Linux{}, *c.SyscallFaults)
}
