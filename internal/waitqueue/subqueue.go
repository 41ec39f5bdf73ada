package waitqueue

import "maddergap/internal/orderedset"

// Subqueue holds ready requests with the same profile: either those of one owner, or those of all
// owners that are not isolated.
//
// Under light load a subqueue usually holds a single request, which is stored without the sets.
// While usesSets is false, count is 0 or 1 and single holds the request, if any. While usesSets is
// true, both sets hold all count requests.
type Subqueue[R any, P comparable] struct {
	Profile           P        // profile of all requests in the subqueue
	count             int      // number of requests
	single            R        // the only request, if usesSets is false
	singleKeys        itemKeys // keys of single
	usesSets          bool
	byLatencyDeadline *orderedset.Set[R] // nil until the subqueue first holds two requests
	byDeadline        *orderedset.Set[R] // nil until the subqueue first holds two requests
}

// itemKeys are the keys of a request in the sets: two times in nanoseconds, and the sequence number
// that orders requests with equal times.
type itemKeys struct{ latencyDeadline, deadline, sequence int64 }

// Empty reports whether the subqueue holds no requests.
func (sub *Subqueue[R, P]) Empty() bool { return sub.count == 0 }

// BestByLatencyDeadline returns the best of the requests whose latency deadline is not before t, if
// there are any. The order is the index of one of the orders passed to New.
func (sub *Subqueue[R, P]) BestByLatencyDeadline(order int, t Time) (R, bool) {
	if sub.usesSets {
		return sub.byLatencyDeadline.Best(order, int64(t))
	}
	return sub.singleIf(sub.singleKeys.latencyDeadline >= int64(t))
}

// BestByDeadline returns the best of the requests whose deadline is not before t, if there are any.
// The order is the index of one of the orders passed to New.
func (sub *Subqueue[R, P]) BestByDeadline(order int, t Time) (R, bool) {
	if sub.usesSets {
		return sub.byDeadline.Best(order, int64(t))
	}
	return sub.singleIf(sub.singleKeys.deadline >= int64(t))
}

// singleIf returns the single request if there is one and inTime is true. It must only be called
// while usesSets is false.
func (sub *Subqueue[R, P]) singleIf(inTime bool) (request R, ok bool) {
	if sub.count == 0 || !inTime {
		return request, false
	}
	return sub.single, true
}

// add adds a request. The second request moves the subqueue to the sets; orders are those of the
// queue, for sets that do not exist yet.
func (sub *Subqueue[R, P]) add(request R, keys itemKeys, orders []func(a, b R) bool) {
	sub.count++
	if sub.count == 1 {
		sub.single, sub.singleKeys = request, keys
		return
	}
	if !sub.usesSets {
		if sub.byLatencyDeadline == nil {
			sub.byLatencyDeadline, sub.byDeadline = orderedset.New(orders...), orderedset.New(orders...)
		}
		sub.usesSets = true
		sub.insert(sub.single, sub.singleKeys)
	}
	sub.insert(request, keys)
}

// insert adds a request to both sets.
func (sub *Subqueue[R, P]) insert(request R, keys itemKeys) {
	sub.byLatencyDeadline.Add(keys.latencyDeadline, keys.sequence, request)
	sub.byDeadline.Add(keys.deadline, keys.sequence, request)
}

// remove removes the request with the given keys, which must be in the subqueue. An empty subqueue
// goes back to storing a single request.
func (sub *Subqueue[R, P]) remove(keys itemKeys) {
	sub.count--
	if sub.usesSets {
		sub.byLatencyDeadline.Remove(keys.latencyDeadline, keys.sequence)
		sub.byDeadline.Remove(keys.deadline, keys.sequence)
	}
	if sub.count == 0 {
		var none R
		sub.single, sub.usesSets = none, false
	}
}

// each calls visit for every request, in order of latency deadline.
func (sub *Subqueue[R, P]) each(visit func(R)) {
	if sub.usesSets {
		sub.byLatencyDeadline.All(func(request R) bool { visit(request); return true })
	} else if sub.count > 0 {
		visit(sub.single)
	}
}
