package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"maddergap/internal/flood"
	"maddergap/internal/subprocess"
)

// processLauncher starts each server as a process with a log file in dir.
type processLauncher struct {
	plan      *Plan
	dir       string
	exe       []string // the program and its first arguments
	serveArgs []string // additional arguments of the serve command
}

func (l *processLauncher) startNode(node int, addr string, epoch time.Time) (server, error) {
	name := nodeName(node)
	script := filepath.Join(l.dir, name+".script")
	var text strings.Builder
	for _, step := range l.plan.Scripts[node] {
		fmt.Fprintln(&text, step)
	}
	if err := os.WriteFile(script, []byte(text.String()), 0o644); err != nil {
		return nil, err
	}
	return l.start(addr, name, "node",
		"--listen", addr,
		"--name", name,
		"--record", nodeRecordFile(l.dir, node),
		"--script", script,
		"--epoch", fmt.Sprint(epoch.UnixMilli()),
		"--cores", fmt.Sprint(nodeCores),
		"--queue", fmt.Sprint(nodeQueueLimit),
		"--unit", fmt.Sprint(unitBytes),
		"--unit-time", unitTime.String(),
		"--cold", l.plan.WarmupDuration.String(),
		"--from", fmt.Sprint(slowStartFraction),
		"--multiple", fmt.Sprint(overloadFactor),
		"--window", overloadWindow.String())
}

func (l *processLauncher) startInstance(instance int, configFile, addr string) (server, error) {
	args := append([]string{"serve", "--config", configFile}, l.serveArgs...)
	return l.start(addr, fmt.Sprint("head", instance), args...)
}

// flood runs the flood in a separate process, so that it does not slow down the scenario's clients
// in this one.
func (l *processLauncher) flood(o flood.Options) (string, error) {
	stats, err := flood.RunProcess(o, l.exe...)
	if err != nil {
		return "", err
	}
	return formatFloodStats(stats), nil
}

// wait does nothing: kill already waits for the process to exit.
func (l *processLauncher) wait() {}

// start starts a process and waits until it accepts connections on addr. The process's output is
// appended to the file name.log.
func (l *processLauncher) start(addr, name string, args ...string) (server, error) {
	log, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p, err := subprocess.Start(addr, log, append(slices.Clone(l.exe), args...)...)
	if err != nil {
		log.Close()
		return nil, err
	}
	return &process{p, log}, nil
}

// process is a server that runs as a process.
type process struct {
	*subprocess.Process
	log *os.File
}

func (p *process) stop() error {
	defer p.log.Close()
	return p.Stop()
}

func (p *process) kill() {
	p.Kill()
	p.log.Close()
}
