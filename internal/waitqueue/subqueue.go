package waitqueue

import "maddergap/internal/orderedset"

// Subqueue holds ready requests of one profile, of one owner or of all owners that share it.
//
// A single request, the usual case under light load, is kept without sets: while inSets is false,
// count is 0 or 1 and single is the request; while it is true, both sets hold all requests.
type Subqueue[R any, K comparable] struct {
	Profile           K
	count             int
	single            R
	singleTimes       itemTimes
	inSets            bool
	byLatencyDeadline *orderedset.Set[R]
	byDeadline        *orderedset.Set[R]
}

// itemTimes are the keys of a request in the sets: nanoseconds, and the sequence to tell equal
// times apart.
type itemTimes struct{ latencyDeadline, deadline, sequence int64 }

// Empty reports whether it holds no request.
func (sub *Subqueue[R, K]) Empty() bool { return sub.count == 0 }

// BestByLatencyDeadline returns the first, by the order of that number, of the requests whose
// latency deadline is not before t.
func (sub *Subqueue[R, K]) BestByLatencyDeadline(order int, t Time) (R, bool) {
	if sub.inSets {
		return sub.byLatencyDeadline.Best(order, int64(t))
	}
	return sub.singleIf(sub.singleTimes.latencyDeadline >= int64(t))
}

// BestByDeadline returns the first, by the order of that number, of the requests whose deadline
// is not before t.
func (sub *Subqueue[R, K]) BestByDeadline(order int, t Time) (R, bool) {
	if sub.inSets {
		return sub.byDeadline.Best(order, int64(t))
	}
	return sub.singleIf(sub.singleTimes.deadline >= int64(t))
}

func (sub *Subqueue[R, K]) singleIf(inTime bool) (request R, ok bool) {
	if sub.count == 0 || !inTime {
		return request, false
	}
	return sub.single, true
}

func (sub *Subqueue[R, K]) add(request R, times itemTimes, orders []func(a, b R) bool) {
	sub.count++
	if sub.count == 1 {
		sub.single, sub.singleTimes = request, times
		return
	}
	if !sub.inSets {
		if sub.byLatencyDeadline == nil {
			sub.byLatencyDeadline, sub.byDeadline = orderedset.New(orders...), orderedset.New(orders...)
		}
		sub.inSets = true
		sub.insert(sub.single, sub.singleTimes)
	}
	sub.insert(request, times)
}

func (sub *Subqueue[R, K]) insert(request R, times itemTimes) {
	sub.byLatencyDeadline.Add(times.latencyDeadline, times.sequence, request)
	sub.byDeadline.Add(times.deadline, times.sequence, request)
}

func (sub *Subqueue[R, K]) remove(times itemTimes) {
	sub.count--
	if sub.inSets {
		sub.byLatencyDeadline.Remove(times.latencyDeadline, times.sequence)
		sub.byDeadline.Remove(times.deadline, times.sequence)
	}
	if sub.count == 0 {
		var none R
		sub.single, sub.inSets = none, false
	}
}

func (sub *Subqueue[R, K]) each(visit func(R)) {
	if sub.inSets {
		sub.byLatencyDeadline.All(func(request R) bool { visit(request); return true })
	} else if sub.count > 0 {
		visit(sub.single)
	}
}
