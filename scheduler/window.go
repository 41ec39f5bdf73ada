package scheduler

import "time"

// The concurrency window of a node is the number of requests that this instance may have in flight
// there, D of the paper. It adapts to latency by AIMD. A node serves its own queue first in, first
// out, so start tags and priorities have no effect on requests that wait there.

const (
	maxWindow = 8.0 // requests
	// maxWindowAllInstances bounds the sum of the windows of all instances at one node, in requests;
	// each instance may have at least one. Windows of 8 at a hundred instances fill the queue of a
	// node, and a node whose queue is full serves next to nothing.
	maxWindowAllInstances = 32.0
	initialWindow         = 2.0 // requests, at a node that has just joined
	windowDecreaseFactor  = 0.7

	// A response whose latency is more than windowDecreaseAbove of its class's latency objective
	// decreases the window. One below windowIncreaseBelow may increase it.
	windowDecreaseAbove = 0.2
	windowIncreaseBelow = 0.13

	// minPacingJitter is the shortest gap between two sends under a window of less than 1, as a
	// fraction of the mean gap. The longest gap is as far above the mean.
	minPacingJitter = 0.5
)

// boundWindow limits a node's window according to the number of instances that may send there.
func (s *Scheduler) boundWindow(n *node) {
	n.window = min(n.window, maxWindow, max(1, maxWindowAllInstances/s.shares.instancesPerNode))
}

// adjustWindow adapts the window to a response whose latency is the given fraction of its latency
// objective.
//
// Only a response to an attempt that was sent after the last decrease decreases the window again. A
// pause of the node, which delays everything in flight, thus counts once. Latency alone does not
// decrease the window below 1.
//
// A fast response increases the window only if its attempt had filled it, that is, if the window
// limited the requests in flight. From 1 on, each such response adds 1/w to a window w, which is 1 for
// each full window of responses (additive increase). Below 1, that would take the window above 1 at
// once, so each response doubles the window instead, as in TCP slow start. The smaller of w and 1/w is
// the increase that applies.
func (s *Scheduler) adjustWindow(n *node, a *attempt, latencyFraction float64) {
	switch {
	case latencyFraction > windowDecreaseAbove && a.sentAt+a.stalledFor >= n.lastDecreaseAt:
		n.window, n.lastDecreaseAt = max(min(1, n.window), n.window*windowDecreaseFactor), s.now
	case latencyFraction < windowIncreaseBelow && a.filledWindow:
		n.window += min(n.window, 1/n.window)
	}
}

// collapseWindow sets the window to its minimum after an outcome that shows that the node has to work
// off its queue with almost no new requests.
func (s *Scheduler) collapseWindow(n *node) {
	n.window, n.lastDecreaseAt = s.minWindow(), s.now
}

// minWindow returns a window of one request for all instances together. One request for each of a
// hundred instances would still be a hundred at the node.
func (s *Scheduler) minWindow() float64 { return 1 / s.shares.instancesPerNode }

// nextSendFillsWindow reports whether the window has no room for another request after one more send.
func (n *node) nextSendFillsWindow() bool { return float64(len(n.inFlight))+2 > n.window }

// nextSendAt returns when the window allows the next send. While the window has room, the result is 0,
// for at once. While it is full, the result is never, because only a response makes room. A window of
// less than 1 paces sends: there is one request in flight at a time, and the gap between sends is the
// latency of the node divided by the window (as in the Swift congestion control), varied at random so
// that instances do not send in step.
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
