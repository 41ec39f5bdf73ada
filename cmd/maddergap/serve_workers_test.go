package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"maddergap/internal/eventloop"
	"maddergap/internal/fakenode"
	"maddergap/internal/loopback"
	"maddergap/internal/supervisor"
)

// lockedBuffer is the log of processes that write at the same time.
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

// pids are the ids of the workers, in the order of their starts.
func (l *lockedBuffer) pids() (out []int) {
	for _, m := range regexp.MustCompile(`"worker started","worker":\d+,"pid":(\d+)`).FindAllStringSubmatch(l.String(), -1) {
		pid, _ := strconv.Atoi(m[1])
		out = append(out, pid)
	}
	return out
}

// Two workers share a port. One is killed, and later one hangs. Clients of the other worker are
// served meanwhile, as is every new connection, no write is executed twice, the lost worker is
// restarted by the supervisor, and SIGTERM ends all processes.
func TestWorkersSharePort(t *testing.T) {
	r := newWorkersRig(t)
	r.waitForLines("both workers serve", servingLine, 2)
	var clients []*keptConn
	for range 100 {
		c := r.dial()
		if status := r.put(c); status != 201 {
			t.Fatal(status)
		}
		clients = append(clients, c)
	}
	// A worker that exits before any worker's first heartbeat ends them all, as its configuration
	// is at fault then. A heartbeat is late by an interval if the loop had not iterated at the first.
	time.Sleep(2 * supervisor.HeartbeatInterval)
	pids := r.log.pids()
	syscall.Kill(pids[0], syscall.SIGKILL)
	if lost := r.countLost(clients); lost < 10 || lost > 90 {
		t.Errorf("%d of 100 connections were the killed worker's: they are not spread", lost)
	}
	r.checkNewConns(50, "after the kill")
	r.waitForExit(pids[0])
	r.waitForLines("the killed worker is back", servingLine, 3)
	syscall.Kill(pids[1], syscall.SIGSTOP) // the worker hangs
	// A signal stops a process some time after it was sent: what it accepts until then ends with it.
	r.wait("each of its threads is stopped", func() bool { return stopped(pids[1]) })
	r.checkNewConns(20, "while one hangs")
	r.waitForLines("the hung worker is killed", killedLine, 1)
	r.waitForExit(pids[1])
	r.waitForLines("the hung worker is back", servingLine, 4)
	r.checkNewConns(50, "after the hang")
	r.cmd.Process.Signal(syscall.SIGHUP)
	r.waitForLines("both workers reload", reloadedLine, 2)
	r.cmd.Process.Signal(syscall.SIGTERM)
	if err := r.cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: %v\n%s", err, r.log.String())
	}
	checkExecutedOnce(t, r.node)
	if _, err := net.DialTimeout("tcp", r.addr, time.Second); err == nil {
		t.Error("it still listens")
	}
}

// Lines that each worker logs.
const (
	servingLine  = `"msg":"serving"`
	reloadedLine = `"msg":"reloaded"`
	killedLine   = `"msg":"worker killed: no heartbeat, or no exit in time"`
)

// workersRig is a supervisor with two workers and a fake node.
type workersRig struct {
	t    *testing.T
	node *fakenode.Node
	addr string
	cmd  *exec.Cmd // the supervisor
	log  *lockedBuffer
	sent int // writes, each to a path of its own
}

func newWorkersRig(t *testing.T) *workersRig {
	t.Helper()
	r := &workersRig{t: t, addr: loopback.Addr(99, 4, 18099), log: &lockedBuffer{}}
	r.node = startNode(t, fakenode.Options{Cores: 8, QueueLimit: 256, UnitTime: 2 * time.Millisecond})
	conf := writeDemoConf(t, r.addr, r.node, func(text string) string {
		text = strings.ReplaceAll(text, "shards 0-0", "shards 0 heads 2")
		return text + "heads 2\nprocesses 2\nadmit reserve 10\nknown 127.9.0.0/16\n"
	})
	r.cmd = program(t, "serve", "--config", conf)
	r.cmd.Stderr = r.log
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.cmd.Process.Kill(); r.cmd.Wait() })
	return r
}

// wait waits until a condition holds.
func (r *workersRig) wait(what string, holds func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("waited in vain: %s\n%s", what, r.log.String())
		}
	}
}

// waitForLines waits until the log has n lines with a text.
func (r *workersRig) waitForLines(what, text string, n int) {
	r.t.Helper()
	r.wait(what, func() bool { return strings.Count(r.log.String(), text) == n })
}

// keptConn is a connection that is kept for further requests.
type keptConn struct {
	net.Conn
	r *bufio.Reader
}

func (r *workersRig) dial() *keptConn {
	r.t.Helper()
	c := dial(r.t, r.addr)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return &keptConn{c, bufio.NewReader(c)}
}

// put sends a write and returns its status, 0 if the connection was closed.
func (r *workersRig) put(c *keptConn) (status int) {
	r.sent++
	sendPut(c, fmt.Sprint("/feed-a/", r.sent))
	status, _ = readStatus(c.r)
	return status
}

// countLost writes on each connection and returns how many were closed. The others are served.
func (r *workersRig) countLost(conns []*keptConn) (lost int) {
	r.t.Helper()
	for _, c := range conns {
		switch status := r.put(c); status {
		case 201:
		case 0:
			lost++
		default:
			r.t.Errorf("%d", status)
		}
	}
	return lost
}

// checkNewConns writes on n new connections, all of which are served.
func (r *workersRig) checkNewConns(n int, when string) {
	r.t.Helper()
	for range n {
		if status := r.put(r.dial()); status != 201 {
			r.t.Errorf("a new connection %s: %d", when, status)
		}
	}
}

// waitForExit waits until the kernel has ended a killed process, as the supervisor cannot see its
// exit before. A busy kernel can take longer for that than a restart may: the last thread waits in
// the release of its inotify descriptor (fsnotify_destroy_group), and with it the heartbeat pipe.
func (r *workersRig) waitForExit(pid int) {
	r.t.Helper()
	const kernelTime = 2 * time.Minute
	for deadline := time.Now().Add(kernelTime); ; time.Sleep(10 * time.Millisecond) {
		if states := threadStates(pid); strings.Trim(states, "ZX") == "" {
			return
		}
		if time.Now().After(deadline) {
			r.t.Fatalf("the kernel has not ended process %d within %v: its threads are %q\n%s", pid, kernelTime, threadStates(pid), r.log.String())
		}
	}
}

// stopped reports whether every thread of a process is stopped by a signal.
func stopped(pid int) bool {
	states := threadStates(pid)
	return states != "" && strings.Trim(states, "T") == ""
}

// threadStates has a letter for the state of each thread of a process, as in proc(5); '?' stands
// for a thread that ended meanwhile. It is empty if there is no such process.
func threadStates(pid int) string {
	var states []byte
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, stat := range threads {
		state := byte('?')
		if b, err := os.ReadFile(stat); err == nil {
			if _, rest, ok := bytes.Cut(b, []byte(") ")); ok && len(rest) > 0 {
				state = rest[0]
			}
		}
		states = append(states, state)
	}
	return string(states)
}

// Guards against listeners that stay open where one of them cannot be duplicated for the workers:
// the kernel would go on to take connections that nobody accepts.
func TestInheritableFilesAreClosedOnError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	const notOpen = -1
	queues := []eventloop.ListenQueue{{FD: int(file.Fd())}, {FD: notOpen}}
	if files, err := inheritableFiles(queues); err == nil || files != nil {
		t.Fatalf("%v, %v", files, err)
	}
	file.Close()
	listener.Close()
	if c, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}
