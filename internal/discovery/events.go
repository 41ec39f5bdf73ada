package discovery

import (
	"fmt"
	"slices"
)

// findCall returns the call on a connection, or nil if the call has ended. Events of a connection
// without a call are ignored.
func (c *Client) findCall(conn int) *call {
	for _, k := range c.calls {
		if k.conn == conn {
			return k
		}
	}
	return nil
}

// Connected is called when a connection is established.
func (c *Client) Connected(now Time, conn int) {
	if k := c.findCall(conn); k != nil && k.state == dialing {
		k.state = ready
	}
}

// Closed is called when a connection was refused, or closed by the server.
func (c *Client) Closed(now Time, conn int) {
	if k := c.findCall(conn); k != nil {
		c.removeCall(k)
		c.handleCallFailure(now, k, ErrConnectionLost)
	}
}

// Data is called with bytes that were received on a connection. It does not retain p.
func (c *Client) Data(now Time, conn int, p []byte) {
	k := c.findCall(conn)
	if k == nil || len(p) == 0 {
		return
	}
	if !k.isRequestSent() {
		c.abort(now, k, ErrUnsolicitedData)
		return
	}
	if k.state == awaitingResponse {
		k.state = receiving
		k.firstByteAt = now
	}
	k.lastByteAt = now
	complete, err := k.response.write(p)
	switch {
	case err != nil:
		c.abort(now, k, err)
	case complete:
		c.handleCallCompletion(now, k)
	}
}

// expireCalls ends the calls whose deadline has passed.
func (c *Client) expireCalls(now Time) {
	for _, k := range slices.Clone(c.calls) {
		if k.state != ready && now >= k.deadline {
			c.status.CallsAbandoned++
			c.abort(now, k, ErrNoResponse)
		}
	}
}

// abort ends a call that failed while its connection is open.
func (c *Client) abort(now Time, k *call, cause error) {
	c.closeCall(k)
	c.handleCallFailure(now, k, cause)
}

// handleCallFailure records the error of a failed call, which is no longer under way, and schedules the
// next call.
func (c *Client) handleCallFailure(now Time, k *call, cause error) {
	c.list.handleCallFailure(k.isRequestSent(), cause)
	c.status.WatchHeldUntil = min(c.status.WatchHeldUntil, now)
	c.status.LastError = fmt.Errorf("discovery at %s: %w", c.addr, cause)
	c.schedule.handleCallFailure(now, k.startedAt)
}

// handleCallCompletion applies the list of a complete response. It ends all other calls, as none of them
// would bring a newer list sooner. The connection is reused for the next call if possible.
func (c *Client) handleCallCompletion(now Time, k *call) {
	list, err := k.response.list.finish()
	if err == nil {
		err = c.list.apply(k.kind, list, c.status.LastResponseAt)
	}
	if err != nil {
		c.abort(now, k, err)
		return
	}
	c.status.ListsReceived++
	c.status.Version = list.index
	c.status.LastResponseAt = now
	c.status.LastError = nil
	c.schedule.callSucceeded()
	for _, other := range slices.Clone(c.calls) {
		if other != k {
			c.status.CallsAbandoned++
			c.closeCall(other)
		}
	}
	if !k.response.isConnReusable() {
		c.closeCall(k)
		c.schedule.restart(now)
		return
	}
	k.reuse(k.startedAt + minCallInterval)
}
