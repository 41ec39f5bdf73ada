package fakenode

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// Options of a node.
type Options struct {
	Listen        string
	Name          string
	RecordFile    string // file of the record, "" for none
	Epoch         time.Time
	Script        []Step
	Cores         int
	QueueLimit    int           // requests held at once, running or waiting
	UnitBytes     int64         // bytes that count one unit
	UnitTime      time.Duration // that a unit takes a core
	MaxBodyBytes  int64
	DiscardRecord bool // keep no record
	// A node that restarted bears From of its capacity at first and all of it
	// after Cold; sent more than Multiple times that over Window, it falls.
	WarmupDuration  time.Duration
	InitialFraction float64
	OverloadFactor  float64
	OverloadWindow  time.Duration
}

// Entry is a record's line; times are microseconds of Unix time, 0: never.
type Entry struct {
	Node           string  `json:"node"`
	RequestID      string  `json:"request"`
	Attempt        int     `json:"attempt"`
	Traceparent    string  `json:"trace,omitempty"`
	Method         string  `json:"method"`
	Path           string  `json:"path"`
	IdempotencyKey string  `json:"key,omitempty"` // Idempotency-Key
	Units          float64 `json:"units"`
	ReceivedAt     int64   `json:"in"`              // its header was read
	ExecutedAt     int64   `json:"ran,omitempty"`   // its effect took place
	StartedAt      int64   `json:"start,omitempty"` // a core took it up
	RespondedAt    int64   `json:"out,omitempty"`   // it was answered
	Status         int     `json:"status,omitempty"`
	BodyIncomplete bool    `json:"half,omitempty"` // its body did not come whole
	WarmingUp      bool    `json:"cold,omitempty"`
	Overloaded     bool    `json:"fell,omitempty"` // the node fell over with it
	Timeout        int64   `json:"told,omitempty"` // for how long it is waited for, by its own word
	Sequence       uint64  `json:"sequence"`
}

// Node is a running stand-in.
type Node struct {
	o     Options
	addr  string
	store *store

	mu       sync.Mutex
	inflight int
	held     map[*Entry]bool // without an end yet
	record   *bufio.Writer
	file     *os.File
	entries  []Entry // kept where there is no file
	started  time.Duration
	fallen   bool
	recent   []sent // units sent to it while cold
	sequence uint64
	server   *http.Server
	down     bool

	turn     chan struct{} // a slot for each core
	quit     chan struct{}
	followed chan struct{}
	done     sync.WaitGroup
}

type sent struct {
	at    time.Duration
	units float64
}

// Start starts a node.
func Start(o Options) (*Node, error) {
	o.Cores, o.QueueLimit = max(o.Cores, 1), max(o.QueueLimit, 1)
	if o.UnitBytes <= 0 {
		o.UnitBytes = 64 << 10
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = 2 << 30
	}
	if o.Epoch.IsZero() {
		o.Epoch = time.Now()
	}
	n := &Node{o: o, store: newStore(), held: map[*Entry]bool{}, started: -1, quit: make(chan struct{}), followed: make(chan struct{}),
		turn: make(chan struct{}, o.Cores)}
	if o.RecordFile != "" {
		f, err := os.Create(o.RecordFile)
		if err != nil {
			return nil, err
		}
		n.file, n.record = f, bufio.NewWriter(f)
	}
	if err := n.open(o.Listen); err != nil {
		return nil, err
	}
	go n.follow()
	return n, nil
}

// Addr is the address it listens on.
func (n *Node) Addr() string { return n.addr }

func (n *Node) now() time.Duration { return time.Since(n.o.Epoch) }

func (n *Node) open(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.addr = ln.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(n.serve), IdleTimeout: time.Minute, ErrorLog: nil}
	n.server, n.down = s, false
	n.mu.Unlock()
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		s.Serve(ln)
	}()
	return nil
}

func (n *Node) shut() {
	n.mu.Lock()
	s := n.server
	n.down = true
	n.mu.Unlock()
	s.Close()
}

// follow opens and shuts the listener by the script.
func (n *Node) follow() {
	defer close(n.followed)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-n.quit:
			return
		case <-tick.C:
		}
		at := n.now()
		n.mu.Lock()
		fallen, down := n.fallen, n.down
		n.mu.Unlock()
		restart := active(n.o.Script, Restart, at)
		away := fallen || restart != nil || active(n.o.Script, Refuse, at) != nil
		if away && !down {
			n.shut()
		}
		if restart != nil {
			n.mu.Lock()
			n.started, n.recent = restart.To, nil
			n.mu.Unlock()
		}
		if !away && down {
			if err := n.open(n.addr); err != nil {
				continue // the port is not free yet
			}
		}
	}
}

// Close stops the node and ends its record.
func (n *Node) Close() error {
	close(n.quit)
	<-n.followed // else it might open the listener again
	n.shut()
	n.done.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	for e := range n.held {
		n.write(*e)
	}
	n.held = nil
	if n.file == nil {
		return nil
	}
	return errors.Join(n.record.Flush(), n.file.Close())
}

// Entries returns the record of a node without a file, with what has no end yet.
func (n *Node) Entries() []Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := append([]Entry(nil), n.entries...)
	for e := range n.held {
		out = append(out, *e)
	}
	return out
}

// write adds a line to the record; n.mu is held.
func (n *Node) write(e Entry) {
	if n.o.DiscardRecord {
		return
	}
	if n.record == nil {
		n.entries = append(n.entries, e)
		return
	}
	b, _ := json.Marshal(e)
	n.record.Write(append(b, '\n'))
}

