// Package discovery follows a node list that is told over HTTP/1.1: the whole list
// first, then watches, each of which waits for what is newer than the version before.
// It is sans-I/O: bytes and clock readings go in, bytes and lists come out.
//
// What cannot be used (silence, a broken connection, a malformed or oversized list, a
// version that goes back) leaves the last good list in force. Where lists are pushed to an
// agent, calls overlap: the newest is never older than a bound, so that the list is had in
// time after an outage, whatever its length and phase (see pacing).
package discovery

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"maddergap/internal/gateway"
	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
)

// Time is a clock reading.
type Time = time.Duration

const never = Time(math.MaxInt64)

const dialTimeout = 500 * time.Millisecond

// Client follows one list. It is not safe for concurrent use.
type Client struct {
	addr    string
	pacing  pacing
	rand    *rand.Rand
	zones   zoneTable
	calls   []*call // in the order in which they began
	closing []int   // connections that are to be closed
	lastID  int
	next    Time // when another call is made
	pause   Time
	version int64
	known   bool // a whole list was had on this address
	behind  bool // a call was silent since, and what it had may be missing
	// base is a list that is known from before, until the first answer; nil: none.
	base   []nodelist.Node
	news   membership.Update
	have   bool // news
	status Status
}

// Status is what became of the calls so far.
type Status struct {
	Version        int64
	ListsReceived  int   // that were taken
	CallsSent      int   // that were made
	CallsAbandoned int   // of these, without an answer
	LastResponseAt Time  // when the last answer came whole, 0: none yet
	LastError      error // of the last call, nil: it brought a list
}

// New returns a client that asks at once. zones are the names of the settings, in their
// order; ask: lists are asked for, not pushed; the seed spreads pauses by chance.
func New(addr string, zones []string, ask bool, seed uint64) *Client {
	p := pushed
	if ask {
		p = asked
	}
	return &Client{addr: addr, pacing: p, rand: rand.New(rand.NewPCG(seed, 0x64697363)), zones: newZones(zones), pause: p.pauseMin}
}

// ResumeFrom has the first call ask for what changed since a list that is known from before, where
// lists are asked for. Guards against a service that is asked for whole lists by a fleet that
// starts, and falls behind what it is asked for then. It is called before the first Step.
func (c *Client) ResumeFrom(index int64, nodes []nodelist.Node) {
	if c.pacing.overlaps() || len(nodes) == 0 {
		return // an agent answers at no cost
	}
	c.base, c.version, c.known, c.behind = nodes, index, true, true
}

// SetAddress has the list asked for at another address, from the whole list on.
func (c *Client) SetAddress(now Time, addr string) {
	if addr == c.addr {
		return
	}
	c.addr = addr
	for len(c.calls) > 0 {
		c.end(c.calls[0], true)
	}
	c.base, c.known, c.behind = nil, false, false
	c.next, c.pause = now, c.pacing.pauseMin
}

// Step tells what to do next, and when to ask again at the latest.
func (c *Client) Step(now Time) (gateway.SourceOp, Time) {
	c.expire(now)
	if len(c.calls) >= c.pacing.most && now >= c.next && c.mayCall(now) {
		c.makeRoom()
	}
	if len(c.closing) > 0 {
		conn := c.closing[0]
		c.closing = c.closing[1:]
		return gateway.SourceOp{Conn: conn, Close: true}, 0
	}
	for _, k := range c.calls {
		if k.state == connected && now >= k.notBefore {
			return gateway.SourceOp{Conn: k.conn, Write: c.ask(k, now)}, 0
		}
	}
	if now >= c.next && c.mayCall(now) {
		return c.dial(now), 0
	}
	return gateway.SourceOp{}, c.wakeAt(now)
}

// mayCall tells whether nothing that is under way stands for another call: where calls do
// not overlap the one that is, else an answer that is coming in.
func (c *Client) mayCall(now Time) bool {
	if !c.pacing.overlaps() {
		return len(c.calls) == 0
	}
	return now >= c.heldOff()
}

