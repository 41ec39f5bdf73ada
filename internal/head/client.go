package head

import (
	"errors"
	"net/netip"
	"time"

	"maddergap/internal/admit"
	"maddergap/internal/conf"
	"maddergap/internal/dav"
	"maddergap/internal/http1"
	"maddergap/internal/route"
	"maddergap/logic"
)

// exchange is a request and what becomes of it.
type exchange struct {
	id      uint64 // 0: not given to the module
	client  *conn  // nil: it left, or has its answer whole
	listing *listing
	part    int // of the listing
	hdr     []byte
	req     http1.Request
	method  string
	place   route.Place
	job     route.Job
	began   Time // when its header was whole
	taken   Time // when the module was told
	due     Time // by when its answer must go out

	body     http1.Body
	held     []byte // of the body, for sending it (again)
	got      int64  // bytes of the body read
	whole    bool   // the body was read to its end
	spent    bool   // more of it was sent on than is held: it cannot be sent again
	invited  bool   // the client was told 100, or need not be
	upload   *attempt
	last     *attempt // the latest, nil: none yet
	sends    int
	live     int // attempts without an outcome
	final    bool
	left     Time // when its client was seen to go, 0: it is there
	reported bool // its end was told
	ran      ranAt
	timedOut bool
	answer   *attempt // whose answer goes to the client
	chunked  bool     // it goes out in chunks
	trace    [16]byte
	span     [8]byte
	parent   [8]byte
	sampled  bool
	status   int
	vol      *conf.Volume // as the configuration was when it came
	reason   string
	old      bool // kept for use again
	ask      Ask  // what the module is told of it
	entire   bool // its body is held whole before it is taken, up to BodyHold
}

// Welcome says what becomes of a new connection.
type Welcome struct {
	ID       ConnID // of one that is admitted
	Admitted bool
	// Answer is written to one that is not, as far as it goes at once; then its
	// sending side is shut, and it is closed after Linger, read or not. It is good
	// until the next call. With none the connection is closed without a word.
	Answer []byte
	Linger time.Duration
}

// Accept tells a new client connection of a listener. One that is not admitted
// gets no slot, no timer and no event more: turning it away is cheap.
func (h *Head) Accept(now Time, remote netip.AddrPort, listener int) Welcome {
	h.tick(now)
	id := h.nextID()
	v := h.adm.Arrive(h.now, uint64(id), listener, remote.Addr())
	if v.Way {
		if idle := h.conn(ConnID(v.Close)); idle != nil {
			idle.admitted = false
			h.gaveWay(idle)
		}
	}
	if !v.Accept {
		h.turned(remote, v.Reason, v.Tell)
		if !v.Tell {
			return Welcome{}
		}
		return Welcome{Answer: h.turnAnswer(v.Reason), Linger: linger}
	}
	c := h.newConn()
	c.remote, c.admitted = remote, true
	h.counts.Clients++
	h.by(c, h.now+h.c.HeaderTime)
	if h.stopping {
		h.by(c, h.now+firstTime)
	}
	for id, ok := h.adm.Pressed(h.now); ok; id, ok = h.adm.Pressed(h.now) {
		h.gaveWay(h.conn(ConnID(id)))
	}
	return Welcome{ID: c.id, Admitted: true}
}

// Waited tells that a new connection, and the request on it, may have waited so long to be
// accepted: its client's time runs since then.
func (h *Head) Waited(id ConnID, d time.Duration) {
	if c := h.conn(id); c != nil {
		c.waited = d
	}
}

// gaveWay closes a connection for room: idle, or with a request that was not taken.
func (h *Head) gaveWay(c *conn) {
	h.counts.GaveWay++
	if c.ex != nil {
		h.do(Close, c)
		h.clientGone(c, true)
		return
	}
	h.drop(c, Close)
}

// turned counts what was not admitted.
func (h *Head) turned(client netip.AddrPort, why admit.Reason, told bool) {
	h.counts.Turned[why]++
	if h.obs != nil {
		h.obs.Turned(client, why, told)
	}
}

