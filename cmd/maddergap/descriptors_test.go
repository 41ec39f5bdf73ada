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

// Verifies that an instance survives a lack of descriptors while requests are pending. The test lowers
// the process's limit to the number of descriptors that are open, so that accept and connect fail. Each
// request that was received still gets one response, the event loop does not spin on the failing
// accept, and the instance recovers by itself once the limit is raised.
func TestDescriptorsRunOut(t *testing.T) {
	node := startNode(t, fakenode.Options{Cores: 8, QueueLimit: 64, UnitTime: 150 * time.Millisecond})
	addr := loopback.Addr(99, 2, 18099)
	pid := startInstance(t, addr, writeDemoConf(t, addr, node, nil)).Process.Pid
	var connsBefore []net.Conn // connected before the limit is lowered
	for range 6 {
		connsBefore = append(connsBefore, dial(t, addr))
	}
	sendPut(connsBefore[0], "/feed-a/before")
	time.Sleep(100 * time.Millisecond) // the node has received it
	raiseLimit := lowerDescriptorLimit(t, pid)
	var connsAtLimit []net.Conn
	for range 20 { // accept fails at the limit
		c := dial(t, addr)
		connsAtLimit = append(connsAtLimit, c)
		sendPut(c, "/feed-a/late")
	}
	for i, c := range connsBefore[1:] { // connecting to the node fails at the limit
		sendPut(c, fmt.Sprint("/feed-a/held", i))
	}
	before := cpuTicks(t, pid)
	time.Sleep(time.Second)
	if used := cpuTicks(t, pid) - before; used > 30 {
		t.Errorf("used %d hundredths of a second of CPU time in 1 s, want at most 30: the event loop spins", used)
	}
	if status := statusOf(t, connsBefore[0]); status != 201 {
		t.Errorf("request pending when the limit was lowered: got status %d, want 201", status)
	}
	statuses := map[int]int{}
	for _, c := range connsBefore[1:] {
		statuses[statusOf(t, c)]++
	}
	if statuses[201]+statuses[503] != len(connsBefore)-1 {
		t.Errorf("requests sent under the lowered limit: got counts by status %v, want only 201 and 503", statuses)
	}
	raiseLimit()
	for _, c := range connsAtLimit { // these waited in the listen queue
		if status := statusOf(t, c); status != 201 && status != 204 && status != 503 {
			t.Errorf("connection accepted after the limit was raised: got status %d, want 201, 204 or 503", status)
		}
	}
	c := dial(t, addr)
	sendPut(c, "/feed-a/well")
	if status := statusOf(t, c); status != 201 {
		t.Errorf("new connection after the limit was raised: got status %d, want 201", status)
	}
	checkExecutedOnce(t, node, "/feed-a/late")
}

// statusOf reads a response from a connection and returns its status. The test fails if none comes
// within 15 s.
func statusOf(t *testing.T, c net.Conn) int {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(15 * time.Second))
	status, err := readStatus(bufio.NewReader(c))
	if err != nil {
		t.Errorf("no response: %v", err)
	}
	return status
}

// lowerDescriptorLimit lowers a process's descriptor limit to the number of descriptors that it has
// open. raise restores the former limit.
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

// cpuTicks returns the sum of a process's user and system time, in hundredths of a second.
func cpuTicks(t *testing.T, pid int) int {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:])) // after the name
	var user, system int
	fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	return user + system
}
