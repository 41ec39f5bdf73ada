package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/discovery"
)

// Times of the protocol on when a change counts as notified.
const (
	countsAfterSilence = 6 * time.Second
	countsAfterReload  = 4 * time.Second
)

// micro is the time of the records.
func micro() int64 { return time.Now().UnixMicro() }

// registry is the true list of nodes, of which each agent has what it was sent.
type registry struct {
	mu      sync.Mutex
	index   int64
	entries map[string]discovery.Entry
	agents  []*agent
}

func newRegistry() *registry { return &registry{index: 1, entries: map[string]discovery.Entry{}} }

// set changes an entry and sends the list to all agents.
func (g *registry) set(change func(e *discovery.Entry), name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[name]
	change(&e)
	g.entries[name] = e
	g.index++
	for _, a := range g.agents {
		a.send(g.index, g.entries)
	}
}

// agent is discovery on one head's machine.
type agent struct {
	head     int
	registry *registry
	mu       sync.Mutex
	ln       net.Listener
	epoch    int // of connections: those of before stay silent
	outages  int // that overlap; in one of them the agent is down
	down     bool
	slow     time.Duration
	index    int64
	entries  map[string]discovery.Entry
	changed  map[string]int64 // the version with which each entry came
	calls    int
	bytes    int64 // of answers
	notices  []audit.Notice
	starts   []audit.Notice // of nodes
	// returned and returnedWith are when the agent came back last, and what it had before.
	returned     time.Time
	returnedWith map[string]discovery.Entry
	// countsFrom is when what is told in a reload or behind silent watches counts at the latest.
	countsFrom time.Time
}

func (g *registry) agent(head int) *agent {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &agent{head: head, registry: g, changed: map[string]int64{}}
	g.agents = append(g.agents, a)
	a.send(g.index, g.entries)
	return a
}

// send gives the agent a list; one that is down does not get it.
func (a *agent) send(index int64, entries map[string]discovery.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.down {
		a.have(index, entries)
	}
}

// have takes a list and notes from when each change of it counts.
func (a *agent) have(index int64, entries map[string]discovery.Entry) {
	counts := time.Now()
	if a.countsFrom.After(counts) {
		counts = a.countsFrom
	}
	before := a.entries
	a.index, a.entries = index, map[string]discovery.Entry{}
	for name, e := range entries {
		a.entries[name] = e
		if e != before[name] {
			a.changed[name] = index
		}
		up, was := e.Status == "up", before[name].Status == "up"
		if before != nil && e.Since != before[name].Since {
			a.starts = append(a.starts, audit.Notice{Head: a.head, Node: name, From: time.Now().UnixMicro()})
		}
		switch {
		case was && !up:
			a.notices = append(a.notices, audit.Notice{Head: a.head, Node: name, From: counts.UnixMicro()})
		case !was && up:
			a.end(name)
		}
	}
}

// end ends the notice of a node that serves again.
func (a *agent) end(name string) {
	for i := range a.notices {
		if n := &a.notices[i]; n.Node == name && n.To == 0 {
			n.To = micro()
		}
	}
}

// listen opens the agent at a new address, and closes the old one a while later.
func (a *agent) listen() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a.mu.Lock()
	old := a.ln
	a.ln = ln
	a.mu.Unlock()
	if old != nil {
		old.Close()
	}
	go a.accept(ln)
	return ln.Addr().String(), nil
}

// moved notes that the head was told of the new address.
func (a *agent) moved() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.countsFrom = time.Now().Add(countsAfterReload)
}

// reachable is for how long an agent has to be back for what it got then to count: none can
// ask it in a shorter time.
const reachable = 350 * time.Millisecond

// goDown makes the agent silent, for good on the connections that it has.
func (a *agent) goDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outages++
	if a.epoch++; a.down {
		return
	}
	a.down = true
	if time.Since(a.returned) < reachable {
		a.takeBack()
	}
}

// takeBack has what the agent got at its last return count from the next one.
func (a *agent) takeBack() {
	from := a.returned.UnixMicro()
	a.notices = slices.DeleteFunc(a.notices, func(n audit.Notice) bool { return n.From >= from })
	a.entries = a.returnedWith
}

// comeBack has it answer, with what there is by now.
func (a *agent) comeBack() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outages--; a.outages > 0 {
		return
	}
	a.epoch, a.down = a.epoch+1, false
	a.returned, a.returnedWith = time.Now(), a.entries
	a.have(a.registry.index, a.registry.entries)
}

// silenceWatches has what is open stay silent; what it misses counts later.
func (a *agent) silenceWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch++
	a.countsFrom = time.Now().Add(countsAfterSilence)
}

func (a *agent) setSlow(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slow = d
	if d > 0 {
		a.countsFrom = time.Now().Add(countsAfterSilence)
	}
}

// known is the list for a configuration: what the agent had last.
func (a *agent) known() discovery.List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list()
}

func (a *agent) list() discovery.List {
	index := a.index
	l := discovery.List{Index: &index, Snapshot: true, Endpoints: make([]discovery.Entry, 0, len(a.entries))}
	for _, e := range a.entries {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// changes are the entries that came after a version.
func (a *agent) changes(from int64) discovery.List {
	index := a.index
	l := discovery.List{Index: &index, Endpoints: []discovery.Entry{}}
	for name, version := range a.changed {
		if version > from {
			l.Endpoints = append(l.Endpoints, a.entries[name])
		}
	}
	return l
}

func (a *agent) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go a.serve(c)
	}
}

// idleAgent is after how long a connection to an agent is given up.
const idleAgent = 10 * time.Second

func (a *agent) serve(c net.Conn) {
	defer c.Close()
	a.mu.Lock()
	epoch, dead := a.epoch, a.down
	a.mu.Unlock()
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(idleAgent))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if dead = dead || !a.answer(c, r, epoch); dead {
			continue
		}
	}
}

// answer answers a call and tells whether it did: not on a connection of before an outage.
func (a *agent) answer(c net.Conn, r *http.Request, epoch int) bool {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	watch := err == nil
	hold, _ := time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms")
	for until := time.Now().Add(hold); ; time.Sleep(3 * time.Millisecond) {
		alive, unchanged := a.state(epoch, from)
		if !alive {
			return false
		}
		if !watch || !unchanged || time.Now().After(until) {
			return a.tell(c, watch, from)
		}
	}
}

// state tells whether a connection of an epoch is answered, and whether a version is the last.
func (a *agent) state(epoch int, version int64) (alive, unchanged bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch == epoch && !a.down, a.index == version
}

// tell writes the whole list, or for a watch what changed.
func (a *agent) tell(c net.Conn, watch bool, from int64) bool {
	a.mu.Lock()
	slow, list := a.slow, discovery.List{}
	if watch {
		list = a.changes(from)
	} else {
		list = a.list()
	}
	a.mu.Unlock()
	time.Sleep(slow)
	text, err := json.Marshal(list)
	if err != nil {
		return false
	}
	n, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	a.bytes += int64(n)
	return err == nil
}

// close closes the agent's listener.
func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ln != nil {
		a.ln.Close()
	}
}

// taken are the notices of a run: of nodes that drain, and of nodes that started.
func (g *registry) taken() (drains, starts []audit.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.agents {
		a.mu.Lock()
		drains = append(drains, a.notices...)
		starts = append(starts, a.starts...)
		a.mu.Unlock()
	}
	return drains, starts
}
