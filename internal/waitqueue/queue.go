// Package waitqueue implements the queue of requests that wait for one server. It groups requests
// into subqueues, so that the caller finds the next request to send by examining a few subqueues
// instead of every request. The package contains no policy: the caller decides which requests may be
// sent and in which order. It does no I/O and is deterministic.
//
// A request is queued from Add until Remove or RemoveExpired. While queued it is Ready, Deferred or
// Suspended. A request's profile is everything that the caller's rules depend on, apart from times
// and order. Ready requests with the same profile are in the same subqueue. A request's owner is the
// tenant that it belongs to. The scheduler has one queue for each node, and the owners are volumes.
package waitqueue

import (
	"cmp"
	"math"
	"slices"

	"maddergap/internal/orderedset"
)

// Queue holds the requests that wait for one server. Use New. A Queue is not safe for concurrent use.
//
// The set queued holds every queued request, and the set deferred also holds the Deferred requests.
// A Ready request is also in one subqueue of its owner and, unless the owner is isolated (see
// Isolate), in the shared subqueue of its profile.
type Queue[R Waiter[R, P, O], P, O comparable] struct {
	// Shared lists the shared subqueues, one for each profile. They hold the ready requests of all
	// owners that are not isolated. Some may be empty.
	Shared []*Subqueue[R, P]
	// Isolated lists the isolated owners, whose ready requests are in no shared subqueue.
	Isolated []*OwnerQueue[R, P, O]

	orders          []func(a, b R) bool // each reports whether a is better than b
	queued          *orderedset.Set[R]  // sorted by ExpiresAt
	deferred        *orderedset.Set[R]  // sorted by deferredUntil
	toRemove        []R                 // requests that the next RemoveExpired removes
	sharedByProfile map[P]*Subqueue[R, P]
	owners          map[O]*OwnerQueue[R, P, O]
	pruneThreshold  int               // length of Shared at which empty subqueues are removed
	freeSubqueues   []*Subqueue[R, P] // removed subqueues kept for reuse
	ownerThreshold  int               // number of owners at which those without ready requests are deleted
}

// New returns an empty queue. Each order must be a strict order that reports whether request a is
// better than request b. BestByLatencyDeadline and BestByDeadline of subqueues select an order by
// its index. A request's place in the orders must not change while it is ready.
func New[R Waiter[R, P, O], P, O comparable](orders ...func(a, b R) bool) *Queue[R, P, O] {
	return &Queue[R, P, O]{
		orders:          orders,
		queued:          orderedset.New[R](),
		deferred:        orderedset.New[R](),
		sharedByProfile: map[P]*Subqueue[R, P]{},
		owners:          map[O]*OwnerQueue[R, P, O]{},
		pruneThreshold:  maxEmptySharedSubqueues,
		ownerThreshold:  maxEmptyOwners,
	}
}

// Len returns the number of queued requests, including requests passed to RemoveLater.
func (q *Queue[R, P, O]) Len() int { return q.queued.Len() }

// Add adds a request to the queue in state Suspended. RemoveExpired sorts the requests that it
// returns by position.
func (q *Queue[R, P, O]) Add(request R, position int) {
	item := request.QueueItem()
	item.state, item.position = Suspended, position
	q.queued.Add(int64(item.ExpiresAt), int64(item.Sequence), request)
}

// Remove removes a request from the queue.
func (q *Queue[R, P, O]) Remove(request R) {
	q.Suspend(request)
	item := request.QueueItem()
	item.state = Absent
	q.queued.Remove(int64(item.ExpiresAt), int64(item.Sequence))
}

// RemoveLater suspends a request and has the next RemoveExpired remove it without returning it.
func (q *Queue[R, P, O]) RemoveLater(request R) {
	q.Suspend(request)
	q.toRemove = append(q.toRemove, request)
}

