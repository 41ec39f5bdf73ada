package scheduler

import "time"

// Action is one of Send, Refuse, Fail, WakeIn, Watch.
type Action interface{ action() }

// Send starts an attempt; attempts of a request count from 0.
type Send struct {
	ID   uint64
	Node string
	By   Time // it begins before that or not at all, 0: at any time
}

// Refuse is a final answer which says that trying again does no harm.
type Refuse struct {
	ID         uint64
	RetryAfter time.Duration // 0: nothing said
}

// Fail is a final answer which promises nothing.
type Fail struct{ ID uint64 }

// WakeIn asks for a Wake event, in place of the one asked for before.
type WakeIn struct{ In time.Duration }

// Watch subscribes to the node list.
type Watch struct{}

func (Send) action()   {}
func (Refuse) action() {}
func (Fail) action()   {}
func (WakeIn) action() {}
func (Watch) action()  {}