// turnAnswer is the whole answer to a connection that is turned away (RFC 9110
// 15.6.4). It is made anew for each reason once a second, for its date.
func (h *Head) turnAnswer(why admit.Reason) []byte {
	t := &h.turnTexts[why]
	if s := h.origin.Add(h.now).Unix(); t.text == nil || t.of != s {
		text := notAdmitted(why) + "\n"
		b := h.appendDate(http1.AppendStatus(t.text[:0], 503))
		b = http1.AppendField(b, "Content-Type", []byte("text/plain; charset=utf-8"))
		b = appendRetryAfter(http1.AppendInt(b, "Content-Length", int64(len(text))), time.Second)
		t.text, t.of = append(append(b, "Connection: close\r\n\r\n"...), text...), s
	}
	return t.text
}

type turnText struct {
	text []byte
	of   int64 // second
}

func notAdmitted(why admit.Reason) string {
	return "too many connections (" + why.String() + "); trying again does no harm"
}

// giveUp answers a client whose request's header does not come, and ends with it.
func (h *Head) giveUp(c *conn, reason string) {
	ex := h.newExchange()
	ex.client, c.ex, ex.whole, ex.reason = c, ex, true, reason
	ex.req.Minor, ex.began = 1, h.now
	c.closing = true
	h.respond(ex, 408, []byte(reason+"\n"), nil)
}

// pipelineMax is how much a client may send ahead of its answer where its end means that it
// has gone: it is read on, as its end stands behind what it sent. What is more is read and
// dropped, and the connection ends with the answer. Guards against a client that has left
// unseen behind requests sent ahead: what it waited for would be sent on for nobody.
const pipelineMax = 16 << 10

// clientData uses bytes of a client and returns those it cannot use yet.
func (h *Head) clientData(c *conn, p []byte) []byte {
	for len(p) > 0 && !c.gone {
		ex := c.ex
		switch {
		case c.discard || c.closing && ex == nil || c.overrun:
			return nil
		case ex == nil:
			if p[0] == '\r' || p[0] == '\n' { // RFC 9112 2.2: empty lines before a request
				p, c.scanned = p[1:], 0
				continue
			}
			if c.reading == 0 {
				c.reading = h.now
				h.by(c, h.now+h.c.HeaderTime)
			}
			n := h.c.Header.Block(p, &c.scanned)
			if n == 0 {
				return p
			}
			c.reading = 0
			h.begin(c, p[:n])
			p = p[n:]
		case !ex.whole:
			if ex.upload == nil && len(ex.held) >= h.c.BodyHold && ex.id != 0 ||
				ex.upload != nil && len(ex.upload.conn.pending()) > h.room() {
				h.pause(c)
				h.by(c, never) // it waits for us
				return p
			}
			c.body.moved += int64(len(p))
			h.by(c, h.bodyBy(c))
			data, rest, err := ex.body.Next(p)
			if err != nil {
				h.badBody(c, ex, err)
				return nil
			}
			p = rest
			h.bodyData(c, ex, data)
		case h.way.ends() && len(p) <= pipelineMax: // pipelined: its turn comes with the answer
			return p
		case h.way.ends():
			c.overrun, c.closing = true, true
			return nil
		default:
			h.pause(c)
			return p
		}
	}
	return p
}

// begin takes a request's header.
func (h *Head) begin(c *conn, block []byte) {
	ex := h.newExchange()
	ex.client, c.ex, ex.began = c, ex, h.now
	ex.hdr = append(h.buffer(), block...)
	h.by(c, never)
	if err := http1.ParseRequest(ex.hdr, &ex.req, h.c.Header); err != nil {
		h.malformed(c, ex, err)
		return
	}
	r := &ex.req
	ex.method = method(r.Method)
	ex.body.Reset(&r.Message)
	ex.whole = ex.body.Done()
	ex.invited = !r.Expect
	if h.leaving {
		c.closing = true
	}
	if r.Close {
		c.closing = true
	}
	if c.requests++; h.c.Requests > 0 && c.requests >= h.c.Requests {
		c.closing = true // the last that this connection may have
	}
	h.endAdmitted(c)
	if ok, why := h.adm.Begin(h.now, uint64(c.id), h.held, ex.whole); !ok {
		c.closing = true
		h.turned(c.remote, why, true)
		h.own(ex, 503, notAdmitted(why))
		return
	}
	h.way.begin(h, c, ex)
}

// method returns a known method without allocating.
func method(b []byte) string {
	for _, m := range [...]string{"GET", "HEAD", "PUT", "PROPFIND", "OPTIONS", "DELETE", "MKCOL", "COPY", "MOVE", "PROPPATCH", "LOCK", "UNLOCK"} {
		if string(b) == m {
			return m
		}
	}
	return string(b)
}

