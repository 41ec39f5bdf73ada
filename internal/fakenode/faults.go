// Package fakenode is a stand-in storage node: an object store that speaks
// WebDAV (golang.org/x/net/webdav), behind a bounded queue with a service time
// by units, with faults that follow a script, and a record of every request as
// it passed on the socket. It is for tests and rehearsals, never for data.
package fakenode

import (
	"errors"
	"fmt"
	"time"

	"maddergap/internal/config"
)

// Fault is what a node does wrong.
type Fault int

// Faults of a node.
const (
	Silent  Fault = iota // takes requests, runs them, answers none
	Pause                // runs nothing meanwhile
	Slow                 // Factor times slower
	Refuse               // its listener is closed, its connections reset
	Reset                // resets each connection when its request has run
	Restart              // refuses meanwhile, then is cold
)

var faultNames = []string{"silent", "pause", "slow", "refuse", "reset", "restart"}

// Step is a fault from one time to another, since the node's epoch.
type Step struct {
	Fault    Fault
	From, To time.Duration
	Factor   float64 // of Slow
}

// ParseScript reads a node's script: lines of
//
//	from TIME to TIME silent|pause|slow FACTOR|refuse|reset|restart
func ParseScript(file string, data []byte) ([]Step, error) {
	lines, err := config.Lines(file, data)
	errs := []error{err}
	var steps []Step
	for _, l := range lines {
		var s Step
		a := config.NewArgs(l)
		if l.Words[0] != "from" {
			a.Errorf("unknown directive %.40q, want from", l.Words[0])
		}
		s.From = a.Duration("from", 0)
		a.OneOf("keyword", "to")
		s.To = a.Duration("to", 0)
		if s.Fault = Fault(a.OneOf("fault", faultNames...)); s.Fault == Slow && a.More() {
			s.Factor = a.Float("factor")
		}
		if s.To <= s.From {
			a.Errorf("it ends at %v, not after its start %v", s.To, s.From)
		}
		if s.Fault == Slow && s.Factor < 1 {
			a.Errorf("slow wants a factor of 1 or more")
		}
		if err := a.Err(); err != nil {
			errs = append(errs, &config.Error{File: file, Line: l.Number, Reason: err.Error()})
		}
		steps = append(steps, s)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return steps, nil
}

// String writes a step as ParseScript reads it.
func (s Step) String() string {
	text := fmt.Sprintf("from %v to %v %s", s.From, s.To, faultNames[s.Fault])
	if s.Fault == Slow {
		text += fmt.Sprintf(" %g", s.Factor)
	}
	return text
}

// active returns the step of a fault that holds at a time, nil if none.
func active(steps []Step, f Fault, at time.Duration) *Step {
	for i, s := range steps {
		if s.Fault == f && s.From <= at && at < s.To {
			return &steps[i]
		}
	}
	return nil
}
