package waitqueue

import "time"

// Time is a clock reading.
type Time = time.Duration

// Item is the queue's part of a request; requests embed it. Aim is not after Deadline, and
// Sequence tells requests apart; none of the three changes. ExpiresAt is when the request
// expires; while it is in a queue, RemoveExpired alone changes it.
type Item[R any, K, V comparable] struct {
	Deadline, LatencyDeadline, ExpiresAt Time
	Sequence                             int

	held          bool
	position      int
	deferredUntil Time // 0: it is not deferred
	owner         V
	own, shared   *Subqueue[R, K]
}

// QueueItem returns the item itself.
func (item *Item[R, K, V]) QueueItem() *Item[R, K, V] { return item }

// Queued tells whether a queue has it.
func (item *Item[R, K, V]) Queued() bool { return item.held }

// Placed tells whether it is ready or deferred.
func (item *Item[R, K, V]) Placed() bool { return item.own != nil || item.deferredUntil > 0 }

// Profile is that of the subqueue of a ready request.
func (item *Item[R, K, V]) Profile() *K { return &item.own.Profile }

func (item *Item[R, K, V]) times() itemTimes {
	return itemTimes{aim: int64(item.LatencyDeadline), deadline: int64(item.Deadline), sequence: int64(item.Sequence)}
}

// Waiter is a request that embeds an Item.
type Waiter[R any, K, V comparable] interface {
	comparable
	QueueItem() *Item[R, K, V]
}
