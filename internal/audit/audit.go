// Package audit judges a run by seven rules, from what passed on sockets: the clients' records of
// requests and the nodes' records of attempts, joined by trace id. It takes no instance's word for
// anything, so that a fault of the gateway, of its own invariants too, shows here. It does no I/O
// and reads no clock.
//
// rules.go lists the rules, records.go what a run is judged from, report.go what is reported. Each
// rule has a file: single_response.go, safe_retry.go, node_serving.go, slow_start.go, key_order.go,
// retry_budget.go and tenant_limit.go. deadline_misses.go and summary.go have what is reported but
// not judged.
package audit

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/scheduler"
)

// run is an Input with its records joined.
type run struct {
	input    Input
	classes  []scheduler.Class
	requests map[string]*RequestRecord // by trace id
	// attempts has all attempts, attemptsByTrace those of each trace id; both in order of arrival.
	attempts        []*fakenode.Entry
	attemptsByTrace map[string][]*fakenode.Entry
}

// Judge judges a run.
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

// requestOf returns the request of an attempt, nil if no client sent it.
func (r *run) requestOf(attempt *fakenode.Entry) *RequestRecord {
	return r.requests[traceID(attempt.Traceparent)]
}

// clockTolerance is Input.ClockTolerance in microseconds.
func (r *run) clockTolerance() int64 { return r.input.ClockTolerance.Microseconds() }

// instanceDown reports whether an instance was down at some time from one time to another; to 0
// is the end of the run. Only outages that ended count.
func (r *run) instanceDown(instance int, from, to int64) bool {
	name := strconv.Itoa(instance)
	return slices.ContainsFunc(r.input.Outages, func(outage Interval) bool {
		return outage.Name == name && from <= outage.To && (to == 0 || to >= outage.From)
	})
}

// between returns the time from one record's time to another's.
func between(from, to int64) time.Duration { return time.Duration(to-from) * time.Microsecond }