// heldOff is until when an answer that is coming in stands for another call.
func (c *Client) heldOff() (until Time) {
	for _, k := range c.calls {
		if k.state == receiving {
			until = max(until, min(k.first+answering, k.progress+stalled))
		}
	}
	return until
}

// wakeAt is when there is something to do without an event.
func (c *Client) wakeAt(now Time) Time {
	at := never
	if c.pacing.overlaps() {
		at = max(c.next, c.heldOff())
	} else if len(c.calls) == 0 {
		at = c.next
	}
	for _, k := range c.calls {
		if k.state == connected {
			at = min(at, k.notBefore)
		} else {
			at = min(at, k.deadline)
		}
	}
	return max(at, now+1)
}

func (c *Client) dial(now Time) gateway.SourceOp {
	c.lastID++
	k := &call{conn: c.lastID, began: now, deadline: now + dialTimeout}
	c.behind = c.behind || len(c.calls) > 0 // what is under way is late
	c.calls = append(c.calls, k)
	c.booked(now)
	return gateway.SourceOp{Conn: k.conn, Dial: c.addr}
}

// booked sets when the call behind one that begins now is made.
func (c *Client) booked(now Time) {
	c.next = never
	if c.pacing.overlaps() {
		c.next = now + c.pacing.every
	}
}

// ask writes a call on a connection that stands.
func (c *Client) ask(k *call, now Time) []byte {
	k.state, k.base, k.whole = waiting, c.version, !c.known
	k.list.zones = c.zones
	c.status.CallsSent++
	hold := c.pacing.hold
	if c.pacing.spread > 0 {
		hold += Time(c.rand.Int64N(int64(c.pacing.spread)))
	}
	if c.behind {
		hold = 0
	}
	k.deadline = now + c.pacing.list
	if !k.whole {
		k.deadline = now + max(hold+c.pacing.answer, c.pacing.list)
	}
	if k.began == 0 { // on a connection that carried one before
		k.began = now
		c.booked(now)
	}
	return k.request(c.addr, hold)
}

// makeRoom gives up a call for the next one: not the oldest, which is waited for to its
// deadline. Guards against an agent that is slow, for which every call would be given up
// while its answer is on its way.
func (c *Client) makeRoom() {
	c.status.CallsAbandoned++
	c.behind = true
	c.end(c.calls[min(1, len(c.calls)-1)], true)
}

// expire gives up calls whose time is over.
func (c *Client) expire(now Time) {
	for _, k := range slices.Clone(c.calls) {
		if k.state != connected && now >= k.deadline {
			c.status.CallsAbandoned++
			c.failed(now, k, failure{why: errors.New("is silent"), missed: true})
		}
	}
}

// end forgets a call; open: its connection is to be closed.
func (c *Client) end(k *call, open bool) {
	c.calls = slices.DeleteFunc(c.calls, func(o *call) bool { return o == k })
	if open {
		c.closing = append(c.closing, k.conn)
	}
}

func (c *Client) find(conn int) *call {
	for _, k := range c.calls {
		if k.conn == conn {
			return k
		}
	}
	return nil
}

// Connected tells that a connection stands.
func (c *Client) Connected(now Time, conn int) {
	if k := c.find(conn); k != nil && k.state == dialing {
		k.state = connected
	}
}

// Closed tells that a connection is lost, or was not made.
func (c *Client) Closed(now Time, conn int) {
	if k := c.find(conn); k != nil {
		c.failed(now, k, failure{why: errors.New("closed the connection"), missed: k.state >= waiting, closed: true})
	}
}

// failure is how a call ended that brought nothing.
type failure struct {
	why    error
	missed bool // something may have been missed meanwhile
	closed bool // its connection is closed already
}

// failed ends a call that brought nothing. What changed since the last list is asked for next.
func (c *Client) failed(now Time, k *call, f failure) {
	c.end(k, !f.closed)
	c.behind = c.behind || f.missed
	c.status.LastError = fmt.Errorf("discovery at %s: %w", c.addr, f.why)
	c.rest(now, k)
}

