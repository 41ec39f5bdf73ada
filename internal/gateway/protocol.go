package gateway

import (
	"time"

	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// protocol is what differs between WebDAV, whose messages stream, and a Protocol, whose
// messages are buffered: how requests are read and sent, and how responses are passed on.
// Connections, limits, timers and the scheduler's part are the same for all.
type protocol interface {
	// beginRequest handles a request whose header was read: it responds, waits for the
	// body, or submits it.
	beginRequest(g *Gateway, c *clientConn, req *request)
	// prepareArrival fills in the Arrival event of a request. A request with an
	// error is answered with it, and not submitted.
	prepareArrival(g *Gateway, req *request) *http1.Error
	// appendRequest appends the request line and the fields of an attempt, without those
	// that give the length of the body.
	appendRequest(g *Gateway, b []byte, req *request, attempt *nodeAttempt) []byte
	// parseResponse reads the header of a node's response.
	parseResponse(r *http1.Response) ResponseInfo

	// beginUnwantedResponse begins a response to a request that has its final response or whose
	// client has left. It is read and dropped. Where it returns false, the attempt ends with
	// brokenResponseOutcome.
	beginUnwantedResponse(attempt *nodeAttempt) bool
	// beginResponse, responseData and endResponse pass a response on whose outcome is OK, to a
	// request that has no final response. They are not called once it has one. Where the first
	// two return false, the attempt ends with brokenResponseOutcome.
	beginResponse(g *Gateway, req *request, attempt *nodeAttempt) bool
	responseData(g *Gateway, req *request, attempt *nodeAttempt, data []byte) bool
	endResponse(g *Gateway, req *request, attempt *nodeAttempt)

	// maxDiscardedBytes returns how much of a response that is not passed on is read, so that its
	// connection can be reused. A longer response ends the connection.
	maxDiscardedBytes() int64
	// truncatedRequestOutcome is the outcome of an attempt of which only a part was
	// written when its connection was lost.
	truncatedRequestOutcome() scheduler.Outcome
	// brokenResponseOutcome is the outcome of an attempt whose response cannot be read, or
	// makes no progress once it has begun.
	brokenResponseOutcome() scheduler.Outcome
	// allowsEarlyResponse reports whether a node may respond before it has the complete request.
	allowsEarlyResponse() bool
	// eofMeansDisconnect reports whether a client that sends no more has left.
	eofMeansDisconnect() bool
	// appendRetryAfter appends the fields that tell a client when to retry.
	appendRetryAfter(b []byte, after time.Duration) []byte
	// requestEnded is called with the end of each request.
	requestEnded(req *request, outcome Outcome)
}

// ResponseInfo is what a protocol reads out of the header of a response.
type ResponseInfo struct {
	Outcome       scheduler.Outcome
	ReportedLoad  float64 // requests that the node said it holds or has waiting, if HasLoadReport
	HasLoadReport bool
}

// RequestInfo is what a protocol reads out of the header of a request.
type RequestInfo struct {
	// Status and Reason are the gateway's own response. 0: the request is submitted.
	Status int
	Reason string
	Close  bool   // the client's connection ends with that response
	ID     string // the client's id of the request; empty: none
	// Arrival is the event for the scheduler; the gateway sets its ID.
	// TimeRemaining counts from the last byte of the request.
	Arrival scheduler.Arrival
}

// Protocol is a protocol whose messages are small: requests and responses are buffered
// until they are complete, and checked, before anything of them is passed on. It does no
// I/O and reads no clock.
type Protocol interface {
	ParseRequest(r *http1.Request) RequestInfo
	// BeginRequest takes the id of a complete request. It returns the error with which a
	// request is answered whose id is taken already.
	BeginRequest(a *RequestInfo) *http1.Error
	// EndRequest releases the id of a request that has ended with the outcome.
	EndRequest(id string, o Outcome)
	// AppendRequest appends the request line and the fields of an attempt, without those
	// that give the length of the body. left is for how long the gateway will wait.
	AppendRequest(b []byte, r *http1.Request, left time.Duration) []byte
	ParseResponse(r *http1.Response) ResponseInfo
	// AppendRetryAfter appends the fields that tell a client when to retry.
	AppendRetryAfter(b []byte, after time.Duration) []byte
	// MaxResponseBytes returns the limits of a response body, and of all response bodies
	// that are buffered at a time.
	MaxResponseBytes() (one, all int64)
	// ResponseNoProgressTimeout returns how long a response that has begun may be without
	// progress.
	ResponseNoProgressTimeout() time.Duration
}
