// Package waitqueue keeps the requests that wait for one server so that the next one to send
// is found by a look at a few subqueues, not at every request. It holds no rule: what may be
// sent, and what is sent first, is its user's to say. It is pure and deterministic.
//
// A request is held from Add to Remove. Meanwhile it is ready (MakeReady), deferred until a
// time (Defer), or neither. Ready requests of one profile, that is, those which its user's
// conditions treat alike but for their times and order, stand in one subqueue.
package waitqueue

import (
	"cmp"
	"math"
	"slices"

	"maddergap/internal/orderedset"
)

const (
	// keptEmpty is how many shared subqueues are kept though nothing waits in them.
	keptEmpty = 16
	// keptEmptyOfOwner is the same of one owner's.
	keptEmptyOfOwner = keptEmpty / 4
	// keptForReuse is how many subqueues that were taken out are kept for use again.
	keptForReuse = 4 * keptEmpty
)

// OwnerQueue is what one owner has ready in a queue. An isolated one is in no shared subqueue.
type OwnerQueue[R any, K, V comparable] struct {
	Owner     V
	Subqueues []*Subqueue[R, K]
	count     int
	isolated  bool
}

// Queue is where requests wait.
type Queue[R Waiter[R, K, V], K, V comparable] struct {
	Shared   []*Subqueue[R, K]      // of all owners that are not isolated
	Isolated []*OwnerQueue[R, K, V] // of those that are

	orders    []func(a, b R) bool
	held      *orderedset.Set[R] // by ExpiresAt
	deferred  *orderedset.Set[R] // by the time until when
	finished  []R                // to be removed by RemoveExpired
	byProfile map[K]*Subqueue[R, K]
	owners    map[V]*OwnerQueue[R, K, V]
	pruneAt   int
	reusable  []*Subqueue[R, K]
}

// New returns an empty queue. orders are strict orders of requests, in which a request's
// place must not change while it is ready.
func New[R Waiter[R, K, V], K, V comparable](orders ...func(a, b R) bool) *Queue[R, K, V] {
	return &Queue[R, K, V]{
		orders:    orders,
		held:      orderedset.New[R](),
		deferred:  orderedset.New[R](),
		byProfile: map[K]*Subqueue[R, K]{},
		owners:    map[V]*OwnerQueue[R, K, V]{},
		pruneAt:   keptEmpty,
	}
}

// Len is how many requests it holds, with those that RemoveLater was called for.
func (q *Queue[R, K, V]) Len() int { return q.held.Len() }

// Add takes a request in; position orders those that RemoveExpired returns.
func (q *Queue[R, K, V]) Add(request R, position int) {
	item := request.QueueItem()
	item.held, item.position = true, position
	q.held.Add(int64(item.ExpiresAt), int64(item.Sequence), request)
}

// Remove lets go of a request.
func (q *Queue[R, K, V]) Remove(request R) {
	q.Unplace(request)
	item := request.QueueItem()
	item.held = false
	q.held.Remove(int64(item.ExpiresAt), int64(item.Sequence))
}

// RemoveLater has the next RemoveExpired let go of a request without returning it.
func (q *Queue[R, K, V]) RemoveLater(request R) {
	q.Unplace(request)
	q.finished = append(q.finished, request)
}

// RemoveExpired lets go of the requests that are held until before t and returns them in the
// order of their positions. extend, if it is not nil, may name a time from t on until when a
// request is held instead.
func (q *Queue[R, K, V]) RemoveExpired(t Time, extend func(R) Time) (expired []R) {
	for _, request := range q.finished {
		q.Remove(request)
	}
	q.finished = q.finished[:0]
	for {
		request, ok := q.held.First()
		if !ok || request.QueueItem().ExpiresAt >= t {
			break
		}
		if extend != nil && q.extend(request, t, extend(request)) {
			continue
		}
		q.Remove(request)
		expired = append(expired, request)
	}
	slices.SortFunc(expired, func(a, b R) int { return cmp.Compare(a.QueueItem().position, b.QueueItem().position) })
	return expired
}

// extend has a request held until a time, if that is not before t.
func (q *Queue[R, K, V]) extend(request R, t, until Time) bool {
	if until < t {
		return false
	}
	item := request.QueueItem()
	q.held.Remove(int64(item.ExpiresAt), int64(item.Sequence))
	item.ExpiresAt = until
	q.held.Add(int64(item.ExpiresAt), int64(item.Sequence), request)
	return true
}

// NextExpiry is when the first request expires, the end of time where nothing is held.
func (q *Queue[R, K, V]) NextExpiry() Time {
	if request, ok := q.held.First(); ok {
		return request.QueueItem().ExpiresAt
	}
	return math.MaxInt64
}

// FirstToExpire is the request that expires first.
func (q *Queue[R, K, V]) FirstToExpire() (request R, ok bool) { return q.held.First() }

