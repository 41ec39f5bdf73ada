package scheduler

import "time"

// NodeState is a node's state on the list.
type NodeState int

// States of a node.
const (
	Serving NodeState = iota
	Draining
	Removed
)

// Endpoint is a line of the node list.
type Endpoint struct {
	Node    string
	Zone    int
	Shard   int
	State   NodeState
	Started Time // when it last started, 0: long ago
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of an attempt. Values unknown to this list count as Failed.
const (
	OK Outcome = iota
	Failed
	QueueFull
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Superseded
)

// ProvesNotRun tells whether an outcome proves that its attempt did not run.
func (o Outcome) ProvesNotRun() bool { return o == QueueFull || o == ConnectFailed || o == Superseded }

// Event is one of Arrival, EndpointUpdate, AttemptEnded, ResponseStarted, AttemptStalled, AttemptResumed, ClientDisconnected, TimerFired.
type Event interface{ event() }

// Arrival is a request taken from a client.
type Arrival struct {
	ID            uint64
	Shard         int // that holds the data, -1 for a new object
	Plan          int
	Class         int
	Key           string
	Volume        string
	TimeRemaining time.Duration // before the client gives up
	Units         float64
	Instances     int  // through which the volume's requests may come
	ClientRetry   bool // a client's repeat, where clients mark theirs
}

// EndpointUpdate is news of the node list.
type EndpointUpdate struct {
	Full      bool // the complete list, else changes only
	Failed    bool // a call failed: no entries, ask again
	Endpoints []Endpoint
}

// AttemptEnded tells how an attempt ended.
type AttemptEnded struct {
	ID            uint64
	Attempt       int
	Node          string
	Outcome       Outcome
	Duration      time.Duration
	Responded     bool    // the request has its final answer
	BodyConsumed  bool    // it cannot be sent again: what it carried is gone
	ReportedLoad  float64 // requests that the node said it held or had waiting
	HasLoadReport bool    // it said so
}

// ResponseStarted tells that a streamed answer has started.
type ResponseStarted struct {
	ID      uint64
	Attempt int
}

// AttemptStalled tells that the head's own machine holds an attempt up: nothing of that is the node's
// doing. AttemptResumed tells that it no longer does.
type AttemptStalled struct {
	ID      uint64
	Attempt int
}

// AttemptResumed is told after AttemptStalled; see there.
type AttemptResumed struct {
	ID      uint64
	Attempt int
}

// ClientDisconnected tells that the client has left.
type ClientDisconnected struct{ ID uint64 }

// TimerFired is a timer that was asked for.
type TimerFired struct{}

func (Arrival) event()            {}
func (EndpointUpdate) event()     {}
func (AttemptEnded) event()       {}
func (ResponseStarted) event()    {}
func (AttemptStalled) event()     {}
func (AttemptResumed) event()     {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
