// Package discovery is a client of a discovery service over HTTP/1.1: it gets the full list of
// storage nodes first and then watches it, each watch being a call that the server holds until
// there are changes. It does no I/O and reads no clock: connections' events and clock readings
// go in, operations on connections and membership updates come out.
//
// A failed call (no response, a lost connection, a malformed or oversized list, a stale index)
// leaves the last good list in force.
//
// The files, by concern: client.go is the interface to the gateway, events.go what a
// connection's events do to its call, schedule.go and policy.go when calls are made,
// list_state.go what is asked for next, call.go the messages of a call, list.go and
// list_decoder.go the list's form.
package discovery

import (
	"slices"
	"time"

	"maddergap/internal/gateway"
	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
)

// Time is a reading of the gateway's monotonic clock.
type Time = time.Duration

// Client follows the list of one server. It is a gateway.MembershipSource and not safe for
// concurrent use.
type Client struct {
	addr     string // host:port of the server
	schedule callSchedule
	list     listState
	zones    zoneTable
	// calls are those under way, the oldest first. No two share a connection.
	calls        []*call
	connsToClose []int // connections without a call, to be closed
	lastConnID   int
	status       Status
}

var _ gateway.MembershipSource = (*Client)(nil)

// Status is what became of the calls so far.
type Status struct {
	Version        int64 // of the last list that was received
	ListsReceived  int   // usable ones
	CallsSent      int   // requests that were written
	CallsAbandoned int   // calls that ended without a response, by a deadline or for another call
	LastResponseAt Time  // when the last usable list was complete; 0: there was none
	// WatchHeldUntil is up to when the server may hold the first watch since the last response,
	// while nothing changes. A call that fails ends that. 0: there was no watch.
	WatchHeldUntil Time
	LastError      error // of the last call that ended; nil: it brought a usable list
}

// New returns a client whose first call is made at once. zones are the zone names of the
// settings, in their order; poll: the server is a service that all instances poll, rather than
// an agent on this machine; seed is that of the jitter.
func New(addr string, zones []string, poll bool, seed uint64) *Client {
	policy := agentPolicy
	if poll {
		policy = pollPolicy
	}
	return &Client{addr: addr, schedule: newCallSchedule(policy, seed), zones: newZoneTable(zones)}
}

// ResumeFrom has the first call to a polled service ask for the changes since a list that is
// known from before the start, in place of the full list. The failure guarded against is a fleet
// that starts as one: calls for full lists would overload the service, and every instance would
// be behind for seconds. An agent, which responds at no cost, is asked for the full list all the
// same. ResumeFrom has to be called before the first Step.
func (c *Client) ResumeFrom(version int64, nodes []nodelist.Node) {
	if c.schedule.policy.overlapping() || len(nodes) == 0 {
		return
	}
	c.list.resume(version, nodes)
}

// SetAddress follows the list at another address (host:port), from the full list on: versions
// of two servers cannot be compared. Calls to the old address end.
func (c *Client) SetAddress(now Time, addr string) {
	if addr == c.addr {
		return
	}
	c.addr = addr
	for len(c.calls) > 0 {
		c.endAndClose(c.calls[0])
	}
	c.list.discard()
	c.schedule.restart(now)
}

// NodesFromList checks a list, of a configuration for instance, and converts its endpoints. One
// unusable endpoint fails the whole list. Errors are ErrMalformedList and ErrListTooLarge.
func (c *Client) NodesFromList(l *EndpointList) ([]nodelist.Node, error) { return c.zones.nodesOf(l) }

// TakeUpdate returns what changed since it was last called; ok is false where nothing did.
func (c *Client) TakeUpdate() (update membership.Update, ok bool) { return c.list.takePending() }

// Synced reports whether a usable list was ever received.
func (c *Client) Synced() bool { return c.status.ListsReceived > 0 }

// Status returns what became of the calls so far.
func (c *Client) Status() Status { return c.status }

// Step returns the next operation on a connection. If that has none, the second value is when
// to call Step again at the latest, without an event before that.
func (c *Client) Step(now Time) (gateway.SourceOp, Time) {
	c.expireCalls(now)
	if len(c.calls) >= c.schedule.policy.maxCalls && c.schedule.mayStart(now, c.calls) {
		c.abandonSecondOldest()
	}
	if len(c.connsToClose) > 0 {
		conn := c.connsToClose[0]
		c.connsToClose = c.connsToClose[1:]
		return gateway.SourceOp{Conn: conn, Close: true}, 0
	}
	for _, k := range c.calls {
		if k.state == ready && now >= k.notBefore {
			return gateway.SourceOp{Conn: k.conn, Write: c.sendRequest(now, k)}, 0
		}
	}
	if c.schedule.mayStart(now, c.calls) {
		return c.dial(now), 0
	}
	return gateway.SourceOp{}, c.schedule.wakeAt(now, c.calls)
}

// dial starts a call on a new connection.
func (c *Client) dial(now Time) gateway.SourceOp {
	if len(c.calls) > 0 { // these are late, and may hang for good
		c.list.missedChanges()
	}
	c.lastConnID++
	k := &call{conn: c.lastConnID, state: dialing, startedAt: now, deadline: now + dialTimeout}
	c.calls = append(c.calls, k)
	c.schedule.callStarted(now)
	return gateway.SourceOp{Conn: k.conn, Dial: c.addr}
}

// sendRequest returns the request of a call whose connection is ready.
func (c *Client) sendRequest(now Time, k *call) []byte {
	// Drawn for every kind, so that the sequence of random draws, and with it a run at a seed, does
	// not depend on which responses came.
	hold := c.schedule.hold()
	k.kind = c.list.request()
	if k.kind != watchRequest {
		hold = 0
	}
	k.state = awaitingResponse
	k.deadline = now + c.schedule.timeout(k.kind, hold)
	k.response.list.zones = c.zones
	c.status.CallsSent++
	if k.kind == watchRequest && c.status.WatchHeldUntil <= c.status.LastResponseAt {
		c.status.WatchHeldUntil = now + hold
	}
	if k.startedAt == 0 { // on a reused connection
		k.startedAt = now
		c.schedule.callStarted(now)
	}
	return appendRequest(nil, k.kind, c.addr, c.list.version, hold)
}

// abandonSecondOldest gives up a call to make room for the next one. The oldest is spared, if there
// is another, and waited for until its deadline. The failure guarded against is a slow agent: every call would
// be given up while its response is on the way, and no list would ever come.
func (c *Client) abandonSecondOldest() {
	c.status.CallsAbandoned++
	c.list.missedChanges()
	c.endAndClose(c.calls[min(1, len(c.calls)-1)])
}

// end takes a call off those under way.
func (c *Client) end(k *call) {
	c.calls = slices.DeleteFunc(c.calls, func(other *call) bool { return other == k })
}

// endAndClose ends a call and has its connection closed.
func (c *Client) endAndClose(k *call) {
	c.end(k)
	c.connsToClose = append(c.connsToClose, k.conn)
}
