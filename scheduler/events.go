package scheduler

import "time"

// NodeState is the state of a node in the endpoint list.
type NodeState int

const (
	// Serving nodes accept requests.
	Serving NodeState = iota
	// Draining nodes complete their requests in flight and get no new ones.
	Draining
	// Removed nodes are no longer in the list.
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
	// Shard is the shard that the node holds. Several nodes may hold the same one.
	Shard int
	State NodeState
	// Started is when the node last started, 0 if that is long ago. A new value means that the node
	// restarted.
	Started Time
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt. Any other value is treated as Cancelled.
const (
	// OK is a successful response, or a response that reports an error of the client.
	OK Outcome = iota
	// Failed is a response that reports an error of the node.
	Failed
	// QueueFull is a rejection by the node for lack of queue space; the node did not run the attempt.
	QueueFull
	// TimedOut means that there was no response by the request's deadline.
	TimedOut
	// ConnectFailed means that no connection was established; the attempt was not sent.
	ConnectFailed
	// Reset means that the connection ended before the response.
	Reset
	// Cancelled means that this instance gave the attempt up, for example because the client
	// disconnected, or because there was no response by Send.ArriveBefore.
	Cancelled
	// NotSent means that the attempt did not run, for a reason other than the node. For example, its
	// time to start had passed (Send.ArriveBefore), its request was over, this instance could open no
	// further connection, or a reused connection was closed before the attempt was written to it.
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

// Event is an input of Handle: an Arrival, EndpointUpdate, AttemptEnded, ResponseStarted,
// AttemptStalled, AttemptResumed, ClientDisconnected, PlanAssigned or TimerFired. Events about requests or attempts
// that are unknown or already over are ignored.
type Event interface{ event() }

// Arrival reports a new request of a client. The request gets one final response, see Action.
type Arrival struct {
	// ID is unique among the requests without a final response.
	ID uint64
	// Shard is the shard that holds the request's data, -1 for a new object, which any node may store.
	Shard int
	// Plan and Class are indexes into Settings. A request whose class is out of range is rejected; a
	// plan out of range is replaced by the nearest one. A volume keeps the plan of its first request, up
	// to a PlanAssigned.
	Plan  int
	Class int
	// Key is the ordering key, empty for none. Requests of ordered classes with the same key run one
	// at a time.
	Key string
	// Volume is the name of the volume that the request is for.
	Volume string
	// TimeRemaining is the time that the client will still wait for a response.
	TimeRemaining time.Duration
	// Units is the cost of the request.
	Units float64
	// Instances is the number of instances that the volume's requests arrive through, 0 for all.
	Instances int
	// ClientRetry reports whether the request is marked as a client's retry. Not all clients mark
	// their retries.
	ClientRetry bool
}

// EndpointUpdate reports a change of the endpoint list.
type EndpointUpdate struct {
	// Full reports whether Endpoints is the whole list. Otherwise Endpoints holds the changed entries.
	Full bool
	// Failed reports that the call for the list failed; WatchEndpoints follows after a pause.
	Failed    bool
	Endpoints []Endpoint
}

// AttemptEnded reports the end of an attempt, once for each Send.
type AttemptEnded struct {
	ID      uint64
	Attempt int // numbered from 0 in the order of the request's Sends
	// Node and Duration repeat what the scheduler already knows; it does not use them.
	Node     string
	Duration time.Duration
	Outcome  Outcome
	// Responded reports whether the client was sent this attempt's response as the final response.
	Responded bool
	// GivenUpWaiting reports that a Cancelled attempt had been written whole and that no response had
	// begun, so that its time in flight says something about the node.
	GivenUpWaiting bool
	// BodyConsumed reports whether the request's body is no longer available, so that the request
	// cannot be sent again.
	BodyConsumed bool
	// ReportedLoad is the number of requests in flight or queued at the node, as reported by the node.
	// It is valid if HasLoadReport is set.
	ReportedLoad  float64
	HasLoadReport bool
}

// ResponseStarted reports that part of a streamed response was sent to the client, so that no other
// response can follow.
type ResponseStarted struct {
	ID      uint64
	Attempt int
}

// AttemptStalled reports that an attempt cannot proceed because of a failure of the instance's own
// machine, such as a lack of file descriptors or memory. The time until AttemptResumed does not count
// against the node.
type AttemptStalled struct {
	ID      uint64
	Attempt int
}

// AttemptResumed reports the end of a stall that AttemptStalled reported.
type AttemptResumed struct {
	ID      uint64
	Attempt int
}

// ClientDisconnected reports that the client disconnected. The request gets no response. The end of an
// attempt in flight is still reported with AttemptEnded.
type ClientDisconnected struct{ ID uint64 }

// PlanAssigned reports that the configuration gives a volume a plan, an index into Settings. A volume
// without requests gets its plan with the first one.
type PlanAssigned struct {
	Volume string
	Plan   int
}

// TimerFired reports that the timer of the last SetTimer fired.
type TimerFired struct{}

func (Arrival) event()            {}
func (EndpointUpdate) event()     {}
func (AttemptEnded) event()       {}
func (ResponseStarted) event()    {}
func (AttemptStalled) event()     {}
func (AttemptResumed) event()     {}
func (ClientDisconnected) event() {}
func (PlanAssigned) event()       {}
func (TimerFired) event()         {}
