package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"maddergap/internal/atomicfile"
	"maddergap/internal/audit"
	"maddergap/internal/discoverytest"
	"maddergap/internal/platform"
	"maddergap/internal/subprocess"
)

const (
	// killDelay is how long after the longest deadline the platform kills a process that it
	// terminated. maxKillDeadline is the most that it counts of that deadline.
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second

	// furtherTermInterval is the time between two SIGTERM of a series.
	furtherTermInterval = 300 * time.Millisecond

	// startTimeout is the time in which a process has to be ready.
	startTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
	readyDialTimeout  = 200 * time.Millisecond
	readyTimeout      = 500 * time.Millisecond // of the response

	// minReloadUptime is the age of a process from which it is reloaded.
	minReloadUptime = time.Second
)

// instance is a gateway instance: its process, which is replaced by another one at each restart,
// its discovery agent and its clients.
type instance struct {
	index         int
	listenAddr    string
	agent         *discoverytest.Agent
	clients       *clientGroup
	deployment    *deployment
	dir           string   // of its configuration
	exe           []string // the program's command line, without a subcommand
	syscallFaults string   // table of failing system calls; empty: none
	log           *os.File

	mu        sync.Mutex          // locked while the process changes
	process   *subprocess.Process // nil before the first start
	startedAt time.Time
	stopped   bool             // the process was ended by the soak, or was found to have exited
	outages   []audit.Interval // after SIGKILL, until the next process is ready
	failures  []string
}

// newInstance returns an instance whose process is not started. Its configuration and log are in dir.
func newInstance(index int, listenAddr string, agent *discoverytest.Agent, d *deployment, exe []string, dir string) (*instance, error) {
	log, err := os.Create(filepath.Join(dir, fmt.Sprintf("head%d.log", index)))
	if err != nil {
		return nil, err
	}
	return &instance{index: index, listenAddr: listenAddr, agent: agent, deployment: d, dir: dir, exe: exe, log: log}, nil
}

// close kills the process and ends the agent.
func (i *instance) close() {
	i.mu.Lock()
	if i.process != nil {
		i.process.Kill()
	}
	i.mu.Unlock()
	i.agent.Close()
	i.log.Close()
}

// fail records a failure of the instance. i.mu is locked, here and in what follows.
func (i *instance) fail(format string, args ...any) {
	i.failures = append(i.failures, fmt.Sprintf("head %d: ", i.index)+fmt.Sprintf(format, args...))
}

func (i *instance) configPath() string {
	return filepath.Join(i.dir, fmt.Sprintf("head%d.json", i.index))
}

// configure writes the configuration, with a new address of the agent.
func (i *instance) configure() error {
	discoveryAddr, err := i.agent.Listen()
	if err != nil {
		return err
	}
	text, err := i.deployment.configFile(i.index, i.listenAddr, discoveryAddr, i.agent.FullList())
	if err != nil {
		return err
	}
	return atomicfile.Replace(i.configPath(), text)
}

// start starts a process and waits until it is ready.
func (i *instance) start() error {
	if err := i.configure(); err != nil {
		return err
	}
	argv := append(append([]string{}, i.exe...), "serve", "--platform")
	if i.syscallFaults != "" {
		argv = append(argv, "--inject", i.syscallFaults)
	}
	environment := []string{platform.EnvConfig + "=" + i.configPath()}
	process, err := subprocess.StartEnv(i.listenAddr, i.log, environment, argv...)
	if err != nil {
		return err
	}
	i.process, i.startedAt, i.stopped = process, time.Now(), false
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		if i.ready() {
			return nil
		}
	}
	return fmt.Errorf("head %d is not ready within %v", i.index, startTimeout)
}

// ready reports whether the instance passes its readiness check.
func (i *instance) ready() bool {
	conn, err := net.DialTimeout("tcp", i.listenAddr, readyDialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(readyTimeout))
	io.WriteString(conn, "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	want := fmt.Sprintf("HTTP/1.1 %d", http.StatusOK)
	got := make([]byte, len(want))
	_, err = io.ReadFull(conn, got)
	return err == nil && string(got) == want
}

// terminate ends the process as in a planned restart: by SIGTERM, with further signals around it,
// and by SIGKILL at the earliest time at which the platform sends it.
func (i *instance) terminate(signals SignalSeries) {
	i.stopped = true
	if signals.ReloadBefore {
		i.reload()
	}
	i.process.Signal(syscall.SIGTERM)
	killAt := time.Now().Add(min(i.deployment.longestDeadline(), maxKillDeadline) + killDelay)
	if signals.ReloadAfter {
		i.reload()
	}
	for range signals.FurtherTerms {
		if i.process.ExitsWithin(furtherTermInterval) {
			return
		}
		i.process.Signal(syscall.SIGTERM)
	}
	if !i.process.ExitsWithin(time.Until(killAt)) {
		i.process.Kill()
	}
}

// kill ends the process by SIGKILL. The audit allows requests to be lost until the next one is ready.
func (i *instance) kill() {
	i.stopped = true
	i.outages = append(i.outages, audit.Interval{Name: fmt.Sprint(i.index), From: unixMicros()})
	i.process.Kill()
}

// restart starts another process after terminate or kill.
func (i *instance) restart() {
	err := i.start()
	if n := len(i.outages); n > 0 && i.outages[n-1].To == 0 {
		i.outages[n-1].To = unixMicros()
	}
	if err != nil {
		i.fail("does not come back: %v", err)
	}
}

// reload moves the agent to another address and sends SIGHUP.
func (i *instance) reload() {
	if time.Since(i.startedAt) < minReloadUptime {
		return
	}
	if err := i.configure(); err != nil {
		i.fail("reload: %v", err)
		return
	}
	i.agent.AddressChangeDelivered()
	i.process.Signal(syscall.SIGHUP)
}

// suspend stops the process by SIGSTOP for a while.
func (i *instance) suspend(duration time.Duration) {
	i.process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	i.process.Signal(syscall.SIGCONT)
}

// checkExited records a failure if the process exited by itself.
func (i *instance) checkExited() {
	if !i.stopped && i.process != nil && i.process.Exited() {
		i.fail("the process ended by itself")
		i.stopped = true
	}
}
