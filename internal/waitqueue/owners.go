package waitqueue

import "slices"

const (
	// maxEmptyShared is how many shared subqueues may stay though all are empty: profiles come
	// back, and a new subqueue costs an allocation.
	maxEmptyShared = 16
	// maxEmptyPerOwner is the same for the subqueues of one owner.
	maxEmptyPerOwner = maxEmptyShared / 4
	// maxReusable is how many removed subqueues are kept for use under another profile.
	maxReusable = 4 * maxEmptyShared
)

// OwnerQueue holds the ready requests of one owner, by profile.
type OwnerQueue[R any, K, V comparable] struct {
	Owner      V
	Subqueues  []*Subqueue[R, K]
	readyCount int
	isolated   bool // none of them is in a shared subqueue
}

// SubqueuesOf returns the subqueues of an owner that has a ready request.
func (q *Queue[R, K, V]) SubqueuesOf(owner V) []*Subqueue[R, K] { return q.owners[owner].Subqueues }

// Isolate takes an owner's requests out of the shared subqueues until none of them is ready. Each
// request is moved once at most. The owner must have a ready request and not be isolated.
func (q *Queue[R, K, V]) Isolate(owner V) {
	own := q.owners[owner]
	own.isolated, q.Isolated = true, append(q.Isolated, own)
	for _, sub := range own.Subqueues {
		sub.each(func(request R) {
			item := request.QueueItem()
			item.sharedSubqueue.remove(item.times())
			item.sharedSubqueue = nil
		})
	}
}

// Sweep forgets the owners that have no ready request.
func (q *Queue[R, K, V]) Sweep() {
	for owner, own := range q.owners {
		if own.readyCount == 0 {
			delete(q.owners, owner)
		}
	}
}

func (q *Queue[R, K, V]) ownerQueue(owner V) *OwnerQueue[R, K, V] {
	own := q.owners[owner]
	if own == nil {
		own = &OwnerQueue[R, K, V]{Owner: owner}
		q.owners[owner] = own
	}
	return own
}

// ownSubqueue returns the owner's subqueue of a profile.
func (q *Queue[R, K, V]) ownSubqueue(own *OwnerQueue[R, K, V], profile K) *Subqueue[R, K] {
	for _, sub := range own.Subqueues {
		if sub.Profile == profile {
			return sub
		}
	}
	if len(own.Subqueues) >= maxEmptyPerOwner {
		own.Subqueues = q.prune(own.Subqueues, nil)
	}
	sub := q.newSubqueue(profile)
	own.Subqueues = append(own.Subqueues, sub)
	return sub
}

// sharedSubqueue returns the shared subqueue of a profile.
func (q *Queue[R, K, V]) sharedSubqueue(profile K) *Subqueue[R, K] {
	if sub := q.sharedByProfile[profile]; sub != nil {
		return sub
	}
	if len(q.Shared) >= q.pruneThreshold {
		q.Shared = q.prune(q.Shared, q.sharedByProfile)
		// Twice what is left, so that pruning costs a constant time for each new subqueue.
		q.pruneThreshold = max(maxEmptyShared, 2*len(q.Shared))
	}
	sub := q.newSubqueue(profile)
	q.sharedByProfile[profile], q.Shared = sub, append(q.Shared, sub)
	return sub
}

// newSubqueue returns an empty subqueue, a reusable one if there is any.
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

// prune removes the empty subqueues from a list, and from the index of it, if not nil.
func (q *Queue[R, K, V]) prune(list []*Subqueue[R, K], index map[K]*Subqueue[R, K]) []*Subqueue[R, K] {
	return slices.DeleteFunc(list, func(sub *Subqueue[R, K]) bool {
		if !sub.Empty() {
			return false
		}
		delete(index, sub.Profile)
		if len(q.reusable) < maxReusable {
			q.reusable = append(q.reusable, sub)
		}
		return true
	})
}
