package fakenode

import (
	"math"
	"time"
)

const (
	// maxProcessingStep bounds one sleep, so that a change of the node's speed is seen within it.
	maxProcessingStep = 20 * time.Millisecond
	// minProcessingStep keeps short work from busy waiting.
	minProcessingStep = 50 * time.Microsecond
)

// process takes as long as the units of a request take one core. It stands still within a pause,
// and takes longer while the node is slow or warming up. It returns early when the node closes.
func (n *Node) process(units float64) {
	remaining := units * float64(n.options.UnitTime) // at full speed, in nanoseconds
	for {
		at := n.elapsed()
		if pause := n.options.Script.active(Pause, at); pause != nil {
			if !n.sleep(min(pause.To-at, maxProcessingStep)) {
				return
			}
			continue
		}
		if remaining <= 0 {
			return
		}
		speed := n.speed(at)
		step := time.Duration(math.Min(remaining/speed, float64(maxProcessingStep)))
		if !n.sleep(step) {
			return
		}
		remaining -= float64(n.elapsed()-at) * speed
	}
}

// speed is how fast a core works, as a fraction of that of a warm node without a fault.
func (n *Node) speed(at time.Duration) float64 {
	n.mu.Lock()
	speed, _ := n.warmup.capacity(&n.options, at)
	n.mu.Unlock()
	if slow := n.options.Script.active(Slow, at); slow != nil {
		speed /= slow.Factor
	}
	return speed
}

// sleep reports whether the time has passed; otherwise the node closes.
func (n *Node) sleep(d time.Duration) bool {
	select {
	case <-n.closing:
		return false
	case <-time.After(max(d, minProcessingStep)):
		return true
	}
}
