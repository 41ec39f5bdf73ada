package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/config"
	"maddergap/internal/loopback"
	"maddergap/internal/nodelist"
	"maddergap/internal/stallwatch"
)

const (
	nodePort = 17000
	headPort = 18000
	// settleTime is for processes and objects, before the day begins; settlePart is for each.
	settleTime = 2 * time.Second
	settlePart = 100 * time.Millisecond
	// usualLate is what an answer may come after its deadline where nothing else is asked for.
	usualLate = 50 * time.Millisecond
)

// part is a running head or node.
type part interface {
	stop() error
	kill()
}

// Run runs a day and judges it.
func Run(o *Options) (*audit.Report, error) {
	o.setDefaults()
	d := &day{o: o, plan: o.Plan}
	defer d.end()
	if err := d.prepare(); err != nil {
		return nil, err
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	if err := d.play(); err != nil {
		return nil, err
	}
	if err := d.collect(); err != nil {
		return nil, err
	}
	return audit.Judge(d.in), nil
}

func (o *Options) setDefaults() {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Late == 0 {
		o.Late = usualLate
	}
	if o.Block == 0 {
		o.Block = loopback.Block()
	}
}

// day is a day that runs.
type day struct {
	o      *Options
	plan   *Plan
	config *config.Config
	epoch  time.Time // when the day begins

	nodes, heads []string // addresses
	confs        []string // files of the heads
	clients      *clients
	watch        *stallwatch.Watch
	floods       sync.WaitGroup
	fates        []string // of the floods

	mu       sync.Mutex // of what a start aside leaves
	parts    []part     // all that ever ran
	stores   []part     // the nodes
	running  []part     // the heads
	in       audit.Input
	failed   error // of starts aside
	starting sync.WaitGroup
}

// end ends whatever still runs.
func (d *day) end() {
	d.starting.Wait()
	d.floods.Wait()
	if d.watch != nil {
		d.watch.Stop()
	}
	for _, x := range d.parts {
		x.kill()
	}
	d.o.ending.Wait()
}

// prepare writes the configurations and the node list.
func (d *day) prepare() (err error) {
	// Addresses of their own in 127.0.0.0/8: no port is shared with anybody.
	address := func(kind, i, port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", d.o.Block, kind+int(d.plan.Seed%50)*4, i+1, port)
	}
	for i := range d.plan.Nodes {
		d.nodes = append(d.nodes, address(1, i, nodePort))
	}
	for i := range d.plan.Heads {
		d.heads = append(d.heads, address(2, i, headPort))
		file := filepath.Join(d.o.Dir, fmt.Sprintf("head%d.conf", i))
		text := d.plan.Conf(d.heads[i], "nodes.list")
		if d.o.Flood {
			text += floodCaps
		}
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			return err
		}
		d.confs = append(d.confs, file)
	}
	if d.config, err = config.Load(d.confs[0]); err != nil {
		return err
	}
	settle := settleTime + time.Duration(d.plan.Nodes+d.plan.Heads)*settlePart
	d.epoch = time.Now().Add(settle).Truncate(time.Millisecond)
	return d.list(-1)
}

// list writes the node list as it is at a time of the day.
func (d *day) list(until time.Duration) error {
	listed := d.plan.list(d.nodes, d.epoch, until)
	if d.o.Listed != nil {
		listed = d.o.Listed(listed)
	}
	return nodelist.Replace(filepath.Join(d.o.Dir, "nodes.list"), listed)
}

// startAll starts nodes, heads, clients and floods.
func (d *day) startAll() error {
	for i, addr := range d.nodes {
		n, err := d.o.startNode(i, addr, d.epoch)
		if err != nil {
			return err
		}
		d.parts, d.stores = append(d.parts, n), append(d.stores, n)
	}
	if err := preload(d.plan, d.config, d.nodes); err != nil {
		return err
	}
	for i, addr := range d.heads {
		h, err := d.o.startHead(i, d.confs[i], addr)
		if err != nil {
			return err
		}
		d.parts, d.running = append(d.parts, h), append(d.running, h)
	}
	d.in = audit.Input{Config: d.config, StartedAt: d.epoch.UnixMicro(), DrainGrace: grace, ClockTolerance: 100 * time.Millisecond, LateTolerance: d.o.Late,
		SlowStart: audit.SlowStart{Capacity: cores / unitTime.Seconds(), InitialFraction: coldFrom, WarmupDuration: d.plan.Cold, OverloadFactor: coldTimes, OverloadWindow: coldWindow}}
	for n, at := range d.plan.Starts {
		d.in.NodeStarts = append(d.in.NodeStarts, audit.Interval{Name: fmt.Sprint("n", n), From: d.epoch.Add(at).UnixMicro()})
	}
	d.clients = newClients(d.config, d.heads)
	d.watch = stallwatch.Start()
	d.fates = make([]string, len(d.heads))
	if d.o.Flood {
		d.flood()
	}
	return nil
}

