package soak

import (
	"fmt"
	"time"
)

// Options say what is run.
type Options struct {
	// Seed determines the plan of faults, the deployment and what clients request.
	Seed      uint64
	Duration  time.Duration // of the run, until instances are terminated
	Instances int           // gateway instances
	Nodes     int           // storage nodes, two for each shard
}

// Limits of options.
const (
	minDuration  = 4 * time.Second
	maxDuration  = 30 * time.Minute
	maxInstances = 64
	minNodes     = 4
	maxNodes     = 64
)

// nodesPerShard is how many nodes hold the data of each shard.
const nodesPerShard = 2

// Validate returns an error that names an option that is out of range, nil if there is none.
func (o *Options) Validate() error {
	switch {
	case o.Duration < minDuration || o.Duration > maxDuration:
		return fmt.Errorf("a duration of %v is out of range (%v to %v)", o.Duration, minDuration, maxDuration)
	case o.Instances < 1 || o.Instances > maxInstances:
		return fmt.Errorf("%d heads are out of range (1 to %d)", o.Instances, maxInstances)
	case o.Nodes < minNodes || o.Nodes > maxNodes || o.Nodes%nodesPerShard != 0:
		return fmt.Errorf("%d nodes are out of range (%d to %d, even)", o.Nodes, minNodes, maxNodes)
	}
	return nil
}
