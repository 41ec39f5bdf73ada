package audit

import (
	"time"

	"maddergap/internal/config"
	"maddergap/internal/fakenode"
)

// Client is the record of one request, as its client saw it; times are
// microseconds of Unix time, 0: never.
type Client struct {
	Trace    string  `json:"trace"` // 32 hex digits, the client's own
	Head     int     `json:"head"`
	Volume   string  `json:"volume"`
	Class    int     `json:"class"`
	Key      string  `json:"key,omitempty"` // of order
	Sequence int     `json:"sequence"`      // of its client's requests
	Units    float64 `json:"units"`
	Sent     int64   `json:"sent"`               // its last byte was written
	Deadline int64   `json:"deadline"`           // its client's time is up
	Answered int64   `json:"answered,omitempty"` // the answer was read whole
	Status   int     `json:"status,omitempty"`
	Cut      bool    `json:"cut,omitempty"`     // the answer's header came, its end did not
	Answers  int     `json:"answers"`           // whole or cut
	GaveUp   int64   `json:"gave_up,omitempty"` // the client left by itself
	Lost     int64   `json:"lost,omitempty"`    // the connection ended before any answer
	Unsent   bool    `json:"unsent,omitempty"`  // it never went out whole
}

// Span is a stretch of time of something, microseconds of Unix time; To 0: to the end.
type Span struct {
	Name     string
	From, To int64
}

// Input is what a run left behind.
type Input struct {
	Config  *config.Config
	Clients []Client
	Nodes   []fakenode.Entry
	Down    []Span        // heads ("0", "1", ...) that were killed, until they served again
	Drains  []Span        // nodes, from when the heads were told
	Notices []Notice      // nodes that a head was notified of, where heads are notified apart
	Grace   time.Duration // of rule 3
	// CancelGrace is after a client has left, for attempts that begin for it; 0: not judged.
	CancelGrace time.Duration
	// ToldSlack is what an attempt may tell its node beyond its client's time; 0: not judged.
	ToldSlack time.Duration
	Starts    []Span // nodes that came up cold, From
	// Told are the heads that were notified of such a start, and when. Where there are any, a
	// node is pushed over if more than two thirds of what it got came from those.
	Told  []Notice
	Cold  Cold
	Began int64  // when the day began
	Lags  []Span // when the rig itself was held up
	// Blur is how far a time on one socket may lie from the same on another.
	Blur time.Duration
	// Late is what an answer may come after its deadline, for the machine's sake.
	Late time.Duration
}

// Notice is the time from which one head is notified that a node drains or is gone, until it
// is notified of another state, 0: to the end.
type Notice struct {
	Head     int
	Node     string
	From, To int64
}

// Cold says what a restarted node bears.
type Cold struct {
	// Mean is the mean work of a request; if told, what is borne in a window counts as so many
	// requests N, and N + 2 sqrt N + 2 (under 30: N + 3 sqrt N + 3) push the node over.
	Mean     float64
	Units    float64 // always borne in a window, with Mean
	Rate     float64 // units a second of a warm node
	From     float64
	For      time.Duration
	Multiple float64
	Window   time.Duration
}

// traceID cuts the trace id out of a traceparent.
func traceID(parent string) string {
	if len(parent) >= 35 {
		return parent[3:35]
	}
	return parent
}
