package badday

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/child"
	"maddergap/internal/conf"
	"maddergap/internal/daemon"
	"maddergap/internal/flood"
	"maddergap/internal/loopback"
	"maddergap/internal/nodelist"
	"maddergap/internal/route"
	"maddergap/internal/standin"
)

// Options of a run.
type Options struct {
	Plan *Plan
	Dir  string // for files; records stay there
	// Exe is the program and its first arguments; with none, heads and nodes run
	// in this process, and heads are stopped where they would be killed.
	Exe      []string
	HeadArgs []string      // further arguments of serve
	Core     daemon.CoreOf // in this process only
	Progress io.Writer     // nil: none
	// Flood presses on every head with connections from many addresses all day; the
	// day's own clients are listed as known.
	Flood bool
	Tries int // connections that press on each head, 0: 300 for each second of the day
	// Late is what an answer may come after its deadline by the clients' clock: the
	// machine's part, not the head's. 0: 50 ms.
	Late  time.Duration
	Block int // second byte of the loopback addresses; 0: by process id
	// Listed is what the heads' node list has in place of the true one; nil: the true one.
	Listed func([]nodelist.Node) []nodelist.Node

	ending sync.WaitGroup // heads of this process that were told to end
}

// part is a running head or node.
type part interface {
	stop() error
	kill()
}

// Run runs a day and judges it.
func Run(o *Options) (*audit.Report, error) {
	p := o.Plan
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Late == 0 {
		o.Late = 50 * time.Millisecond
	}
	if o.Block == 0 {
		o.Block = loopback.Block()
	}
	// Addresses of their own in 127.0.0.0/8: no port is shared with anybody.
	addr := func(kind, i, port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", o.Block, kind+int(p.Seed%50)*4, i+1, port)
	}
	list := filepath.Join(o.Dir, "nodes.list")
	var nodes, heads []string
	for i := range p.Nodes {
		nodes = append(nodes, addr(1, i, 17000))
	}
	var confs []string
	for i := range p.Heads {
		heads = append(heads, addr(2, i, 18000))
		file := filepath.Join(o.Dir, fmt.Sprintf("head%d.conf", i))
		text := p.Conf(heads[i], "nodes.list")
		if o.Flood {
			text += floodCaps
		}
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			return nil, err
		}
		confs = append(confs, file)
	}
	c, err := conf.Load(confs[0])
	if err != nil {
		return nil, err
	}
	// For processes and objects, before the day begins.
	settle := 2*time.Second + time.Duration(p.Nodes+p.Heads)*100*time.Millisecond
	epoch := time.Now().Add(settle).Truncate(time.Millisecond)
	tell := func(until time.Duration) error {
		listed := p.list(nodes, epoch, until)
		if o.Listed != nil {
			listed = o.Listed(listed)
		}
		return nodelist.Replace(list, listed)
	}
	if err := tell(-1); err != nil {
		return nil, err
	}
	var parts []part
	defer func() {
		for _, x := range parts {
			x.kill()
		}
		o.ending.Wait()
	}()
	var stores []part
	for i := range p.Nodes {
		n, err := o.startNode(i, nodes[i], epoch)
		if err != nil {
			return nil, err
		}
		parts, stores = append(parts, n), append(stores, n)
	}
	if err := preload(p, c, nodes); err != nil {
		return nil, err
	}
	running := make([]part, p.Heads)
	for i := range p.Heads {
		if running[i], err = o.startHead(i, confs[i], heads[i]); err != nil {
			return nil, err
		}
		parts = append(parts, running[i])
	}
	in := audit.Input{Config: c, Began: epoch.UnixMicro(), Grace: grace, Blur: 100 * time.Millisecond, Late: o.Late,
		Cold: audit.Cold{Rate: cores / unitTime.Seconds(), From: coldFrom, For: p.Cold, Multiple: coldTimes, Window: coldWindow}}
	for n, at := range p.Starts {
		in.Starts = append(in.Starts, audit.Span{Name: fmt.Sprint("n", n), From: epoch.Add(at).UnixMicro()})
	}
	cs := newClients(c, heads)
	var pressed sync.WaitGroup
	defer pressed.Wait()
	fates := make([]string, len(heads))
	watch := startWatch()
	if o.Flood {
		for i, h := range heads {
			pressed.Go(func() {
				if fates[i], err = o.press(p.flood(h, o.Tries)); err != nil {
					fmt.Fprintf(o.Progress, "\rflood of head %d: %v\n", i, err)
				}
			})
		}
	}
	late := time.Duration(0)
	next, change := 0, 0
	type happening struct {
		at time.Duration
		do func() error
	}
	var events []happening
	for _, ch := range p.Changes {
		events = append(events, happening{ch.At, func() error {
			for _, d := range p.Drains {
				if s, ok := ch.State[d]; ok && s != 0 {
					in.Drains = append(in.Drains, audit.Span{Name: fmt.Sprint("n", d), From: micro()})
				} else if ok && len(in.Drains) > 0 && in.Drains[len(in.Drains)-1].To == 0 {
					in.Drains[len(in.Drains)-1].To = micro()
				}
			}
			return tell(ch.At)
		}})
	}
	var starting sync.WaitGroup
	var back sync.Mutex // of what a start aside leaves
	var failed error
	defer starting.Wait()
	for _, k := range p.Kills {
		events = append(events, happening{k.At, func() error {
			back.Lock()
			defer back.Unlock()
			in.Down = append(in.Down, audit.Span{Name: fmt.Sprint(k.Head), From: micro()})
			running[k.Head].kill()
			cs.forget(k.Head)
			return nil
		}}, happening{k.Back, func() error {
			// Aside, so that the schedule does not stand still while a head starts.
			starting.Go(func() {
				h, err := o.startHead(k.Head, confs[k.Head], heads[k.Head])
				back.Lock()
				defer back.Unlock()
				if err != nil {
					failed = errors.Join(failed, err)
					return
				}
				running[k.Head], parts = h, append(parts, h)
				cs.forget(k.Head)
				for i := range in.Down {
					if in.Down[i].Name == fmt.Sprint(k.Head) && in.Down[i].To == 0 {
						in.Down[i].To = micro()
					}
				}
			})
			return nil
		}})
	}
	slices.SortStableFunc(events, func(a, b happening) int { return cmp.Compare(a.at, b.at) })
	for next < len(p.Jobs) || change < len(events) {
		at := p.Length
		if next < len(p.Jobs) {
			at = p.Jobs[next].At
		}
		isEvent := change < len(events) && (next >= len(p.Jobs) || events[change].at <= at)
		if isEvent {
			at = events[change].at
		}
		if d := time.Until(epoch.Add(at)); d > 0 {
			time.Sleep(d)
		} else {
			late = max(late, -d)
		}
		if isEvent {
			if err := events[change].do(); err != nil {
				return nil, err
			}
			change++
			fmt.Fprintf(o.Progress, "\r%v of %v", at.Round(time.Second), p.Length)
			continue
		}
		cs.start(p.Jobs[next])
		next++
	}
	in.Clients = cs.finish()
	starting.Wait()
	if failed != nil {
		return nil, failed
	}
	in.Lags = watch.stop()
	pressed.Wait()
	for i, f := range fates {
		if f != "" {
			fmt.Fprintf(o.Progress, "\rflood of head %d: %s\n", i, f)
		}
	}
	fmt.Fprintf(o.Progress, "\rday over; the schedule was kept to within %v\n", late.Round(time.Millisecond))
	for i, h := range running {
		if err := h.stop(); err != nil && o.Core == nil { // a core of a test's may well leave requests
			return nil, fmt.Errorf("head %d: %w", i, err)
		}
	}
	for i, n := range stores {
		if err := n.stop(); err != nil {
			return nil, fmt.Errorf("node %d: %w", i, err)
		}
		entries, err := readEntries(filepath.Join(o.Dir, fmt.Sprintf("node%d.jsonl", i)))
		if err != nil {
			return nil, err
		}
		in.Nodes = append(in.Nodes, entries...)
	}
	if err := writeClients(filepath.Join(o.Dir, "clients.jsonl"), in.Clients); err != nil {
		return nil, err
	}
	return audit.Judge(in), nil
}

