package gateway

import (
	"container/list"

	"maddergap/internal/admission"
)

// reasonNoBuffers is the text of the response to a request for which there is no memory.
const reasonNoBuffers = "no memory for this request; trying again does no harm"

// receivingClients holds the client connections whose request is still arriving: its header or its body
// is incomplete, and it was not submitted to the scheduler. Clients that send slowly, or stop in the
// middle, would otherwise occupy memory without a bound.
type receivingClients struct {
	oldestFirst list.List // of *clientConn
	bytes       int64     // capacity of the buffers of these requests
}

// receivingState is the place of a client connection in receivingClients.
type receivingState struct {
	element *list.Element // nil: no request is arriving
	bytes   int64         // share of the connection in receivingClients.bytes
}

// isReceiving reports whether a request is arriving on the connection.
func (c *clientConn) isReceiving() bool {
	if c.closed {
		return false
	}
	switch c.nextInput() {
	case inputHeader:
		return c.headerStartedAt > 0
	case inputBody:
		return c.req.id == 0 && !c.req.response.final
	default:
		return false
	}
}

// updateReceiving records whether a request is arriving on a connection, and the size of its buffers.
func (g *Gateway) updateReceiving(c *clientConn) {
	if !c.isReceiving() {
		g.receiving.remove(c)
		return
	}
	size := int64(cap(c.unread))
	if req := c.req; req != nil {
		size += int64(cap(req.rawHeader)+cap(req.body.data)) + req.fieldBytes
	}
	g.receiving.update(c, size)
}

func (r *receivingClients) update(c *clientConn, size int64) {
	state := &c.receiving
	if state.element == nil {
		state.element = r.oldestFirst.PushBack(c)
	}
	r.bytes += size - state.bytes
	state.bytes = size
}

func (r *receivingClients) remove(c *clientConn) {
	state := &c.receiving
	if state.element == nil {
		return
	}
	r.oldestFirst.Remove(state.element)
	r.bytes -= state.bytes
	*state = receivingState{}
}

// limitReceiving rejects the requests that have been arriving for longest, while admission finds that
// the arriving ones occupy too much memory.
func (g *Gateway) limitReceiving() {
	for g.admission.ReceivingExceeded(g.receiving.bytes) {
		oldest := g.receiving.oldestFirst.Front()
		if oldest == nil {
			return
		}
		c := oldest.Value.(*clientConn)
		g.receiving.remove(c)
		g.recordRejection(c.remote, admission.BufferLimit, true)
		g.rejectIncompleteRequest(c, reasonNoBuffers)
	}
}
