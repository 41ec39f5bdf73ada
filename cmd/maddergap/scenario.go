package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"maddergap/internal/scenario"
)

type scenarioCmd struct {
	Seed    uint64        `default:"1" help:"Seed of the day."`
	Long    bool          `help:"The long form, for people: three minutes."`
	Length  time.Duration `help:"Another length."`
	Rate    float64       `help:"Another rate, requests a second."`
	Compare bool          `help:"Run the same day with a pass-through head beside it."`
	Flood   bool          `help:"Press on every head with connections from 500 addresses all day."`
	Tries   int           `help:"Connections that the flood tries on each head; 0: 300 for each second."`
	Keep    string        `type:"path" help:"Folder for the records; without it they are removed."`
	Story   bool          `help:"Print what the day holds and stop."`
}

var errRules = errors.New("a rule is broken")

func (c *scenarioCmd) Run(io *streams) error {
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
	if size.Length < 2*time.Second || size.Length > time.Hour || size.Rate > 1e5 {
		return usageError{fmt.Errorf("a day of %v at %g a second is out of range (2s to 1h, up to 100000)", size.Length, size.Rate)}
	}
	plan := scenario.Draw(c.Seed, size)
	fmt.Fprintf(io.out, "day of seed %d: %d heads, %d nodes, %v, %d requests\n", c.Seed, size.Heads, size.Nodes, size.Length, len(plan.Jobs))
	for _, s := range plan.Story {
		fmt.Fprintln(io.out, " ", s)
	}
	if c.Story {
		return nil
	}
	run := func(args ...string) (float64, bool, error) {
		if c.Keep != "" {
			if err := os.MkdirAll(c.Keep, 0o755); err != nil {
				return 0, false, err
			}
		}
		dir, err := os.MkdirTemp(c.Keep, "badday-")
		if err != nil {
			return 0, false, err
		}
		if c.Keep == "" {
			defer os.RemoveAll(dir)
		}
		exe, err := os.Executable()
		if err != nil {
			return 0, false, err
		}
		report, err := scenario.Run(&scenario.Options{Plan: plan, Dir: dir, Exe: []string{exe}, HeadArgs: args, Flood: c.Flood, Tries: c.Tries, Progress: io.err})
		if err != nil {
			return 0, false, err
		}
		report.Write(io.out)
		return report.Earned / report.Due, report.Good(), nil
	}
	worth, good, err := run()
	if err != nil {
		return err
	}
	if c.Compare {
		fmt.Fprintln(io.out, "\nthe same day with a pass-through head:")
		other, _, err := run("--pass-through")
		if err != nil {
			return err
		}
		fmt.Fprintf(io.out, "\nworth on time %.3f against %.3f: a ratio of %.2f\n", worth, other, worth/other)
	}
	if !good {
		return errRules
	}
	return nil
}
