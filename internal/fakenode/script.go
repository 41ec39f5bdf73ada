package fakenode

import (
	"errors"
	"fmt"
	"time"

	"maddergap/internal/config"
)

// Fault is what a node does wrong.
type Fault int

// The faults of a node.
const (
	// Silent executes requests and responds to none.
	Silent Fault = iota
	// Pause executes nothing meanwhile.
	Pause
	// Slow processes requests slower by Step.Factor.
	Slow
	// Refuse closes the listener and all connections.
	Refuse
	// Reset resets each connection when its request was executed.
	Reset
	// Restart closes the listener and all connections; the node warms up afterwards.
	Restart
)

// faultNames are the faults' names in a script.
var faultNames = []string{
	Silent:  "silent",
	Pause:   "pause",
	Slow:    "slow",
	Refuse:  "refuse",
	Reset:   "reset",
	Restart: "restart",
}

// String returns the fault's name in a script.
func (f Fault) String() string {
	if f < 0 || int(f) >= len(faultNames) {
		return "unknown"
	}
	return faultNames[f]
}

// Step is a fault from one time to another. Times count from the node's epoch.
type Step struct {
	Fault    Fault
	From, To time.Duration
	Factor   float64 // of Slow, at least 1
}

// String returns the step as ParseScript reads it.
func (s Step) String() string {
	text := fmt.Sprintf("from %v to %v %v", s.From, s.To, s.Fault)
	if s.Fault == Slow {
		text += fmt.Sprintf(" %g", s.Factor)
	}
	return text
}

// Script is the faults of a node. Steps of different faults may overlap.
type Script []Step

// active returns the first step with a fault at a time, or nil.
func (s Script) active(f Fault, at time.Duration) *Step {
	for i := range s {
		if step := &s[i]; step.Fault == f && step.From <= at && at < step.To {
			return step
		}
	}
	return nil
}

// ParseScript reads a script: lines of
//
//	from TIME to TIME silent|pause|slow FACTOR|refuse|reset|restart
//
// file is its name in errors, which are *config.Error, joined.
func ParseScript(file string, data []byte) (Script, error) {
	lines, err := config.Lines(file, data)
	errs := []error{err}
	var script Script
	for _, line := range lines {
		step, err := parseStep(line)
		if err != nil {
			errs = append(errs, &config.Error{File: file, Line: line.Number, Reason: err.Error()})
		}
		script = append(script, step)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return script, nil
}

func parseStep(line config.Line) (Step, error) {
	var s Step
	args := config.NewArgs(line)
	if line.Words[0] != "from" {
		args.Errorf("unknown directive %.40q, want from", line.Words[0])
	}
	s.From = args.Duration("from", 0)
	args.OneOf("keyword", "to")
	s.To = args.Duration("to", 0)
	s.Fault = Fault(args.OneOf("fault", faultNames...))
	if s.Fault == Slow && args.More() {
		s.Factor = args.Float("factor")
	}
	if s.To <= s.From {
		args.Errorf("it ends at %v, not after its start %v", s.To, s.From)
	}
	if s.Fault == Slow && s.Factor < 1 {
		args.Errorf("slow wants a factor of 1 or more")
	}
	return s, args.Err()
}
