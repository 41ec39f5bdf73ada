package audit

import (
	"net/http"
	"slices"

	"maddergap/scheduler"
)

// outcome is the result of a request from the client's view.
type outcome int

const (
	outcomeServed       outcome = iota // a complete response that is neither a failure nor a rejection
	outcomeDisconnected                // the client did not wait for the response
	outcomeUnanswered
	outcomeFailed   // 502, 504 or a truncated response; the request may have been executed
	outcomeRejected // 503; the request was not executed
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

// summarize counts the requests by outcome and sums the offered and earned priority weight.
func (r *run) summarize(report *Report) {
	for _, request := range r.requests {
		r.countOutcome(report, request)
		r.addPriorityWeight(report, request)
		if r.duringStartup(request) {
			report.Startup.countOutcome(request)
		}
	}
	slices.Sort(report.Latencies)
	report.Attempts = len(r.attempts)
}

// countOutcome counts a request by its outcome and, if it was served, records its latency.
func (r *run) countOutcome(report *Report, request *RequestRecord) {
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
		latency := durationBetween(request.SentAt, request.RespondedAt)
		report.Latencies = append(report.Latencies, latency)
		if latency > r.classes[request.Class].LatencyObjective {
			report.MissedObjective++
		}
	}
}

// addPriorityWeight adds the priority weight of a request to the offered weight, unless its client
// disconnected, and adds the part that its response earned to the earned weight.
func (r *run) addPriorityWeight(report *Report, request *RequestRecord) {
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

// earnedFraction returns the fraction of its priority weight that a request's response earned.
func earnedFraction(request *RequestRecord, class *scheduler.Class) float64 {
	switch {
	case outcomeOf(request) != outcomeServed:
		return 0
	case durationBetween(request.SentAt, request.RespondedAt) > class.LatencyObjective:
		return class.LateWeightFactor
	}
	return 1
}

// priorityFactor returns the priority factor of a volume's plan, or 1 if the volume is not configured.
func (r *run) priorityFactor(volume string) float64 {
	factor := 1.0
	for _, v := range r.input.Config.Volumes {
		if v.Name == volume {
			factor = r.input.Config.Scheduler.Plans[v.Plan].PriorityFactor
		}
	}
	return factor
}

// countOutcome counts a request sent during the startup if it was rejected or got no response.
func (s *StartupStats) countOutcome(request *RequestRecord) {
	if request.Status == http.StatusServiceUnavailable {
		s.Rejected++
	}
	if request.Responses == 0 && request.DisconnectedAt == 0 {
		s.Unanswered++
	}
}
