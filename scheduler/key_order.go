package scheduler

import (
	"slices"

	"maddergap/internal/waitqueue"
)

// Order of keyed writes: requests of a class that is in order run one at a time for each key,
// in the order of their arrival.

// keyOrder is the order of one key's requests.
type keyOrder struct {
	requests []*request
	// cooldownUntil is when the key rests after an attempt that may still run; its own request may
	// be sent again before.
	cooldownUntil Time
	cooldownOwner *request
}

// joinKeyOrder gives a request its turn among those of its key.
func (s *Scheduler) joinKeyOrder(r *request) {
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

// readyAt returns when a held request may be sent as far as its own waits tell, and whether it
// is its turn.
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

// startKeyCooldown has a key rest after an attempt that may still run.
func (s *Scheduler) startKeyCooldown(r *request, o Outcome) {
	order := s.keyOrders[r.Key]
	if order == nil || !r.class.Ordered || o.ProvesNotRun() || o == OK || o == Failed {
		return
	}
	order.cooldownUntil, order.cooldownOwner = s.now+s.settings.KeyCooldown, r
}

// leaveKeyOrder gives the turn of a request that is over to the next of its key.
func (s *Scheduler) leaveKeyOrder(r *request) {
	order := s.keyOrders[r.Key]
	if order == nil || !r.done || r.inFlight > 0 {
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
		return
	}
	next := order.requests[0]
	s.markDirty(next.node)
	if next.QueueState() == waitqueue.Suspended && next.node != nil {
		s.makeReady(next)
	}
}

// sweepKeyOrders forgets keys that nothing waits for.
func (s *Scheduler) sweepKeyOrders() {
	for key, order := range s.keyOrders {
		if len(order.requests) == 0 && s.now >= order.cooldownUntil {
			delete(s.keyOrders, key)
		}
	}
}
