// Package lanes keeps requests that wait at one place so that the next one to go is
// found by a look at few lanes, not at every request. It holds no rule: what may go
// and what goes first is its user's to say. It is pure and deterministic.
//
// A request is held from Hold to Drop. Meanwhile it stands ready in lanes (Ready),
// sleeps until a time (Sleep), or does neither. A lane has requests of one kind, that
// is, which its user's conditions treat alike but for their times and order.
package lanes

import (
	"cmp"
	"math"
	"slices"
	"time"

	"maddergap/internal/rank"
)

// Time is a clock reading.
type Time = time.Duration

// Slot is the part of a request that says where it waits; requests embed it. Aim is
// not after Due, and Seq tells requests apart; they do not change. By is until when it
// is held at the most; while it is, Until alone changes it.
type Slot[R any, K, V comparable] struct {
	Due, Aim, By Time
	Seq          int

	held        bool
	pos         int
	sleeps      Time // 0: it does not
	owner       V
	own, shared *Lane[R, K]
}

// At returns the slot itself.
func (s *Slot[R, K, V]) At() *Slot[R, K, V] { return s }

// Placed tells whether it stands ready or sleeps.
func (s *Slot[R, K, V]) Placed() bool { return s.own != nil || s.sleeps > 0 }

// Held tells whether it is held anywhere.
func (s *Slot[R, K, V]) Held() bool { return s.held }

// Kind is what a ready request's lane has in common.
func (s *Slot[R, K, V]) Kind() *K { return &s.own.Kind }

// Waiter is a request.
type Waiter[R any, K, V comparable] interface {
	comparable
	At() *Slot[R, K, V]
}

// Lane holds ready requests of a kind, of one owner or of all that share it.
// One that has a single request, as most have in calm, keeps it without sets.
type Lane[R any, K comparable] struct {
	Kind       K
	count      int
	one        R
	only       times // of that one
	many       bool  // the sets hold all
	aims, dues *rank.Set[R]
}

type times struct{ aim, due, seq int64 }

// Empty tells whether it has none.
func (l *Lane[R, K]) Empty() bool { return l.count == 0 }

// InTime returns the first by an order of those whose aim is not before t.
func (l *Lane[R, K]) InTime(order int, t Time) (R, bool) {
	if l.many {
		return l.aims.Best(order, int64(t))
	}
	return l.single(l.only.aim >= int64(t))
}

// Alive returns the first by an order of those whose due time is not before t.
func (l *Lane[R, K]) Alive(order int, t Time) (R, bool) {
	if l.many {
		return l.dues.Best(order, int64(t))
	}
	return l.single(l.only.due >= int64(t))
}

func (l *Lane[R, K]) single(is bool) (r R, ok bool) {
	if l.count == 0 || !is {
		return r, false
	}
	return l.one, true
}

func (l *Lane[R, K]) add(r R, t times, orders []func(a, b R) bool) {
	if l.count++; l.count == 1 {
		l.one, l.only = r, t
		return
	}
	if !l.many {
		if l.aims == nil {
			l.aims, l.dues = rank.New(orders...), rank.New(orders...)
		}
		l.many = true
		l.put(l.one, l.only)
	}
	l.put(r, t)
}

func (l *Lane[R, K]) put(r R, t times) {
	l.aims.Add(t.aim, t.seq, r)
	l.dues.Add(t.due, t.seq, r)
}

func (l *Lane[R, K]) remove(t times) {
	l.count--
	if l.many {
		l.aims.Remove(t.aim, t.seq)
		l.dues.Remove(t.due, t.seq)
	}
	if l.count == 0 {
		var none R
		l.one, l.many = none, false
	}
}

func (l *Lane[R, K]) each(f func(R)) {
	if l.many {
		l.aims.All(func(r R) bool { f(r); return true })
	} else if l.count > 0 {
		f(l.one)
	}
}

// Side is what one owner has ready at a place. Apart, it is in no shared lane.
type Side[R any, K, V comparable] struct {
	Owner V
	Lanes []*Lane[R, K]
	count int
	apart bool
}

// Place is where requests wait.
type Place[R Waiter[R, K, V], K, V comparable] struct {
	Shared []*Lane[R, K]    // of all owners that are not apart
	Apart  []*Side[R, K, V] // of those that are

	orders  []func(a, b R) bool
	held    *rank.Set[R] // by due time
	asleep  *rank.Set[R] // by the time until then
	done    []R          // to be dropped with the next look
	kinds   map[K]*Lane[R, K]
	sides   map[V]*Side[R, K, V]
	pruneAt int
	old     []*Lane[R, K] // for use again
}

// few is how many lanes are kept though nothing waits in them.
const few = 16

// New returns an empty place; orders are strict orders of requests, which within a
// lane must not change while they stand in it.
func New[R Waiter[R, K, V], K, V comparable](orders ...func(a, b R) bool) *Place[R, K, V] {
	return &Place[R, K, V]{orders: orders, held: rank.New[R](), asleep: rank.New[R](), kinds: map[K]*Lane[R, K]{},
		sides: map[V]*Side[R, K, V]{}, pruneAt: few}
}

// Len is how many it holds, those that are done with them until the next look.
func (p *Place[R, K, V]) Len() int { return p.held.Len() }

// Hold takes a request in; pos orders those that Until returns.
func (p *Place[R, K, V]) Hold(r R, pos int) {
	s := r.At()
	s.held, s.pos = true, pos
	p.held.Add(int64(s.By), int64(s.Seq), r)
}

