package gateway

import (
	"time"

	"maddergap/scheduler"
)

// attempt is one sending of a request to a node.
type attempt struct {
	ex        *exchange
	number    int
	node      string
	conn      *conn
	began     Time
	beginBy   Time // it must begin before that, 0: at any time
	written   bool // something of it went out
	sent      bool // all of it was handed to the connection
	ended     bool
	stalled   bool // the head's own machine holds it up
	chunked   bool // its body goes out in chunks
	begun     bool // the module was told that its answer streams
	verdict   scheduler.Outcome
	discarded int64 // bytes of an answer that nobody is given
	report    float64
	reports   bool
	status    int
	timeout   time.Duration // for how long it tells the node that it is waited for, 0: it does not
	span      [8]byte
	buffered  bool   // its answer is held whole before any of it is passed on
	body      []byte // so much of it
	stall     Time   // for which it may stand still
}

// out tells whether all of it was written.
func (at *attempt) out() bool { return at.sent && len(at.conn.pending()) == 0 }

// end tells the module how an attempt ended.
func (h *Gateway) end(at *attempt, o scheduler.Outcome) {
	if at.ended {
		return
	}
	at.ended = true
	ex := at.ex
	h.mayRun(at, o)
	h.buffers.responseBytes -= int64(len(at.body))
	h.buffers.put(at.body)
	at.body = nil
	ex.attempts.inFlight--
	if ex.attempts.upload == at {
		ex.attempts.upload = nil
	}
	h.events = append(h.events, scheduler.AttemptEnded{ID: ex.id, Attempt: at.number, Node: at.node, Outcome: o, Duration: h.clock.now - at.began,
		Responded: ex.answer.final, BodyConsumed: ex.body.spent, ReportedLoad: at.report, HasLoadReport: at.reports})
	if h.observer != nil {
		h.span = Span{Request: h.ids.requestID(ex.id), Trace: ex.trace.id, ID: at.span, Parent: ex.trace.span, Sampled: ex.trace.sampled,
			Start: at.began, End: h.clock.now, Method: ex.method, Path: ex.place.Path, Volume: ex.ask.Arrival.Volume,
			Class: h.config.Scheduler.Classes[ex.ask.Arrival.Class].Name, Status: at.status, Attempt: at.number, Node: at.node, AttemptOutcome: o}
		h.observer.Attempt(&h.span)
	}
	h.recycle(ex)
}

// broken ends a connection that cannot be used further, and its attempt.
func (h *Gateway) broken(c *conn, o scheduler.Outcome) {
	at := c.at
	c.at = nil
	h.drop(c, Abort)
	if at != nil {
		if at.verdict != scheduler.OK && c.inBody {
			o = at.verdict // its status was read
		}
		h.end(at, o)
	}
}

// breakOff ends an attempt that is of no use any more.
func (h *Gateway) breakOff(at *attempt) {
	if !at.ended {
		h.broken(at.conn, scheduler.Cancelled)
	}
}

// cancel ends an attempt of which nothing, or not all, has gone out: it never ran, and
// begins for nobody. One that is out goes on to its outcome. A connection that is still
// coming up is kept for the next request.
func (h *Gateway) cancel(at *attempt) {
	c := at.conn
	switch {
	case at.ended || c == nil || at.out():
	case c.connected:
		h.broken(c, scheduler.Cancelled)
	default:
		c.at = nil
		h.end(at, scheduler.Superseded)
	}
}
