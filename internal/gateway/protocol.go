package gateway

import (
	"time"

	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// protocol abstracts the differences between WebDAV, whose messages are streamed, and a
// Protocol, whose messages are buffered: how requests are read and sent, and how responses
// are forwarded. Connections, limits, timers and scheduling are the same for both.
type protocol interface {
	// beginRequest handles a request whose header was read: it answers the request, waits
	// for the body, or submits the request.
	beginRequest(g *Gateway, c *clientConn, req *request)
	// prepareArrival fills in the Arrival event of a request that is to be submitted. If it
	// returns an error, the request is answered with that error instead.
	prepareArrival(g *Gateway, req *request) *http1.Error
	// appendRequest appends the request line and the header fields of an attempt, except the
	// fields that give the length of the body.
	appendRequest(g *Gateway, b []byte, req *request, attempt *nodeAttempt) []byte
	// parseResponse evaluates the header of a node's response.
	parseResponse(r *http1.Response) ResponseInfo

	// beginUnwantedResponse begins a response to a request that already has its final response,
	// or whose client has disconnected. The response is read and discarded. If
	// beginUnwantedResponse returns false, the attempt ends with brokenResponseOutcome.
	beginUnwantedResponse(attempt *nodeAttempt) bool
	// beginResponse, forwardResponseData and endResponse forward a response whose outcome is OK. They
	// are called only while the request has no final response. If beginResponse or
	// forwardResponseData returns false, the attempt ends with brokenResponseOutcome.
	beginResponse(g *Gateway, req *request, attempt *nodeAttempt) bool
	forwardResponseData(g *Gateway, req *request, attempt *nodeAttempt, data []byte) bool
	endResponse(g *Gateway, req *request, attempt *nodeAttempt)

	// maxDiscardedBytes returns how many bytes of an unwanted response body are read in order to
	// reuse its connection. A connection with a longer response is closed.
	maxDiscardedBytes() int64
	// truncatedRequestOutcome returns the outcome of an attempt whose connection was lost when
	// only a part of the request was written.
	truncatedRequestOutcome() scheduler.Outcome
	// brokenResponseOutcome returns the outcome of an attempt whose response cannot be read, or
	// makes no progress once it has begun.
	brokenResponseOutcome() scheduler.Outcome
	// allowsEarlyResponse reports whether a node may respond before it has the complete request.
	allowsEarlyResponse() bool
	// eofMeansDisconnect reports whether a client that shuts down its sending side has
	// disconnected, so that it needs no response.
	eofMeansDisconnect() bool
	// appendRetryAfter appends the header fields that tell a client when to retry.
	appendRetryAfter(b []byte, after time.Duration) []byte
	// handleRequestEnd is called when a request has ended.
	handleRequestEnd(req *request, outcome Outcome)
}

// ResponseInfo is the information that a protocol extracts from the header of a response.
type ResponseInfo struct {
	Outcome scheduler.Outcome // what the header says of the attempt; OK: the response is for the client
	// ReportedLoad is the number of requests that the node reports as running or waiting. It is
	// valid if HasLoadReport is set.
	ReportedLoad  float64
	HasLoadReport bool
}

// RequestInfo is the information that a protocol extracts from the header of a request.
type RequestInfo struct {
	// Status and Reason are the gateway's own response to the request. If Status is 0, the
	// request is submitted to the scheduler instead.
	Status int
	Reason string
	Close  bool   // whether the client's connection is closed after the gateway's own response
	ID     string // id that the client gave the request; empty: none
	// Arrival is the event for the scheduler. The gateway sets its ID. Its TimeRemaining
	// counts from the last byte of the request.
	Arrival scheduler.Arrival
}

// Protocol is a protocol with small messages. The gateway buffers each request and response,
// and forwards it only when it is complete and has been checked. A Protocol does no I/O and
// reads no clock.
type Protocol interface {
	// ParseRequest evaluates the header of a request.
	ParseRequest(r *http1.Request) RequestInfo
	// BeginRequest reserves the id of a complete request. If the id is already in use, it
	// returns the error with which the request is answered.
	BeginRequest(info *RequestInfo) *http1.Error
	// EndRequest releases the id of a request that has ended with the outcome.
	EndRequest(info *RequestInfo, outcome Outcome)
	// AppendRequest appends the request line and the header fields of an attempt, except the
	// fields that give the length of the body. remaining is how long the gateway will wait for
	// the response.
	AppendRequest(b []byte, r *http1.Request, remaining time.Duration) []byte
	// ParseResponse evaluates the header of a node's response.
	ParseResponse(r *http1.Response) ResponseInfo
	// AppendRetryAfter appends the header fields that tell a client when to retry.
	AppendRetryAfter(b []byte, after time.Duration) []byte
	// MaxResponseBytes returns the limit on one response body, and the limit on all response
	// bodies that are buffered at the same time.
	MaxResponseBytes() (perResponse, total int64)
	// ResponseNoProgressTimeout returns how long a response that has begun may make no
	// progress.
	ResponseNoProgressTimeout() time.Duration
}
