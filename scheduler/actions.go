package scheduler

import "time"

// Action is one of Send, Reject, Fail, SetTimer, WatchEndpoints.
type Action interface{ action() }

// Send starts an attempt; attempts of a request count from 0.
type Send struct {
	ID          uint64
	Node        string
	StartBefore Time // it begins before that or not at all, 0: at any time
}

// Reject is a final answer which says that trying again does no harm.
type Reject struct {
	ID         uint64
	RetryAfter time.Duration // 0: nothing said
}

// Fail is a final answer which promises nothing.
type Fail struct{ ID uint64 }

// SetTimer asks for a TimerFired event, in place of the one asked for before.
type SetTimer struct{ After time.Duration }

// WatchEndpoints subscribes to the node list.
type WatchEndpoints struct{}

func (Send) action()           {}
func (Reject) action()         {}
func (Fail) action()           {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
