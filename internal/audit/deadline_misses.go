package audit

import (
	"slices"
	"time"
)

// startupDuration is the length of the startup of a run, in which instances may not yet know their
// nodes. The report counts the requests sent in that time separately.
const startupDuration = 5 * time.Second

// DeadlineMisses describes the responses that arrived after their deadline by the clients' clock, even
// if RuleSingleResponse tolerates them.
type DeadlineMisses struct {
	Delays        []time.Duration // time from the deadline to the response, sorted
	DuringStartup int             // number of misses for requests sent during the startup
	// DuringStalls is the number of misses that overlap a stall of the clients' process, which may be
	// their cause. LongestStall is the longest stall of the run.
	DuringStalls int
	LongestStall time.Duration
}

func (r *run) deadlineMisses() DeadlineMisses {
	var misses DeadlineMisses
	for _, stall := range r.input.Stalls {
		misses.LongestStall = max(misses.LongestStall, durationBetween(stall.From, stall.To))
	}
	for i := range r.input.Requests {
		request := &r.input.Requests[i]
		if request.RespondedAt == 0 || request.Deadline == 0 || request.RespondedAt <= request.Deadline {
			continue
		}
		misses.Delays = append(misses.Delays, durationBetween(request.Deadline, request.RespondedAt))
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

// duringStartup reports whether a request was sent during the startup of the run.
func (r *run) duringStartup(request *RequestRecord) bool {
	return r.input.StartedAt > 0 && request.SentAt < r.input.StartedAt+startupDuration.Microseconds()
}

// duringStall reports whether a stall overlaps the time from a request's deadline to its response.
func (r *run) duringStall(request *RequestRecord) bool {
	return slices.ContainsFunc(r.input.Stalls, func(stall Interval) bool {
		return stall.From <= request.RespondedAt && stall.To >= request.Deadline
	})
}
