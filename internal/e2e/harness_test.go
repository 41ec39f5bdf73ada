// Package e2e tests whole instances over real loopback sockets: clients, the daemon with its
// epoll event loop, and storage nodes. Most checks use what clients and nodes observe on their
// sockets rather than the gateway's own counters.
//
// The harness consists of harness_test.go (a running daemon), webdav_harness_test.go and
// platform_harness_test.go (its two configurations), client_test.go, webdav_client_test.go and
// flood_harness_test.go (clients), platform_node_test.go and raw_node_test.go (nodes), and
// fake_discovery_test.go (discovery).
package e2e

import (
	"bytes"
	"log/slog"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"maddergap/internal/daemon"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
}

const (
	// stopTimeout is the time within which Run has to return after Stop.
	stopTimeout = 20 * time.Second
	// eventuallyTimeout is the time within which a condition passed to eventually has to hold.
	eventuallyTimeout = 10 * time.Second
)

// testInstance is a daemon that runs in the test process. It is stopped at the end of the test.
type testInstance struct {
	t      *testing.T
	addr   string // address of the first listener
	dir    string // directory of the configuration files
	daemon *daemon.Daemon
	done   chan error // receives the result of Run; nil after it was received
	log    *logBuffer
}

func newTestInstance(t *testing.T) *testInstance {
	return &testInstance{t: t, dir: t.TempDir(), done: make(chan error, 1), log: &logBuffer{}}
}

// logger returns a logger that writes to the instance's log buffer.
func (i *testInstance) logger() *slog.Logger { return slog.New(slog.NewTextHandler(i.log, nil)) }

// run starts the daemon in a goroutine of its own.
func (i *testInstance) run(d *daemon.Daemon) {
	i.daemon = d
	i.addr = d.Addrs()[0]
	done := i.done
	go func() { done <- d.Run() }()
	i.t.Cleanup(func() { i.stop() })
}

// stop requests a graceful shutdown and returns the result of Run. It returns nil if an earlier
// call has already returned that result. The test fails if Run does not return within stopTimeout
// plus inotifyReleaseTime.
func (i *testInstance) stop() error {
	if i.done == nil {
		return nil
	}
	i.daemon.Stop()
	stopped, err := i.runResult(stopTimeout)
	if !stopped {
		stopped, err = i.runResult(inotifyReleaseTime())
	}
	if !stopped {
		i.t.Error("the daemon did not stop in time")
	}
	return err
}

// runResult waits for Run to return, up to the timeout, and returns its result. stopped reports
// whether Run has returned.
func (i *testInstance) runResult(timeout time.Duration) (stopped bool, err error) {
	select {
	case err := <-i.done:
		i.done = nil
		return true, err
	case <-time.After(timeout):
		return false, nil
	}
}

// inotifyReleaseTime measures how long the kernel currently takes to release an inotify descriptor.
// A daemon closes one when it stops, and the close waits for deferred work on all inotify watches
// of the machine (fsnotify_destroy_group). While many other processes started and ended, a close
// took over 25 s.
func inotifyReleaseTime() time.Duration {
	fd, err := unix.InotifyInit1(unix.IN_CLOEXEC)
	if err != nil {
		return 0
	}
	unix.InotifyAddWatch(fd, os.TempDir(), unix.IN_CREATE)
	start := time.Now()
	unix.Close(fd)
	return time.Since(start)
}

// logBuffer holds a daemon's log output. It can be read while the daemon writes to it.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// eventually waits until a condition holds, up to eventuallyTimeout. what describes the condition
// in the failure message.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll(t, what, eventuallyTimeout, 20*time.Millisecond, condition)
}

// within waits until a condition holds, up to the timeout. It checks more often than eventually.
func within(t *testing.T, timeout time.Duration, condition func() bool) {
	t.Helper()
	poll(t, "the condition on this line", timeout, 5*time.Millisecond, condition)
}

// poll checks a condition at an interval until it holds. The test fails if it does not hold
// within the timeout.
func poll(t *testing.T, what string, timeout, interval time.Duration, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(interval) {
		if time.Now().After(deadline) {
			t.Fatalf("not true within %v: %s", timeout, what)
		}
	}
}
