package daemon

import (
	"fmt"

	"golang.org/x/sys/unix"

	"maddergap/internal/config"
	"maddergap/internal/syscalls"
)

const (
	// reservedDescriptors are kept for connections to nodes, the node list, the configuration
	// and the log, so that a request that was accepted can be completed.
	reservedDescriptors = 512
	// spareClientConns are accepted beyond the limit of clients, so that the loop can see that
	// a connection is a known client's before another one is closed for it.
	spareClientConns = 64
	// rejectionSeconds is how long a rejected client may take to read its response.
	rejectionSeconds = 2
)

// connLimits are the connections that the loop may have open at once.
type connLimits struct {
	clients    int // accepted by admission, or about to be
	rejections int // rejected with a response that is still being written
}

func connLimitsOf(c *config.Config) connLimits {
	return connLimits{
		clients:    c.Limits.Clients + spareClientConns,
		rejections: c.Admission.Rejections.Burst + rejectionSeconds*int(c.Admission.Rejections.PerSecond),
	}
}

// DescriptorLimitError says that the process may not open as many descriptors as it needs.
type DescriptorLimitError struct {
	Needed int
	Limit  uint64 // the soft limit RLIMIT_NOFILE
}

func (e *DescriptorLimitError) Error() string {
	return fmt.Sprintf("needs %d descriptors; the limit is %d", e.Needed, e.Limit)
}

// checkDescriptorLimit returns a *DescriptorLimitError if the process may not open so many
// descriptors. Without it, a flood of clients would leave none for connections to nodes. A limit
// that cannot be read counts as high enough.
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

// newSyscalls are the system calls of an instance: the kernel's own, or with the faults that the
// configuration injects.
func newSyscalls(c *config.Config) syscalls.Calls {
	if c.SyscallFaults == nil {
		return syscalls.Linux{}
	}
	return syscalls.NewFaulty(syscalls.Linux{}, *c.SyscallFaults)
}
