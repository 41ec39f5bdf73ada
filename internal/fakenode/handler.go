package fakenode

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Header fields that the node and the gateway exchange.
const (
	attemptHeader    = "Maddergap-Attempt"     // number of the attempt
	ranHeader        = "Maddergap-Ran"         // "no" in a 503, as the full queue prevented execution
	loadReportHeader = "endpoint-load-metrics" // number of requests in flight, in each response
)

// serve handles a request: it admits it to the queue, reads its body, executes it after the
// simulated processing time, and responds unless a fault prevents that.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	e := n.newEntry(r)
	admitted := n.admit(e)
	defer n.finish(e, admitted)
	if !admitted {
		n.respond(w, e, http.StatusServiceUnavailable, http.Header{ranHeader: {"no"}}, []byte("the queue is full\n"))
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, n.options.MaxBodyBytes+1))
	if err != nil {
		n.update(func() { e.BodyIncomplete = true })
		// A request whose body is incomplete is never executed. This panic makes net/http close
		// the connection without a response.
		panic(http.ErrAbortHandler)
	}
	if int64(len(body)) > n.options.MaxBodyBytes {
		n.respond(w, e, http.StatusRequestEntityTooLarge, nil, []byte("the body is too large\n"))
		return
	}
	n.countLoad(e, n.units(r, len(body)))
	response := n.execute(e, r, body)
	n.deliver(w, r, e, response)
}

// newEntry returns the record entry of a request that was received just now.
func (n *Node) newEntry(r *http.Request) *Entry {
	attempt, _ := strconv.Atoi(r.Header.Get(attemptHeader)) // 0 if missing
	return &Entry{
		Node:           n.options.Name,
		RequestID:      r.Header.Get("X-Request-Id"),
		Attempt:        attempt,
		Traceparent:    r.Header.Get("Traceparent"),
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		ReceivedAt:     time.Now().UnixMicro(),
	}
}

// admit starts the record entry of a request and reports whether the request is admitted to the
// queue.
func (n *Node) admit(e *Entry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.begin(e)
	if n.inFlight >= n.options.QueueLimit {
		return false
	}
	n.inFlight++
	return true
}

// finish removes an admitted request from the queue and completes its record entry. It is called
// for every request, also after a panic.
func (n *Node) finish(e *Entry, admitted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if admitted {
		n.inFlight--
	}
	n.record.finish(e)
}

// update changes the entry of a request in progress under the node's mutex, since Entries may read
// it at the same time.
func (n *Node) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// units returns the work of a request in units, rounded up and at least 1. It depends on the size of
// the body or, for a GET, of the resource or the requested range.
func (n *Node) units(r *http.Request, bodySize int) float64 {
	size := int64(bodySize)
	if r.Method == http.MethodGet {
		size = n.store.size(r.URL.Path)
		var first, last int64
		if _, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &first, &last); err == nil && last >= first {
			size = min(size, last-first+1)
		}
	}
	return max(1, math.Ceil(float64(size)/float64(n.options.UnitBytes)))
}

// countLoad records the units of a request. While the node is warming up it also checks whether
// the load received recently overloads the node, which then fails.
func (n *Node) countLoad(e *Entry, units float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e.Units = units
	e.WarmingUp, e.Overloaded = n.warmup.addLoad(&n.options, n.elapsed(), units)
	n.failed = n.failed || e.Overloaded
}

// execute waits for a free core, occupies it for the request's processing time and then executes
// the request in the store.
func (n *Node) execute(e *Entry, r *http.Request, body []byte) *bufferedResponse {
	n.cores <- struct{}{}
	defer func() { <-n.cores }()
	n.update(func() { e.StartedAt = time.Now().UnixMicro() })
	n.process(e.Units)
	r.Body = io.NopCloser(bytes.NewReader(body))
	response := newBufferedResponse(http.Header{})
	n.store.ServeHTTP(response, r)
	n.update(func() { e.ExecutedAt = time.Now().UnixMicro() })
	return response
}

// deliver sends the response of an executed request, unless the script has the node stay silent or
// reset the connection.
func (n *Node) deliver(w http.ResponseWriter, r *http.Request, e *Entry, response *bufferedResponse) {
	at := n.elapsed()
	switch {
	case n.options.Script.activeStep(Silent, at) != nil:
		select {
		case <-r.Context().Done():
		case <-n.closing:
		}
		panic(http.ErrAbortHandler) // makes net/http close the connection without a response
	case n.options.Script.activeStep(Reset, at) != nil:
		resetConn(w)
	default:
		n.respond(w, e, response.status, response.header, response.body.Bytes())
	}
}

// resetConn closes the connection with a TCP reset.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// respond writes a response with the load report and records its status and the time at which it
// was written.
func (n *Node) respond(w http.ResponseWriter, e *Entry, status int, header http.Header, body []byte) {
	for name, values := range header {
		w.Header()[name] = values
	}
	n.mu.Lock()
	inFlight := n.inFlight
	e.Status = status
	n.mu.Unlock()
	w.Header().Set(loadReportHeader, "TEXT named_metrics.inflight="+strconv.Itoa(inFlight))
	if w.Header().Get("Content-Length") == "" && status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return
	}
	n.update(func() { e.RespondedAt = time.Now().UnixMicro() })
}
