package fakenode

import (
	"math"
	"time"
)

const (
	// maxProcessingStep limits a single sleep, so that a change of the node's speed takes effect
	// within this time.
	maxProcessingStep = 20 * time.Millisecond
	// minProcessingStep is the shortest sleep. It prevents a busy loop when little work remains.
	minProcessingStep = 50 * time.Microsecond
)

// process sleeps for the processing time of a number of units on one core. It makes no progress
// during a pause and takes longer while the node is slow or warming up. It returns early when the
// node closes.
func (n *Node) process(units float64) {
	remaining := units * float64(n.options.UnitTime) // remaining time at full speed, in nanoseconds
	for {
		at := n.elapsed()
		if pause := n.options.Script.activeStep(Pause, at); pause != nil {
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

// speed returns the speed of a core at a time, as a fraction of its speed in a warm node without a
// fault.
func (n *Node) speed(at time.Duration) float64 {
	n.mu.Lock()
	speed, _ := n.warmup.capacity(&n.options, at)
	n.mu.Unlock()
	if slow := n.options.Script.activeStep(Slow, at); slow != nil {
		speed /= slow.Factor
	}
	return speed
}

// sleep waits for d, at least minProcessingStep. It returns false if the node closes meanwhile.
func (n *Node) sleep(d time.Duration) bool {
	select {
	case <-n.closing:
		return false
	case <-time.After(max(d, minProcessingStep)):
		return true
	}
}
