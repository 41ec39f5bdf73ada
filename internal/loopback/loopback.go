// Package loopback gives a process a part of 127.0.0.0/8 of its own, for programs that listen,
// end, and listen at the same address again. Outgoing connections have the source address
// 127.0.0.1, so none of them can take such a port meanwhile. It is for tests, rehearsals and
// measurements.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	blocks = 200 // second bytes in use: 1 to 200
	// claimPort is held on the last address of a block by the process that has it.
	claimPort = 17999
)

// claim is the block of this process, and what holds it until the process ends.
var claim struct {
	once     sync.Once
	block    int
	listener net.Listener
}

// Block is the second byte of the addresses that are this process's own. Guards against two
// processes that run at once and draw the same addresses.
func Block() int {
	claim.once.Do(func() {
		first := os.Getpid() % blocks
		claim.block = 1 + first
		for i := range blocks {
			block := 1 + (first+i)%blocks
			listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", block, claimPort))
			if err == nil {
				claim.block, claim.listener = block, listener
				return
			}
		}
	})
	return claim.block
}

// Addr is an address of this process: network is the third byte, host the fourth.
func Addr(network, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", Block(), network, host, port)
}
