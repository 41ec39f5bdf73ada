package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// syscallFaults holds the entries from which tables of failing system calls are drawn, in the format of
// syscalls.ParseFaultTable. A "step" entry sets the wall clock of the process ahead or back.
var syscallFaults = []string{
	"read SHORT chance 0.02",
	"write SHORT chance 0.02",
	"read EINTR chance 0.05; write EINTR chance 0.05; epoll_wait EINTR chance 0.05",
	"accept ECONNABORTED chance 0.05",
	"accept ENFILE from 3s for 300ms",
	"socket ENFILE from 4s for 300ms",
	"connect EADDRNOTAVAIL chance 0.05",
	"connect ENETUNREACH from 5s for 200ms",
	"epoll_ctl ENOMEM chance 0.02 from 1s",
	"write ENOBUFS chance 0.02",
	"shutdown ENOBUFS chance 0.1",
	"step 1h",
	"step -1h",
	"step 3s",
	"step -3s",
}

const (
	maxSyscallFaults  = 3    // maximum number of entries drawn for a table
	syscallFaultSeeds = 1000 // number of possible seeds of a table, from 0
)

// drawSyscallFaults draws the table of failing system calls of one instance.
func drawSyscallFaults(r *rand.Rand) string {
	table := []string{fmt.Sprintf("seed %d", r.Uint64()%syscallFaultSeeds)}
	for range r.IntN(maxSyscallFaults + 1) {
		table = append(table, syscallFaults[r.IntN(len(syscallFaults))])
	}
	return strings.Join(table, "; ")
}
