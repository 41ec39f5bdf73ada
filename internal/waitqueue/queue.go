// Package waitqueue keeps the requests that wait for one server, in a form in which the next one
// to send is found by a look at a few subqueues, not at every request. It holds no policy: what
// may be sent, and what is sent first, its user decides. It does no I/O and is deterministic.
//
// A request is queued from Add to Remove or RemoveExpired. Meanwhile it is Ready, Deferred or
// Suspended. Ready requests with the same profile (everything that the user's rules depend on,
// other than times and order) stand in one subqueue.
package waitqueue

import (
	"cmp"
	"math"
	"slices"

	"maddergap/internal/orderedset"
)

// Queue is where requests wait for one server. Every queued request is in queued; a Deferred one
// is also in deferred; a Ready one is in one subqueue of its owner and, unless the owner is
// isolated, in the shared subqueue of its profile.
type Queue[R Waiter[R, K, V], K, V comparable] struct {
	// Shared holds the ready requests of all owners that are not isolated, by profile.
	Shared []*Subqueue[R, K]
	// Isolated holds the owners whose ready requests are in no shared subqueue.
	Isolated []*OwnerQueue[R, K, V]

	orders   []func(a, b R) bool
	queued   *orderedset.Set[R] // by ExpiresAt
	deferred *orderedset.Set[R] // by deferredUntil
	toRemove []R                // by the next RemoveExpired

	sharedByProfile map[K]*Subqueue[R, K]
	owners          map[V]*OwnerQueue[R, K, V]
	pruneThreshold  int // length of Shared at which empty subqueues are removed
	reusable        []*Subqueue[R, K]
}

// New returns an empty queue. The orders are strict orders of requests, numbered from 0 for the
// Best methods of subqueues; a request's place in them must not change while it is ready.
func New[R Waiter[R, K, V], K, V comparable](orders ...func(a, b R) bool) *Queue[R, K, V] {
	return &Queue[R, K, V]{
		orders:          orders,
		queued:          orderedset.New[R](),
		deferred:        orderedset.New[R](),
		sharedByProfile: map[K]*Subqueue[R, K]{},
		owners:          map[V]*OwnerQueue[R, K, V]{},
		pruneThreshold:  maxEmptyShared,
	}
}

// Len returns how many requests are queued, including those passed to RemoveLater.
func (q *Queue[R, K, V]) Len() int { return q.queued.Len() }

// Add queues a request, Suspended. RemoveExpired returns requests in the order of position.
func (q *Queue[R, K, V]) Add(request R, position int) {
	item := request.QueueItem()
	item.state, item.position = Suspended, position
	q.queued.Add(int64(item.ExpiresAt), int64(item.Sequence), request)
}

// Remove takes a request out of the queue.
func (q *Queue[R, K, V]) Remove(request R) {
	q.Suspend(request)
	item := request.QueueItem()
	item.state = Absent
	q.queued.Remove(int64(item.ExpiresAt), int64(item.Sequence))
}

// RemoveLater suspends a request that the next RemoveExpired takes out without returning it.
func (q *Queue[R, K, V]) RemoveLater(request R) {
	q.Suspend(request)
	q.toRemove = append(q.toRemove, request)
}

// RemoveExpired takes out the requests that expire before t and returns them in the order of
// their positions. extend, if not nil, may return a later expiry for a request, which then stays;
// a result before t is ignored.
func (q *Queue[R, K, V]) RemoveExpired(t Time, extend func(R) Time) (expired []R) {
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

// extendExpiry moves a request's expiry, unless the new one is before t.
func (q *Queue[R, K, V]) extendExpiry(request R, t, expiresAt Time) bool {
	if expiresAt < t {
		return false
	}
	item := request.QueueItem()
	q.queued.Remove(int64(item.ExpiresAt), int64(item.Sequence))
	item.ExpiresAt = expiresAt
	q.queued.Add(int64(item.ExpiresAt), int64(item.Sequence), request)
	return true
}

// NextExpiry returns when the first request expires, the largest time where the queue is empty.
func (q *Queue[R, K, V]) NextExpiry() Time {
	if request, ok := q.queued.First(); ok {
		return request.QueueItem().ExpiresAt
	}
	return math.MaxInt64
}

// FirstToExpire returns the request that expires first, if any.
func (q *Queue[R, K, V]) FirstToExpire() (request R, ok bool) { return q.queued.First() }

// Defer defers a suspended request until a time, which must be more than 0.
func (q *Queue[R, K, V]) Defer(request R, until Time) {
	item := request.QueueItem()
	item.state, item.deferredUntil = Deferred, until
	q.deferred.Add(int64(until), int64(item.Sequence), request)
}

// PopDeferred suspends and returns the first request that is deferred until now or earlier, if
// any.
func (q *Queue[R, K, V]) PopDeferred(now Time) (request R, ok bool) {
	request, ok = q.deferred.First()
	if !ok || request.QueueItem().deferredUntil > now {
		return request, false
	}
	q.Suspend(request)
	return request, true
}

// MakeReady puts a suspended request into the subqueues of its profile.
func (q *Queue[R, K, V]) MakeReady(request R, owner V, profile K) {
	item := request.QueueItem()
	own := q.ownerQueue(owner)
	own.readyCount++
	item.state, item.owner, item.ownSubqueue = Ready, owner, q.ownSubqueue(own, profile)
	item.ownSubqueue.add(request, item.times(), q.orders)
	if own.isolated {
		return
	}
	item.sharedSubqueue = q.sharedSubqueue(profile)
	item.sharedSubqueue.add(request, item.times(), q.orders)
}

// Suspend takes a request out of the subqueues or ends its deferral; it stays queued. A request
// that is neither Ready nor Deferred is left as it is.
func (q *Queue[R, K, V]) Suspend(request R) {
	item := request.QueueItem()
	switch item.state {
	case Deferred:
		q.deferred.Remove(int64(item.deferredUntil), int64(item.Sequence))
		item.state, item.deferredUntil = Suspended, 0
	case Ready:
		q.leaveSubqueues(item)
		item.state = Suspended
	}
}

// leaveSubqueues takes a ready request out of its subqueues. An owner without ready requests is
// no longer isolated.
func (q *Queue[R, K, V]) leaveSubqueues(item *Item[R, K, V]) {
	item.ownSubqueue.remove(item.times())
	if item.sharedSubqueue != nil {
		item.sharedSubqueue.remove(item.times())
	}
	item.ownSubqueue, item.sharedSubqueue = nil, nil
	own := q.owners[item.owner]
	own.readyCount--
	if own.readyCount == 0 && own.isolated {
		own.isolated = false
		q.Isolated = slices.DeleteFunc(q.Isolated, func(other *OwnerQueue[R, K, V]) bool { return other == own })
	}
}
