package gateway

import (
	"encoding/hex"

	"go.opentelemetry.io/otel/trace"
)

// startTrace takes the trace of W3C Trace Context's traceparent, or begins one.
func (g *Gateway) startTrace(req *request) {
	g.ids.fill(req.trace.span[:])
	v := req.header.Get("traceparent") // 00-32 hex-16 hex-2 hex
	if len(v) >= 55 && v[2] == '-' && v[35] == '-' && v[52] == '-' && (len(v) == 55 || v[0] != '0' || v[1] != '0') &&
		!(v[0] == 'f' && v[1] == 'f') {
		id, err1 := trace.TraceIDFromHex(string(v[3:35]))
		parent, err2 := trace.SpanIDFromHex(string(v[36:52]))
		var flags [1]byte
		_, err3 := hex.Decode(flags[:], v[53:55])
		if err1 == nil && err2 == nil && err3 == nil {
			req.trace.id, req.trace.parent, req.trace.sampled = id, parent, flags[0]&1 != 0
			return
		}
	}
	g.ids.fill(req.trace.id[:8])
	g.ids.fill(req.trace.id[8:])
	req.trace.sampled = true
}

func appendTraceparent(b []byte, id [16]byte, span [8]byte, sampled bool) []byte {
	b = hex.AppendEncode(append(b, "00-"...), id[:])
	b = hex.AppendEncode(append(b, '-'), span[:])
	if sampled {
		return append(b, "-01"...)
	}
	return append(b, "-00"...)
}

// reportRequestEnd counts and reports a request's end.
func (g *Gateway) reportRequestEnd(req *request, o Outcome) {
	if req.response.reported && req.id != 0 {
		g.invariants.RecordDuplicateResponse(g.clock.now, req.id)
	}
	req.response.reported = true
	g.protocol.requestEnded(req, o)
	if g.observer == nil {
		return
	}
	s := Span{Request: g.ids.requestID(req.id), Trace: req.trace.id, ID: req.trace.span, Parent: req.trace.parent, Sampled: req.trace.sampled,
		Start: req.headerReceivedAt, End: g.clock.now, Method: req.method, Path: req.location.Path, Status: req.response.status, Outcome: o,
		Attempts: req.attempts.count, Reason: req.response.reason}
	if req.client != nil {
		s.Client = req.client.remote.String()
	}
	if req.id != 0 {
		s.Start = req.submittedAt
		s.Volume, s.Class = req.info.Arrival.Volume, g.config.Scheduler.Classes[req.info.Arrival.Class].Name
	}
	g.span = s
	g.observer.Request(&g.span)
}
