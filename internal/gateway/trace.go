package gateway

import (
	"encoding/hex"

	"go.opentelemetry.io/otel/trace"
)

// startTrace continues the trace of a request's traceparent field (W3C Trace Context), or
// begins a sampled trace if the field is missing or invalid.
func (g *Gateway) startTrace(req *request) {
	t := &req.trace
	g.ids.fillRandom(t.span[:])
	if id, parent, sampled, ok := parseTraceparent(req.header.Get("traceparent")); ok {
		t.id, t.parent, t.sampled = id, parent, sampled
		return
	}
	g.ids.fillRandom(t.id[:8])
	g.ids.fillRandom(t.id[8:])
	t.sampled = true
}

// traceparentLength is the length of version 00 of the traceparent field:
// version-traceid-spanid-flags, of 2, 32, 16 and 2 hexadecimal digits. A later version
// may be longer; version ff is invalid.
const traceparentLength = 55

// parseTraceparent parses the value of a traceparent field; ok is false if it is invalid.
func parseTraceparent(v []byte) (id [16]byte, parent [8]byte, sampled, ok bool) {
	if len(v) < traceparentLength || v[2] != '-' || v[35] != '-' || v[52] != '-' {
		return id, parent, false, false
	}
	version := string(v[:2])
	if version == "ff" || version == "00" && len(v) != traceparentLength {
		return id, parent, false, false
	}
	traceID, traceErr := trace.TraceIDFromHex(string(v[3:35]))
	spanID, spanErr := trace.SpanIDFromHex(string(v[36:52]))
	var flags [1]byte
	_, flagsErr := hex.Decode(flags[:], v[53:traceparentLength])
	if traceErr != nil || spanErr != nil || flagsErr != nil {
		return id, parent, false, false
	}
	return traceID, spanID, flags[0]&1 != 0, true
}

// appendTraceparent appends the value of a traceparent field.
func appendTraceparent(b []byte, id [16]byte, span [8]byte, sampled bool) []byte {
	b = hex.AppendEncode(append(b, "00-"...), id[:])
	b = hex.AppendEncode(append(b, '-'), span[:])
	if sampled {
		return append(b, "-01"...)
	}
	return append(b, "-00"...)
}
