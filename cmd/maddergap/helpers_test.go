package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/nodelist"
)

// startNode starts a fake node and closes it when the test ends. It sets Listen and Name in the options.
func startNode(t *testing.T, options fakenode.Options) *fakenode.Node {
	t.Helper()
	options.Listen, options.Name = "127.0.0.1:0", "n0"
	node, err := fakenode.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Close() })
	return node
}

// writeDemoConf writes the demo's configuration for addr and a single node, and returns the file's name.
// Unless edit is nil, it is applied to the text of the configuration first.
func writeDemoConf(t *testing.T, addr string, node *fakenode.Node, edit func(string) string) (file string) {
	t.Helper()
	dir := t.TempDir()
	if err := nodelist.Replace(filepath.Join(dir, "nodes.list"), []nodelist.Node{{Name: "n0", Addr: node.Addr()}}); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(demoConf, addr, 0, 0)
	if edit != nil {
		text = edit(text)
	}
	file = filepath.Join(dir, "m.conf")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return file
}

// startInstance starts an instance with the configuration file conf and waits until it listens on addr.
// If the instance still runs when the test ends, it is killed.
func startInstance(t *testing.T, addr, conf string) *exec.Cmd {
	t.Helper()
	return startWith(t, "", addr, conf)
}

// startWith is like startInstance, but runs an executable if exe is not empty.
func startWith(t *testing.T, exe, addr, conf string) *exec.Cmd {
	t.Helper()
	cmd := program(t, "serve", "--config", conf)
	if exe != "" {
		cmd = exec.Command(exe, "serve", "--config", conf)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	waitListening(t, addr)
	return cmd
}

// waitListening waits until an instance listens on addr.
func waitListening(t *testing.T, addr string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the instance does not listen after 10 s")
		}
	}
}

// dial connects to an instance. The connection is closed when the test ends.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// sendPut sends a PUT with a body of one byte. It does not read the response.
func sendPut(c net.Conn, path string) {
	fmt.Fprintf(c, "PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", path)
}

// readStatus reads a response and returns its status, or 0 and an error if there is none.
func readStatus(r *bufio.Reader) (int, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// checkExecutedOnce reports an error for each path that the node has recorded more than once, except for
// the paths in reused, which the test itself sends several times. It returns the number of paths.
func checkExecutedOnce(t *testing.T, node *fakenode.Node, reused ...string) (paths int) {
	t.Helper()
	executed := map[string]int{}
	for _, entry := range node.Entries() {
		executed[entry.Path]++
		if executed[entry.Path] > 1 && !slices.Contains(reused, entry.Path) {
			t.Errorf("%s was executed more than once", entry.Path)
		}
	}
	return len(executed)
}