// capacity is what it does of a unit's work in a second, at a time.
func (n *Node) capacity(at time.Duration) (share float64, cold bool) {
	if n.started < 0 || at < n.started || n.o.WarmupDuration <= 0 || at >= n.started+n.o.WarmupDuration {
		return 1, false
	}
	return n.o.InitialFraction + (1-n.o.InitialFraction)*float64(at-n.started)/float64(n.o.WarmupDuration), true
}

// pushed books units sent to a cold node and tells whether it falls over.
func (n *Node) pushed(at time.Duration, units float64) (cold, fell bool) {
	share, cold := n.capacity(at)
	if !cold || n.o.OverloadFactor <= 0 || n.o.UnitTime <= 0 {
		return cold, false
	}
	n.recent = append(n.recent, sent{at, units})
	for len(n.recent) > 0 && n.recent[0].at < at-n.o.OverloadWindow {
		n.recent = n.recent[1:]
	}
	sum := 0.0
	for _, s := range n.recent {
		sum += s.units
	}
	able := share * float64(n.o.Cores) / n.o.UnitTime.Seconds() * n.o.OverloadWindow.Seconds()
	return true, sum > n.o.OverloadFactor*able
}

// serve takes a request through queue, faults and store.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	e := &Entry{Node: n.o.Name, RequestID: r.Header.Get("X-Request-Id"), Traceparent: r.Header.Get("Traceparent"), Method: r.Method,
		Path: r.URL.Path, IdempotencyKey: r.Header.Get("Idempotency-Key"), ReceivedAt: time.Now().UnixMicro()}
	e.Attempt, _ = strconv.Atoi(r.Header.Get("Maddergap-Attempt"))
	n.mu.Lock()
	n.sequence++
	e.Sequence = n.sequence
	full := n.inflight >= n.o.QueueLimit
	if !full {
		n.inflight++
	}
	n.held[e] = true
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		if !full {
			n.inflight--
		}
		if n.held[e] {
			delete(n.held, e)
			n.write(*e)
		}
		n.mu.Unlock()
	}()
	if full {
		n.answer(w, e, 503, http.Header{"Maddergap-Ran": {"no"}}, []byte("the queue is full\n"))
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, n.o.MaxBodyBytes+1))
	switch {
	case err != nil:
		n.set(func() { e.BodyIncomplete = true })
		panic(http.ErrAbortHandler) // what is half there is never run
	case int64(len(body)) > n.o.MaxBodyBytes:
		n.answer(w, e, 413, nil, []byte("the body is too large\n"))
		return
	}
	units := n.units(r, len(body))
	n.mu.Lock()
	e.Units = units
	e.WarmingUp, e.Overloaded = n.pushed(n.now(), units)
	n.fallen = n.fallen || e.Overloaded
	n.mu.Unlock()
	n.turn <- struct{}{}
	n.set(func() { e.StartedAt = time.Now().UnixMicro() })
	n.work(units)
	rec := &answer{header: http.Header{}}
	r.Body = io.NopCloser(bytes.NewReader(body))
	n.store.ServeHTTP(rec, r)
	n.set(func() { e.ExecutedAt = time.Now().UnixMicro() })
	<-n.turn
	at := n.now()
	if s := active(n.o.Script, Silent, at); s != nil {
		select {
		case <-r.Context().Done():
		case <-n.quit:
		}
		panic(http.ErrAbortHandler)
	}
	if active(n.o.Script, Reset, at) != nil {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		return
	}
	n.answer(w, e, rec.status, rec.header, rec.body.Bytes())
}

func (n *Node) set(f func()) {
	n.mu.Lock()
	f()
	n.mu.Unlock()
}

// work takes as long as units take: stands still in a pause, and is slower when
// slow or cold.
func (n *Node) work(units float64) {
	left := units * float64(n.o.UnitTime)
	for left > 0 || active(n.o.Script, Pause, n.now()) != nil {
		at := n.now()
		if s := active(n.o.Script, Pause, at); s != nil {
			if !n.sleep(min(s.To-at, 20*time.Millisecond)) {
				return
			}
			continue
		}
		n.mu.Lock()
		speed, _ := n.capacity(at)
		n.mu.Unlock()
		if s := active(n.o.Script, Slow, at); s != nil {
			speed /= s.Factor
		}
		d := time.Duration(math.Min(left/speed, float64(20*time.Millisecond)))
		if !n.sleep(d) {
			return
		}
		left -= float64(n.now()-at) * speed
	}
}

func (n *Node) sleep(d time.Duration) bool {
	select {
	case <-n.quit:
		return false
	case <-time.After(max(d, 50*time.Microsecond)):
		return true
	}
}

func (n *Node) units(r *http.Request, body int) float64 {
	size := int64(body)
	if r.Method == "GET" {
		size = n.store.size(r.URL.Path)
		var from, to int64
		if _, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &from, &to); err == nil && to >= from {
			size = min(size, to-from+1)
		}
	}
	return max(1, math.Ceil(float64(size)/float64(n.o.UnitBytes)))
}

// answer writes an answer with the load report and ends the entry.
func (n *Node) answer(w http.ResponseWriter, e *Entry, status int, h http.Header, body []byte) {
	for k, v := range h {
		w.Header()[k] = v
	}
	n.mu.Lock()
	held := n.inflight
	e.Status = status
	n.mu.Unlock()
	w.Header().Set("endpoint-load-metrics", "TEXT named_metrics.inflight="+strconv.Itoa(held))
	if w.Header().Get("Content-Length") == "" && status != 204 && status != 304 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, err := w.Write(body)
	n.set(func() {
		if err == nil || errors.Is(err, http.ErrBodyNotAllowed) {
			e.RespondedAt = time.Now().UnixMicro()
		}
	})
}

// answer holds what the store said until it is time to say it.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header { return a.header }

func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

func (a *answer) Write(p []byte) (int, error) {
	a.WriteHeader(200)
	return a.body.Write(p)
}
