package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"maddergap/internal/audit"
	"maddergap/internal/scenario"
)

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

// The range of scenarios that can be run.
const (
	minScenarioLength = 2 * time.Second
	maxScenarioLength = time.Hour
	maxScenarioRate   = 1e5 // requests a second
)

var errRuleViolated = errors.New("a rule is violated")

// Run runs a scenario on processes of this program and reports whether the rules held.
func (c *scenarioCmd) Run(io *streams) error {
	size, err := c.size()
	if err != nil {
		return err
	}
	plan := scenario.Draw(c.Seed, size)
	fmt.Fprintf(io.out, "day of seed %d: %d heads, %d nodes, %v, %d requests\n", c.Seed, size.Instances, size.Nodes, size.Length, len(plan.Requests))
	for _, event := range plan.Story {
		fmt.Fprintln(io.out, " ", event)
	}
	if c.Story {
		return nil
	}
	report, err := c.play(io, plan)
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

// size is the size of the scenario that the flags choose.
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
		return size, usageError{fmt.Errorf("a day of %v at %g a second is out of range (2s to 1h, up to 100000)", size.Length, size.Rate)}
	}
	return size, nil
}

// play runs the scenario once and prints the report. serveArgs are further arguments of serve.
func (c *scenarioCmd) play(io *streams, plan *scenario.Plan, serveArgs ...string) (*audit.Report, error) {
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

// compare runs the same scenario with a pass-through scheduler and prints what both earned.
func (c *scenarioCmd) compare(io *streams, plan *scenario.Plan, report *audit.Report) error {
	fmt.Fprintln(io.out, "\nthe same day with a pass-through head:")
	other, err := c.play(io, plan, "--pass-through")
	if err != nil {
		return err
	}
	earned, otherEarned := report.EarnedWeight/report.OfferedWeight, other.EarnedWeight/other.OfferedWeight
	fmt.Fprintf(io.out, "\nworth on time %.3f against %.3f: a ratio of %.2f\n", earned, otherEarned, earned/otherEarned)
	return nil
}
