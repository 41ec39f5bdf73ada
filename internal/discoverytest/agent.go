// Package discoverytest is a stand-in for discovery: the agent on a head's machine, which is sent the
// node list and tells it over HTTP. Agents can be down, slow, or silent on open watches, and
// note from when each change counts for their head. It is for tests and rehearsals.
package discoverytest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
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

// Registry is the true list of nodes, of which each agent has what it was sent.
type Registry struct {
	mu      sync.Mutex
	index   int64
	entries map[string]discovery.Endpoint
	agents  []*Agent
}

// NewRegistry returns an empty list.
func NewRegistry() *Registry { return &Registry{index: 1, entries: map[string]discovery.Endpoint{}} }

// UpdateEndpoint changes an entry and sends the list to all agents.
func (g *Registry) UpdateEndpoint(change func(e *discovery.Endpoint), name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[name]
	change(&e)
	g.entries[name] = e
	g.index++
	g.send()
}

// ReplaceAll has the list be these entries, and sends it to all agents.
func (g *Registry) ReplaceAll(entries ...discovery.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = map[string]discovery.Endpoint{}
	for _, e := range entries {
		g.entries[e.Name] = e
	}
	g.index++
	g.send()
}

func (g *Registry) send() {
	for _, a := range g.agents {
		a.send(g.index, g.entries)
	}
}

// Agents are those that were asked for, in their order.
func (g *Registry) Agents() []*Agent {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.agents)
}

// Agent is discovery on one head's machine.
type Agent struct {
	head     int
	registry *Registry
	mu       sync.Mutex
	ln       net.Listener
	conns    map[net.Conn]bool
	serving  sync.WaitGroup
	epoch    int // of connections: those of before stay silent
	outages  int // that overlap; in one of them the agent is down
	down     bool
	slow     time.Duration
	index    int64
	entries  map[string]discovery.Endpoint
	changed  map[string]int64 // the version with which each entry came
	removed  int64            // the version with which an entry was taken out last
	usage    Usage
	answered time.Time // when the first answer behind the last return was written, zero: not yet
	notices  []audit.Notice
	starts   []audit.Notice                // of nodes
	noted    map[string]discovery.Endpoint // the list that the notices were taken of last
	history  []noting                      // of what changed the notices lately
	returned time.Time                     // when the agent came back last
	// countsFrom is when what is told in a reload or behind silent watches counts at the latest.
	countsFrom time.Time
}

// Usage is what an agent was asked for.
type Usage struct {
	Calls         int
	ResponseBytes int64 // of answers
}

// NewAgent returns a new agent for a head.
func (g *Registry) NewAgent(head int) *Agent {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &Agent{head: head, registry: g, conns: map[net.Conn]bool{}, changed: map[string]int64{}}
	g.agents = append(g.agents, a)
	a.send(g.index, g.entries)
	return a
}

// send gives the agent a list; one that is down does not get it.
func (a *Agent) send(index int64, entries map[string]discovery.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.down {
		a.have(index, entries)
	}
}

// have takes a list and notes from when each change of it counts.
func (a *Agent) have(index int64, entries map[string]discovery.Endpoint) {
	for name := range a.entries {
		if _, kept := entries[name]; !kept {
			a.removed = index
		}
	}
	for name, e := range entries {
		if e != a.entries[name] {
			a.changed[name] = index
		}
	}
	a.index, a.entries = index, maps.Clone(entries)
	a.note()
}

// noting is when notices were taken, and the list that they were taken of before.
type noting struct {
	at     time.Time
	before map[string]discovery.Endpoint
}

