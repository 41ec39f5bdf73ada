package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/fakenode"
	"maddergap/internal/loopback"
	"maddergap/internal/nodelist"
)

// Descriptors run out in the middle of requests, the limit really reached: each
// request taken gets its one final answer, the head neither ends nor spins, and it
// recovers by itself when there are descriptors again.
func TestDescriptorsRunOut(t *testing.T) {
	dir := t.TempDir()
	node, err := fakenode.Start(fakenode.Options{Listen: "127.0.0.1:0", Name: "n0", Cores: 8, Queue: 64, UnitTime: 150 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	nodelist.Replace(filepath.Join(dir, "nodes.list"), []nodelist.Node{{Name: "n0", Addr: node.Addr()}})
	addr := loopback.Addr(99, 2, 18099)
	file := filepath.Join(dir, "m.conf")
	os.WriteFile(file, []byte(fmt.Sprintf(demoConf, addr, 0, 0)), 0o644)
	cmd := program(t, "serve", "--config", file)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	var held []net.Conn // connected before the limit, without a request yet
	for until := time.Now().Add(10 * time.Second); len(held) < 6; {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			if time.Now().After(until) {
				t.Fatal("it does not listen")
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		defer c.Close()
		held = append(held, c)
	}
	ask := func(c net.Conn, path string) {
		fmt.Fprintf(c, "PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", path)
	}
	answer := func(c net.Conn) int {
		c.SetReadDeadline(time.Now().Add(15 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("no final answer: %v", err)
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	ask(held[0], "/feed-a/before")
	time.Sleep(100 * time.Millisecond) // it is at the node now
	fds := func() int {
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(list)
	}
	var old unix.Rlimit
	limit := unix.Rlimit{}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &old); err != nil {
		t.Fatal(err)
	}
	limit = unix.Rlimit{Cur: uint64(fds()), Max: old.Max}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	var late []net.Conn
	for range 20 { // accept runs into the limit
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		late = append(late, c)
		ask(c, "/feed-a/late")
	}
	for i, c := range held[1:] { // so does a new connection to the node
		ask(c, fmt.Sprint("/feed-a/held", i))
	}
	before := cpuTicks(t, cmd.Process.Pid)
	time.Sleep(time.Second)
	if used := cpuTicks(t, cmd.Process.Pid) - before; used > 30 {
		t.Errorf("%d hundredths of a second of CPU in a second: it spins", used)
	}
	if status := answer(held[0]); status != 201 {
		t.Errorf("the request under way got %d", status)
	}
	statuses := map[int]int{}
	for _, c := range held[1:] {
		statuses[answer(c)]++
	}
	if statuses[201]+statuses[503] != len(held)-1 {
		t.Errorf("answers under the limit: %v, want served or refused", statuses)
	}
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &old, nil); err != nil {
		t.Fatal(err)
	}
	for _, c := range late { // they waited in the listen queue
		if status := answer(c); status != 201 && status != 204 && status != 503 {
			t.Errorf("after the limit was raised: %d", status)
		}
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ask(c, "/feed-a/well")
	if status := answer(c); status != 201 {
		t.Errorf("well again: %d", status)
	}
	ran := map[string]int{}
	for _, e := range node.Entries() {
		if ran[e.Path]++; ran[e.Path] > 1 && e.Path != "/feed-a/late" {
			t.Errorf("%s came twice", e.Path)
		}
	}
}

func cpuTicks(t *testing.T, pid int) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	var user, system int
	fmt.Sscan(f[11]+" "+f[12], &user, &system)
	return user + system
}
