package scheduler

import "time"

// The concurrency window of a node: how many requests may be in flight there from this instance, D
// of the paper. It adapts by AIMD on latency. A node serves its own queue first in, first out, so
// that whatever waits there is out of reach of start tags and priorities.

const (
	maxWindow = 8.0 // requests, D of our design
	// maxWindowAllInstances bounds the windows of all instances at one node together, in requests;
	// each may have one. Windows of 8 at a hundred instances fill a node's queue, and a node whose
	// queue is full serves next to nothing.
	maxWindowAllInstances = 32.0
	initialWindow         = 2.0 // requests, at a node that nothing is known of
	windowDecreaseFactor  = 0.7

	// A response that took more than windowDecreaseAbove of its class's latency objective decreases the
	// window, one that took less than windowIncreaseBelow may increase it.
	windowDecreaseAbove = 0.2
	windowIncreaseBelow = 0.13

	// minPacingJitter is the shortest gap between two sends under a window of less than one, as a
	// fraction of the mean gap. The longest is as far above the mean.
	minPacingJitter = 0.5
)

// boundWindow bounds a node's window by the instances that may be sending there.
func (s *Scheduler) boundWindow(n *node) {
	n.window = min(n.window, maxWindow, max(1, maxWindowAllInstances/s.shares.instancesPerNode))
}

// adjustWindow adapts the window to a response that took so much of its latency objective.
//
// Only a response to an attempt sent after the last decrease decreases the window again, so that a
// pause of the node, which delays all that is in flight, counts once. Latency alone decreases it to
// no less than one.
//
// A fast response increases it only if the window was what bounded the requests in flight. From
// one on each adds 1/w, which is one for each windowful of responses (additive increase). Below
// one that would be a jump to above one; each response doubles the window instead, as in a slow
// start. The smaller of w and 1/w is the one that applies.
func (s *Scheduler) adjustWindow(n *node, a *attempt, latencyFraction float64) {
	switch {
	case latencyFraction > windowDecreaseAbove && a.sentAt >= n.lastDecreaseAt:
		n.window, n.lastDecreaseAt = max(min(1, n.window), n.window*windowDecreaseFactor), s.now
	case latencyFraction < windowIncreaseBelow && a.filledWindow:
		n.window += min(n.window, 1/n.window)
	}
}

// collapseWindow sets the window to its minimum, after an outcome which shows that the node has to
// work off its queue almost undisturbed.
func (s *Scheduler) collapseWindow(n *node) {
	n.window, n.lastDecreaseAt = s.minWindow(), s.now
}

// minWindow is one request for all instances together: one for each would still be a hundred at
// the node.
func (s *Scheduler) minWindow() float64 { return 1 / s.shares.instancesPerNode }

// nextSendFillsWindow reports whether, after one more send, the window has no room for another.
func (n *node) nextSendFillsWindow() bool { return float64(len(n.inFlight))+2 > n.window }

// nextSendAt returns when the window allows the next send: 0 for at once while it has room, never
// while it is full, as a response changes that and not time. Under a window of less than one sends
// are paced: one at a time, with a gap of the node's latency over the window (as in Swift), varied
// at random so that instances do not send in step.
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