// note takes the notices of what the agent has.
func (a *Agent) note() {
	before := a.noted
	a.noted = a.entries
	now := time.Now()
	a.history = slices.DeleteFunc(a.history, func(n noting) bool { return n.at.Before(now.Add(-2 * reachable)) })
	if before != nil { // the first list is known from the start
		a.history = append(a.history, noting{at: now, before: before})
	}
	counts := now
	if a.countsFrom.After(counts) {
		counts = a.countsFrom
	}
	for name, e := range a.entries {
		up, was := e.Status == "up", before[name].Status == "up"
		if before != nil && e.Since != before[name].Since {
			a.starts = append(a.starts, audit.Notice{Head: a.head, Node: name, From: now.UnixMicro()})
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
func (a *Agent) end(name string) {
	for i := range a.notices {
		if n := &a.notices[i]; n.Node == name && n.To == 0 {
			n.To = micro()
		}
	}
}

// Listen opens the agent at a new address, and closes the old one a while later.
func (a *Agent) Listen() (string, error) {
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
	a.serving.Go(func() { a.accept(ln) })
	return ln.Addr().String(), nil
}

// AddressChangeDelivered notes that the head was told of the new address.
func (a *Agent) AddressChangeDelivered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.countsFrom = time.Now().Add(countsAfterReload)
}

// reachable is for how long an agent has to be up with a list for that to count: none can be
// sure to have asked it in a shorter time.
const reachable = 350 * time.Millisecond

// StartOutage makes the agent silent, for good on the connections that it has.
func (a *Agent) StartOutage() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outages++
	a.epoch++
	if a.down {
		return
	}
	a.down = true
	a.takeBack(time.Now().Add(-reachable))
}

// takeBack has what the agent got since a time count from its next return.
func (a *Agent) takeBack(since time.Time) {
	i := slices.IndexFunc(a.history, func(n noting) bool { return n.at.After(since) })
	if i < 0 {
		return
	}
	a.noted = a.history[i].before
	from := a.history[i].at.UnixMicro()
	a.history = a.history[:i]
	a.notices = slices.DeleteFunc(a.notices, func(n audit.Notice) bool { return n.From >= from })
	for k := range a.notices {
		if a.notices[k].To >= from { // it ended by what is taken back
			a.notices[k].To = 0
		}
	}
}

// EndOutage has it answer, with what there is by now.
func (a *Agent) EndOutage() {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outages--; a.outages > 0 {
		return
	}
	a.epoch, a.down = a.epoch+1, false
	a.returned, a.answered = time.Now(), time.Time{}
	a.have(a.registry.index, a.registry.entries)
}

// SilenceWatches has what is open stay silent; what it misses counts later.
func (a *Agent) SilenceWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch++
	a.countsFrom = time.Now().Add(countsAfterSilence)
}

// SetResponseDelay has each answer take so much longer, 0: no longer; what slow answers tell counts later.
func (a *Agent) SetResponseDelay(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slow = d
	if d > 0 {
		a.countsFrom = time.Now().Add(countsAfterSilence)
	}
}

// FullList is the list for a configuration: what the agent had last.
func (a *Agent) FullList() discovery.EndpointList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list()
}

func (a *Agent) list() discovery.EndpointList {
	index := a.index
	l := discovery.EndpointList{Index: &index, Snapshot: true, Endpoints: make([]discovery.Endpoint, 0, len(a.entries))}
	for _, e := range a.entries {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// changes are the entries that came after a version.
func (a *Agent) changes(from int64) discovery.EndpointList {
	index := a.index
	l := discovery.EndpointList{Index: &index, Endpoints: []discovery.Endpoint{}}
	for name, version := range a.changed {
		if version > from {
			l.Endpoints = append(l.Endpoints, a.entries[name])
		}
	}
	return l
}

func (a *Agent) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		a.serving.Go(func() { a.serve(c) })
	}
}

// idleAgent is after how long a connection to an agent is given up.
const idleAgent = 10 * time.Second

func (a *Agent) serve(c net.Conn) {
	defer c.Close()
	a.mu.Lock()
	epoch, dead := a.epoch, a.down
	a.conns[c] = true
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.conns, c)
	}()
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
func (a *Agent) answer(c net.Conn, r *http.Request, epoch int) bool {
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
func (a *Agent) state(epoch int, version int64) (alive, unchanged bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch == epoch && !a.down, a.index == version
}

// tell writes the whole list, or for a watch what changed.
func (a *Agent) tell(c net.Conn, watch bool, from int64) bool {
	a.mu.Lock()
	slow, list := a.slow, discovery.EndpointList{}
	if watch && from >= a.removed {
		list = a.changes(from)
	} else { // changes do not tell what is no longer on the list
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
	a.usage.Calls++
	a.usage.ResponseBytes += int64(n)
	if a.answered.IsZero() {
		a.answered = time.Now()
	}
	return err == nil
}

// Usage is what the agent was asked for so far.
func (a *Agent) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usage
}

// RecoveryTimes is when the agent came back last, and when it wrote its first answer since, zero
// where it has not.
func (a *Agent) RecoveryTimes() (returned, first time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.returned, a.answered
}

// Close closes the agent's listener and connections.
func (a *Agent) Close() {
	a.mu.Lock()
	a.epoch++ // no watch goes on
	if a.ln != nil {
		a.ln.Close()
	}
	for c := range a.conns {
		c.Close()
	}
	a.mu.Unlock()
	a.serving.Wait()
}

// Notices are the notices of a run: of nodes that drain, and of nodes that started.
func (g *Registry) Notices() (drains, starts []audit.Notice) {
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
