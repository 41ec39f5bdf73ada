// Package discovery implements the client of a discovery service over HTTP/1.1. It requests the
// full list of storage nodes first and then watches it: a watch is a call that the server holds
// until there are changes. The package does no I/O and reads no clock. The caller passes in
// connection events and clock readings, and gets operations on connections and membership updates.
//
// A failed call (no response, a lost connection, a malformed or oversized list, a stale index)
// leaves the last good list in effect.
//
// The files are: client.go, the interface to the gateway; events.go, the handling of connection
// events; schedule.go and policy.go, the times of calls; list_state.go, the choice of the next
// request; call.go, requests and responses; list.go and list_decoder.go, the list format.
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

// Client follows the endpoint list of one server. It implements gateway.MembershipSource and is
// not safe for concurrent use.
type Client struct {
	addr     string // host:port of the server
	schedule callSchedule
	list     listState
	zones    zoneTable
	// calls holds the calls under way, oldest first. Each has a connection of its own.
	calls        []*call
	connsToClose []int // numbers of connections without a call that Step has to close
	lastConnID   int   // number of the latest connection
	status       Status
}

var _ gateway.MembershipSource = (*Client)(nil)

// Status holds the results of the calls so far.
type Status struct {
	Version        int64 // version of the last usable list
	ListsReceived  int   // number of usable lists
	CallsSent      int   // number of requests written
	CallsAbandoned int   // number of calls ended by their deadline or in favour of another call
	LastResponseAt Time  // time at which the last usable list was complete; 0 if there was none
	// WatchHeldUntil is the time until which the server may hold the first watch since the last
	// usable list. A failed call lowers it to the time of the failure. 0 if there was no watch.
	WatchHeldUntil Time
	LastError      error // error of the last failed call; nil if none failed since the last usable list
}

// New returns a client that makes its first call at the first Step. zones holds the zone names of
// the settings in their order. poll is set if the server is a service that all instances poll, and
// not an agent on this machine. seed seeds the jitter.
func New(addr string, zones []string, poll bool, seed uint64) *Client {
	policy := agentPolicy
	if poll {
		policy = pollPolicy
	}
	return &Client{addr: addr, schedule: newCallSchedule(policy, seed), zones: newZoneTable(zones)}
}

// ResumeFrom makes the first call to a polled service request the changes since a list that is
// known from before the start, instead of the full list. If all instances started together and
// requested full lists, they would overload the service, and their lists would be out of date for
// seconds. An agent responds at no cost, so the full list is requested from it regardless.
// ResumeFrom has to be called before the first Step.
func (c *Client) ResumeFrom(version int64, nodes []nodelist.Node) {
	if c.schedule.policy.allowsOverlap() || len(nodes) == 0 {
		return
	}
	c.list.resume(version, nodes)
}

// SetAddress changes the address of the server (host:port). It ends the calls to the old address.
// The first call to the new one requests the full list, as versions of two servers are not
// comparable.
func (c *Client) SetAddress(now Time, addr string) {
	if addr == c.addr {
		return
	}
	c.addr = addr
	for len(c.calls) > 0 {
		c.closeCall(c.calls[0])
	}
	c.list.requireFullList()
	c.schedule.restart(now)
}

// NodesFromList validates a list, for instance from a configuration, and converts its endpoints to
// nodes. One unusable endpoint fails the whole list. Errors wrap ErrMalformedList or ErrListTooLarge.
func (c *Client) NodesFromList(l *EndpointList) ([]nodelist.Node, error) { return c.zones.convert(l) }

// TakeUpdate returns the changes since it was last called. ok is false if there are none.
func (c *Client) TakeUpdate() (update membership.Update, ok bool) { return c.list.takePending() }

// Synced reports whether a usable list has ever been received.
func (c *Client) Synced() bool { return c.status.ListsReceived > 0 }

// Status returns the results of the calls so far.
func (c *Client) Status() Status { return c.status }

// Step returns the next operation on a connection. If there is none, it returns the zero SourceOp
// and the time by which Step has to be called again, unless an event makes that necessary before.
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
	if len(c.calls) > 0 { // their responses are late and may never come
		c.list.markStale()
	}
	c.lastConnID++
	k := &call{conn: c.lastConnID, state: dialing, startedAt: now, deadline: now + dialTimeout}
	c.calls = append(c.calls, k)
	c.schedule.callStarted(now)
	return gateway.SourceOp{Conn: k.conn, Dial: c.addr}
}

// sendRequest returns the request to write for a call that is ready, and marks it as written.
func (c *Client) sendRequest(now Time, k *call) []byte {
	// The hold is drawn for every kind of request, so that the sequence of random numbers, and with
	// it a run with a fixed seed, does not depend on the responses.
	hold := c.schedule.hold()
	k.kind = c.list.nextRequest()
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

// abandonSecondOldest ends the second oldest call, or the only one, to make room for the next. The
// oldest call is kept until its deadline. Otherwise, with a slow agent, every call would be
// abandoned before its response arrives, and no list would ever be received.
func (c *Client) abandonSecondOldest() {
	c.status.CallsAbandoned++
	c.list.markStale()
	c.closeCall(c.calls[min(1, len(c.calls)-1)])
}

// removeCall removes a call from the calls under way.
func (c *Client) removeCall(k *call) {
	c.calls = slices.DeleteFunc(c.calls, func(other *call) bool { return other == k })
}

// closeCall removes a call from the calls under way and schedules its connection to be closed.
func (c *Client) closeCall(k *call) {
	c.removeCall(k)
	c.connsToClose = append(c.connsToClose, k.conn)
}
