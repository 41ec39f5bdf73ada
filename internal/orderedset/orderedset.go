// Package orderedset provides a set ordered by an integer key that also finds the best item, by
// another order, among those whose key is at least some value. It is a treap in which each
// subtree keeps its best item by each of the other orders. Add, Remove and Best take expected
// time logarithmic in the size. The same calls give the same tree.
package orderedset

// MaxOrders is how many orders a set may have. A constant, so that a node needs no allocation
// of its own for its best items.
const MaxOrders = 2

// Set is a set of items. Items with equal keys are ordered by tie, which must be unique among
// them. Use New. A set is not safe for concurrent use.
type Set[T any] struct {
	root        *node[T]
	orders      []func(a, b T) bool // whether a is better than b
	size        int
	freeNodes   *node[T] // removed nodes for use again, linked by left
	randomState uint64   // of an xorshift generator
}

// node is a node of the treap: keys are ordered as in a binary search tree, and no node has a
// higher priority than its parent.
type node[T any] struct {
	key, tie    int64
	item        T
	best        [MaxOrders]T // of the subtree, by each order
	priority    uint64
	left, right *node[T]
}

// randomSeed is any number but 0, at which xorshift would stay.
const randomSeed = 0x9e3779b97f4a7c15

// New returns an empty set. Each order reports whether a is better than b and must be strict; an
// item's place in the orders must not change while it is in the set. It panics if there are more
// than MaxOrders.
func New[T any](orders ...func(a, b T) bool) *Set[T] {
	if len(orders) > MaxOrders { // a mistake in the calling code
		panic("orderedset: too many orders")
	}
	return &Set[T]{orders: orders, randomState: randomSeed}
}

// Len returns the number of items.
func (s *Set[T]) Len() int { return s.size }

// Add adds an item. The set must not hold one with this key and tie.
func (s *Set[T]) Add(key, tie int64, item T) {
	n := s.newNode()
	*n = node[T]{key: key, tie: tie, item: item, priority: s.nextRandom()}
	s.size++
	s.root = s.add(s.root, n)
}

func (s *Set[T]) newNode() *node[T] {
	n := s.freeNodes
	if n == nil {
		return &node[T]{}
	}
	s.freeNodes = n.left
	return n
}

// nextRandom is xorshift64.
func (s *Set[T]) nextRandom() uint64 {
	s.randomState ^= s.randomState << 13
	s.randomState ^= s.randomState >> 7
	s.randomState ^= s.randomState << 17
	return s.randomState
}

func (n *node[T]) before(key, tie int64) bool { return n.key < key || n.key == key && n.tie < tie }

// add inserts n into the subtree at and returns its new root.
func (s *Set[T]) add(at, n *node[T]) *node[T] {
	switch {
	case at == nil:
	case n.priority > at.priority:
		n.left, n.right = s.split(at, n.key, n.tie)
	case at.before(n.key, n.tie):
		at.right = s.add(at.right, n)
		s.updateBest(at)
		return at
	default:
		at.left = s.add(at.left, n)
		s.updateBest(at)
		return at
	}
	s.updateBest(n)
	return n
}

// split divides a subtree into the nodes before a key and tie, and the rest.
func (s *Set[T]) split(at *node[T], key, tie int64) (low, high *node[T]) {
	if at == nil {
		return nil, nil
	}
	if at.before(key, tie) {
		at.right, high = s.split(at.right, key, tie)
		s.updateBest(at)
		return at, high
	}
	low, at.left = s.split(at.left, key, tie)
	s.updateBest(at)
	return low, at
}

// Remove removes an item and reports whether it was there.
func (s *Set[T]) Remove(key, tie int64) bool {
	before := s.size
	s.root = s.remove(s.root, key, tie)
	return s.size < before
}

// remove removes a node from the subtree at and returns its new root.
func (s *Set[T]) remove(at *node[T], key, tie int64) *node[T] {
	switch {
	case at == nil:
		return nil
	case at.key == key && at.tie == tie:
		rest := s.join(at.left, at.right)
		*at = node[T]{left: s.freeNodes}
		s.freeNodes = at
		s.size--
		return rest
	case at.before(key, tie):
		at.right = s.remove(at.right, key, tie)
	default:
		at.left = s.remove(at.left, key, tie)
	}
	s.updateBest(at)
	return at
}

// join makes one subtree of two, of which all of low is before high.
func (s *Set[T]) join(low, high *node[T]) *node[T] {
	switch {
	case low == nil:
		return high
	case high == nil:
		return low
	case low.priority > high.priority:
		low.right = s.join(low.right, high)
		s.updateBest(low)
		return low
	}
	high.left = s.join(low, high.left)
	s.updateBest(high)
	return high
}

// updateBest sets the best of a subtree from its root and its children.
func (s *Set[T]) updateBest(n *node[T]) {
	for i, better := range s.orders {
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

// First returns the item with the least key, if any.
func (s *Set[T]) First() (item T, ok bool) {
	n := s.root
	if n == nil {
		return item, false
	}
	for n.left != nil {
		n = n.left
	}
	return n.item, true
}

// Best returns the best item, by the order of that number in New, among those whose key is at
// least minKey.
func (s *Set[T]) Best(order int, minKey int64) (best T, ok bool) {
	consider := func(item T) {
		if !ok || s.orders[order](item, best) {
			best, ok = item, true
		}
	}
	for n := s.root; n != nil; {
		if n.key < minKey {
			n = n.right
			continue
		}
		consider(n.item)
		if n.right != nil {
			consider(n.right.best[order])
		}
		n = n.left
	}
	return best, ok
}

// All calls yield for every item, by key, until it returns false. The set must not change
// meanwhile.
func (s *Set[T]) All(yield func(T) bool) { s.root.all(yield) }

func (n *node[T]) all(yield func(T) bool) bool {
	return n == nil || n.left.all(yield) && yield(n.item) && n.right.all(yield)
}
