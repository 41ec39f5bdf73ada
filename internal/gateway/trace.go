package gateway

import (
	"encoding/hex"

	"go.opentelemetry.io/otel/trace"
)

// traceOf takes the trace of W3C Trace Context's traceparent, or begins one.
func (h *Gateway) traceOf(ex *exchange) {
	h.ids.fill(ex.trace.span[:])
	v := ex.req.Get("traceparent") // 00-32 hex-16 hex-2 hex
	if len(v) >= 55 && v[2] == '-' && v[35] == '-' && v[52] == '-' && (len(v) == 55 || v[0] != '0' || v[1] != '0') &&
		!(v[0] == 'f' && v[1] == 'f') {
		id, err1 := trace.TraceIDFromHex(string(v[3:35]))
		parent, err2 := trace.SpanIDFromHex(string(v[36:52]))
		var flags [1]byte
		_, err3 := hex.Decode(flags[:], v[53:55])
		if err1 == nil && err2 == nil && err3 == nil {
			ex.trace.id, ex.trace.parent, ex.trace.sampled = id, parent, flags[0]&1 != 0
			return
		}
	}
	h.ids.fill(ex.trace.id[:8])
	h.ids.fill(ex.trace.id[8:])
	ex.trace.sampled = true
}

func appendTrace(b []byte, id [16]byte, span [8]byte, sampled bool) []byte {
	b = hex.AppendEncode(append(b, "00-"...), id[:])
	b = hex.AppendEncode(append(b, '-'), span[:])
	if sampled {
		return append(b, "-01"...)
	}
	return append(b, "-00"...)
}

// reportEnd counts and reports a request's end.
func (h *Gateway) reportEnd(ex *exchange, o Outcome) {
	if ex.answer.reported && ex.id != 0 {
		h.invariants.RecordDuplicateResponse(h.clock.now, ex.id)
	}
	ex.answer.reported = true
	h.protocol.finished(ex, o)
	if h.observer == nil {
		return
	}
	s := Span{Request: h.ids.requestID(ex.id), Trace: ex.trace.id, ID: ex.trace.span, Parent: ex.trace.parent, Sampled: ex.trace.sampled,
		Start: ex.headerAt, End: h.clock.now, Method: ex.method, Path: ex.place.Path, Status: ex.answer.status, Outcome: o,
		Attempts: ex.attempts.count, Reason: ex.answer.reason}
	if ex.client != nil {
		s.Client = ex.client.remote.String()
	}
	if ex.id != 0 {
		s.Start = ex.takenAt
		s.Volume, s.Class = ex.ask.Arrival.Volume, h.config.Scheduler.Classes[ex.ask.Arrival.Class].Name
	}
	h.span = s
	h.observer.Request(&h.span)
}
