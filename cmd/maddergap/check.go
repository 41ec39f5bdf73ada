package main

import (
	"fmt"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
)

// checkCmd checks a configuration without serving.
type checkCmd struct {
	Config string `required:"" short:"c" type:"path" help:"Configuration file."`
}

// Run prints a summary if the configuration and its node list are valid. Otherwise it returns an error
// that lists all mistakes in the order of the file; the node list is checked only if the configuration
// is valid.
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
