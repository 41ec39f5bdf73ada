package platform

import (
	"bytes"
	"strconv"
	"time"

	"maddergap/internal/gateway"
	"maddergap/internal/http1"
)

// maxReportedLoad bounds the requests in a load report that is believed.
const maxReportedLoad = 1e6

// AppendRequest appends the start line and fields of an attempt: those of the client's request
// but for the ones of its connection alone, and the timeout of the attempt. The rest is passed on
// unread, since nodes may use fields that the gateway does not know, as the one by which they
// deduplicate.
func (p *Protocol) AppendRequest(b []byte, r *http1.Request, timeout time.Duration) []byte {
	b = append(append(b, r.Method...), ' ')
	b = append(append(b, r.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, r.Host...), "\r\n"...)
	b = http1.AppendEndToEndFields(b, &r.Message, "host", "expect", headerTimeRemaining)
	b = append(b, headerTimeRemaining+": "...)
	b = strconv.AppendInt(b, timeout.Microseconds(), 10)
	return append(b, "u\r\n"...)
}

// ParseResponse reads the header of a node's response.
func (p *Protocol) ParseResponse(r *http1.Response) gateway.ResponseInfo {
	info := gateway.ResponseInfo{Outcome: outcomeOf(r.Status, string(r.Get(headerNodeRejected)) == headerIsSet)}
	info.ReportedLoad, info.HasLoadReport = parseLoadReport(r.Get(headerLoadReport))
	return info
}

// parseLoadReport returns the greatest number of requests in a load report. A report that cannot
// be read is as none.
func parseLoadReport(b []byte) (load float64, ok bool) {
	for member := range http1.ListElements(b) {
		name, value, _ := bytes.Cut(member, []byte("="))
		if !isLoadMember(name) {
			continue
		}
		requests, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(requests >= 0 && requests < maxReportedLoad) { // also for NaN
			return 0, false
		}
		load, ok = max(load, requests), true
	}
	return load, ok
}

// AppendRetryAfter appends the field that asks a client to wait before a retry, in decimal seconds
// as the platform's clients read them. 0: no field.
func (p *Protocol) AppendRetryAfter(b []byte, after time.Duration) []byte {
	if after <= 0 {
		return b
	}
	b = append(b, headerRetryAfter+": "...)
	b = strconv.AppendFloat(b, after.Seconds(), 'f', 3, 64)
	return append(b, "\r\n"...)
}
