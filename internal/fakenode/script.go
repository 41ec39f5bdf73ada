package fakenode

import (
	"errors"
	"fmt"
	"time"

	"maddergap/internal/config"
)

// Fault is a kind of misbehavior of a node.
type Fault int

// The faults of a node.
const (
	// Silent makes the node execute requests without responding.
	Silent Fault = iota
	// Pause stops the processing of requests until the step ends.
	Pause
	// Slow makes processing take Step.Factor times as long.
	Slow
	// Refuse closes all connections and refuses new ones until the step ends.
	Refuse
	// Reset makes the node reset a connection instead of responding to an executed request.
	Reset
	// Restart acts like Refuse, and the node warms up afterwards.
	Restart
)

// faultNames lists the names of the faults in a script.
var faultNames = []string{
	Silent:  "silent",
	Pause:   "pause",
	Slow:    "slow",
	Refuse:  "refuse",
	Reset:   "reset",
	Restart: "restart",
}

// String returns the name of the fault in a script.
func (f Fault) String() string {
	if f < 0 || int(f) >= len(faultNames) {
		return "unknown"
	}
	return faultNames[f]
}

// Step is a fault that lasts from one time (inclusive) to another (exclusive). Times count from
// Options.Epoch of the node.
type Step struct {
	Fault    Fault
	From, To time.Duration
	Factor   float64 // at least 1; valid for Slow only
}

// String returns the step as a line of a script, which ParseScript can read.
func (s Step) String() string {
	text := fmt.Sprintf("from %v to %v %v", s.From, s.To, s.Fault)
	if s.Fault == Slow {
		text += fmt.Sprintf(" %g", s.Factor)
	}
	return text
}

// Script lists the faults of a node over time. Steps of different faults may overlap.
type Script []Step

// activeStep returns the first step of a fault that is active at a time, or nil.
func (s Script) activeStep(f Fault, at time.Duration) *Step {
	for i := range s {
		if step := &s[i]; step.Fault == f && step.From <= at && at < step.To {
			return step
		}
	}
	return nil
}

// ParseScript parses a script, whose lines have the form
//
//	from TIME to TIME silent|pause|slow FACTOR|refuse|reset|restart
//
// file is the name of the script in errors. If the script has mistakes, the error joins a
// *config.Error for each line with a mistake.
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
		args.Errorf("the step ends at %v, not after its start at %v", s.To, s.From)
	}
	if s.Fault == Slow && s.Factor < 1 {
		args.Errorf("slow needs a factor of 1 or more")
	}
	return s, args.Err()
}
