package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"maddergap/internal/fakenode"
	"maddergap/internal/loopback"
)

// Descriptors run out while requests are pending: the process's limit is lowered to what it has
// open. Each request that was received gets one response, the instance neither ends nor spins on
// the failing accept, and it recovers by itself once the limit is raised.
func TestDescriptorsRunOut(t *testing.T) {
	node := startNode(t, fakenode.Options{Cores: 8, QueueLimit: 64, UnitTime: 150 * time.Millisecond})
	addr := loopback.Addr(99, 2, 18099)
	pid := startInstance(t, addr, writeDemoConf(t, addr, node, nil)).Process.Pid
	var early []net.Conn // connected before the limit was lowered, without a request yet
	for range 6 {
		early = append(early, dial(t, addr))
	}
	sendPut(early[0], "/feed-a/before")
	time.Sleep(100 * time.Millisecond) // the node has received it
	raiseLimit := lowerDescriptorLimit(t, pid)
	var late []net.Conn
	for range 20 { // accept fails at the limit
		c := dial(t, addr)
		late = append(late, c)
		sendPut(c, "/feed-a/late")
	}
	for i, c := range early[1:] { // so does connecting to the node
		sendPut(c, fmt.Sprint("/feed-a/held", i))
	}
	before := cpuTicks(t, pid)
	time.Sleep(time.Second)
	if used := cpuTicks(t, pid) - before; used > 30 {
		t.Errorf("%d hundredths of a second of CPU in a second: the loop spins", used)
	}
	if status := statusOf(t, early[0]); status != 201 {
		t.Errorf("the pending request got %d", status)
	}
	statuses := map[int]int{}
	for _, c := range early[1:] {
		statuses[statusOf(t, c)]++
	}
	if statuses[201]+statuses[503] != len(early)-1 {
		t.Errorf("responses under the limit: %v, want 201 or 503 alone", statuses)
	}
	raiseLimit()
	for _, c := range late { // they were in the listen queue
		if status := statusOf(t, c); status != 201 && status != 204 && status != 503 {
			t.Errorf("after the limit was raised: %d", status)
		}
	}
	c := dial(t, addr)
	sendPut(c, "/feed-a/well")
	if status := statusOf(t, c); status != 201 {
		t.Errorf("a new request after the limit was raised: %d", status)
	}
	checkExecutedOnce(t, node, "/feed-a/late")
}

// statusOf reads the one response of a connection; having none is a failure.
func statusOf(t *testing.T, c net.Conn) int {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(15 * time.Second))
	status, err := readStatus(bufio.NewReader(c))
	if err != nil {
		t.Errorf("no response: %v", err)
	}
	return status
}

// lowerDescriptorLimit lowers a process's limit to the descriptors that it has open. raise
// restores it.
func lowerDescriptorLimit(t *testing.T, pid int) (raise func()) {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	var old unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &old); err != nil {
		t.Fatal(err)
	}
	setLimit := func(limit unix.Rlimit) {
		t.Helper()
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			t.Fatal(err)
		}
	}
	setLimit(unix.Rlimit{Cur: uint64(len(open)), Max: old.Max})
	return func() { setLimit(old) }
}

// cpuTicks is the user and system time of a process in hundredths of a second.
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
