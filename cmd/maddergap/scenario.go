package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/scenario"
)

// scenarioCmd runs a scripted fault scenario.
type scenarioCmd struct {
	Seed          uint64        `default:"1" help:"Seed of the scenario."`
	Long          bool          `help:"The long form, for people: three minutes."`
	Length        time.Duration `help:"Another length."`
	Rate          float64       `help:"Another rate, in requests a second."`
	Compare       bool          `help:"Run the same scenario again with a pass-through scheduler."`
	Flood         bool          `help:"Flood every instance with connections from 500 addresses all the time."`
	FloodAttempts int           `name:"tries" help:"Connections that the flood tries on each instance; 0: 300 for each second."`
	Keep          string        `type:"path" help:"Folder for the records; without it they are removed."`
	Story         bool          `help:"Print the events of the scenario and stop."`
}

// Limits of a scenario's length and rate.
const (
	minScenarioLength = 2 * time.Second
	maxScenarioLength = time.Hour
	maxScenarioRate   = 1e5 // requests a second
)

var errRuleViolated = errors.New("a rule is violated")

// Run prints the events of the scenario. Unless --story is given, it then runs the scenario, with
// instances and nodes as processes of this program, prints the report, and returns errRuleViolated if a
// rule was violated.
func (c *scenarioCmd) Run(io *streams) error {
	size, err := c.size()
	if err != nil {
		return err
	}
	plan := scenario.GeneratePlan(c.Seed, size)
	fmt.Fprintf(io.out, "day of seed %d: %d heads, %d nodes, %v, %d requests\n", c.Seed, size.Instances, size.Nodes, size.Length, len(plan.Requests))
	for _, event := range plan.FaultDescriptions {
		fmt.Fprintln(io.out, " ", event)
	}
	if c.Story {
		return nil
	}
	report, err := c.runOnce(io, plan)
	if err != nil {
		return err
	}
	if c.Compare {
		if err := c.compare(io, plan, report); err != nil {
			return err
		}
	}
	if !report.Passed() {
		return errRuleViolated
	}
	return nil
}

// size returns the size of the scenario that the flags select.
func (c *scenarioCmd) size() (scenario.Size, error) {
	size := scenario.Short
	if c.Long {
		size = scenario.Long
	}
	if c.Length > 0 {
		size.Length = c.Length
	}
	if c.Rate > 0 {
		size.Rate = c.Rate
	}
	if size.Length < minScenarioLength || size.Length > maxScenarioLength || size.Rate > maxScenarioRate {
		return size, usageError{fmt.Errorf("a scenario of %v at %g requests a second is out of range (2s to 1h, up to 100000 requests a second)", size.Length, size.Rate)}
	}
	return size, nil
}

// runOnce runs the scenario once and prints the report. serveArgs are further arguments of the serve
// command.
func (c *scenarioCmd) runOnce(io *streams, plan *scenario.Plan, serveArgs ...string) (*audit.Report, error) {
	dir, remove, err := recordsDir(c.Keep, "badday-")
	if err != nil {
		return nil, err
	}
	defer remove()
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	report, err := scenario.Run(&scenario.Options{
		Plan:          plan,
		Dir:           dir,
		Exe:           []string{exe},
		ServeArgs:     serveArgs,
		Flood:         c.Flood,
		FloodAttempts: c.FloodAttempts,
		Progress:      io.err,
	})
	if err != nil {
		return nil, err
	}
	report.Write(io.out)
	return report, nil
}

// compare runs the same scenario with a pass-through scheduler. It prints the fraction of the offered
// weight that each run earned, and the ratio of the two. report is that of the first run.
func (c *scenarioCmd) compare(io *streams, plan *scenario.Plan, report *audit.Report) error {
	fmt.Fprintln(io.out, "\nthe same day with a pass-through head:")
	passThrough, err := c.runOnce(io, plan, "--pass-through")
	if err != nil {
		return err
	}
	earnedFraction, passThroughFraction := report.EarnedWeight/report.OfferedWeight, passThrough.EarnedWeight/passThrough.OfferedWeight
	fmt.Fprintf(io.out, "\nworth on time %.3f against %.3f: a ratio of %.2f\n", earnedFraction, passThroughFraction, earnedFraction/passThroughFraction)
	return nil
}
