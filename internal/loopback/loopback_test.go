package loopback

import (
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
)

// A program listens at an address, ends, and listens at it again, while connections go out to it.
// At 127.0.0.1 the port could be lost to one of them, since it would be their source address.
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
			t.Errorf("an outgoing connection comes from %s", host)
		}
		conn.Close()
		listener.Close()
	}
}

// Two processes run at the same time, and the second tries to claim the block of the first.
func TestBlocksDiffer(t *testing.T) {
	const parentBlock = "LOOPBACK_TEST_PARENT_BLOCK"
	if block, err := strconv.Atoi(os.Getenv(parentBlock)); err == nil {
		if listener, err := net.Listen("tcp", claimAddr(block)); err == nil {
			listener.Close()
			t.Error("the block of a running process could be claimed")
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
