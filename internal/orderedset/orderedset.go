// Package orderedset provides a set that is sorted by an integer key. Among the items whose key is at
// least a given value, the set also finds the best one by another order.
//
// The set is a treap in which each node stores the best item of its subtree by each of the other
// orders. Add, Remove and Best take expected time logarithmic in the size of the set. The priorities
// are pseudo-random numbers from a fixed seed, so the same calls always build the same tree.
package orderedset

// MaxOrders is the largest number of orders that a set can have. It is a constant so that a node
// stores its best items in an array, without a separate allocation.
const MaxOrders = 2

// Set is a set of items sorted by key. Items with equal keys are sorted by a tie-breaker (tie), which
// must be unique among them. Use New. A Set is not safe for concurrent use.
type Set[T any] struct {
	root        *node[T]
	orders      []func(a, b T) bool // each reports whether a is better than b
	size        int
	freeNodes   *node[T] // list of removed nodes for reuse, linked by left
	randomState uint64   // state of the xorshift generator of the priorities
}

// node is a node of the treap. Nodes are sorted by key and tie-breaker as in a binary search tree,
// and no node has a higher priority than its parent.
type node[T any] struct {
	key, tie    int64
	item        T
	best        [MaxOrders]T // best item of the subtree by each order
	priority    uint64
	left, right *node[T]
}

// randomSeed is an arbitrary number other than 0. From 0, xorshift yields only zeros.
const randomSeed = 0x9e3779b97f4a7c15

// New returns an empty set. Each order must be a strict order that reports whether a is better than
// b. An item's place in the orders must not change while the item is in the set. New panics if there
// are more than MaxOrders orders.
func New[T any](orders ...func(a, b T) bool) *Set[T] {
	if len(orders) > MaxOrders { // a programming error of the caller
		panic("orderedset: too many orders")
	}
	return &Set[T]{orders: orders, randomState: randomSeed}
}

// Len returns the number of items.
func (s *Set[T]) Len() int { return s.size }

// Add adds an item. The set must not hold an item with the same key and tie.
func (s *Set[T]) Add(key, tie int64, item T) {
	n := s.newNode()
	*n = node[T]{key: key, tie: tie, item: item, priority: s.nextRandom()}
	s.size++
	s.root = s.add(s.root, n)
}

// newNode returns a free node if there is one, or a new node. The caller overwrites all its fields.
func (s *Set[T]) newNode() *node[T] {
	n := s.freeNodes
	if n == nil {
		return &node[T]{}
	}
	s.freeNodes = n.left
	return n
}

// nextRandom returns the next number of the xorshift64 generator.
func (s *Set[T]) nextRandom() uint64 {
	s.randomState ^= s.randomState << 13
	s.randomState ^= s.randomState >> 7
	s.randomState ^= s.randomState << 17
	return s.randomState
}

// before reports whether n is before the given key and tie-breaker.
func (n *node[T]) before(key, tie int64) bool { return n.key < key || n.key == key && n.tie < tie }

// add inserts n into a subtree and returns the subtree's new root.
func (s *Set[T]) add(root, n *node[T]) *node[T] {
	switch {
	case root == nil:
	case n.priority > root.priority:
		n.left, n.right = s.split(root, n.key, n.tie)
	case root.before(n.key, n.tie):
		root.right = s.add(root.right, n)
		s.updateBest(root)
		return root
	default:
		root.left = s.add(root.left, n)
		s.updateBest(root)
		return root
	}
	s.updateBest(n)
	return n
}

// split divides a subtree into the nodes before a key and tie-breaker, and the other nodes.
func (s *Set[T]) split(root *node[T], key, tie int64) (low, high *node[T]) {
	if root == nil {
		return nil, nil
	}
	if root.before(key, tie) {
		root.right, high = s.split(root.right, key, tie)
		s.updateBest(root)
		return root, high
	}
	low, root.left = s.split(root.left, key, tie)
	s.updateBest(root)
	return low, root
}

// Remove removes the item with the given key and tie and reports whether the set held it.
func (s *Set[T]) Remove(key, tie int64) bool {
	oldSize := s.size
	s.root = s.remove(s.root, key, tie)
	return s.size < oldSize
}

// remove removes a node from a subtree and returns the subtree's new root. It changes nothing if the
// subtree has no node with the key and tie-breaker.
func (s *Set[T]) remove(root *node[T], key, tie int64) *node[T] {
	switch {
	case root == nil:
		return nil
	case root.key == key && root.tie == tie:
		joined := s.join(root.left, root.right)
		*root = node[T]{left: s.freeNodes}
		s.freeNodes = root
		s.size--
		return joined
	case root.before(key, tie):
		root.right = s.remove(root.right, key, tie)
	default:
		root.left = s.remove(root.left, key, tie)
	}
	s.updateBest(root)
	return root
}

// join joins two subtrees and returns the root of the result. Every node of low must be before every
// node of high.
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

// updateBest recomputes the best items of n's subtree from n's own item and its children.
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

// First returns the item with the lowest key, if the set is not empty.
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

// Best returns the best item among the items whose key is at least minKey, if there are any. The
// order is the index of one of the orders passed to New.
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

// All calls yield for each item, in order of key and tie, until yield returns false. The set
// must not change during the iteration.
func (s *Set[T]) All(yield func(T) bool) { s.root.all(yield) }

// all calls yield for each item of n's subtree. It reports false if yield returned false.
func (n *node[T]) all(yield func(T) bool) bool {
	return n == nil || n.left.all(yield) && yield(n.item) && n.right.all(yield)
}