func (o *Options) startNode(i int, addr string, epoch time.Time) (part, error) {
	name, record := fmt.Sprint("n", i), filepath.Join(o.Dir, fmt.Sprintf("node%d.jsonl", i))
	steps := o.Plan.Scripts[i]
	if len(o.Exe) == 0 {
		n, err := standin.Start(standin.Options{Listen: addr, Name: name, Record: record, Epoch: epoch, Script: steps, Cores: cores,
			Queue: queueLength, Unit: unitBytes, UnitTime: unitTime, Cold: o.Plan.Cold, From: coldFrom, Multiple: coldTimes, Window: coldWindow})
		if err != nil {
			return nil, err
		}
		return &inNode{n: n}, nil
	}
	script := filepath.Join(o.Dir, name+".script")
	var text strings.Builder
	for _, s := range steps {
		fmt.Fprintln(&text, s)
	}
	if err := os.WriteFile(script, []byte(text.String()), 0o644); err != nil {
		return nil, err
	}
	return o.process(addr, name, "node", "--listen", addr, "--name", name, "--record", record, "--script", script,
		"--epoch", fmt.Sprint(epoch.UnixMilli()), "--cores", fmt.Sprint(cores), "--queue", fmt.Sprint(queueLength),
		"--unit", fmt.Sprint(unitBytes), "--unit-time", unitTime.String(), "--cold", o.Plan.Cold.String(),
		"--from", fmt.Sprint(coldFrom), "--multiple", fmt.Sprint(coldTimes), "--window", coldWindow.String())
}

