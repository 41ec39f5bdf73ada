package audit

import (
	"time"

	"maddergap/internal/config"
	"maddergap/internal/fakenode"
)

// RequestRecord is the record of one request, as its client saw it; times are
// microseconds of Unix time, 0: never.
type RequestRecord struct {
	TraceID          string  `json:"trace"` // 32 hex digits, the client's own
	Instance         int     `json:"head"`
	Volume           string  `json:"volume"`
	Class            int     `json:"class"`
	OrderKey         string  `json:"key,omitempty"` // of order
	Sequence         int     `json:"sequence"`      // of its client's requests
	Units            float64 `json:"units"`
	SentAt           int64   `json:"sent"`               // its last byte was written
	Deadline         int64   `json:"deadline"`           // its client's time is up
	RespondedAt      int64   `json:"answered,omitempty"` // the answer was read whole
	Status           int     `json:"status,omitempty"`
	Truncated        bool    `json:"cut,omitempty"`     // the answer's header came, its end did not
	Responses        int     `json:"answers"`           // whole or cut
	DisconnectedAt   int64   `json:"gave_up,omitempty"` // the client left by itself
	ConnectionLostAt int64   `json:"lost,omitempty"`    // the connection ended before any answer
	Incomplete       bool    `json:"unsent,omitempty"`  // it never went out whole
}

// Interval is a stretch of time of something, microseconds of Unix time; To 0: to the end.
type Interval struct {
	Name     string
	From, To int64
}

// Input is what a run left behind.
type Input struct {
	Config       *config.Config
	Requests     []RequestRecord
	Attempts     []fakenode.Entry
	Outages      []Interval    // heads ("0", "1", ...) that were killed, until they served again
	Drains       []Interval    // nodes, from when the heads were told
	DrainNotices []Notice      // nodes that a head was notified of, where heads are notified apart
	DrainGrace   time.Duration // of rule 3
	// DisconnectGrace is after a client has left, for attempts that begin for it; 0: not judged.
	DisconnectGrace time.Duration
	// TimeoutTolerance is what an attempt may tell its node beyond its client's time; 0: not judged.
	TimeoutTolerance time.Duration
	NodeStarts       []Interval // nodes that came up cold, From
	// StartNotices are the heads that were notified of such a start, and when. Where there are any, a
	// node is pushed over if more than two thirds of what it got came from those.
	StartNotices []Notice
	SlowStart    SlowStart
	StartedAt    int64      // when the day began
	Stalls       []Interval // when the rig itself was held up
	// ClockTolerance is how far a time on one socket may lie from the same on another.
	ClockTolerance time.Duration
	// LateTolerance is what an answer may come after its deadline, for the machine's sake.
	LateTolerance time.Duration
}

// Notice is the time from which one head is notified that a node drains or is gone, until it
// is notified of another state, 0: to the end.
type Notice struct {
	Instance int
	Node     string
	From, To int64
}

// SlowStart says what a restarted node bears.
type SlowStart struct {
	// MeanUnits is the mean work of a request; if told, what is borne in a window counts as so many
	// requests N, and N + 2 sqrt N + 2 (under 30: N + 3 sqrt N + 3) push the node over.
	MeanUnits       float64
	MinUnits        float64 // always borne in a window, with Mean
	Capacity        float64 // units a second of a warm node
	InitialFraction float64
	WarmupDuration  time.Duration
	OverloadFactor  float64
	OverloadWindow  time.Duration
}

// traceID cuts the trace id out of a traceparent.
func traceID(parent string) string {
	if len(parent) >= 35 {
		return parent[3:35]
	}
	return parent
}
