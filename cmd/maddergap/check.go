package main

import (
	"fmt"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
)

type checkCmd struct {
	Config string `required:"" short:"c" type:"path" help:"Configuration file."`
}

// Run prints a summary of a good configuration. The error lists every mistake of a bad one, in
// the order of the file.
func (s *checkCmd) Run(io *streams) error {
	c, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	nodes, err := daemon.CheckNodes(c)
	if err != nil {
		return err
	}
	fmt.Fprintf(io.out, "%s: good; %d volumes, %d classes, %d plans, %d routes, %d nodes\n", s.Config,
		len(c.Volumes), len(c.Scheduler.Classes), len(c.Scheduler.Plans), len(c.Routes), nodes)
	return nil
}
