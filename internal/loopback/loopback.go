// Package loopback gives each process a block of 127.0.0.0/8 of its own. It is for tests, scenario
// runs and measurements whose programs listen on an address, exit, and listen on it again.
//
// On 127.0.0.1 the second listen may fail with "address already in use", because an outgoing
// connection of any process may have taken the port meanwhile. Outgoing connections have the
// source address 127.0.0.1, even those to other loopback addresses, and so never take a port of
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
	// claimPort is the port that a process listens on to claim a block; see claimAddr.
	claimPort = 17999
)

// claim holds the block of this process.
var claim struct {
	once  sync.Once
	block int // second byte of the block's addresses
	// listener keeps the block claimed until the process ends. It is nil if all blocks were
	// taken.
	listener net.Listener
}

// Block returns the second byte of the addresses in this process's block. The first call claims
// the block. Without a claim, two processes that run at the same time could use the same
// addresses: listens would fail, or one process would get responses from the other's servers. A
// claim is a listener, so that the kernel grants a block to one process only and releases it
// however the process ends. If all blocks are taken, the process uses the block that follows from
// its process id and shares it.
func Block() int {
	claim.once.Do(func() {
		offset := os.Getpid() % blockCount
		claim.block = 1 + offset
		for i := range blockCount {
			block := 1 + (offset+i)%blockCount
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

// claimAddr returns the address that a process listens on to claim a block.
func claimAddr(block int) string { return fmt.Sprintf("127.%d.255.254:%d", block, claimPort) }

// Addr returns an address in this process's block as host:port. network is the third byte of the
// address and host the fourth, each from 0 to 255.
func Addr(network, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", Block(), network, host, port)
}
