// Package soak runs a fleet of gateway processes in service, on the platform's protocol, under
// random faults that overlap in time. It judges the run by the audit, from what clients and nodes
// recorded on their sockets, and by the violated invariants that the instances log. Discovery, nodes
// and clients are fakes in the process of the soak, on loopback addresses.
//
// options.go, fault.go, plan.go and syscall_faults.go are what happens in a run; it all follows from
// a seed.
package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/discovery"
	"maddergap/internal/discoverytest"
	"maddergap/internal/loopback"
	"maddergap/internal/stallwatch"
)

// What the audit allows.
const (
	drainGrace  = 500 * time.Millisecond
	blur        = 50 * time.Millisecond
	cancelGrace = 100 * time.Millisecond
	toldSlack   = 150 * time.Millisecond
	lateAnswers = 500 * time.Millisecond
)

// Report is a judged run.
type Report struct {
	Options *Options
	Plan    *Plan
	Audit   *audit.Report
	// Violations are the invariants that heads found broken themselves, as they logged them.
	Violations []string
	// Failures are crashes, heads that did not come back, and clients that were owed an end.
	Failures []string
	// MaxStall is the longest that the soak itself was held up.
	MaxStall time.Duration
}

// Passed tells whether nothing was broken.
func (r *Report) Passed() bool { return r.Audit.Passed() && len(r.Violations)+len(r.Failures) == 0 }

// Run runs a fleet of the program under the script of a seed and judges it. dir keeps the
// heads' configurations and logs.
func Run(o *Options, exe []string, dir string) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	f := &fleet{o: o, settings: drawSettings(o), registry: discoverytest.NewRegistry()}
	script := DrawPlan(o)
	lag := stallwatch.Start()
	defer lag.Stop()
	defer f.close()
	if err := f.openNodes(); err != nil {
		return nil, err
	}
	if err := f.openHeads(script, exe, dir); err != nil {
		return nil, err
	}
	end := make(chan struct{})
	for _, h := range f.heads {
		h.clients.start(o.Seed, end)
	}
	f.play(script)
	close(end)
	for _, h := range f.heads {
		h.clients.running.Wait()
	}
	f.running.Wait()
	return f.judge(script, dir, lag)
}

// Ports of heads and nodes, each of which has an address of its own.
const (
	headPort = 18100
	nodePort = 18300
)

// address is where a head or a node listens, also after it has come back.
func (f *fleet) address(number, port int) string {
	return loopback.Addr(3+int(f.o.Seed%200), number+1, port)
}

func (f *fleet) openNodes() error {
	for i := range f.o.Nodes {
		n := newNode(fmt.Sprintf("s-%02d", i), i/2, f.address(i, nodePort), f.o.Seed)
		if err := n.start(); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		f.registry.UpdateEndpoint(func(e *discovery.Endpoint) {
			*e = discovery.Endpoint{Name: n.name, Address: n.addr, Zone: fmt.Sprint("z", i%2), Group: n.shard, Status: "up"}
		}, n.name)
	}
	return nil
}

func (f *fleet) openHeads(script *Plan, exe []string, dir string) error {
	for i := range f.o.Instances {
		log, err := os.Create(filepath.Join(dir, fmt.Sprintf("head%d.log", i)))
		if err != nil {
			return err
		}
		listen := f.address(i, headPort)
		h := &head{number: i, listen: listen, agent: f.registry.NewAgent(i), settings: f.settings, dir: dir, exe: exe,
			inject: script.SyscallFaults[i], log: log}
		h.clients = &clients{head: i, addr: listen, config: f.settings, nextID: &f.ids}
		f.heads = append(f.heads, h)
	}
	var starting sync.WaitGroup
	errs := make([]error, len(f.heads))
	for i, h := range f.heads {
		starting.Go(func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			errs[i] = h.start()
		})
	}
	starting.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// play carries the script out, each event aside, and ends with a planned stop of all heads
// while clients still ask.
func (f *fleet) play(script *Plan) {
	began := time.Now()
	for _, e := range script.Faults {
		time.Sleep(time.Until(began.Add(e.Start)))
		for _, h := range f.heads {
			if h.mu.TryLock() {
				h.crashed()
				h.mu.Unlock()
			}
		}
		f.running.Go(func() { f.happen(e) })
	}
	time.Sleep(time.Until(began.Add(f.o.Duration)))
	var stopping sync.WaitGroup
	for _, h := range f.heads {
		stopping.Go(func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.crashed(); !h.ended {
				h.terminate()
			}
		})
	}
	stopping.Wait()
}

// happen carries one event out, from its beginning to its end.
func (f *fleet) happen(e Fault) {
	if e.Kind <= AgentDelayResponses {
		f.discovery(e)
		return
	}
	if e.Kind <= NodeMalformedResponses {
		f.node(e)
		return
	}
	h := f.heads[e.Target]
	switch e.Kind {
	case ClientsDisconnect:
		h.clients.leaving.Store(true)
		time.Sleep(e.Duration)
		h.clients.leaving.Store(false)
		return
	case ClientsStall:
		f.fault(h.clients.stall())
		return
	case ClientsIdleConns:
		h.clients.crowd(f.settings.sockets/2, e.Duration)
		return
	}
	if !h.mu.TryLock() { // something else happens to it
		return
	}
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	switch e.Kind {
	case InstanceTerminate:
		h.terminate()
		time.Sleep(e.Duration)
		h.back()
	case InstanceKill:
		h.kill()
		time.Sleep(e.Duration)
		h.back()
	case InstanceReload:
		h.reload()
	case InstanceSuspend:
		h.holdUp(e.Duration)
	}
}

