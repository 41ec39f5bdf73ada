package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/loopback"
	"maddergap/internal/nodelist"
)

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (l *lockedBuffer) pids() (out []int) {
	for _, m := range regexp.MustCompile(`"worker started","worker":\d+,"pid":(\d+)`).FindAllStringSubmatch(l.String(), -1) {
		pid, _ := strconv.Atoi(m[1])
		out = append(out, pid)
	}
	return out
}

// Two processes share a port. One is killed, later one hangs: who is connected to the
// other goes on, new connections are all served, no effect comes twice, the lost one
// is back by itself, and a stop ends all.
func TestProcesses(t *testing.T) {
	dir := t.TempDir()
	node, err := fakenode.Start(fakenode.Options{Listen: "127.0.0.1:0", Name: "n0", Cores: 8, Queue: 256, UnitTime: 2 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	nodelist.Replace(filepath.Join(dir, "nodes.list"), []nodelist.Node{{Name: "n0", Addr: node.Addr()}})
	addr := loopback.Addr(99, 4, 18099)
	conf := filepath.Join(dir, "m.conf")
	text := strings.ReplaceAll(fmt.Sprintf(demoConf, addr, 0, 0), "shards 0-0", "shards 0 heads 2")
	os.WriteFile(conf, []byte(text+"heads 2\nprocesses 2\nadmit reserve 10\nknown 127.9.0.0/16\n"), 0o644)
	log := &lockedBuffer{}
	cmd := program(t, "serve", "--config", conf)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	wait := func(what string, f func() bool) {
		t.Helper()
		for until := time.Now().Add(30 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%s: not so\n%s", what, log.String())
			}
		}
	}
	wait("both serve", func() bool { return strings.Count(log.String(), `"msg":"serving"`) == 2 })
	type client struct {
		net.Conn
		r *bufio.Reader
	}
	dial := func() *client {
		t.Helper()
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return &client{c, bufio.NewReader(c)}
	}
	sent := 0
	put := func(c *client) int { // 0: the connection is gone
		sent++
		fmt.Fprintf(c, "PUT /feed-a/%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", sent)
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	var clients []*client
	for range 100 {
		c := dial()
		if status := put(c); status != 201 {
			t.Fatal(status)
		}
		clients = append(clients, c)
	}
	pids := log.pids()
	syscall.Kill(pids[0], syscall.SIGKILL)
	lost := 0
	for _, c := range clients {
		switch status := put(c); status {
		case 201:
		case 0:
			lost++
		default:
			t.Errorf("%d", status)
		}
	}
	if lost < 10 || lost > 90 {
		t.Errorf("%d of 100 connections were the killed process's: they are not spread", lost)
	}
	for range 50 {
		if status := put(dial()); status != 201 {
			t.Errorf("a new connection after the kill: %d", status)
		}
	}
	wait("it is back", func() bool { return strings.Count(log.String(), `"msg":"serving"`) == 3 })
	syscall.Kill(pids[1], syscall.SIGSTOP) // it hangs
	// A signal stops a process some time after it was sent: what it accepts until then ends with it.
	wait("each of its threads hangs", func() bool { return stopped(pids[1]) })
	for range 20 {
		if status := put(dial()); status != 201 {
			t.Errorf("a new connection while one hangs: %d", status)
		}
	}
	wait("the hung one is killed and back", func() bool { return strings.Count(log.String(), `"msg":"serving"`) == 4 })
	for range 50 {
		if status := put(dial()); status != 201 {
			t.Errorf("a new connection after the hang: %d", status)
		}
	}
	cmd.Process.Signal(syscall.SIGHUP)
	wait("both reload", func() bool { return strings.Count(log.String(), `"msg":"reloaded"`) == 2 })
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: %v\n%s", err, log.String())
	}
	ran := map[string]int{}
	for _, e := range node.Entries() {
		if ran[e.Path]++; ran[e.Path] > 1 {
			t.Errorf("%s came twice", e.Path)
		}
	}
	if _, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
		t.Error("it still listens")
	}
}

// stopped tells whether every thread of a process is.
func stopped(pid int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, stat := range threads {
		b, err := os.ReadFile(stat)
		if err != nil {
			return false
		}
		if _, rest, ok := bytes.Cut(b, []byte(") ")); !ok || len(rest) == 0 || rest[0] != 'T' {
			return false
		}
	}
	return len(threads) > 0
}
