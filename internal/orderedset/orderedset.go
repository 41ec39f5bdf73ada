// Package orderedset holds an ordered set that also tells the best of its upper end: a
// treap by key whose every subtree knows its best by each of some orders. All
// operations take time in proportion to the logarithm of its size. It is pure, and
// deterministic: the same calls give the same tree.
package orderedset

// Set is a set of items by key; equal keys are told apart by a tie, which must be
// unique among them. The zero value has no orders; use New.
type Set[T any] struct {
	root   *node[T]
	better []func(a, b T) bool
	size   int
	spare  *node[T] // for use again
	chance uint64
}

type node[T any] struct {
	key, tie    int64
	item        T
	best        [Orders]T // of the subtree, by each order
	chance      uint64
	left, right *node[T]
}

// Orders is how many orders a set may have.
const Orders = 2

// New returns an empty set. better are strict orders of items; an item's place in
// them must not change while it is in the set.
func New[T any](better ...func(a, b T) bool) *Set[T] {
	if len(better) > Orders {
		panic("orderedset: too many orders")
	}
	return &Set[T]{better: better, chance: 0x9e3779b97f4a7c15}
}

// Len is how many items it holds.
func (s *Set[T]) Len() int { return s.size }

// Add adds an item.
func (s *Set[T]) Add(key, tie int64, x T) {
	n := s.spare
	if n == nil {
		n = &node[T]{}
	} else {
		s.spare = n.left
	}
	s.chance ^= s.chance << 13
	s.chance ^= s.chance >> 7
	s.chance ^= s.chance << 17
	*n = node[T]{key: key, tie: tie, item: x, chance: s.chance}
	s.size++
	s.root = s.add(s.root, n)
}

func (n *node[T]) before(key, tie int64) bool { return n.key < key || n.key == key && n.tie < tie }

func (s *Set[T]) add(at, n *node[T]) *node[T] {
	switch {
	case at == nil:
	case n.chance > at.chance:
		n.left, n.right = s.split(at, n.key, n.tie)
	case at.before(n.key, n.tie):
		at.right = s.add(at.right, n)
		s.sum(at)
		return at
	default:
		at.left = s.add(at.left, n)
		s.sum(at)
		return at
	}
	s.sum(n)
	return n
}

// split parts a subtree into what is before a key and the rest.
func (s *Set[T]) split(at *node[T], key, tie int64) (low, high *node[T]) {
	if at == nil {
		return nil, nil
	}
	if at.before(key, tie) {
		at.right, high = s.split(at.right, key, tie)
		s.sum(at)
		return at, high
	}
	low, at.left = s.split(at.left, key, tie)
	s.sum(at)
	return low, at
}

// Remove takes an item out and tells whether it was there.
func (s *Set[T]) Remove(key, tie int64) bool {
	was := s.size
	s.root = s.remove(s.root, key, tie)
	return s.size < was
}

func (s *Set[T]) remove(at *node[T], key, tie int64) *node[T] {
	switch {
	case at == nil:
		return nil
	case at.key == key && at.tie == tie:
		rest := s.join(at.left, at.right)
		*at = node[T]{left: s.spare}
		s.spare = at
		s.size--
		return rest
	case at.before(key, tie):
		at.right = s.remove(at.right, key, tie)
	default:
		at.left = s.remove(at.left, key, tie)
	}
	s.sum(at)
	return at
}

func (s *Set[T]) join(low, high *node[T]) *node[T] {
	switch {
	case low == nil:
		return high
	case high == nil:
		return low
	case low.chance > high.chance:
		low.right = s.join(low.right, high)
		s.sum(low)
		return low
	}
	high.left = s.join(low, high.left)
	s.sum(high)
	return high
}

func (s *Set[T]) sum(n *node[T]) {
	for i, better := range s.better {
		best := n.item
		if n.left != nil && better(n.left.best[i], best) {
			best = n.left.best[i]
		}
		if n.right != nil && better(n.right.best[i], best) {
			best = n.right.best[i]
		}
		n.best[i] = best
	}
}

// First returns the item of the least key.
func (s *Set[T]) First() (x T, ok bool) {
	n := s.root
	if n == nil {
		return x, false
	}
	for n.left != nil {
		n = n.left
	}
	return n.item, true
}

// Best returns the best by the i-th order of the items whose key is at least from.
func (s *Set[T]) Best(i int, from int64) (best T, ok bool) {
	take := func(x T) {
		if !ok || s.better[i](x, best) {
			best, ok = x, true
		}
	}
	for n := s.root; n != nil; {
		if n.key < from {
			n = n.right
			continue
		}
		take(n.item)
		if n.right != nil {
			take(n.right.best[i])
		}
		n = n.left
	}
	return best, ok
}

// All calls f for every item, by key, until it returns false. The set must not
// change meanwhile.
func (s *Set[T]) All(f func(T) bool) { s.root.all(f) }

func (n *node[T]) all(f func(T) bool) bool {
	return n == nil || n.left.all(f) && f(n.item) && n.right.all(f)
}