// Defer keeps a held request out of the subqueues until a time, which is not 0.
func (q *Queue[R, K, V]) Defer(request R, until Time) {
	item := request.QueueItem()
	item.deferredUntil = until
	q.deferred.Add(int64(until), int64(item.Sequence), request)
}

// PopDeferred returns a request whose time has come; it is no longer deferred.
func (q *Queue[R, K, V]) PopDeferred(now Time) (request R, ok bool) {
	request, ok = q.deferred.First()
	if !ok || request.QueueItem().deferredUntil > now {
		return request, false
	}
	q.Unplace(request)
	return request, true
}

// MakeReady lets a held request stand in the subqueues of its profile.
func (q *Queue[R, K, V]) MakeReady(request R, owner V, profile K) {
	item := request.QueueItem()
	own := q.ownerQueue(owner)
	own.count++
	item.owner, item.own = owner, q.subqueueOf(own, profile)
	item.own.add(request, item.times(), q.orders)
	if own.isolated {
		return
	}
	item.shared = q.sharedSubqueue(profile)
	item.shared.add(request, item.times(), q.orders)
}

func (q *Queue[R, K, V]) ownerQueue(owner V) *OwnerQueue[R, K, V] {
	own := q.owners[owner]
	if own == nil {
		own = &OwnerQueue[R, K, V]{Owner: owner}
		q.owners[owner] = own
	}
	return own
}

func (q *Queue[R, K, V]) subqueueOf(own *OwnerQueue[R, K, V], profile K) *Subqueue[R, K] {
	for _, sub := range own.Subqueues {
		if sub.Profile == profile {
			return sub
		}
	}
	if len(own.Subqueues) >= keptEmptyOfOwner {
		own.Subqueues = q.prune(own.Subqueues, nil)
	}
	sub := q.newSubqueue(profile)
	own.Subqueues = append(own.Subqueues, sub)
	return sub
}

func (q *Queue[R, K, V]) sharedSubqueue(profile K) *Subqueue[R, K] {
	if sub := q.byProfile[profile]; sub != nil {
		return sub
	}
	if len(q.Shared) >= q.pruneAt { // twice as many as last time
		q.Shared = q.prune(q.Shared, q.byProfile)
		q.pruneAt = max(keptEmpty, 2*len(q.Shared))
	}
	sub := q.newSubqueue(profile)
	q.byProfile[profile], q.Shared = sub, append(q.Shared, sub)
	return sub
}

// newSubqueue returns an empty subqueue, one that was used before if there is any.
func (q *Queue[R, K, V]) newSubqueue(profile K) *Subqueue[R, K] {
	last := len(q.reusable) - 1
	if last < 0 {
		return &Subqueue[R, K]{Profile: profile}
	}
	sub := q.reusable[last]
	q.reusable = q.reusable[:last]
	sub.Profile = profile
	return sub
}

// prune takes the empty subqueues out of a list, and out of a map that has them too.
func (q *Queue[R, K, V]) prune(list []*Subqueue[R, K], index map[K]*Subqueue[R, K]) []*Subqueue[R, K] {
	return slices.DeleteFunc(list, func(sub *Subqueue[R, K]) bool {
		if !sub.Empty() {
			return false
		}
		delete(index, sub.Profile)
		if len(q.reusable) < keptForReuse {
			q.reusable = append(q.reusable, sub)
		}
		return true
	})
}

// Unplace makes a request neither ready nor deferred; it is still held.
func (q *Queue[R, K, V]) Unplace(request R) {
	item := request.QueueItem()
	if item.deferredUntil > 0 {
		q.deferred.Remove(int64(item.deferredUntil), int64(item.Sequence))
		item.deferredUntil = 0
	}
	if item.own == nil {
		return
	}
	item.own.remove(item.times())
	if item.shared != nil {
		item.shared.remove(item.times())
	}
	item.own, item.shared = nil, nil
	own := q.owners[item.owner]
	own.count--
	if own.count == 0 && own.isolated {
		own.isolated = false
		q.Isolated = slices.DeleteFunc(q.Isolated, func(other *OwnerQueue[R, K, V]) bool { return other == own })
	}
}

// SubqueuesOf returns the subqueues of an owner that has a request ready.
func (q *Queue[R, K, V]) SubqueuesOf(owner V) []*Subqueue[R, K] { return q.owners[owner].Subqueues }

// Isolate takes an owner's requests out of the shared subqueues, until it has none left. Each
// request is moved so once at most.
func (q *Queue[R, K, V]) Isolate(owner V) {
	own := q.owners[owner]
	own.isolated, q.Isolated = true, append(q.Isolated, own)
	for _, sub := range own.Subqueues {
		sub.each(func(request R) {
			item := request.QueueItem()
			item.shared.remove(item.times())
			item.shared = nil
		})
	}
}

// Sweep forgets owners that have nothing ready.
func (q *Queue[R, K, V]) Sweep() {
	for owner, own := range q.owners {
		if own.count == 0 {
			delete(q.owners, owner)
		}
	}
}
