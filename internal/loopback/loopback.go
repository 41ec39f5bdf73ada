// Package loopback gives a process a block of 127.0.0.0/8 of its own, for tests, rehearsals and
// measurements whose programs listen, end, and listen at the same address again.
//
// At 127.0.0.1 an address can be lost meanwhile: an outgoing connection of any process may take
// its port, and the next listen fails with "address already in use". Outgoing connections have the
// source address 127.0.0.1 even to other loopback addresses, so that none of them takes a port of
// a block.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// blockCount is the number of blocks: 127.1.0.0/16 to 127.200.0.0/16.
	blockCount = 200
	// claimPort is listened at on the last address of a block by the process that has it.
	claimPort = 17999
)

// claim is the block of this process.
var claim struct {
	once  sync.Once
	block int
	// listener holds the block until the process ends; nil where all blocks were taken.
	listener net.Listener
}

// Block returns the second byte of the addresses that are this process's own, and claims them at
// the first call. The failure guarded against is two processes that run at the same time and use
// the same addresses, which shows as failed listens, or as responses from the other's servers. A
// claim is a listener, so that the kernel gives a block to one process alone, and takes it back
// when that ends in any way. Where all blocks are taken, the one by process id is shared.
func Block() int {
	claim.once.Do(func() {
		first := os.Getpid() % blockCount
		claim.block = 1 + first
		for i := range blockCount {
			block := 1 + (first+i)%blockCount
			listener, err := net.Listen("tcp", claimAddr(block))
			if err == nil {
				claim.block = block
				claim.listener = listener
				return
			}
		}
	})
	return claim.block
}

// claimAddr is the address that a process listens at to claim a block.
func claimAddr(block int) string { return fmt.Sprintf("127.%d.255.254:%d", block, claimPort) }

// Addr returns an address of this process as host:port. network is the third byte and host the
// fourth, each from 0 to 255.
func Addr(network, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", Block(), network, host, port)
}
