package audit

import (
	"time"

	"maddergap/internal/config"
	"maddergap/internal/fakenode"
)

// RequestRecord is one request as its client saw it. Times are microseconds of Unix time; 0: it did
// not come to that.
type RequestRecord struct {
	TraceID  string  `json:"trace"` // 32 hexadecimal digits, of the client's traceparent
	Instance int     `json:"head"`  // of the gateway, that it was sent to
	Volume   string  `json:"volume"`
	Class    int     `json:"class"`         // index in the settings' classes
	OrderKey string  `json:"key,omitempty"` // of an ordered class
	Sequence int     `json:"sequence"`      // among its client's requests
	Units    float64 `json:"units"`         // of work
	SentAt   int64   `json:"sent"`          // its last byte was written
	Deadline int64   `json:"deadline"`      // the client waits until then
	// RespondedAt is when the end of the response was read.
	RespondedAt int64 `json:"answered,omitempty"`
	Status      int   `json:"status,omitempty"`
	// Truncated: the header of a response was read, but not its end.
	Truncated bool `json:"cut,omitempty"`
	// Responses counts the final responses that were read, truncated ones too.
	Responses int `json:"answers"`
	// DisconnectedAt is when the client closed the connection without waiting for the response.
	DisconnectedAt int64 `json:"gave_up,omitempty"`
	// ConnectionLostAt is when the connection ended before any response, or the client's patience
	// did.
	ConnectionLostAt int64 `json:"lost,omitempty"`
	// Incomplete: not all of the request was sent.
	Incomplete bool `json:"unsent,omitempty"`
}

// Interval is an interval of time, in microseconds of Unix time. To is 0 where it lasts to the end
// of the run.
type Interval struct {
	Name     string // of the node or instance; "" for a stall
	From, To int64
}

// Notice is the time from which an instance is notified that a node drains or is gone, until it
// is notified of another state; in microseconds of Unix time. To is 0 where that did not come.
type Notice struct {
	Instance int
	Node     string
	From, To int64
}

// Input is what a run is judged from.
type Input struct {
	Config   *config.Config
	Requests []RequestRecord
	Attempts []fakenode.Entry

	Outages    []Interval // of instances ("0", "1", ...) that were killed, until they served again; To is set
	Drains     []Interval // of nodes, from when all instances were notified
	NodeStarts []Interval // of nodes that started and warm up; From counts
	Stalls     []Interval // in which the process that ran the clients was held up itself
	// DrainNotices are of drains where instances are notified one by one.
	DrainNotices []Notice
	// StartNotices are of NodeStarts where instances are notified one by one. Where there are any,
	// a node is overloaded by the instances only if enough of its work came from notified ones.
	StartNotices []Notice
	StartedAt    int64 // of the run, in microseconds of Unix time; 0: the startup is not reported

	// DrainGrace is how long after a notice a draining node may be sent attempts.
	DrainGrace time.Duration
	// DisconnectGrace is how long after the client disconnected an attempt may begin; 0: not
	// judged.
	DisconnectGrace time.Duration
	// TimeoutTolerance is how far beyond the client's deadline the timeout in an attempt may
	// reach; 0: not judged.
	TimeoutTolerance time.Duration
	// LateTolerance is how long after its deadline a response may come.
	LateTolerance time.Duration
	// ClockTolerance is how far the times of one event in two records may differ.
	ClockTolerance time.Duration
	SlowStart      SlowStart
}

// SlowStart says what a node bears while it warms up, as scheduler.SlowStart does. It starts with
// InitialFraction of its Capacity and has all of it after WarmupDuration. Within an OverloadWindow
// it bears OverloadFactor times its present capacity.
type SlowStart struct {
	// MeanUnits is the mean work of a request. If it is set, what a node bears is a number of
	// requests of that work, with an allowance for chance. If it is 0, only failed nodes are
	// violations.
	MeanUnits float64
	MinUnits  float64 // that a node bears in any window, with MeanUnits
	Capacity  float64 // of a warm node, in units a second

	InitialFraction float64
	WarmupDuration  time.Duration
	OverloadFactor  float64
	OverloadWindow  time.Duration
}

// traceID returns the trace id of a traceparent. Where attempts carry another id of the request in
// its place, which is shorter, it returns that.
func traceID(traceparent string) string {
	const from, to = len("00-"), len("00-") + 32
	if len(traceparent) < to {
		return traceparent
	}
	return traceparent[from:to]
}
