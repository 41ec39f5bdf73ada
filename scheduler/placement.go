package scheduler

const (
	// openBreakerPenalty and warmingUpPenalty are added to the expected wait, in seconds. Nodes with
	// an open breaker are thus selected last, and nodes that are warming up just before them.
	openBreakerPenalty = 1e6
	warmingUpPenalty   = 1e3
	// minLatencyDivisor sets the lowest latency by which nodes are compared: the shortest latency
	// objective divided by this. Differences below that are noise.
	minLatencyDivisor = 10
)

// selectNode returns the node to queue a request for, nil if no node may take it now. Among the
// serving nodes that hold the request's shard, or among all serving nodes for a new object, it is the
// node with the least expected wait.
//
// For a new object the search starts at a random node. Otherwise all instances that know equally
// little about the nodes would select the same one.
func (s *Scheduler) selectNode(r *request) (best *node) {
	candidates, start := s.members.byShard[r.Shard], 0
	if r.Shard < 0 && len(s.members.nodes) > 0 {
		candidates = s.members.nodes
		start = s.random.IntN(len(candidates))
	}
	var leastWait float64
	for i := range candidates {
		n := candidates[(start+i)%len(candidates)]
		if n.State != Serving || !s.mayRunOn(r, n) {
			continue
		}
		wait := s.expectedWait(n)
		if best == nil || wait < leastWait {
			best, leastWait = n, wait
		}
	}
	return best
}

// expectedWait returns the expected seconds until a node responds to another request, plus the
// penalties. Nodes are compared by the result.
func (s *Scheduler) expectedWait(n *node) float64 {
	load := 1 + float64(n.queue.Len()+len(n.inFlight))
	wait := max(n.latency, s.shortestObjective.Seconds()/minLatencyDivisor) * load / n.window
	if n.breaker.open {
		wait += openBreakerPenalty
	}
	if s.isWarmingUp(n) {
		wait += warmingUpPenalty
	}
	return wait
}
