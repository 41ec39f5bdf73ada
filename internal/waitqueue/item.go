package waitqueue

import "time"

// Time is a reading of a monotonic clock, relative to an origin that the caller chooses.
type Time = time.Duration

// State is the state of a request in a Queue.
type State int

const (
	// Absent means that the request is not queued.
	Absent State = iota
	// Suspended means that the request is queued, but is not to be sent before MakeReady or Defer.
	Suspended
	// Deferred means that the request is queued, but is not to be sent before a given time.
	Deferred
	// Ready means that the request is queued and is also in the subqueues of its profile.
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

// Item holds the queue's data about a request. Request types embed it. R is the type of the request,
// P that of its profile and O that of its owner.
//
// The caller sets the exported fields. Deadline, LatencyDeadline and Sequence must not change once
// set; LatencyDeadline must not be after Deadline, and Sequence must be unique among the requests.
// ExpiresAt is the time at which the request expires. While the request is queued, only
// RemoveExpired may change it.
type Item[R any, P, O comparable] struct {
	Deadline, LatencyDeadline, ExpiresAt Time
	Sequence                             int

	state         State
	position      int  // sort key of the requests that RemoveExpired returns
	deferredUntil Time // valid while Deferred
	owner         O    // valid while Ready
	// ownerSubqueue is the subqueue of the request's owner and profile; valid while Ready.
	ownerSubqueue *Subqueue[R, P]
	// sharedSubqueue is the shared subqueue of the request's profile; valid while Ready, nil if the
	// owner is isolated.
	sharedSubqueue *Subqueue[R, P]
}

// QueueItem returns the item itself. Through it, request types that embed an Item implement Waiter.
func (item *Item[R, P, O]) QueueItem() *Item[R, P, O] { return item }

// QueueState returns the state of the request.
func (item *Item[R, P, O]) QueueState() State { return item.state }

// Profile returns the profile that was passed to MakeReady. It must only be called while the request
// is Ready.
func (item *Item[R, P, O]) Profile() *P { return &item.ownerSubqueue.Profile }

func (item *Item[R, P, O]) keys() itemKeys {
	return itemKeys{
		latencyDeadline: int64(item.LatencyDeadline),
		deadline:        int64(item.Deadline),
		sequence:        int64(item.Sequence),
	}
}

// Waiter is a request that embeds an Item.
type Waiter[R any, P, O comparable] interface {
	comparable
	QueueItem() *Item[R, P, O]
}