func (h *Head) judged(c *conn, ex *exchange, v dav.Verdict) {
	switch v.Do {
	case dav.Answer:
		h.own(ex, v.Status, v.Reason)
	case dav.Options:
		ex.reason = "options"
		h.counts.Own++
		h.respond(ex, 200, nil, func(b []byte) []byte {
			b = http1.AppendField(b, "Allow", []byte(dav.Allow))
			b = http1.AppendField(b, "DAV", []byte(dav.Compliance))
			return http1.AppendField(b, "MS-Author-Via", []byte("DAV"))
		})
	case dav.ListRoot, dav.Gather:
		if ex.req.Length > int64(h.c.BodyHold) {
			h.own(ex, 413, "the body of a PROPFIND is longer than can be held")
			return
		}
		ex.listing = &listing{volumes: v.Do == dav.ListRoot}
		h.invite(c, ex)
		if ex.whole {
			h.list(ex)
		}
	case dav.Forward:
		ex.vol = &h.c.Volumes[ex.place.Volume]
		ex.job = h.job(ex, ex.req.Length)
		if ex.req.Length > int64(h.c.BodyHold) && ex.req.Expect {
			h.take(ex) // the body is invited when a node takes it
			return
		}
		h.invite(c, ex)
		if ex.whole {
			h.take(ex)
		}
	}
}

// job classifies a request whose body has the length, -1 where it is not told.
func (h *Head) job(ex *exchange, length int64) route.Job {
	return h.t.Job(route.Ask{Method: ex.method, Place: ex.place, Length: length, Range: string(ex.req.Get("range")),
		Prefer: string(ex.req.Get("prefer")), Key: string(ex.req.Get("idempotency-key"))})
}

// invite lets a client that waits for it send its body (RFC 9110 10.1.1).
func (h *Head) invite(c *conn, ex *exchange) {
	if !ex.invited && !ex.whole {
		c.out = append(c.out, "HTTP/1.1 100 Continue\r\n\r\n"...)
		h.flush(c)
	}
	ex.invited = true
	if !ex.whole {
		h.bodyOn(c)
	}
}

// bodyBy and answerBy are when a client is given up that sends its body, or takes
// its answer, too slowly.
func (h *Head) bodyBy(c *conn) Time {
	return c.body.by(h.now, h.c.StallTime, h.c.PaceAfter, h.c.BodyPace)
}

func (h *Head) answerBy(c *conn) Time {
	return c.answer.by(h.now, h.c.StallTime, h.c.PaceAfter, h.c.AnswerPace)
}

// bodyOn begins to wait for a client's body, or goes on after it waited for us.
func (h *Head) bodyOn(c *conn) {
	c.body = pace{from: h.now}
	h.by(c, h.bodyBy(c))
}

// room is how much of an answer or a body a connection may hold now.
func (h *Head) room() int { return h.adm.Room(h.held, h.c.Buffer) }

// endAdmitted tells admission that a request's answer went out, or that the next
// request has come. Not before: what is still to be written must not be closed for room.
func (h *Head) endAdmitted(c *conn) {
	if c.owed {
		c.owed = false
		h.adm.End(h.now, uint64(c.id), c.good)
	}
}

// bodyData takes a piece of a request's body.
func (h *Head) bodyData(c *conn, ex *exchange, data []byte) {
	ex.got += int64(len(data))
	ex.whole = ex.body.Done()
	ex.invited = true
	if ex.whole {
		h.by(c, never)
	}
	if ex.listing != nil && ex.id == 0 {
		if len(ex.held)+len(data) > h.c.BodyHold {
			h.own(ex, 413, "the body of a PROPFIND is longer than can be held")
			return
		}
		if ex.held = append(ex.held, data...); ex.whole {
			h.list(ex)
		}
		return
	}
	if ex.upload == nil {
		ex.held = append(ex.held, data...)
	} else {
		ex.spent = true
		h.uploadData(ex.upload, data)
	}
	switch {
	case ex.id != 0 || ex.final:
	case ex.entire && len(ex.held) > h.c.BodyHold:
		h.tooLong(c, ex)
	case ex.whole || !ex.entire && len(ex.held) >= h.c.BodyHold:
		h.take(ex)
	}
}