func (f *fleet) discovery(e Fault) {
	agents := f.registry.Agents()
	if e.Target >= 0 {
		agents = agents[e.Target : e.Target+1]
	}
	for _, a := range agents {
		switch e.Kind {
		case AgentOutage:
			a.StartOutage()
		case AgentHangWatches:
			a.HangWatches()
		case AgentDelayResponses:
			a.SetResponseDelay(e.Duration / 10)
		}
	}
	time.Sleep(e.Duration)
	for _, a := range agents {
		switch e.Kind {
		case AgentOutage:
			a.EndOutage()
		case AgentDelayResponses:
			a.SetResponseDelay(0)
		}
	}
}

func (f *fleet) node(e Fault) {
	n := f.nodes[e.Target]
	switch e.Kind {
	case NodeDrain:
		f.registry.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "draining" }, n.name)
		time.Sleep(e.Duration)
		f.registry.UpdateEndpoint(func(e *discovery.Endpoint) { e.Status = "up" }, n.name)
	case NodeRestart:
		if !n.restart.TryLock() { // it is down already
			return
		}
		defer n.restart.Unlock()
		n.kill()
		time.Sleep(e.Duration)
		if err := n.start(); err != nil {
			f.fault(err)
			return
		}
		f.mu.Lock()
		f.starts = append(f.starts, audit.Interval{Name: n.name, From: unixMicros()})
		f.mu.Unlock()
		f.registry.UpdateEndpoint(func(e *discovery.Endpoint) { e.Since = float64(time.Now().UnixMilli()) }, n.name)
	case NodePauseAccept:
		n.pauseAccept()
		time.Sleep(e.Duration)
		n.resumeAccept()
	default:
		n.setFault(map[FaultKind]responseFault{NodeHang: respondsNever, NodeResetConns: respondsByReset, NodeMalformedResponses: respondsMalformed}[e.Kind])
		time.Sleep(e.Duration)
		n.setFault(respondsWell)
	}
}

func (f *fleet) close() {
	for _, h := range f.heads {
		h.mu.Lock()
		if h.process != nil {
			h.process.Kill()
		}
		h.mu.Unlock()
		h.agent.Close()
		h.log.Close()
	}
	for _, n := range f.nodes {
		n.kill()
	}
}

// judge joins the records.
func (f *fleet) judge(script *Plan, dir string, lag *stallwatch.Watch) (*Report, error) {
	text, err := f.settings.file(0, "127.0.0.1:1", "127.0.0.1:1", discovery.EndpointList{})
	if err != nil {
		return nil, err
	}
	config, err := f.settings.audited(dir, text)
	if err != nil {
		return nil, err
	}
	r := &Report{Options: f.o, Plan: script, MaxStall: lag.Longest(), Failures: f.faults}
	drains, starts := f.registry.Notices()
	in := audit.Input{Config: config, DrainNotices: drains, StartNotices: starts, DrainGrace: drainGrace, DisconnectGrace: cancelGrace, TimeoutTolerance: toldSlack,
		LateTolerance: lateAnswers, ClockTolerance: blur + r.MaxStall, NodeStarts: f.starts, SlowStart: f.settings.cold()}
	for _, h := range f.heads {
		in.Requests = append(in.Requests, h.clients.records()...)
		in.Outages = append(in.Outages, h.down...)
		r.Failures = append(r.Failures, h.faults...)
		broken, err := brokenLines(h.log.Name())
		if err != nil {
			return nil, err
		}
		r.Violations = append(r.Violations, broken...)
	}
	for _, n := range f.nodes {
		in.Attempts = append(in.Attempts, n.records()...)
	}
	r.Audit = audit.Judge(in)
	return r, nil
}

// brokenLines are the invariants that a head logged as broken, and crashes.
func brokenLines(path string) (lines []string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	scan := bufio.NewScanner(bytes.NewReader(text))
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		line := scan.Text()
		if strings.Contains(line, `"invariant violated"`) || strings.Contains(line, "request aborted at shutdown") || strings.HasPrefix(line, "panic:") ||
			strings.HasPrefix(line, "fatal error:") {
			lines = append(lines, filepath.Base(path)+": "+line)
		}
	}
	return lines, scan.Err()
}

// maxReportedLines bounds what a report shows of each kind.
const maxReportedLines = 10

// Write prints the report; where something was broken, with the timeline and what to run to
// see it again.
func (r *Report) Write(w io.Writer, command string) {
	r.Audit.Write(w)
	fmt.Fprintf(w, "the soak was held up %v at most\n", r.MaxStall.Round(time.Millisecond))
	if r.Passed() {
		fmt.Fprintf(w, "seed %d: everything held\n", r.Options.Seed)
		return
	}
	show := func(title string, lines []string) {
		for i, line := range lines {
			if i == maxReportedLines {
				fmt.Fprintf(w, "%s: %d more\n", title, len(lines)-i)
				return
			}
			fmt.Fprintf(w, "%s: %s\n", title, line)
		}
	}
	show("fault", r.Failures)
	show("found broken by a head", r.Violations)
	for _, e := range r.Plan.Faults {
		fmt.Fprintln(w, e)
	}
	fmt.Fprintf(w, "seed %d: BROKEN; again with: %s\n", r.Options.Seed, command)
}
