package scheduler

// Placement: which node a request waits for.

const (
	// Nodes whose breaker is open come last, those that are cold before them: their load counts
	// so much more.
	openBreakerPenalty = 1e6
	warmingUpPenalty   = 1e3
	// minLatencyDivisor is the least answer time that loads are compared by, as a part of the
	// shortest aim.
	minLatencyDivisor = 10
)

// selectNode returns the serving node that holds the request's shard; a new object goes to the
// node that should have room for it soonest. It returns nil where no node may take it.
func (s *Scheduler) selectNode(r *request) (best *node) {
	candidates, first := s.members.byShard[r.Shard], 0
	if r.Shard < 0 && len(s.members.nodes) > 0 {
		candidates = s.members.nodes
		first = s.random.IntN(len(candidates)) // lest all heads take nodes alike in one order
	}
	var leastLoad float64
	for i := range candidates {
		n := candidates[(first+i)%len(candidates)]
		if n.State != Serving || !s.mayRunOn(r, n) {
			continue
		}
		load := s.expectedWait(n)
		if best == nil || load < leastLoad {
			best, leastLoad = n, load
		}
	}
	return best
}

// expectedWait is how long a request should wait at a node, as far as nodes are compared by it.
func (s *Scheduler) expectedWait(n *node) float64 {
	before := 1 + float64(n.queue.Len()+len(n.inFlight))
	load := max(n.latency, s.shortestObjective.Seconds()/minLatencyDivisor) * before / n.window
	if n.breaker.open {
		load += openBreakerPenalty
	}
	if s.isWarmingUp(n) {
		load += warmingUpPenalty
	}
	return load
}
