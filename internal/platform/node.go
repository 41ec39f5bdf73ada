package platform

import (
	"bytes"
	"strconv"
	"time"

	"maddergap/internal/gateway"
	"maddergap/internal/http1"
)

// maxReportedLoad is the number of requests from which on a load report is ignored as implausible.
const maxReportedLoad = 1e6

// AppendRequest appends the request line and the header fields of an attempt. It forwards the client's
// end-to-end fields except Expect, and replaces the client's time remaining by the timeout of the
// attempt. Fields that the gateway does not know are forwarded too, since nodes may use them, for
// instance to deduplicate.
func (p *Protocol) AppendRequest(b []byte, r *http1.Request, timeout time.Duration) []byte {
	b = append(append(b, r.Method...), ' ')
	b = append(append(b, r.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, r.Host...), "\r\n"...)
	b = http1.AppendEndToEndFields(b, &r.Message, "host", "expect", headerTimeRemaining)
	b = append(b, headerTimeRemaining+": "...)
	b = strconv.AppendInt(b, timeout.Microseconds(), 10)
	return append(b, "u\r\n"...)
}

// ParseResponse returns the outcome of an attempt and the node's load report, from the header of the
// node's response.
func (p *Protocol) ParseResponse(r *http1.Response) gateway.ResponseInfo {
	info := gateway.ResponseInfo{Outcome: outcomeOf(r.Status, string(r.Get(headerNodeRejected)) == flagHeaderValue)}
	info.ReportedLoad, info.HasLoadReport = parseLoadReport(r.Get(headerLoadReport))
	return info
}

// parseLoadReport returns the highest of the numbers of requests in a load report. ok is false if the
// report contains no such number or an invalid one.
func parseLoadReport(b []byte) (load float64, ok bool) {
	for member := range http1.ListElements(b) {
		name, value, _ := bytes.Cut(member, []byte("="))
		if !isLoadMember(name) {
			continue
		}
		requests, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(requests >= 0 && requests < maxReportedLoad) { // rejects NaN too
			return 0, false
		}
		load, ok = max(load, requests), true
	}
	return load, ok
}

// AppendRetryAfter appends a Retry-After field if after is above 0. The platform's clients expect decimal
// seconds, whereas HTTP specifies whole seconds.
func (p *Protocol) AppendRetryAfter(b []byte, after time.Duration) []byte {
	if after <= 0 {
		return b
	}
	b = append(b, headerRetryAfter+": "...)
	b = strconv.AppendFloat(b, after.Seconds(), 'f', 3, 64)
	return append(b, "\r\n"...)
}
