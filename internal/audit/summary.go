package audit

import (
	"net/http"
	"slices"

	"maddergap/scheduler"
)

// outcome is what became of a request, from its client's view.
type outcome int

const (
	outcomeServed       outcome = iota
	outcomeDisconnected         // the client did not wait for the response
	outcomeUnanswered
	outcomeFailed   // a truncated response, 502 or 504: it may have been executed
	outcomeRejected // 503: it was not executed
)

func outcomeOf(request *RequestRecord) outcome {
	switch {
	case request.DisconnectedAt > 0:
		return outcomeDisconnected
	case request.Responses == 0:
		return outcomeUnanswered
	case request.Truncated, request.Status == http.StatusBadGateway, request.Status == http.StatusGatewayTimeout:
		return outcomeFailed
	case request.Status == http.StatusServiceUnavailable:
		return outcomeRejected
	}
	return outcomeServed
}

// summarize counts requests by outcome, and sums the priority weight that was offered and earned.
func (r *run) summarize(report *Report) {
	for _, request := range r.requests {
		r.count(report, request)
		r.weigh(report, request)
		if r.duringStartup(request) {
			report.Startup.count(request)
		}
	}
	slices.Sort(report.Latencies)
	report.Attempts = len(r.attempts)
}

func (r *run) count(report *Report, request *RequestRecord) {
	report.Requests++
	switch outcomeOf(request) {
	case outcomeDisconnected:
		report.Disconnected++
	case outcomeUnanswered:
		report.Unanswered++
	case outcomeFailed:
		report.Failed++
	case outcomeRejected:
		report.Rejected++
	case outcomeServed:
		report.Served++
		latency := between(request.SentAt, request.RespondedAt)
		report.Latencies = append(report.Latencies, latency)
		if latency > r.classes[request.Class].LatencyObjective {
			report.MissedObjective++
		}
	}
}

// weigh adds the priority weight of a request, unless its client disconnected, and what its
// response earned of it.
func (r *run) weigh(report *Report, request *RequestRecord) {
	class := &r.classes[request.Class]
	weight := class.PriorityWeight * r.priorityFactor(request.Volume) * request.Units
	offered, earned := weight, weight*earnedFraction(request, class)
	if request.DisconnectedAt > 0 {
		offered = 0
	}
	report.OfferedWeight += offered
	report.EarnedWeight += earned
	if r.duringStartup(request) {
		report.Startup.OfferedWeight += offered
		report.Startup.EarnedWeight += earned
	}
}

// earnedFraction is the part of its priority weight that a request's response earned.
func earnedFraction(request *RequestRecord, class *scheduler.Class) float64 {
	switch {
	case outcomeOf(request) != outcomeServed:
		return 0
	case between(request.SentAt, request.RespondedAt) > class.LatencyObjective:
		return class.LateWeightFactor
	}
	return 1
}

// priorityFactor is that of a volume's plan, 1 for a volume that is not configured.
func (r *run) priorityFactor(volume string) float64 {
	factor := 1.0
	for _, v := range r.input.Config.Volumes {
		if v.Name == volume {
			factor = r.input.Config.Scheduler.Plans[v.Plan].PriorityFactor
		}
	}
	return factor
}

// count counts a request that was sent during the startup.
func (s *StartupStats) count(request *RequestRecord) {
	if request.Status == http.StatusServiceUnavailable {
		s.Rejected++
	}
	if request.Responses == 0 && request.DisconnectedAt == 0 {
		s.Unanswered++
	}
}
