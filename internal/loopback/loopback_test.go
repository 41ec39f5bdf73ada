package loopback

import (
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
)

// Verifies that an address of the block can be listened on again while connections to it are
// opened. On 127.0.0.1 such a connection could take the port, as 127.0.0.1 is its source address.
func TestAddressStaysFree(t *testing.T) {
	addr := Addr(1, 1, 17100)
	for range 20 {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if host, _, _ := net.SplitHostPort(conn.LocalAddr().String()); host != "127.0.0.1" {
			t.Errorf("the source address of an outgoing connection is %s, want 127.0.0.1", host)
		}
		conn.Close()
		listener.Close()
	}
}

// Verifies that a process cannot claim the block of another that is running. The test starts itself
// as a second process, which tries to claim the block of the first.
func TestBlocksDiffer(t *testing.T) {
	const parentBlock = "LOOPBACK_TEST_PARENT_BLOCK"
	if block, err := strconv.Atoi(os.Getenv(parentBlock)); err == nil {
		if listener, err := net.Listen("tcp", claimAddr(block)); err == nil {
			listener.Close()
			t.Error("the block of a running process was claimed again")
		}
		return
	}
	block, _, _ := strings.Cut(strings.TrimPrefix(Addr(0, 0, 1), "127."), ".")
	child := exec.Command(os.Args[0], "-test.run=TestBlocksDiffer")
	child.Env = append(os.Environ(), parentBlock+"="+block)
	if output, err := child.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, output)
	}
}