// RemoveExpired removes the requests that expire before t and returns them in order of position. If
// extend is not nil, it is called for each of these requests. If it returns a new expiry time that
// is not before t, the request stays queued with that expiry time.
func (q *Queue[R, P, O]) RemoveExpired(t Time, extend func(R) Time) (expired []R) {
	for _, request := range q.toRemove {
		q.Remove(request)
	}
	q.toRemove = q.toRemove[:0]
	for {
		request, ok := q.queued.First()
		if !ok || request.QueueItem().ExpiresAt >= t {
			break
		}
		if extend != nil && q.extendExpiry(request, t, extend(request)) {
			continue
		}
		q.Remove(request)
		expired = append(expired, request)
	}
	slices.SortFunc(expired, func(a, b R) int { return cmp.Compare(a.QueueItem().position, b.QueueItem().position) })
	return expired
}

// extendExpiry sets the expiry time of a request to expiresAt. It reports false, and changes
// nothing, if expiresAt is before t.
func (q *Queue[R, P, O]) extendExpiry(request R, t, expiresAt Time) bool {
	if expiresAt < t {
		return false
	}
	item := request.QueueItem()
	q.queued.Remove(int64(item.ExpiresAt), int64(item.Sequence))
	item.ExpiresAt = expiresAt
	q.queued.Add(int64(item.ExpiresAt), int64(item.Sequence), request)
	return true
}

// NextExpiry returns the earliest expiry time of all queued requests, or the largest Time if the
// queue is empty.
func (q *Queue[R, P, O]) NextExpiry() Time {
	if request, ok := q.queued.First(); ok {
		return request.QueueItem().ExpiresAt
	}
	return math.MaxInt64
}

// FirstToExpire returns the queued request that expires first, if any.
func (q *Queue[R, P, O]) FirstToExpire() (request R, ok bool) { return q.queued.First() }

// Defer defers a suspended request until the given time, which must be greater than 0.
func (q *Queue[R, P, O]) Defer(request R, until Time) {
	item := request.QueueItem()
	item.state, item.deferredUntil = Deferred, until
	q.deferred.Add(int64(until), int64(item.Sequence), request)
}

// PopDeferred suspends and returns the request with the earliest deferral, if that is not after now.
func (q *Queue[R, P, O]) PopDeferred(now Time) (request R, ok bool) {
	request, ok = q.deferred.First()
	if !ok || request.QueueItem().deferredUntil > now {
		return request, false
	}
	q.Suspend(request)
	return request, true
}

// MakeReady makes a suspended request ready and adds it to the subqueues of its profile.
func (q *Queue[R, P, O]) MakeReady(request R, owner O, profile P) {
	item := request.QueueItem()
	ownerQueue := q.ensureOwnerQueue(owner)
	ownerQueue.readyCount++
	item.state, item.owner, item.ownerSubqueue = Ready, owner, q.ownerSubqueue(ownerQueue, profile)
	item.ownerSubqueue.add(request, item.keys(), q.orders)
	if ownerQueue.isolated {
		return
	}
	item.sharedSubqueue = q.sharedSubqueue(profile)
	item.sharedSubqueue.add(request, item.keys(), q.orders)
}

// Suspend removes a Ready request from its subqueues, or ends the deferral of a Deferred request.
// The request stays queued as Suspended. Suspend has no effect on requests in other states.
func (q *Queue[R, P, O]) Suspend(request R) {
	item := request.QueueItem()
	switch item.state {
	case Deferred:
		q.deferred.Remove(int64(item.deferredUntil), int64(item.Sequence))
		item.state, item.deferredUntil = Suspended, 0
	case Ready:
		q.removeFromSubqueues(item)
		item.state = Suspended
	}
}

// removeFromSubqueues removes a ready request from its subqueues. If it was the last ready request of an
// isolated owner, the owner is no longer isolated.
func (q *Queue[R, P, O]) removeFromSubqueues(item *Item[R, P, O]) {
	item.ownerSubqueue.remove(item.keys())
	if item.sharedSubqueue != nil {
		item.sharedSubqueue.remove(item.keys())
	}
	item.ownerSubqueue, item.sharedSubqueue = nil, nil
	ownerQueue := q.owners[item.owner]
	ownerQueue.readyCount--
	if ownerQueue.readyCount == 0 && ownerQueue.isolated {
		ownerQueue.isolated = false
		q.Isolated = slices.DeleteFunc(q.Isolated, func(other *OwnerQueue[R, P, O]) bool { return other == ownerQueue })
	}
}
