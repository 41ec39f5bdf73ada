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
	// After SIGTERM, the platform waits for the longest deadline of a class (counted as at most
	// maxKillDeadline) and for killDelay, and then sends SIGKILL.
	killDelay       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second

	// extraSIGTERMInterval is the time between two SIGTERMs of a SignalSeries.
	extraSIGTERMInterval = 300 * time.Millisecond

	// startTimeout is the time that a process has to become ready after it accepts connections.
	startTimeout      = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
	readyDialTimeout  = 200 * time.Millisecond
	readyTimeout      = 500 * time.Millisecond // time to send the readiness check and read its response

	// minReloadUptime is the uptime below which a process is not reloaded.
	minReloadUptime = time.Second
)

// instance is a gateway instance with its discovery agent and its clients. Its process is replaced at
// each restart.
type instance struct {
	index         int    // index in fleet.instances
	listenAddr    string // host:port
	agent         *discoverytest.Agent
	clients       *clientGroup
	deployment    *deployment
	dir           string   // directory of its configuration file and log
	exe           []string // the program's command line, without a subcommand
	syscallFaults string   // table of failing system calls; empty for none
	log           *os.File

	mu        sync.Mutex          // held while the process is started or ended, and during its faults
	process   *subprocess.Process // nil before the first start
	startedAt time.Time           // time at which the process accepted connections
	stopped   bool                // set if the soak ended the process or found that it had exited
	outages   []audit.Interval    // periods from a SIGKILL until the next process is ready
	failures  []string
}

// newInstance returns an instance without a process. Its configuration and log are written to dir.
func newInstance(index int, listenAddr string, agent *discoverytest.Agent, d *deployment, exe []string, dir string) (*instance, error) {
	log, err := os.Create(filepath.Join(dir, fmt.Sprintf("head%d.log", index)))
	if err != nil {
		return nil, err
	}
	return &instance{index: index, listenAddr: listenAddr, agent: agent, deployment: d, dir: dir, exe: exe, log: log}, nil
}

// close kills the process and closes the agent and the log.
func (i *instance) close() {
	i.mu.Lock()
	if i.process != nil {
		i.process.Kill()
	}
	i.mu.Unlock()
	i.agent.Close()
	i.log.Close()
}

// recordFailure records a failure of the instance. It and the methods below require that i.mu is held,
// unless no other goroutine uses the instance.
func (i *instance) recordFailure(format string, args ...any) {
	i.failures = append(i.failures, fmt.Sprintf("head %d: ", i.index)+fmt.Sprintf(format, args...))
}

func (i *instance) configPath() string {
	return filepath.Join(i.dir, fmt.Sprintf("head%d.json", i.index))
}

// configure moves the agent to a new address and writes a configuration file that has this address.
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

// start starts a new process and waits until it is ready.
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
		if i.isReady() {
			return nil
		}
	}
	return fmt.Errorf("head %d is not ready within %v", i.index, startTimeout)
}

// isReady reports whether the instance passes its readiness check.
func (i *instance) isReady() bool {
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

// terminate ends the process as in a planned restart. It sends SIGTERM, with the additional signals of
// the series, and sends SIGKILL if the process still runs at the earliest time at which the platform
// would do so.
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
	for range signals.ExtraSIGTERMs {
		if i.process.ExitsWithin(extraSIGTERMInterval) {
			return
		}
		i.process.Signal(syscall.SIGTERM)
	}
	if !i.process.ExitsWithin(time.Until(killAt)) {
		i.process.Kill()
	}
}

// kill ends the process by SIGKILL. The audit permits that requests are lost until the next process is
// ready.
func (i *instance) kill() {
	i.stopped = true
	i.outages = append(i.outages, audit.Interval{Name: fmt.Sprint(i.index), From: unixMicros()})
	i.process.Kill()
}

// restart starts a new process after terminate or kill, and ends the outage that kill began.
func (i *instance) restart() {
	err := i.start()
	if n := len(i.outages); n > 0 && i.outages[n-1].To == 0 {
		i.outages[n-1].To = unixMicros()
	}
	if err != nil {
		i.recordFailure("does not come back: %v", err)
	}
}

// reload moves the agent to a new address and sends SIGHUP. It does nothing if the process has run for
// less than minReloadUptime.
func (i *instance) reload() {
	if time.Since(i.startedAt) < minReloadUptime {
		return
	}
	if err := i.configure(); err != nil {
		i.recordFailure("reload: %v", err)
		return
	}
	i.agent.AddressChangeDelivered()
	i.process.Signal(syscall.SIGHUP)
}

// suspend stops the process with SIGSTOP and continues it after the duration.
func (i *instance) suspend(duration time.Duration) {
	i.process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	i.process.Signal(syscall.SIGCONT)
}

// checkExited records a failure if the process exited although the soak did not end it.
func (i *instance) checkExited() {
	if !i.stopped && i.process != nil && i.process.Exited() {
		i.recordFailure("the process ended by itself")
		i.stopped = true
	}
}
