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

// The fields of requests and responses that the node has in common with the gateway.
const (
	attemptHeader    = "Maddergap-Attempt"     // number of the attempt
	ranHeader        = "Maddergap-Ran"         // "no" in the response to a request that was not executed
	loadReportHeader = "endpoint-load-metrics" // requests in flight, in each response
)

// serve takes a request through queue, processing, store and faults.
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
		// net/http's way to end the connection without a response. A request without all of its
		// body is never executed.
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

func (n *Node) newEntry(r *http.Request) *Entry {
	attempt, _ := strconv.Atoi(r.Header.Get(attemptHeader)) // 0 where there is none
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

// admit records a request and reports whether the queue has a place for it.
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

// finish ends a request, however that came about.
func (n *Node) finish(e *Entry, admitted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if admitted {
		n.inFlight--
	}
	n.record.finish(e)
}

// update changes an entry in progress, which the record may be read for meanwhile.
func (n *Node) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// units is the work of a request: its size, or that of what it reads, and at least one unit.
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

// countLoad counts the work of a request against what a node that is warming up bears.
func (n *Node) countLoad(e *Entry, units float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e.Units = units
	e.WarmingUp, e.Overloaded = n.warmup.receive(&n.options, n.elapsed(), units)
	n.failed = n.failed || e.Overloaded
}

// execute waits for a core, takes the time of the request's work and executes it in the store.
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

// deliver responds, unless a fault keeps the node from it.
func (n *Node) deliver(w http.ResponseWriter, r *http.Request, e *Entry, response *bufferedResponse) {
	at := n.elapsed()
	switch {
	case n.options.Script.active(Silent, at) != nil:
		select {
		case <-r.Context().Done():
		case <-n.closing:
		}
		panic(http.ErrAbortHandler) // net/http's way to end the connection without a response
	case n.options.Script.active(Reset, at) != nil:
		resetConn(w)
	default:
		n.respond(w, e, response.status, response.header, response.body.Bytes())
	}
}

// resetConn closes the connection with a reset in place of an orderly end.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// respond writes a response with the load report, and records it.
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