// spoilt ends a call whose answer cannot be used: the whole list is next.
func (c *Client) spoilt(now Time, k *call, why error) {
	c.base, c.known = nil, false
	c.failed(now, k, failure{why: why, missed: true})
}

// rest sets when the call behind one that failed is made. Where calls overlap it is not put
// off by the failure, but may come sooner, by no more than a pause after the failed one.
func (c *Client) rest(now Time, k *call) {
	pause := c.pause
	c.pause = min(2*c.pause, c.pacing.pauseMax)
	if c.pacing.overlaps() {
		c.next = min(c.next, max(now, k.began+pause))
		return
	}
	c.next = now + pause/2 + Time(c.rand.Int64N(int64(pause)))
}

// Data tells bytes of a connection.
func (c *Client) Data(now Time, conn int, p []byte) {
	k := c.find(conn)
	switch {
	case k == nil || len(p) == 0:
		return
	case k.state < waiting:
		c.spoilt(now, k, errors.New("answered what was not asked"))
		return
	case k.state == waiting:
		k.state, k.first = receiving, now
	}
	k.progress = now
	done, err := k.data(p)
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		c.failed(now, k, failure{why: err})
	case err != nil:
		c.spoilt(now, k, err)
	case done:
		c.answered(now, k)
	}
}

// answered takes a whole answer. All other calls end with it, and its connection carries
// the next one.
func (c *Client) answered(now Time, k *call) {
	a, err := k.list.end()
	if err == nil {
		err = c.take(k, &a)
	}
	if err != nil {
		c.spoilt(now, k, err)
		return
	}
	c.status.LastResponseAt, c.status.LastError = now, nil
	for _, other := range slices.Clone(c.calls) {
		if other != k {
			c.status.CallsAbandoned++
			c.end(other, true)
		}
	}
	c.pause, c.behind = c.pacing.pauseMin, false
	if k.ends() {
		c.end(k, true)
		c.next = now
		return
	}
	k.again(k.began + spacing)
}

// take applies an answer.
func (c *Client) take(k *call, a *answer) error {
	switch {
	case !a.snapshot && k.whole:
		return errors.New("tells changes where the whole list was asked for")
	case a.snapshot && len(a.nodes) == 0: // guards against emptying the fleet
		return errors.New("tells a whole list of no node")
	case c.known && a.index < c.version:
		return fmt.Errorf("went back from version %d to %d", c.version, a.index)
	}
	c.version, c.known = a.index, true
	c.status.ListsReceived++
	c.status.Version = a.index
	if c.base != nil && !a.snapshot {
		a.nodes, a.snapshot = overlaid(c.base, a.nodes), true
	}
	c.base = nil
	if len(a.nodes) == 0 {
		return nil
	}
	if a.snapshot {
		c.news.Nodes, c.news.Full = nil, true
	}
	if !c.have {
		c.news.PreviousConfirmedAt = c.status.LastResponseAt
	}
	c.news.Nodes, c.have = append(c.news.Nodes, a.nodes...), true
	return nil
}

// overlaid is a list with changes of it applied.
func overlaid(base, changes []nodelist.Node) []nodelist.Node {
	changed := map[string]bool{}
	for _, n := range changes {
		changed[n.Name] = true
	}
	kept := slices.DeleteFunc(slices.Clone(base), func(n nodelist.Node) bool { return changed[n.Name] })
	return append(kept, changes...)
}

// TakeUpdate returns the news since the last call.
func (c *Client) TakeUpdate() (news membership.Update, ok bool) {
	news, ok = c.news, c.have
	c.news, c.have = membership.Update{}, false
	return news, ok
}

// Synced tells whether a whole list was had.
func (c *Client) Synced() bool { return c.status.ListsReceived > 0 }

// Status tells what became of the calls so far.
func (c *Client) Status() Status { return c.status }