// flood presses on every head.
func (d *day) flood() {
	for i, addr := range d.heads {
		d.floods.Go(func() {
			fate, err := d.o.press(d.plan.flood(addr, d.o.Tries))
			if err != nil {
				fmt.Fprintf(d.o.Progress, "\rflood of head %d: %v\n", i, err)
			}
			d.fates[i] = fate
		})
	}
}

// event is what happens at a time of the day.
type event struct {
	at time.Duration
	do func() error
}

// events are the day's, in their order.
func (d *day) events() []event {
	var events []event
	for _, change := range d.plan.Changes {
		events = append(events, event{change.At, func() error { return d.change(change) }})
	}
	for _, kill := range d.plan.Kills {
		events = append(events, event{kill.At, func() error { d.kill(kill.Head); return nil }},
			event{kill.Back, func() error { d.bringBack(kill.Head); return nil }})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// change tells a new node list, and notes which nodes drain by it.
func (d *day) change(change Change) error {
	for _, n := range d.plan.Drains {
		state, listed := change.State[n]
		last := len(d.in.Drains) - 1
		switch {
		case listed && state != 0:
			d.in.Drains = append(d.in.Drains, audit.Interval{Name: fmt.Sprint("n", n), From: micro()})
		case listed && last >= 0 && d.in.Drains[last].To == 0:
			d.in.Drains[last].To = micro()
		}
	}
	return d.list(change.At)
}

// kill ends a head without a word.
func (d *day) kill(head int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.in.Outages = append(d.in.Outages, audit.Interval{Name: fmt.Sprint(head), From: micro()})
	d.running[head].kill()
	d.clients.forget(head)
}

// bringBack starts a head that was killed: aside, so that the schedule does not stand still
// meanwhile.
func (d *day) bringBack(head int) {
	d.starting.Go(func() {
		h, err := d.o.startHead(head, d.confs[head], d.heads[head])
		d.mu.Lock()
		defer d.mu.Unlock()
		if err != nil {
			d.failed = errors.Join(d.failed, err)
			return
		}
		d.running[head], d.parts = h, append(d.parts, h)
		d.clients.forget(head)
		for i := range d.in.Outages {
			if down := &d.in.Outages[i]; down.Name == fmt.Sprint(head) && down.To == 0 {
				down.To = micro()
			}
		}
	})
}

// play keeps the schedule of events and requests.
func (d *day) play() error {
	jobs, events := d.plan.Jobs, d.events()
	late := time.Duration(0)
	for len(jobs) > 0 || len(events) > 0 {
		isEvent := len(events) > 0 && (len(jobs) == 0 || events[0].at <= jobs[0].At)
		if !isEvent {
			late = max(late, d.wait(jobs[0].At))
			d.clients.start(jobs[0])
			jobs = jobs[1:]
			continue
		}
		late = max(late, d.wait(events[0].at))
		if err := events[0].do(); err != nil {
			return err
		}
		fmt.Fprintf(d.o.Progress, "\r%v of %v", events[0].at.Round(time.Second), d.plan.Length)
		events = events[1:]
	}
	d.in.Requests = d.clients.finish()
	d.starting.Wait()
	if d.failed != nil {
		return d.failed
	}
	d.in.Stalls = d.lags()
	d.floods.Wait()
	for i, fate := range d.fates {
		if fate != "" {
			fmt.Fprintf(d.o.Progress, "\rflood of head %d: %s\n", i, fate)
		}
	}
	fmt.Fprintf(d.o.Progress, "\rday over; the schedule was kept to within %v\n", late.Round(time.Millisecond))
	return nil
}

// wait waits until a time of the day and returns how much too late it is.
func (d *day) wait(at time.Duration) (late time.Duration) {
	left := time.Until(d.epoch.Add(at))
	if left > 0 {
		time.Sleep(left)
		return 0
	}
	return -left
}

// lags tells when this process itself was held up, so that a late rig is told from a late head.
func (d *day) lags() (lags []audit.Interval) {
	d.watch.Stop()
	for _, late := range d.watch.Spans() {
		lags = append(lags, audit.Interval{From: late.From.UnixMicro(), To: late.To.UnixMicro()})
	}
	return lags
}

// collect stops heads and nodes and takes their records.
func (d *day) collect() error {
	for i, h := range d.running {
		if err := h.stop(); err != nil && d.o.NewScheduler == nil { // a test's scheduler may leave requests
			return fmt.Errorf("head %d: %w", i, err)
		}
	}
	for i, n := range d.stores {
		if err := n.stop(); err != nil {
			return fmt.Errorf("node %d: %w", i, err)
		}
		entries, err := readEntries(filepath.Join(d.o.Dir, fmt.Sprintf("node%d.jsonl", i)))
		if err != nil {
			return err
		}
		d.in.Attempts = append(d.in.Attempts, entries...)
	}
	return writeClients(filepath.Join(d.o.Dir, "clients.jsonl"), d.in.Requests)
}
