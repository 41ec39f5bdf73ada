// Package audit judges a run by seven rules. It uses only records made at the sockets: the clients'
// records of requests and the nodes' records of attempts, joined by trace ID. It uses no data from the
// gateway instances, so it also detects faults of the gateway's own invariant checks. The package does
// no I/O and does not read the clock.
//
// rules.go defines the rules, records.go the input and report.go the report. Each rule is implemented
// in its own file: single_response.go, safe_retry.go, node_serving.go, slow_start.go, key_order.go,
// retry_budget.go and tenant_limit.go. deadline_misses.go and summary.go compute the statistics of the
// report that no rule judges.
package audit

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/scheduler"
)

// run is an Input with its requests and attempts joined.
type run struct {
	input    Input
	classes  []scheduler.Class
	requests map[string]*RequestRecord // by trace ID
	// attempts holds all attempts and attemptsByTrace the attempts of each trace ID, both sorted by
	// arrival at the node.
	attempts        []*fakenode.Entry
	attemptsByTrace map[string][]*fakenode.Entry
}

// Judge judges a run by all rules and returns the report.
func Judge(in Input) *Report {
	r := joinRecords(in)
	report := &Report{
		Verdicts: []Verdict{
			r.judgeSingleResponse(),
			r.judgeSafeRetry(),
			r.judgeNodeServing(),
			r.judgeSlowStart(),
			r.judgeKeyOrder(),
			r.judgeRetryBudget(),
			r.judgeTenantLimit(),
		},
		DeadlineMisses: r.deadlineMisses(),
	}
	r.summarize(report)
	return report
}

// joinRecords indexes the requests by trace ID, and sorts the attempts and groups them by trace ID.
func joinRecords(in Input) *run {
	r := &run{
		input:           in,
		classes:         in.Config.Scheduler.Classes,
		requests:        map[string]*RequestRecord{},
		attemptsByTrace: map[string][]*fakenode.Entry{},
	}
	for i := range in.Requests {
		request := &in.Requests[i]
		r.requests[request.TraceID] = request
	}
	for i := range in.Attempts {
		attempt := &in.Attempts[i]
		id := traceID(attempt.Traceparent)
		r.attempts = append(r.attempts, attempt)
		r.attemptsByTrace[id] = append(r.attemptsByTrace[id], attempt)
	}
	sortByArrival(r.attempts)
	for _, attempts := range r.attemptsByTrace {
		sortByArrival(attempts)
	}
	return r
}

func sortByArrival(attempts []*fakenode.Entry) {
	slices.SortStableFunc(attempts, func(a, b *fakenode.Entry) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) })
}

// requestOf returns the request that an attempt belongs to, or nil if no client sent it.
func (r *run) requestOf(attempt *fakenode.Entry) *RequestRecord {
	return r.requests[traceID(attempt.Traceparent)]
}

// clockTolerance returns Input.ClockTolerance in microseconds.
func (r *run) clockTolerance() int64 { return r.input.ClockTolerance.Microseconds() }

// instanceDown reports whether an outage of an instance overlaps the interval between two record times.
// If to is 0, the interval extends to the end of the run. Outages without an end do not count.
func (r *run) instanceDown(instance int, from, to int64) bool {
	name := strconv.Itoa(instance)
	return slices.ContainsFunc(r.input.Outages, func(outage Interval) bool {
		return outage.Name == name && from <= outage.To && (to == 0 || to >= outage.From)
	})
}

// durationBetween returns the duration from one record time to another.
func durationBetween(from, to int64) time.Duration { return time.Duration(to-from) * time.Microsecond }
