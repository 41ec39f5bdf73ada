package scheduler

import (
	"time"
)

// The concurrency window of a node: delay-based AIMD. Guards against a long first-in-first-out
// queue at the node, where tags no longer order anything.

const (
	maxWindow             = 8.0  // D of the paper: most requests out at a node
	maxWindowAllInstances = 32.0 // the same of all heads together, one for each at least
	initialWindow         = 2.0  // D at a node of which nothing is known
	windowDecreaseFactor  = 0.7  // multiplicative decrease
	// decreaseAbove is the part of its aim after which an answer shrinks the window, increaseBelow
	// that before which it may widen it.
	decreaseAbove = 0.2
	increaseBelow = 0.13
	// minPacingJitter is the shortest gap between sends under a window of one, as a part of
	// the usual one; the longest is as much longer.
	minPacingJitter = 0.5
)

// boundWindow bounds a node's window by the heads that may stand before it: a hundred windows
// of eight are a full queue, at which a node serves next to nothing.
func (s *Scheduler) boundWindow(n *node) {
	n.window = min(n.window, maxWindow, max(1, maxWindowAllInstances/s.shares.instancesPerNode))
}

// adjustWindow moves the window by an answer that took so much of its aim. There is one
// decrease an answer time, so a pause or a flush of deferred writes costs one step. Slow
// answers stop at one.
func (s *Scheduler) adjustWindow(n *node, a *attempt, partOfAim float64) {
	switch {
	case partOfAim > decreaseAbove && a.sentAt >= n.lastDecreaseAt:
		n.window, n.lastDecreaseAt = max(min(1, n.window), n.window*windowDecreaseFactor), s.now
	case partOfAim < increaseBelow && a.windowFull:
		n.window += min(n.window, 1/n.window)
	}
}

// collapseWindow sets a window to one for all heads together, after what shows that the node
// needs near quiet to recover.
func (s *Scheduler) collapseWindow(n *node) {
	n.window, n.lastDecreaseAt = s.minWindow(), s.now
}

// minWindow is one for all heads together.
func (s *Scheduler) minWindow() float64 { return 1 / s.shares.instancesPerNode }

// nextSendAt returns when another request may go out: at once while fewer than the window are
// out, never while that many are. A window under one is a gap between sends, the node's usual
// answer time over the window (as Swift paces), by chance half as long or half as long again.
func (n *node) nextSendAt() Time {
	switch {
	case float64(len(n.inFlight))+1 <= n.window:
		return 0
	case n.window >= 1 || len(n.inFlight) > 0:
		return never
	}
	gap := n.pacingJitter * n.latency / n.window
	return n.lastSendAt + Time(gap*float64(time.Second))
}
