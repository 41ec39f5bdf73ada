package head

import (
	"time"

	"maddergap/internal/http1"
	"maddergap/logic"
)

// way is what a protocol has of its own between clients, head and nodes: reading a
// request, writing an attempt, reading and passing on its answer. Connections,
// bounds, timers and the module's part are the same for all.
type way interface {
	// begin says what becomes of a request whose header was read and that was admitted.
	begin(h *Head, c *conn, ex *exchange)
	// arrival fills in what the module is told of a request; a fault is answered instead.
	arrival(h *Head, ex *exchange) *http1.Error
	// appendRequest writes an attempt's start line and fields, without its length.
	appendRequest(h *Head, b []byte, at *attempt) []byte
	// verdict reads the header of a node's answer.
	verdict(r *http1.Response) Verdict
	// answerHead and answerData take the answer that is to go to the client, and
	// answerDone brings it to its end. A false ends the attempt as broken.
	answerHead(h *Head, at *attempt) bool
	answerData(h *Head, at *attempt, data []byte) bool
	answerDone(h *Head, at *attempt)
	// cut is the outcome of an attempt whose connection broke when it had gone out in part.
	cut() logic.Outcome
	// early tells whether a node may answer before the request has come whole.
	early() bool
	// faulty is the outcome of one whose answer's body cannot be read.
	faulty() logic.Outcome
	retryAfter(b []byte, after time.Duration) []byte
	// ends tells whether a client that sends no more has left.
	ends() bool
	// ended tells of a final answer, or of a client that left.
	ended(ex *exchange, o Outcome)
}

// Verdict is what an answer's header says of its attempt.
type Verdict struct {
	Outcome logic.Outcome
	Report  float64 // requests that the node said it held or had waiting
	Reports bool    // it said so
}

// Ask is what a protocol reads out of a request's header.
type Ask struct {
	// Status and Reason are the head's own answer, 0: the request is the module's.
	Status int
	Reason string
	Close  bool   // no more is read of this client
	ID     string // the client's name for the request
	// Arrival is what the module is told, but for its ID. Left counts from the
	// request's last byte.
	Arrival logic.Arrival
}

// Protocol is one whose messages are small: requests and answers are held whole, and
// checked, before anything of them is passed on. It does no I/O and reads no clock.
type Protocol interface {
	Ask(r *http1.Request) Ask
	// Open takes a whole request's id; one that is taken already is answered with the fault.
	Open(a *Ask) *http1.Error
	// Closed tells how it ended.
	Closed(id string, o Outcome)
	// AppendRequest writes an attempt's start line and fields, without its length;
	// left is for how long the head will wait.
	AppendRequest(b []byte, r *http1.Request, left time.Duration) []byte
	Verdict(r *http1.Response) Verdict
	AppendRetryAfter(b []byte, after time.Duration) []byte
	// MostAnswer is how large an answer may be, and all answers that are held, and Stall
	// for how long an answer that has begun may stand still.
	MostAnswer() (one, all int64)
	Stall() time.Duration
}

// Speak has clients and nodes spoken to in another protocol than WebDAV. It is
// called before anything is told.
func (h *Head) Speak(p Protocol) { h.way = plain{p} }

// plain carries a Protocol.
type plain struct{ p Protocol }

func (w plain) begin(h *Head, c *conn, ex *exchange) {
	a := w.p.Ask(&ex.req)
	if a.Status != 0 {
		c.closing = c.closing || a.Close
		h.own(ex, a.Status, a.Reason)
		return
	}
	ex.ask, ex.entire = a, true
	if ex.req.Length > int64(h.c.BodyHold) {
		h.tooLong(c, ex)
		return
	}
	h.invite(c, ex)
	if ex.whole {
		h.take(ex)
	}
}

func (w plain) arrival(h *Head, ex *exchange) *http1.Error { return w.p.Open(&ex.ask) }

func (w plain) appendRequest(h *Head, b []byte, at *attempt) []byte {
	at.told = h.told(at.ex)
	return w.p.AppendRequest(b, &at.ex.req, at.told)
}

func (w plain) verdict(r *http1.Response) Verdict { return w.p.Verdict(r) }

// answerHead begins to hold an answer. One without a length of its own is whole when its
// node ends the connection in order; a reset, or silence, is no end.
func (w plain) answerHead(h *Head, at *attempt) bool {
	r := &at.conn.resp
	if one, _ := w.p.MostAnswer(); r.Length > one {
		return false
	}
	at.holds, at.stall, at.body = true, w.p.Stall(), h.buffer()
	return true
}

func (w plain) answerData(h *Head, at *attempt, data []byte) bool {
	one, all := w.p.MostAnswer()
	h.answers += int64(len(data)) // given back when the attempt ends
	at.body = append(at.body, data...)
	return int64(len(at.body)) <= one && h.answers <= all
}

func (w plain) answerDone(h *Head, at *attempt) {
	ex := at.ex
	if ex.final { // its client has left: the node did its part
		h.end(at, logic.OK)
		return
	}
	ex.final, ex.answer, ex.status = true, at, at.conn.resp.Status
	h.counts.Served++
	if cl := ex.client; cl != nil {
		if cl.out == nil {
			cl.out = h.buffer()
		}
		b := http1.AppendInt(http1.AppendStatus(cl.out, ex.status), "Content-Length", int64(len(at.body)))
		cl.out = append(h.endHeader(b, cl, ex), at.body...)
	}
	h.end(at, logic.OK)
	h.tell(ex, Served)
	h.answered(ex)
}

// cut: what did not come whole was not run.
func (w plain) cut() logic.Outcome { return logic.ConnectFailed }

func (w plain) early() bool { return false }

func (w plain) faulty() logic.Outcome { return logic.Failed }

func (w plain) retryAfter(b []byte, after time.Duration) []byte {
	return w.p.AppendRetryAfter(b, after)
}

func (w plain) ends() bool { return true }

func (w plain) ended(ex *exchange, o Outcome) {
	if ex.id != 0 {
		w.p.Closed(ex.ask.ID, o)
	}
}