func (o *Options) startHead(i int, file, addr string) (part, error) {
	if len(o.Exe) == 0 {
		c, err := conf.Load(file)
		if err != nil {
			return nil, err
		}
		d, err := daemon.NewWith(nil, o.Core, c, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		h := &inHead{d: d, end: make(chan error, 1), ending: &o.ending}
		go func() { h.end <- d.Run() }()
		return h, nil
	}
	return o.process(addr, fmt.Sprint("head", i), append([]string{"serve", "--config", file}, o.HeadArgs...)...)
}

// press runs a flood in a process of its own, so that it does not take the
// clients' time, and returns what became of it.
func (o *Options) press(f flood.Options) (string, error) {
	var b strings.Builder
	if len(o.Exe) == 0 {
		r, err := flood.Run(f)
		if err != nil {
			return "", err
		}
		r.Flood.Write(&b, "")
		return strings.TrimSpace(b.String()), nil
	}
	r, err := flood.Press(f, o.Exe...)
	if err != nil {
		return "", err
	}
	r.Write(&b, "")
	return strings.TrimSpace(b.String()), nil
}

// watch sees when this process itself was held up, so that a late rig is told from
// a late head.
type watch struct {
	quit chan struct{}
	lags chan []audit.Span
}

const (
	watchEvery = 2 * time.Millisecond
	lagLeast   = 5 * time.Millisecond
)

func startWatch() *watch {
	w := &watch{make(chan struct{}), make(chan []audit.Span, 1)}
	go func() {
		var lags []audit.Span
		for last := time.Now(); ; {
			select {
			case <-w.quit:
				w.lags <- lags
				return
			case <-time.After(watchEvery):
			}
			now := time.Now()
			if late := now.Sub(last) - watchEvery; late >= lagLeast && len(lags) < 1<<16 {
				lags = append(lags, audit.Span{From: last.Add(watchEvery).UnixMicro(), To: now.UnixMicro()})
			}
			last = now
		}
	}()
	return w
}

func (w *watch) stop() []audit.Span {
	close(w.quit)
	return <-w.lags
}

type inNode struct {
	n    *standin.Node
	over bool
}

func (x *inNode) stop() error {
	if x.over {
		return nil
	}
	x.over = true
	return x.n.Close()
}
func (x *inNode) kill() { x.stop() }

type inHead struct {
	d      *daemon.Daemon
	end    chan error
	over   bool
	ending *sync.WaitGroup
}

func (x *inHead) stop() error {
	if x.over {
		return nil
	}
	x.over = true
	x.d.Stop()
	return <-x.end
}

// kill does not wait: the day goes on while the head ends.
func (x *inHead) kill() {
	x.d.Stop()
	if !x.over {
		x.over = true
		x.ending.Go(func() { <-x.end })
	}
}

// proc is a process that this run started, and its log.
type proc struct {
	*child.Process
	log *os.File
}

// process starts a process and waits until it listens.
func (o *Options) process(addr, name string, args ...string) (part, error) {
	log, err := os.OpenFile(filepath.Join(o.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p, err := child.Start(addr, log, append(slices.Clone(o.Exe), args...)...)
	if err != nil {
		log.Close()
		return nil, err
	}
	return &proc{p, log}, nil
}

func (x *proc) stop() error {
	defer x.log.Close()
	return x.Stop()
}

func (x *proc) kill() {
	x.Kill()
	x.log.Close()
}

// preload puts the day's objects on their nodes.
func preload(p *Plan, c *conf.Config, nodes []string) error {
	t := route.NewTable(c, nil)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	body := bytes.Repeat([]byte{'o'}, 4*unitBytes)
	errs := make(chan error)
	limit := make(chan struct{}, 16)
	for _, path := range p.Objects {
		go func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			at, err := t.Place(path)
			if err != nil {
				errs <- err
				return
			}
			req, _ := http.NewRequest("PUT", "http://"+nodes[at.Shard]+path, bytes.NewReader(body))
			req.Header.Set("traceparent", preloadTrace)
			resp, err := tr.RoundTrip(req)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode != 201 && resp.StatusCode != 204 {
					err = fmt.Errorf("preloading %s: %s", path, resp.Status)
				}
			}
			errs <- err
		}()
	}
	var all error
	for range p.Objects {
		all = errors.Join(all, <-errs)
	}
	return all
}

// preloadTrace marks what no client sent.
const preloadTrace = "00-0000000000000000000000000000feed-00000000000000aa-00"

func readEntries(file string) ([]standin.Entry, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []standin.Entry
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for line := 1; s.Scan(); line++ {
		var e standin.Entry
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, line, err)
		}
		if e.Trace != preloadTrace {
			out = append(out, e)
		}
	}
	return out, s.Err()
}

func writeClients(file string, list []audit.Client) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	for i := range list {
		if err := enc.Encode(&list[i]); err != nil {
			return err
		}
	}
	return errors.Join(w.Flush(), f.Close())
}
