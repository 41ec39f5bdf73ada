package audit

import (
	"slices"
	"time"
)

// startupDuration is how long after the start of a run a request counts as sent during the
// startup, while instances know nothing of their nodes yet.
const startupDuration = 5 * time.Second

// DeadlineMisses are the responses that came after their deadline by the clients' clock, whether
// or not RuleSingleResponse allows that.
type DeadlineMisses struct {
	Delays        []time.Duration // after the deadline, sorted
	DuringStartup int             // of them, to requests sent during the startup
	// DuringStalls is how many of them came while the run itself was held up, which may be the
	// reason. LongestStall is the longest time that it was.
	DuringStalls int
	LongestStall time.Duration
}

func (r *run) deadlineMisses() DeadlineMisses {
	var misses DeadlineMisses
	for _, stall := range r.input.Stalls {
		misses.LongestStall = max(misses.LongestStall, between(stall.From, stall.To))
	}
	for i := range r.input.Requests {
		request := &r.input.Requests[i]
		if request.RespondedAt == 0 || request.Deadline == 0 || request.RespondedAt <= request.Deadline {
			continue
		}
		misses.Delays = append(misses.Delays, between(request.Deadline, request.RespondedAt))
		if r.duringStartup(request) {
			misses.DuringStartup++
		}
		if r.duringStall(request) {
			misses.DuringStalls++
		}
	}
	slices.Sort(misses.Delays)
	return misses
}

func (r *run) duringStartup(request *RequestRecord) bool {
	return r.input.StartedAt > 0 && request.SentAt < r.input.StartedAt+startupDuration.Microseconds()
}

// duringStall reports whether the run was held up between a request's deadline and its response.
func (r *run) duringStall(request *RequestRecord) bool {
	return slices.ContainsFunc(r.input.Stalls, func(stall Interval) bool {
		return stall.From <= request.RespondedAt && stall.To >= request.Deadline
	})
}
