package loopback

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// An address can be listened at again while as many outgoing connections as there are ports
// for come and go, which is how an address of 127.0.0.1 is lost.
func TestAddressIsKept(t *testing.T) {
	addr := Addr(1, 1, 17100)
	for range 20 {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if host, _, _ := net.SplitHostPort(c.LocalAddr().String()); host != "127.0.0.1" {
			t.Errorf("an outgoing connection comes from %s", host)
		}
		c.Close()
		ln.Close()
	}
}

// Processes that run at once have blocks of their own.
func TestBlocksDiffer(t *testing.T) {
	const child = "LOOPBACK_TEST_CHILD"
	if os.Getenv(child) != "" {
		// The parent's block is asked for first, as a process of the like number does.
		first := os.Getenv(child)
		if ln, err := net.Listen("tcp", "127."+first+".255.254:17999"); err == nil {
			ln.Close()
			t.Error("the block of a running process could be claimed")
		}
		return
	}
	Block()
	own, _, _ := strings.Cut(strings.TrimPrefix(Addr(0, 0, 1), "127."), ".")
	cmd := exec.Command(os.Args[0], "-test.run=TestBlocksDiffer")
	cmd.Env = append(os.Environ(), child+"="+own)
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
}
