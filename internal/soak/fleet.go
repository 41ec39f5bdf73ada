package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"maddergap/internal/atomicfile"
	"maddergap/internal/audit"
	"maddergap/internal/discoverytest"
	"maddergap/internal/subprocess"
)

// Times of the platform on processes.
const (
	killAfter     = 700 * time.Millisecond // behind the longest deadline
	longestCounts = 3 * time.Second
	readyWithin   = 10 * time.Second
	reloadAfter   = time.Second // of a process's life
)

// head is one head's process and what stands around it.
type head struct {
	number   int
	listen   string
	agent    *discoverytest.Agent
	clients  *clients
	settings *settings
	dir      string
	exe      []string
	inject   string

	mu      sync.Mutex // of what follows; held while the process changes
	process *subprocess.Process
	log     *os.File
	started time.Time
	ended   bool // on purpose
	down    []audit.Interval
	faults  []string
}

func (h *head) fault(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf("head %d: ", h.number)+fmt.Sprintf(format, args...))
}

func (h *head) file() string { return filepath.Join(h.dir, fmt.Sprintf("head%d.json", h.number)) }

// configure writes the head's configuration, with a new address of discovery.
func (h *head) configure() error {
	address, err := h.agent.Listen()
	if err != nil {
		return err
	}
	text, err := h.settings.file(h.number, h.listen, address, h.agent.FullList())
	if err != nil {
		return err
	}
	return atomicfile.Replace(h.file(), text)
}

// start runs the process and waits until it is ready.
func (h *head) start() error {
	if err := h.configure(); err != nil {
		return err
	}
	argv := append(append([]string{}, h.exe...), "serve", "--platform")
	if h.inject != "" {
		argv = append(argv, "--inject", h.inject)
	}
	p, err := subprocess.StartEnv(h.listen, h.log, []string{"ROUTER_CONFIG=" + h.file()}, argv...)
	if err != nil {
		return err
	}
	h.process, h.started, h.ended = p, time.Now(), false
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if h.ready() {
			return nil
		}
	}
	return fmt.Errorf("head %d is not ready within %v", h.number, readyWithin)
}

func (h *head) ready() bool {
	c, err := net.DialTimeout("tcp", h.listen, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(500 * time.Millisecond))
	io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	b := make([]byte, 12)
	_, err = io.ReadFull(c, b)
	return err == nil && string(b) == fmt.Sprintf("HTTP/1.1 %d", http.StatusOK)
}

// terminate ends the process as a planned restart does: SIGTERM, and SIGKILL at the earliest
// time that the platform allows itself.
func (h *head) terminate() {
	h.ended = true
	h.process.Signal(syscall.SIGTERM)
	if !h.process.ExitsWithin(min(h.settings.longest(), longestCounts) + killAfter) {
		h.process.Kill()
	}
}

// kill ends the process without a word.
func (h *head) kill() {
	h.ended = true
	h.down = append(h.down, audit.Interval{Name: fmt.Sprint(h.number), From: unixMicros()})
	h.process.Kill()
}

// back starts the process anew.
func (h *head) back() {
	err := h.start()
	if n := len(h.down); n > 0 && h.down[n-1].To == 0 {
		h.down[n-1].To = unixMicros()
	}
	if err != nil {
		h.fault("does not come back: %v", err)
	}
}

// reload moves discovery to another address.
func (h *head) reload() {
	if h.ended || time.Since(h.started) < reloadAfter {
		return
	}
	if err := h.configure(); err != nil {
		h.fault("reload: %v", err)
		return
	}
	h.agent.AddressChangeDelivered()
	h.process.Signal(syscall.SIGHUP)
}

// holdUp stops the process for a while.
func (h *head) holdUp(length time.Duration) {
	if h.ended {
		return
	}
	h.process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	h.process.Signal(syscall.SIGCONT)
}

// crashed notes a process that ended by itself.
func (h *head) crashed() {
	if !h.ended && h.process != nil && h.process.Exited() {
		h.fault("the process ended by itself")
		h.ended = true
	}
}

// fleet is everything that runs.
type fleet struct {
	o        *Options
	settings *settings
	registry *discoverytest.Registry
	nodes    []*node
	starts   []audit.Interval // cold ones
	mu       sync.Mutex       // of starts and faults
	faults   []string
	heads    []*head
	ids      atomic.Uint64
	running  sync.WaitGroup
}

func (f *fleet) fault(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, err.Error())
}