// Drop lets go of a request.
func (p *Place[R, K, V]) Drop(r R) {
	p.Unplace(r)
	s := r.At()
	s.held = false
	p.held.Remove(int64(s.By), int64(s.Seq))
}

// Done is Drop, but Len counts it until the next look.
func (p *Place[R, K, V]) Done(r R) {
	p.Unplace(r)
	p.done = append(p.done, r)
}

// Until lets go of those that are held until before t and returns them in the order of
// their places; those that are done are let go of too. later, if it is not nil, may
// name a time from t on until when one is held instead.
func (p *Place[R, K, V]) Until(t Time, later func(R) Time) (out []R) {
	for _, r := range p.done {
		p.Drop(r)
	}
	p.done = p.done[:0]
	for r, ok := p.held.First(); ok && r.At().By < t; r, ok = p.held.First() {
		if s := r.At(); later != nil {
			if by := later(r); by >= t {
				p.held.Remove(int64(s.By), int64(s.Seq))
				s.By = by
				p.held.Add(int64(s.By), int64(s.Seq), r)
				continue
			}
		}
		p.Drop(r)
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b R) int { return cmp.Compare(a.At().pos, b.At().pos) })
	return out
}

// First is the first time until when one is held, the end of time where nothing is held.
func (p *Place[R, K, V]) First() Time {
	if r, ok := p.held.First(); ok {
		return r.At().By
	}
	return math.MaxInt64
}

// Sleep keeps a held request out of the lanes until a time, which is not 0.
func (p *Place[R, K, V]) Sleep(r R, until Time) {
	s := r.At()
	s.sleeps = until
	p.asleep.Add(int64(until), int64(s.Seq), r)
}

// Woken takes one whose sleep is over by now out of its sleep.
func (p *Place[R, K, V]) Woken(now Time) (r R, ok bool) {
	if r, ok = p.asleep.First(); !ok || r.At().sleeps > now {
		return r, false
	}
	p.Unplace(r)
	return r, true
}

// Ready lets a held request stand in the lanes of its kind.
func (p *Place[R, K, V]) Ready(r R, owner V, kind K) {
	side := p.sides[owner]
	if side == nil {
		side = &Side[R, K, V]{Owner: owner}
		p.sides[owner] = side
	}
	s := r.At()
	side.count++
	i := slices.IndexFunc(side.Lanes, func(l *Lane[R, K]) bool { return l.Kind == kind })
	if i < 0 {
		if len(side.Lanes) >= few/4 {
			side.Lanes = p.prune(side.Lanes, nil)
		}
		i = len(side.Lanes)
		side.Lanes = append(side.Lanes, p.lane(kind))
	}
	s.owner, s.own = owner, side.Lanes[i]
	s.own.add(r, s.times(), p.orders)
	if side.apart {
		return
	}
	l := p.kinds[kind]
	if l == nil {
		if len(p.Shared) >= p.pruneAt { // twice as many as last time
			p.Shared = p.prune(p.Shared, p.kinds)
			p.pruneAt = max(few, 2*len(p.Shared))
		}
		l = p.lane(kind)
		p.kinds[kind], p.Shared = l, append(p.Shared, l)
	}
	s.shared = l
	l.add(r, s.times(), p.orders)
}

// lane returns an empty lane, one that was used before if there is any.
func (p *Place[R, K, V]) lane(kind K) *Lane[R, K] {
	if n := len(p.old); n > 0 {
		l := p.old[n-1]
		p.old = p.old[:n-1]
		l.Kind = kind
		return l
	}
	return &Lane[R, K]{Kind: kind}
}

// prune takes the empty lanes out of a list, and out of a map that has them too.
func (p *Place[R, K, V]) prune(list []*Lane[R, K], by map[K]*Lane[R, K]) []*Lane[R, K] {
	return slices.DeleteFunc(list, func(l *Lane[R, K]) bool {
		if !l.Empty() {
			return false
		}
		delete(by, l.Kind)
		if len(p.old) < 4*few {
			p.old = append(p.old, l)
		}
		return true
	})
}

func (s *Slot[R, K, V]) times() times { return times{int64(s.Aim), int64(s.Due), int64(s.Seq)} }

// Unplace takes a request out of its lanes or its sleep; it is still held.
func (p *Place[R, K, V]) Unplace(r R) {
	s := r.At()
	if s.sleeps > 0 {
		p.asleep.Remove(int64(s.sleeps), int64(s.Seq))
		s.sleeps = 0
	}
	if s.own == nil {
		return
	}
	s.own.remove(s.times())
	if s.shared != nil {
		s.shared.remove(s.times())
	}
	s.own, s.shared = nil, nil
	side := p.sides[s.owner]
	if side.count--; side.count == 0 && side.apart {
		side.apart = false
		p.Apart = slices.DeleteFunc(p.Apart, func(o *Side[R, K, V]) bool { return o == side })
	}
}

// Own returns the lanes of an owner.
func (p *Place[R, K, V]) Own(owner V) []*Lane[R, K] { return p.sides[owner].Lanes }

// SetApart takes an owner's requests out of the shared lanes, until it has none
// left. Each request is so moved once at most.
func (p *Place[R, K, V]) SetApart(owner V) {
	side := p.sides[owner]
	side.apart, p.Apart = true, append(p.Apart, side)
	for _, l := range side.Lanes {
		l.each(func(r R) {
			s := r.At()
			s.shared.remove(s.times())
			s.shared = nil
		})
	}
}

// Sweep forgets owners that have nothing here.
func (p *Place[R, K, V]) Sweep() {
	for owner, side := range p.sides {
		if side.count == 0 {
			delete(p.sides, owner)
		}
	}
}
