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

// lockedBuffer collects the log of a supervisor and its workers. It can be read while they write.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.String()
}

// pids returns the process ids of the workers, in the order in which they were started.
func (l *lockedBuffer) pids() (processIDs []int) {
	for _, match := range regexp.MustCompile(`"worker started","worker":\d+,"pid":(\d+)`).FindAllStringSubmatch(l.String(), -1) {
		pid, _ := strconv.Atoi(match[1])
		processIDs = append(processIDs, pid)
	}
	return processIDs
}

// Verifies that two workers that share a port survive the loss of one, first when it is killed and then
// when it hangs. Meanwhile the clients of the other worker and all new connections are served. The
// supervisor restarts the lost worker, no write is executed twice, and SIGTERM ends all processes.
func TestWorkersSharePort(t *testing.T) {
	r := newWorkersRig(t)
	r.waitForLines("both workers serve", servingLine, 2)
	var clients []*clientConn
	for range 100 {
		c := r.dial()
		if status := r.put(c); status != 201 {
			t.Fatal(status)
		}
		clients = append(clients, c)
	}
	// If a worker exits before any worker has sent a heartbeat, the supervisor takes the configuration to
	// be at fault and ends all workers. The first heartbeat is an interval late if the event loop has not
	// iterated when it is due.
	time.Sleep(2 * supervisor.HeartbeatInterval)
	pids := r.log.pids()
	syscall.Kill(pids[0], syscall.SIGKILL)
	if lost := r.countLost(clients); lost < 10 || lost > 90 {
		t.Errorf("the killed worker had %d of 100 connections, want 10 to 90", lost)
	}
	r.checkNewConns(50, "after the kill")
	r.waitForExit(pids[0])
	r.waitForLines("the killed worker is back", servingLine, 3)
	syscall.Kill(pids[1], syscall.SIGSTOP) // the worker hangs
	// SIGSTOP takes effect with a delay. Connections that the worker accepts until then are lost with it.
	r.waitUntil("each thread of the hung worker is stopped", func() bool { return isStopped(pids[1]) })
	r.checkNewConns(20, "while a worker hangs")
	r.waitForLines("the hung worker is killed", killedLine, 1)
	r.waitForExit(pids[1])
	r.waitForLines("the hung worker is back", servingLine, 4)
	r.checkNewConns(50, "after the hang")
	r.cmd.Process.Signal(syscall.SIGHUP)
	r.waitForLines("both workers reload", reloadedLine, 2)
	r.cmd.Process.Signal(syscall.SIGTERM)
	if err := r.cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: got error %v, want exit code 0; log:\n%s", err, r.log.String())
	}
	checkExecutedOnce(t, r.node)
	if _, err := net.DialTimeout("tcp", r.addr, time.Second); err == nil {
		t.Error("the port still accepts connections after the supervisor has exited")
	}
}

// Parts of log lines. Each worker logs servingLine and reloadedLine, the supervisor logs killedLine.
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
	sent int // number of writes sent, each to a different path
}

// newWorkersRig starts the supervisor and the node. Both end with the test.
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

// waitUntil waits until a condition holds, for at most 30 s. what describes the condition in the failure message.
func (r *workersRig) waitUntil(what string, condition func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("not true after 30 s: %s; log:\n%s", what, r.log.String())
		}
	}
}

// waitForLines waits until the log contains text exactly n times.
func (r *workersRig) waitForLines(what, text string, n int) {
	r.t.Helper()
	r.waitUntil(what, func() bool { return strings.Count(r.log.String(), text) == n })
}

// clientConn is a client connection that is kept open for several requests.
type clientConn struct {
	net.Conn
	r *bufio.Reader // reader of the responses
}

// dial opens a connection with a deadline of 20 s for all its requests.
func (r *workersRig) dial() *clientConn {
	r.t.Helper()
	c := dial(r.t, r.addr)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return &clientConn{c, bufio.NewReader(c)}
}

// put sends a write and returns the status of its response, or 0 if there is none.
func (r *workersRig) put(c *clientConn) (status int) {
	r.sent++
	sendPut(c, fmt.Sprint("/feed-a/", r.sent))
	status, _ = readStatus(c.r)
	return status
}

// countLost sends a write on each connection and returns the number of connections without a response.
// It reports an error for a response other than 201.
func (r *workersRig) countLost(conns []*clientConn) (lost int) {
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

// checkNewConns sends a write on each of n new connections and checks that it is served.
func (r *workersRig) checkNewConns(n int, when string) {
	r.t.Helper()
	for range n {
		if status := r.put(r.dial()); status != 201 {
			r.t.Errorf("new connection %s: got status %d, want 201", when, status)
		}
	}
}

// waitForExit waits until the kernel has ended a killed process, because the supervisor cannot see the
// exit before. On a busy machine this can take longer than waitUntil waits for the restart: the last
// thread waits for the release of its inotify descriptor (fsnotify_destroy_group), and the heartbeat pipe
// is not closed until then.
func (r *workersRig) waitForExit(pid int) {
	r.t.Helper()
	const exitTimeout = 2 * time.Minute
	for deadline := time.Now().Add(exitTimeout); ; time.Sleep(10 * time.Millisecond) {
		if states := threadStates(pid); strings.Trim(states, "ZX") == "" {
			return
		}
		if time.Now().After(deadline) {
			r.t.Fatalf("process %d has not ended after %v: thread states are %q; log:\n%s", pid, exitTimeout, threadStates(pid), r.log.String())
		}
	}
}

// isStopped reports whether every thread of a process is stopped by a signal.
func isStopped(pid int) bool {
	states := threadStates(pid)
	return states != "" && strings.Trim(states, "T") == ""
}

// threadStates returns the state of each thread of a process, as one letter in the notation of proc(5).
// '?' stands for a thread whose state could not be read because it has ended. The result is empty if
// there is no such process.
func threadStates(pid int) string {
	var states []byte
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, stat := range threads {
		state := byte('?')
		if b, err := os.ReadFile(stat); err == nil {
			if _, fields, ok := bytes.Cut(b, []byte(") ")); ok && len(fields) > 0 {
				state = fields[0]
			}
		}
		states = append(states, state)
	}
	return string(states)
}

// Verifies that no duplicate stays open if one of the listeners cannot be duplicated for the workers.
// Otherwise the kernel would go on queueing connections that no process accepts.
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
		t.Fatalf("got files %v, error %v, want an error and no files", files, err)
	}
	file.Close()
	listener.Close()
	if c, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is still open")
	}
}
