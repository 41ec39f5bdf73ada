package soak

import (
	"fmt"
	"time"
)

// Options are the parameters of a run.
type Options struct {
	// Seed determines the plan of faults, the deployment and the requests of the clients.
	Seed      uint64
	Duration  time.Duration // time from when all instances are ready until they are terminated
	Instances int           // number of gateway instances
	Nodes     int           // number of storage nodes, nodesPerShard for each shard
}

// Limits of the fields of Options.
const (
	minDuration  = 4 * time.Second
	maxDuration  = 30 * time.Minute
	maxInstances = 64
	minNodes     = 4
	maxNodes     = 64
)

// nodesPerShard is the number of nodes that hold the data of each shard.
const nodesPerShard = 2

// Validate returns an error that names the first option out of range, or nil if all are valid.
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
