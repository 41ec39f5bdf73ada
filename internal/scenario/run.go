package scenario

import (
	"bufio"
	"bytes"
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
	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/fakenode"
	"maddergap/internal/flood"
	"maddergap/internal/nodelist"
	"maddergap/internal/route"
	"maddergap/internal/subprocess"
)

// Options of a run.
type Options struct {
	Plan *Plan
	Dir  string // for files; records stay there
	// Exe is the program and its first arguments; with none, heads and nodes run
	// in this process, and heads are stopped where they would be killed.
	Exe          []string
	HeadArgs     []string                // further arguments of serve
	NewScheduler daemon.SchedulerFactory // in this process only
	Progress     io.Writer               // nil: none
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

func (o *Options) startNode(i int, addr string, epoch time.Time) (part, error) {
	name, record := fmt.Sprint("n", i), filepath.Join(o.Dir, fmt.Sprintf("node%d.jsonl", i))
	steps := o.Plan.Scripts[i]
	if len(o.Exe) == 0 {
		n, err := fakenode.Start(fakenode.Options{Listen: addr, Name: name, RecordFile: record, Epoch: epoch, Script: steps, Cores: cores,
			QueueLimit: queueLength, UnitBytes: unitBytes, UnitTime: unitTime, WarmupDuration: o.Plan.Cold, InitialFraction: coldFrom, OverloadFactor: coldTimes, OverloadWindow: coldWindow})
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
		c, err := config.Load(file)
		if err != nil {
			return nil, err
		}
		d, err := daemon.New(c, slog.New(slog.DiscardHandler), daemon.WithScheduler(o.NewScheduler))
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
	r, err := flood.RunProcess(f, o.Exe...)
	if err != nil {
		return "", err
	}
	r.Write(&b, "")
	return strings.TrimSpace(b.String()), nil
}

type inNode struct {
	n    *fakenode.Node
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
	*subprocess.Process
	log *os.File
}

// process starts a process and waits until it listens.
func (o *Options) process(addr, name string, args ...string) (part, error) {
	log, err := os.OpenFile(filepath.Join(o.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p, err := subprocess.Start(addr, log, append(slices.Clone(o.Exe), args...)...)
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
func preload(p *Plan, c *config.Config, nodes []string) error {
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
			at, err := t.Locate(path)
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

func readEntries(file string) ([]fakenode.Entry, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []fakenode.Entry
	s := bufio.NewScanner(f)
	s.Buffer(nil, 1<<20)
	for line := 1; s.Scan(); line++ {
		var e fakenode.Entry
		if err := json.Unmarshal(s.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, line, err)
		}
		if e.Traceparent != preloadTrace {
			out = append(out, e)
		}
	}
	return out, s.Err()
}

func writeClients(file string, list []audit.RequestRecord) error {
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
