package waitqueue

import "maddergap/internal/orderedset"

// Subqueue holds ready requests of one profile, of one owner or of all owners that share it.
// A single request, the usual case under light load, is kept without sets.
type Subqueue[R any, K comparable] struct {
	Profile    K
	count      int
	single     R
	singleAt   itemTimes
	inSets     bool // the sets hold all requests
	byAim      *orderedset.Set[R]
	byDeadline *orderedset.Set[R]
}

type itemTimes struct{ aim, deadline, sequence int64 }

// Empty tells whether it has no request.
func (sub *Subqueue[R, K]) Empty() bool { return sub.count == 0 }

// BestByLatencyDeadline returns the first by an order of the requests whose aim is not before t.
func (sub *Subqueue[R, K]) BestByLatencyDeadline(order int, t Time) (R, bool) {
	if sub.inSets {
		return sub.byAim.Best(order, int64(t))
	}
	return sub.singleIf(sub.singleAt.aim >= int64(t))
}

// BestByDeadline returns the first by an order of the requests whose deadline is not before t.
func (sub *Subqueue[R, K]) BestByDeadline(order int, t Time) (R, bool) {
	if sub.inSets {
		return sub.byDeadline.Best(order, int64(t))
	}
	return sub.singleIf(sub.singleAt.deadline >= int64(t))
}

func (sub *Subqueue[R, K]) singleIf(inTime bool) (request R, ok bool) {
	if sub.count == 0 || !inTime {
		return request, false
	}
	return sub.single, true
}

func (sub *Subqueue[R, K]) add(request R, at itemTimes, orders []func(a, b R) bool) {
	sub.count++
	if sub.count == 1 {
		sub.single, sub.singleAt = request, at
		return
	}
	if !sub.inSets {
		if sub.byAim == nil {
			sub.byAim, sub.byDeadline = orderedset.New(orders...), orderedset.New(orders...)
		}
		sub.inSets = true
		sub.insert(sub.single, sub.singleAt)
	}
	sub.insert(request, at)
}

func (sub *Subqueue[R, K]) insert(request R, at itemTimes) {
	sub.byAim.Add(at.aim, at.sequence, request)
	sub.byDeadline.Add(at.deadline, at.sequence, request)
}

func (sub *Subqueue[R, K]) remove(at itemTimes) {
	sub.count--
	if sub.inSets {
		sub.byAim.Remove(at.aim, at.sequence)
		sub.byDeadline.Remove(at.deadline, at.sequence)
	}
	if sub.count == 0 {
		var none R
		sub.single, sub.inSets = none, false
	}
}

func (sub *Subqueue[R, K]) each(visit func(R)) {
	if sub.inSets {
		sub.byAim.All(func(request R) bool { visit(request); return true })
	} else if sub.count > 0 {
		visit(sub.single)
	}
}
