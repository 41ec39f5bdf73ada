package scheduler

import (
	"slices"

	"maddergap/internal/waitqueue"
)

// keyOrder holds the requests of one key, in ordered classes. They run one at a time, in order of
// arrival. A request keeps its place until it is completed and none of its attempts is in flight.
type keyOrder struct {
	requests []*request
	// cooldownUntil is the time from which the next request may be sent, after an attempt that may
	// still be running on its node. The request of that attempt, cooldownOwner, may be retried
	// earlier.
	cooldownUntil Time
	cooldownOwner *request
}

// addToKeyOrder adds an arriving request to the order of its key.
func (s *Scheduler) addToKeyOrder(r *request) {
	if !r.class.Ordered || r.Key == "" {
		return
	}
	order := s.keyOrders[r.Key]
	if order == nil {
		order = &keyOrder{}
		s.keyOrders[r.Key] = order
	}
	order.requests = append(order.requests, r)
}

// readyAt returns the earliest time at which a queued request may be sent, given its retry backoff and
// the cooldown of its key. isNext is false while an earlier request of its key is not over; the time
// is unknown then.
func (s *Scheduler) readyAt(r *request) (at Time, isNext bool) {
	order := s.keyOrders[r.Key]
	if !r.class.Ordered || order == nil {
		return r.notBefore, true
	}
	if len(order.requests) == 0 || order.requests[0] != r {
		return 0, false
	}
	if order.cooldownOwner == r {
		return r.notBefore, true
	}
	return max(r.notBefore, order.cooldownUntil), true
}

// startKeyCooldown delays the later requests of a key after an attempt that may still be running on
// its node. If they were sent at once, they could overtake the attempt.
func (s *Scheduler) startKeyCooldown(r *request, o Outcome) {
	order := s.keyOrders[r.Key]
	if order == nil || !r.class.Ordered || o.ProvesNotRun() || o == OK || o == Failed {
		return
	}
	order.cooldownUntil, order.cooldownOwner = s.now+s.settings.KeyCooldown, r
}

// removeFromKeyOrder removes a request from the order of its key and makes the next request ready. It
// has no effect until the request is completed and none of its attempts is in flight.
func (s *Scheduler) removeFromKeyOrder(r *request) {
	order := s.keyOrders[r.Key]
	if order == nil || r.state != completed || r.inFlight > 0 {
		return
	}
	switch i := slices.Index(order.requests, r); {
	case i == 0:
		order.requests = order.requests[1:]
	case i > 0:
		order.requests = slices.Delete(order.requests, i, i+1)
	default:
		return
	}
	if len(order.requests) == 0 {
		if s.now >= order.cooldownUntil {
			delete(s.keyOrders, r.Key)
		}
		return
	}
	next := order.requests[0]
	s.markDirty(next.node)
	if next.QueueState() == waitqueue.Suspended && next.node != nil {
		s.makeReady(next)
	}
}

// sweepKeyOrders deletes the keys that have neither requests nor a cooldown.
func (s *Scheduler) sweepKeyOrders() {
	for key, order := range s.keyOrders {
		if len(order.requests) == 0 && s.now >= order.cooldownUntil {
			delete(s.keyOrders, key)
		}
	}
}
