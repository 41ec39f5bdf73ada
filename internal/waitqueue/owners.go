package waitqueue

import "slices"

const (
	// maxEmptySharedSubqueues is the number of shared subqueues that are kept even if all of them are
	// empty. Each is for one profile: the properties that requests of one kind share (see the package
	// comment). The next request often has a profile that occurred before, and finding its subqueue
	// saves the allocation of a new one.
	maxEmptySharedSubqueues = 16
	// maxEmptyOwnerSubqueues is the corresponding number for the subqueues of one owner.
	maxEmptyOwnerSubqueues = maxEmptySharedSubqueues / 4
	// maxFreeSubqueues is the number of removed subqueues that are kept for reuse with other profiles.
	maxFreeSubqueues = 4 * maxEmptySharedSubqueues
)

// OwnerQueue holds the ready requests of one owner, in one subqueue for each profile.
type OwnerQueue[R any, P, O comparable] struct {
	Owner      O
	Subqueues  []*Subqueue[R, P] // some may be empty
	readyCount int               // number of ready requests
	isolated   bool              // true if the owner's ready requests are in no shared subqueue
}

// SubqueuesOf returns the subqueues of an owner. The owner must have a ready request.
func (q *Queue[R, P, O]) SubqueuesOf(owner O) []*Subqueue[R, P] { return q.owners[owner].Subqueues }

// Isolate removes the ready requests of an owner from the shared subqueues. Callers isolate an owner
// while its requests must not be sent, so that its requests do not stand before requests of other
// owners in these subqueues. The owner stays isolated until it has no ready requests. Requests that
// become ready before then enter only the owner's own subqueues, so each request is removed from a
// shared subqueue in this way at most once. The owner must have a ready request and must not be
// isolated yet.
func (q *Queue[R, P, O]) Isolate(owner O) {
	ownerQueue := q.owners[owner]
	ownerQueue.isolated, q.Isolated = true, append(q.Isolated, ownerQueue)
	for _, sub := range ownerQueue.Subqueues {
		sub.each(func(request R) {
			item := request.QueueItem()
			item.sharedSubqueue.remove(item.keys())
			item.sharedSubqueue = nil
		})
	}
}

// DeleteEmptyOwners deletes the OwnerQueue of each owner that has no ready requests.
func (q *Queue[R, P, O]) DeleteEmptyOwners() {
	for owner, ownerQueue := range q.owners {
		if ownerQueue.readyCount == 0 {
			delete(q.owners, owner)
		}
	}
}

// maxEmptyOwners is the number of owners without ready requests that are kept at most, in addition to as
// many as there are owners with ready requests.
const maxEmptyOwners = 256

// limitOwners deletes the owners without ready requests when there are many. The caller deletes them now
// and then, but owners may be added at any rate.
func (q *Queue[R, P, O]) limitOwners() {
	if len(q.owners) < q.ownerThreshold {
		return
	}
	q.DeleteEmptyOwners()
	q.ownerThreshold = 2*len(q.owners) + maxEmptyOwners
}

// ensureOwnerQueue returns the OwnerQueue of an owner and creates it if there is none.
func (q *Queue[R, P, O]) ensureOwnerQueue(owner O) *OwnerQueue[R, P, O] {
	ownerQueue := q.owners[owner]
	if ownerQueue == nil {
		q.limitOwners()
		ownerQueue = &OwnerQueue[R, P, O]{Owner: owner}
		q.owners[owner] = ownerQueue
	}
	return ownerQueue
}

// ownerSubqueue returns the owner's subqueue for a profile and creates it if there is none.
func (q *Queue[R, P, O]) ownerSubqueue(ownerQueue *OwnerQueue[R, P, O], profile P) *Subqueue[R, P] {
	for _, sub := range ownerQueue.Subqueues {
		if sub.Profile == profile {
			return sub
		}
	}
	if len(ownerQueue.Subqueues) >= maxEmptyOwnerSubqueues {
		ownerQueue.Subqueues = q.prune(ownerQueue.Subqueues, nil)
	}
	sub := q.newSubqueue(profile)
	ownerQueue.Subqueues = append(ownerQueue.Subqueues, sub)
	return sub
}

// sharedSubqueue returns the shared subqueue for a profile and creates it if there is none.
func (q *Queue[R, P, O]) sharedSubqueue(profile P) *Subqueue[R, P] {
	if sub := q.sharedByProfile[profile]; sub != nil {
		return sub
	}
	if len(q.Shared) >= q.pruneThreshold {
		q.Shared = q.prune(q.Shared, q.sharedByProfile)
		// With a threshold of twice the remaining length, pruning takes amortized constant time per
		// new subqueue.
		q.pruneThreshold = max(maxEmptySharedSubqueues, 2*len(q.Shared))
	}
	sub := q.newSubqueue(profile)
	q.sharedByProfile[profile], q.Shared = sub, append(q.Shared, sub)
	return sub
}

// newSubqueue returns an empty subqueue for a profile. It reuses a free one if possible.
func (q *Queue[R, P, O]) newSubqueue(profile P) *Subqueue[R, P] {
	last := len(q.freeSubqueues) - 1
	if last < 0 {
		return &Subqueue[R, P]{Profile: profile}
	}
	sub := q.freeSubqueues[last]
	q.freeSubqueues = q.freeSubqueues[:last]
	sub.Profile = profile
	return sub
}

// prune removes the empty subqueues from a list and returns the shortened list. If index is not
// nil, it maps each profile to its subqueue in the list, and the empty subqueues are removed from
// it as well.
func (q *Queue[R, P, O]) prune(list []*Subqueue[R, P], index map[P]*Subqueue[R, P]) []*Subqueue[R, P] {
	return slices.DeleteFunc(list, func(sub *Subqueue[R, P]) bool {
		if !sub.Empty() {
			return false
		}
		delete(index, sub.Profile)
		if len(q.freeSubqueues) < maxFreeSubqueues {
			q.freeSubqueues = append(q.freeSubqueues, sub)
		}
		return true
	})
}
