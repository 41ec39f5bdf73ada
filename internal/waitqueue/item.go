package waitqueue

import "time"

// Time is a monotonic clock reading: the time since an origin of the user's choosing.
type Time = time.Duration

// State says where a request stands in its queue.
type State int

const (
	// Absent requests are in no queue.
	Absent State = iota
	// Suspended requests are queued, and are not to be sent until MakeReady or Defer.
	Suspended
	// Deferred requests are queued, and are not to be sent before a time.
	Deferred
	// Ready requests are queued and stand in the subqueues of their profile.
	Ready
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Absent:
		return "absent"
	case Suspended:
		return "suspended"
	case Deferred:
		return "deferred"
	case Ready:
		return "ready"
	}
	return "unknown"
}

// Item is the queue's part of a request; requests embed it. R is the request, K its profile and
// V its owner. LatencyDeadline is not after Deadline, Sequence is unique among requests, and none
// of the three changes. ExpiresAt is when the request expires; while it is queued, RemoveExpired
// alone changes it.
type Item[R any, K, V comparable] struct {
	Deadline, LatencyDeadline, ExpiresAt Time
	Sequence                             int

	state         State
	position      int  // see Queue.Add
	deferredUntil Time // valid while Deferred
	owner         V    // valid while Ready, as are the subqueues
	ownSubqueue   *Subqueue[R, K]
	// sharedSubqueue is nil while the owner is isolated.
	sharedSubqueue *Subqueue[R, K]
}

// QueueItem returns the item itself.
func (item *Item[R, K, V]) QueueItem() *Item[R, K, V] { return item }

// QueueState returns where the request stands.
func (item *Item[R, K, V]) QueueState() State { return item.state }

// Profile returns the profile that a Ready request waits with.
func (item *Item[R, K, V]) Profile() *K { return &item.ownSubqueue.Profile }

func (item *Item[R, K, V]) times() itemTimes {
	return itemTimes{
		latencyDeadline: int64(item.LatencyDeadline),
		deadline:        int64(item.Deadline),
		sequence:        int64(item.Sequence),
	}
}

// Waiter is a request that embeds an Item.
type Waiter[R any, K, V comparable] interface {
	comparable
	QueueItem() *Item[R, K, V]
}
