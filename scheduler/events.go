package scheduler

import "time"

// NodeState is the state of a node in the endpoint list.
type NodeState int

const (
	// Serving nodes take requests.
	Serving NodeState = iota
	// Draining nodes complete what is in flight and get nothing new.
	Draining
	// Removed nodes are gone from the list.
	Removed
)

// String returns the state's name.
func (s NodeState) String() string {
	switch s {
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Removed:
		return "removed"
	}
	return "unknown"
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	// Node is the node's name, unique in the list.
	Node string
	Zone int
	// Shard is what the node holds. Several nodes may hold the same shard.
	Shard int
	State NodeState
	// Started is when the node last started, 0 for long ago. A change means a restart.
	Started Time
}

// Outcome says how an attempt ended.
type Outcome int

// A value that is not among these counts as Failed.
const (
	// OK is a successful response, or one that reports a mistake of the client.
	OK Outcome = iota
	// Failed is a response that reports an error of the node.
	Failed
	// QueueFull is the node's rejection of what it has no queue space for; it did not run.
	QueueFull
	// TimedOut is no response by the request's deadline.
	TimedOut
	// ConnectFailed is a connection that did not come up; the attempt was not sent.
	ConnectFailed
	// Reset is a connection that ended before the response.
	Reset
	// Cancelled is an attempt that this instance gave up, as when the client disconnected.
	Cancelled
	// NotSent is an attempt that did not run for a reason other than the node: its time to
	// start had passed (Send.StartBefore), its request was over, or a reused connection had
	// closed before it was written.
	NotSent
)

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"ok", "failed", "queue-full", "timed-out", "connect-failed", "reset", "cancelled", "not-sent"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// ProvesNotRun reports whether the outcome proves that the node did not run the attempt.
func (o Outcome) ProvesNotRun() bool { return o == QueueFull || o == ConnectFailed || o == NotSent }

// Event is what the caller of Handle reports: one of Arrival, EndpointUpdate, AttemptEnded,
// ResponseStarted, AttemptStalled, AttemptResumed, ClientDisconnected and TimerFired. Events about
// requests or attempts that are unknown or already over are ignored.
type Event interface{ event() }

// Arrival reports a request of a client. It gets one final response, see Action.
type Arrival struct {
	// ID is unique among the requests without a final response.
	ID uint64
	// Shard is the one that holds the request's data, -1 for a new object, which any may take.
	Shard int
	// Plan and Class are indexes into Settings. A request with a class out of range is rejected; a
	// plan out of range counts as the nearest. A volume keeps the plan that it first came with.
	Plan  int
	Class int
	// Key orders the requests of an ordered class; empty for none.
	Key string
	// Volume is the name of the volume that the request is for.
	Volume string
	// TimeRemaining is how long the client still waits.
	TimeRemaining time.Duration
	// Units is the cost of the request.
	Units float64
	// Instances is how many instances the volume's requests arrive through, 0 for all.
	Instances int
	// ClientRetry is set for a client's retry, where clients mark theirs.
	ClientRetry bool
}

// EndpointUpdate reports a change of the endpoint list.
type EndpointUpdate struct {
	// Full is set where Endpoints is the whole list, otherwise it is what changed.
	Full bool
	// Failed is set where the call for the list failed; WatchEndpoints follows after a pause.
	Failed    bool
	Endpoints []Endpoint
}

// AttemptEnded reports the end of an attempt. It comes once for each Send.
type AttemptEnded struct {
	ID      uint64
	Attempt int // numbered from 0 in the order of the request's Sends
	// Node and Duration repeat what the scheduler knows; it does not use them.
	Node     string
	Duration time.Duration
	Outcome  Outcome
	// Responded is set where the client was sent this attempt's response as the final one.
	Responded bool
	// BodyConsumed is set where the request's body is gone, so that it cannot be sent again.
	BodyConsumed bool
	// ReportedLoad is the number of requests that the node said it had in flight or queued; it
	// is valid where HasLoadReport is set.
	ReportedLoad  float64
	HasLoadReport bool
}

// ResponseStarted reports that part of a streamed response was sent to the client: no other
// response can follow.
type ResponseStarted struct {
	ID      uint64
	Attempt int
}

// AttemptStalled reports that an attempt cannot go on for a failure of the instance's own machine,
// such as a lack of descriptors or memory. The time until AttemptResumed does not count against
// the node.
type AttemptStalled struct {
	ID      uint64
	Attempt int
}

// AttemptResumed reports that what AttemptStalled reported is over.
type AttemptResumed struct {
	ID      uint64
	Attempt int
}

// ClientDisconnected reports that the client is gone. The request gets no response, and its
// attempt is still reported with AttemptEnded.
type ClientDisconnected struct{ ID uint64 }

// TimerFired reports that the time of the last SetTimer has come.
type TimerFired struct{}

func (Arrival) event()            {}
func (EndpointUpdate) event()     {}
func (AttemptEnded) event()       {}
func (ResponseStarted) event()    {}
func (AttemptStalled) event()     {}
func (AttemptResumed) event()     {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
