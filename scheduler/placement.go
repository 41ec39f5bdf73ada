package scheduler

const (
	// openBreakerPenalty and warmingUpPenalty are added to the expected wait, in seconds, so that
	// nodes whose breaker is open are selected last, and those that are warming up before them.
	openBreakerPenalty = 1e6
	warmingUpPenalty   = 1e3
	// minLatencyDivisor: nodes are compared by a latency of no less than the shortest latency
	// objective divided by this, as differences below that are noise.
	minLatencyDivisor = 10
)

// selectNode returns the node that a request is queued for, nil if none may take it now. Of the
// serving nodes that hold its shard, or of all for a new object, that is the one with the least
// expected wait.
//
// For a new object the search starts at a random node: instances that know as little of all nodes
// would otherwise all select the same one.
func (s *Scheduler) selectNode(r *request) (best *node) {
	candidates, first := s.members.byShard[r.Shard], 0
	if r.Shard < 0 && len(s.members.nodes) > 0 {
		candidates = s.members.nodes
		first = s.random.IntN(len(candidates))
	}
	var leastWait float64
	for i := range candidates {
		n := candidates[(first+i)%len(candidates)]
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

// expectedWait returns the seconds that a request should wait for its response at a node, for the
// comparison of nodes.
func (s *Scheduler) expectedWait(n *node) float64 {
	ahead := 1 + float64(n.queue.Len()+len(n.inFlight))
	wait := max(n.latency, s.shortestObjective.Seconds()/minLatencyDivisor) * ahead / n.window
	if n.breaker.open {
		wait += openBreakerPenalty
	}
	if s.isWarmingUp(n) {
		wait += warmingUpPenalty
	}
	return wait
}