// tooLong answers a body that is held whole and too long for it.
func (h *Head) tooLong(c *conn, ex *exchange) {
	c.closing = true
	h.own(ex, 413, "the body is longer than any may be")
}

// take gives a request to the module: from here on it is owed one final answer.
func (h *Head) take(ex *exchange) {
	if fault := h.way.arrival(h, ex); fault != nil {
		h.own(ex, fault.Status, fault.Reason)
		return
	}
	h.lastID++
	ex.id, ex.taken = h.lastID, h.now
	a := &ex.ask.Arrival
	a.ID, a.Left = ex.id, h.left(a.Left)
	if c := ex.client; c != nil && c.requests == 1 {
		a.Left = max(a.Left-c.waited, 0)
	}
	ex.due = h.now + a.Left
	h.reqs[ex.id] = ex
	h.counts.Taken++
	if ex.client != nil {
		h.adm.Taken(h.now, uint64(ex.client.id))
	}
	h.events = append(h.events, *a)
}

// badBody ends a request whose body is malformed: nothing of it may run.
func (h *Head) badBody(c *conn, ex *exchange, err error) {
	h.counts.Bad++
	if ex.id != 0 && !ex.final {
		h.leave(ex)
	}
	c.closing, ex.whole = true, true
	var e *http1.Error
	if errors.As(err, &e) && ex.answer == nil {
		ex.reason = e.Reason
		h.respond(ex, e.Status, []byte(e.Reason+"\n"), nil)
		return
	}
	h.clientDrop(c)
}

// malformed answers a header that does not parse; what follows it cannot be read.
func (h *Head) malformed(c *conn, ex *exchange, err error) {
	h.counts.Bad++
	c.closing = true
	ex.whole = true
	ex.method, ex.req.Minor = "", 1
	status, reason := 400, err.Error()
	if e := (*http1.Error)(nil); errors.As(err, &e) {
		status, reason = e.Status, e.Reason
	}
	ex.reason = reason
	c.discard = true
	h.respond(ex, status, []byte(reason+"\n"), nil)
}

func (h *Head) clientEOF(c *conn) {
	c.eof, c.left = true, h.way.ends()
	switch {
	case c.discard || c.ex == nil && len(c.pending()) == 0 && !c.ready:
		h.drop(c, Close)
	case c.ex != nil && (!c.ex.whole || h.way.ends()): // in the middle of a body, or gone with the last byte
		h.do(Close, c)
		h.clientGone(c, true)
	} // else a half-close: what was asked is still owed
}

// clientGone ends what a client that left had under way; open: the driver has yet
// to close its connection.
func (h *Head) clientGone(c *conn, open bool) {
	ex := c.ex
	h.forget(c, open)
	if ex == nil {
		return
	}
	c.ex, ex.client = nil, nil
	if !ex.final {
		h.leave(ex)
	}
	h.recycle(ex)
}

// clientDrop resets a client whose answer cannot be brought to its end.
func (h *Head) clientDrop(c *conn) {
	if !c.gone {
		h.do(Abort, c)
		h.clientGone(c, true)
	}
}

// leave tells the module that a client left before its final answer. What runs
// at a node goes on, and its slot with it, unless the node cannot run it for
// want of its body, or was streaming to nobody.
func (h *Head) leave(ex *exchange) {
	if ex.listing != nil && ex.id == 0 {
		ex.listing.parent, ex.final = nil, true
		for i, p := range ex.listing.parts {
			if p != nil && !p.final {
				ex.listing.parts[i] = nil
				h.leave(p)
				h.recycle(p)
			}
		}
		return
	}
	if ex.id == 0 {
		return
	}
	ex.final, ex.left = true, h.now
	h.counts.Left++
	h.events = append(h.events, logic.Dropped{ID: ex.id})
	h.tell(ex, Left)
	if at := ex.upload; at != nil && !ex.whole {
		h.breakOff(at)
	} else if at := ex.answer; at != nil {
		h.breakOff(at)
	} else if at := ex.last; at != nil {
		h.cancel(at)
	}
}

