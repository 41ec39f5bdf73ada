package scheduler

import "time"

// NodeState is a node's state on the list.
type NodeState int

// States of a node.
const (
	Serving NodeState = iota
	Draining
	Gone
)

// Entry is a line of the node list.
type Entry struct {
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
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// ProvesNotRun tells whether an outcome proves that its attempt did not run.
func (o Outcome) ProvesNotRun() bool { return o == Full || o == ConnectFailed || o == Moot }

// Event is one of Arrival, List, Ended, Begun, Stalled, Resumed, Dropped, Wake.
type Event interface{ event() }

// Arrival is a request taken from a client.
type Arrival struct {
	ID     uint64
	Shard  int // that holds the data, -1 for a new object
	Plan   int
	Class  int
	Key    string
	Volume string
	Left   time.Duration // before the client gives up
	Units  float64
	Hosts  int  // through which the volume's requests may come
	Again  bool // a client's repeat, where clients mark theirs
}

// List is news of the node list.
type List struct {
	Full    bool // the complete list, else changes only
	Failed  bool // a call failed: no entries, ask again
	Entries []Entry
}

// Ended tells how an attempt ended.
type Ended struct {
	ID       uint64
	Attempt  int
	Node     string
	Outcome  Outcome
	Took     time.Duration
	Closed   bool    // the request has its final answer
	Spent    bool    // it cannot be sent again: what it carried is gone
	Reported float64 // requests that the node said it held or had waiting
	Reports  bool    // it said so
}

// Begun tells that a streamed answer has started.
type Begun struct {
	ID      uint64
	Attempt int
}

// Stalled tells that the head's own machine holds an attempt up: nothing of that is the node's
// doing. Resumed tells that it no longer does.
type Stalled struct {
	ID      uint64
	Attempt int
}

// Resumed is told after Stalled; see there.
type Resumed struct {
	ID      uint64
	Attempt int
}

// Dropped tells that the client has left.
type Dropped struct{ ID uint64 }

// Wake is a timer that was asked for.
type Wake struct{}

func (Arrival) event() {}
func (List) event()    {}
func (Ended) event()   {}
func (Begun) event()   {}
func (Stalled) event() {}
func (Resumed) event() {}
func (Dropped) event() {}
func (Wake) event()    {}
