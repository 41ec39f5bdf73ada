package audit

import (
	"time"

	"maddergap/internal/config"
	"maddergap/internal/fakenode"
)

// RequestRecord describes a request as its client saw it. Times are in microseconds of Unix time; 0
// means that the event did not happen.
type RequestRecord struct {
	TraceID  string `json:"trace"` // 32 hexadecimal digits of the client's traceparent
	Instance int    `json:"head"`  // number of the instance that the request was sent to
	Volume   string `json:"volume"`
	Class    int    `json:"class"`         // index in the settings' classes
	OrderKey string `json:"key,omitempty"` // set for an ordered class only
	// Sequence is the number of the request within its order key (package scenario) or among the
	// requests of its instance's clients (package soak). No rule uses it.
	Sequence int     `json:"sequence"`
	Units    float64 `json:"units"`    // units of work
	SentAt   int64   `json:"sent"`     // time at which the last byte was written
	Deadline int64   `json:"deadline"` // time by which the client wants the response
	// RespondedAt is the time at which the last byte of the response was read. For a truncated response
	// it is 0 or the time at which reading failed.
	RespondedAt int64 `json:"answered,omitempty"`
	Status      int   `json:"status,omitempty"`
	// Truncated is set if the header of a response was read, but not the complete body.
	Truncated bool `json:"cut,omitempty"`
	// Responses is the number of final responses that were read, including truncated ones.
	Responses int `json:"answers"`
	// DisconnectedAt is the time at which the client closed the connection without waiting for the
	// response.
	DisconnectedAt int64 `json:"gave_up,omitempty"`
	// ConnectionLostAt is the time at which the connection ended, or the client stopped waiting, before
	// any response.
	ConnectionLostAt int64 `json:"lost,omitempty"`
	// Incomplete is set if the request was not sent in full.
	Incomplete bool `json:"unsent,omitempty"`
}

// Interval is a period of time, in microseconds of Unix time. To is 0 if the period lasts to the end
// of the run.
type Interval struct {
	Name     string // name of the node or number of the instance; "" for a stall
	From, To int64
}

// Notice is a period that begins when an instance is notified that a node drains, was removed or has
// started. It ends when the instance is notified of another state of that node. Times are in
// microseconds of Unix time. To is 0 if no other notification came.
type Notice struct {
	Instance int
	Node     string
	From, To int64
}

// Input holds the records of a run and the parameters by which it is judged.
type Input struct {
	Config   *config.Config
	Requests []RequestRecord
	Attempts []fakenode.Entry

	// Outages are the periods from the kill of an instance until it served again. Name is the number of
	// the instance ("0", "1", ...). To is set.
	Outages []Interval
	// Drains are the periods in which nodes drain. They begin when all instances were notified.
	Drains []Interval
	// NodeStarts are the starts of nodes that warm up afterwards. Only Name and From are used.
	NodeStarts []Interval
	// Stalls are the periods in which the process that runs the clients did not run.
	Stalls []Interval
	// DrainNotices holds the notices of drains if instances are notified one by one. If all are
	// notified at once, Drains holds the drains instead.
	DrainNotices []Notice
	// StartNotices holds the notices of NodeStarts if instances are notified one by one. If it is not
	// empty, a load above the limit is a violation only if more than two thirds of the work in the
	// window came from instances that were notified of the start.
	StartNotices []Notice
	// StartedAt is the start of the run in microseconds of Unix time. 0 disables the statistics of the
	// startup.
	StartedAt int64

	// DrainGrace is how long after a notice attempts may still be sent to a draining node.
	DrainGrace time.Duration
	// DisconnectGrace is how long after the client disconnected an attempt may begin. 0 disables the
	// check.
	DisconnectGrace time.Duration
	// TimeoutTolerance is how far the timeout that an attempt carries may extend beyond the client's
	// deadline. 0 disables the check.
	TimeoutTolerance time.Duration
	// LateTolerance is how long after its deadline a response may arrive.
	LateTolerance time.Duration
	// ClockTolerance is how far the times of the same event in two records may differ.
	ClockTolerance time.Duration
	SlowStart      SlowStart
}

// SlowStart describes the load that a node can process while it warms up, in the same terms as
// scheduler.SlowStart. Its capacity grows linearly from InitialFraction of Capacity to the full
// Capacity after WarmupDuration. Within an OverloadWindow it can be sent OverloadFactor times its
// present capacity.
type SlowStart struct {
	// MeanUnits is the mean work of a request in units. If it is set, the limit is a number of requests
	// of that work plus an allowance for random variation. If it is 0, only the failure of a node is a
	// violation.
	MeanUnits float64
	// MinUnits is the work that a node can process in any window. It is used only with MeanUnits.
	MinUnits float64
	Capacity float64 // of a warmed-up node, in units per second

	InitialFraction float64
	WarmupDuration  time.Duration
	OverloadFactor  float64
	OverloadWindow  time.Duration
}

// traceID returns the trace ID of a traceparent. If attempts carry a different, shorter ID of the
// request instead, traceID returns that ID.
func traceID(traceparent string) string {
	const from, to = len("00-"), len("00-") + 32
	if len(traceparent) < to {
		return traceparent
	}
	return traceparent[from:to]
}