func (h *Head) clientExpired(c *conn) {
	ex := c.ex
	switch {
	case c.discard, len(c.pending()) > 0: // it does not take its answer
		h.clientDrop(c)
	case ex != nil && !ex.whole && !ex.final: // it stopped in the middle of a body
		if ex.id != 0 {
			h.leave(ex)
		}
		if ex.answer != nil {
			h.clientDrop(c)
			return
		}
		c.closing, ex.whole, ex.reason = true, true, "the body stopped"
		h.counts.Bad++
		h.respond(ex, 408, []byte("the body did not come in time\n"), nil)
	case ex != nil:
	case c.reading > 0:
		h.counts.Bad++
		h.giveUp(c, "the header did not come in time")
	default:
		h.drop(c, Close)
	}
}

// clientWrote goes on with what waited for room.
func (h *Head) clientWrote(c *conn) {
	if len(c.pending()) > 0 {
		h.by(c, h.answerBy(c))
	} else {
		c.answer = pace{}
		h.endAdmitted(c)
	}
	if ex := c.ex; ex != nil {
		if ex.answer != nil && len(c.pending()) <= h.room()/2 {
			h.readOn(ex.answer.conn)
		}
		if len(c.pending()) == 0 && !ex.final && ex.whole {
			h.by(c, never)
		}
		return
	}
	if len(c.pending()) == 0 {
		h.idle(c)
	}
}

// answered lets go of a client's request whose answer is whole in the buffers.
func (h *Head) answered(ex *exchange) {
	c := ex.client
	if c == nil {
		h.recycle(ex)
		return
	}
	if !ex.whole { // RFC 9112 9.3: the rest of the body cannot be told from a request
		c.closing, c.discard = true, true
	}
	c.owed, c.good = true, ex.id != 0 && ex.answer != nil && ex.status < 400
	c.ex, ex.client = nil, nil
	h.recycle(ex)
	h.flush(c)
	if len(c.pending()) > 0 {
		h.by(c, h.answerBy(c))
	} else {
		h.endAdmitted(c)
	}
	if !c.ready && !c.gone {
		c.ready = true
		h.ready = append(h.ready, c)
	}
}

// linger is how long a client that still sends is listened to after its answer,
// so that a reset does not take the answer from it.
const linger = 2 * time.Second

// idle is a client with no request and nothing to be written.
func (h *Head) idle(c *conn) {
	switch {
	case c.ready: // nextRequest looks first
	case c.closing, c.discard, h.stopping, c.eof:
		h.lingeringClose(c)
	default:
		h.by(c, h.now+h.c.IdleTime)
	}
}

// lingeringClose ends a client's connection: its sending side first, and what still comes is read
// and dropped until the client has closed too. Guards against a close over bytes that
// were not read, which resets the connection and takes the last answer with it.
func (h *Head) lingeringClose(c *conn) {
	switch {
	case c.eof:
		h.drop(c, Close)
	case !c.shut:
		c.discard, c.shut = true, true
		h.do(Shut, c)
		h.resume(c)
		h.by(c, h.now+linger)
	}
}

// nextRequest looks at what a client sent while its last request was under way.
func (h *Head) nextRequest(c *conn) {
	c.ready = false
	if c.gone || c.ex != nil {
		return
	}
	if c.closing || h.stopping || c.eof && h.way.ends() { // the last answer was given, or no more is read
		c.in = c.in[:0]
	}
	if !c.discard {
		h.resume(c)
	}
	if p := c.in; len(p) > 0 {
		h.keep(c, h.clientData(c, p))
	}
	if !c.gone && c.ex == nil && len(c.pending()) == 0 {
		h.idle(c)
	}
}

func (h *Head) newExchange() *exchange {
	if n := len(h.oldEx); n > 0 {
		ex := h.oldEx[n-1]
		h.oldEx = h.oldEx[:n-1]
		ex.old = false
		return ex
	}
	return &exchange{}
}

// recycle keeps an exchange that nothing speaks of any more for use again.
func (h *Head) recycle(ex *exchange) {
	if ex.old || ex.client != nil || ex.live > 0 || (ex.id != 0 && !ex.final) || (ex.listing != nil && ex.id == 0 && !ex.final) {
		return
	}
	if ex.id != 0 {
		delete(h.reqs, ex.id)
	}
	ex.old = true // it may be told twice, and must be kept once
	h.release(ex.hdr)
	h.release(ex.held)
	if len(h.oldEx) < keepBufs {
		fields := ex.req.Fields[:0]
		*ex = exchange{old: true}
		ex.req.Fields = fields
		h.oldEx = append(h.oldEx, ex)
	}
}
