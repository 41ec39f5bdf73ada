package gateway

import (
	"time"

	"maddergap/internal/http1"
	"maddergap/scheduler"
)

// protocol is what a protocol has of its own between clients, head and nodes: reading a
// request, writing an attempt, reading and passing on its answer. Connections,
// bounds, timers and the module's part are the same for all.
type protocol interface {
	// beginRequest says what becomes of a request whose header was read and that was admitted.
	beginRequest(g *Gateway, c *conn, req *request)
	// prepareArrival fills in what the module is told of a request; a fault is answered instead.
	prepareArrival(g *Gateway, req *request) *http1.Error
	// appendRequest writes an attempt's start line and fields, without its length.
	appendRequest(g *Gateway, b []byte, attempt *nodeAttempt) []byte
	// parseResponse reads the header of a node's answer.
	parseResponse(r *http1.Response) ResponseInfo
	// beginResponse and responseData take the answer that is to go to the client, and
	// endResponse brings it to its end. A false ends the attempt as broken.
	beginResponse(g *Gateway, attempt *nodeAttempt) bool
	responseData(g *Gateway, attempt *nodeAttempt, data []byte) bool
	endResponse(g *Gateway, attempt *nodeAttempt)
	// truncatedRequestOutcome is the outcome of an attempt whose connection broke when it had gone out in part.
	truncatedRequestOutcome() scheduler.Outcome
	// allowsEarlyResponse tells whether a node may answer before the request has come whole.
	allowsEarlyResponse() bool
	// malformedResponseOutcome is the outcome of one whose answer's body cannot be read.
	malformedResponseOutcome() scheduler.Outcome
	appendRetryAfter(b []byte, after time.Duration) []byte
	// eofMeansDisconnect tells whether a client that sends no more has left.
	eofMeansDisconnect() bool
	// requestEnded tells of a final answer, or of a client that left.
	requestEnded(req *request, o Outcome)
}

// ResponseInfo is what an answer's header says of its attempt.
type ResponseInfo struct {
	Outcome       scheduler.Outcome
	ReportedLoad  float64 // requests that the node said it held or had waiting
	HasLoadReport bool    // it said so
}

// RequestInfo is what a protocol reads out of a request's header.
type RequestInfo struct {
	// Status and Reason are the head's own answer, 0: the request is the module's.
	Status int
	Reason string
	Close  bool   // no more is read of this client
	ID     string // the client's name for the request
	// Arrival is what the module is told, but for its ID. ClientDisconnected counts from the
	// request's last byte.
	Arrival scheduler.Arrival
}

// Protocol is one whose messages are small: requests and answers are held whole, and
// checked, before anything of them is passed on. It does no I/O and reads no clock.
type Protocol interface {
	ParseRequest(r *http1.Request) RequestInfo
	// BeginRequest takes a whole request's id; one that is taken already is answered with the fault.
	BeginRequest(a *RequestInfo) *http1.Error
	// EndRequest tells how it ended.
	EndRequest(id string, o Outcome)
	// AppendRequest writes an attempt's start line and fields, without its length;
	// left is for how long the head will wait.
	AppendRequest(b []byte, r *http1.Request, left time.Duration) []byte
	ParseResponse(r *http1.Response) ResponseInfo
	AppendRetryAfter(b []byte, after time.Duration) []byte
	// MaxResponseBytes is how large an answer may be, and all answers that are held, and Stall
	// for how long an answer that has begun may stand still.
	MaxResponseBytes() (one, all int64)
	ResponseStallTimeout() time.Duration
}
