package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"maddergap/internal/soak"
)

// soakCmd runs a fleet of instances under random faults.
type soakCmd struct {
	Seed     uint64        `default:"1" help:"Seed of the faults and the deployment."`
	Seeds    int           `default:"1" help:"How many seeds to run, one after the other."`
	Duration time.Duration `default:"20s" help:"How long each runs."`
	Heads    int           `default:"12" help:"Gateway instances, each a process."`
	Nodes    int           `default:"8" help:"Storage nodes, two for each shard."`
	Keep     string        `type:"path" help:"Folder for configurations and logs; without it they are removed."`
	Script   bool          `help:"Print the events of each run and stop."`
}

var errSoakFailed = errors.New("rules violated in soak runs")

// Run runs the seeds one after the other, or prints their events if --script is given. If a rule was
// violated, it returns an error with the number of such seeds.
func (c *soakCmd) Run(io *streams) error {
	failed := 0
	for i := range c.Seeds {
		o := &soak.Options{Seed: c.Seed + uint64(i), Duration: c.Duration, Instances: c.Heads, Nodes: c.Nodes}
		if err := o.Validate(); err != nil {
			return usageError{err}
		}
		if c.Script {
			soak.GeneratePlan(o).Write(io.out)
			continue
		}
		passed, err := c.runSeed(o, io)
		if err != nil {
			return err
		}
		if !passed {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d seeds", errSoakFailed, failed, c.Seeds)
	}
	return nil
}

// runSeed runs one seed and prints its report. It reports whether every rule held.
func (c *soakCmd) runSeed(o *soak.Options, io *streams) (passed bool, err error) {
	dir, remove, err := recordsDir(c.Keep, fmt.Sprintf("soak-%d-", o.Seed))
	if err != nil {
		return false, err
	}
	defer remove()
	exe, err := os.Executable()
	if err != nil {
		return false, err
	}
	report, err := soak.Run(o, []string{exe}, dir)
	if err != nil {
		return false, err
	}
	report.Write(io.out, fmt.Sprintf("maddergap soak --seed %d --duration %v --heads %d --nodes %d", o.Seed, o.Duration, o.Instances, o.Nodes))
	return report.Passed(), nil
}
