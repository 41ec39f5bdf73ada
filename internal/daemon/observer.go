package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/gateway"
	"maddergap/internal/invariant"
	"maddergap/internal/membership"
	"maddergap/scheduler"
)

const (
	// rejectionLinesPerSecond, violationLinesPerSecond and givenUpLinesPerSecond limit the log lines
	// about rejected connections, violated invariants and attempts that were given up.
	rejectionLinesPerSecond = 5
	violationLinesPerSecond = 5
	givenUpLinesPerSecond   = 5
	// maxNamedNodes is the maximum number of nodes named in a line about a membership change.
	maxNamedNodes = 8
)

// observer implements gateway.Observer: it logs events of the gateway, and writes trace spans of
// requests and attempts.
type observer struct {
	log              *slog.Logger
	logRequests      bool
	spans            *spanWriter // nil if there is no trace file
	rejectionLimiter lineLimiter
	violationLimiter lineLimiter
	givenUpLimiter   lineLimiter
}

var _ gateway.Observer = (*observer)(nil)

// newObserver returns an observer, and opens the trace file if the configuration names one. origin is
// the wall-clock time at which the loop's clock reads 0.
func newObserver(c *config.Config, log *slog.Logger, origin time.Time) (*observer, error) {
	o := &observer{
		log:              log,
		logRequests:      c.Telemetry.LogRequests,
		rejectionLimiter: newLineLimiter(rejectionLinesPerSecond),
		violationLimiter: newLineLimiter(violationLinesPerSecond),
		givenUpLimiter:   newLineLimiter(givenUpLinesPerSecond),
	}
	if c.Telemetry.TraceFile == "" {
		return o, nil
	}
	var err error
	o.spans, err = newSpanWriter(c.Telemetry.TraceFile, origin)
	return o, err
}

func (o *observer) close() { o.spans.close() }

// Request writes the span of a completed request, and logs the request if logRequests is set.
func (o *observer) Request(s *gateway.Span) {
	failure := ""
	if s.Outcome != gateway.Served && s.Outcome != gateway.AnsweredLocally {
		failure = s.Outcome.String()
	}
	o.spans.write(s, trace.SpanKindServer, s.Method, failure, attribute.String("client.address", s.Client), attribute.Int("maddergap.attempts", s.Attempts))
	if !o.logRequests {
		return
	}
	o.log.LogAttrs(context.Background(), slog.LevelInfo, "request",
		slog.String("request", s.Request), traceID(s), slog.String("client", s.Client),
		slog.String("method", s.Method), slog.String("path", s.Path), slog.String("volume", s.Volume), slog.String("class", s.Class),
		slog.String("outcome", s.Outcome.String()), slog.Int("status", s.Status), slog.Int("attempts", s.Attempts),
		slog.Duration("took", s.End-s.Start), slog.String("reason", s.Reason), slog.String("wait_reason", s.WaitReason))
}

// attemptOutcomes maps outcomes of attempts to their names in logs and spans.
var attemptOutcomes = map[scheduler.Outcome]string{
	scheduler.OK:            "ok",
	scheduler.Failed:        "failed",
	scheduler.QueueFull:     "full",
	scheduler.TimedOut:      "timed out",
	scheduler.ConnectFailed: "no connection",
	scheduler.Reset:         "reset",
	scheduler.Cancelled:     "cancelled",
	scheduler.NotSent:       "not sent",
}

// Attempt writes the span of an attempt, and logs the attempt if it failed and logRequests is set.
func (o *observer) Attempt(s *gateway.Span) {
	failure := ""
	if s.AttemptOutcome != scheduler.OK {
		failure = attemptOutcomes[s.AttemptOutcome]
	}
	o.spans.write(s, trace.SpanKindClient, "attempt", failure, attribute.String("maddergap.node", s.Node), attribute.Int("maddergap.attempt", s.Attempt))
	if !o.logRequests || s.AttemptOutcome == scheduler.OK {
		return
	}
	o.log.LogAttrs(context.Background(), slog.LevelWarn, "attempt failed",
		slog.String("request", s.Request), traceID(s), slog.Int("attempt", s.Attempt), slog.String("node", s.Node),
		slog.String("outcome", failure), slog.Int("status", s.Status), slog.Duration("took", s.End-s.Start))
}

// AttemptGivenUp logs an attempt that had no response when the nodes' deduplication window for its request
// ended.
func (o *observer) AttemptGivenUp(requestID, node string, attempt int, age time.Duration) {
	suppressed, ok := o.givenUpLimiter.allow()
	if !ok {
		return
	}
	o.log.LogAttrs(context.Background(), slog.LevelWarn, "attempt given up",
		slog.String("request", requestID), slog.String("node", node), slog.Int("attempt", attempt),
		slog.Duration("age", age), slog.Int("suppressed", suppressed))
}

func traceID(s *gateway.Span) slog.Attr { return slog.String("trace", fmt.Sprintf("%x", s.Trace)) }

// ConnectionRejected logs a connection or request that admission rejected. responded reports whether the
// client is sent a response before its connection is closed.
func (o *observer) ConnectionRejected(client netip.AddrPort, reason admission.Reason, responded bool) {
	suppressed, ok := o.rejectionLimiter.allow()
	if !ok {
		return
	}
	o.log.LogAttrs(context.Background(), slog.LevelWarn, "connection rejected",
		slog.String("client", client.String()), slog.String("reason", reason.String()), slog.Bool("responded", responded),
		slog.Int("suppressed", suppressed))
}

// nodeStateNames maps node states to their names in the node list and in logs.
var nodeStateNames = map[scheduler.NodeState]string{
	scheduler.Serving:  "serving",
	scheduler.Draining: "draining",
	scheduler.Removed:  "gone",
}

// MembersChanged logs the number of changed nodes by their new state, and names the first
// maxNamedNodes of them.
func (o *observer) MembersChanged(changes []membership.Change) {
	counts := map[scheduler.NodeState]int{}
	var named []string
	for i := range changes {
		endpoint := &changes[i].Endpoint
		counts[endpoint.State]++
		if len(named) < maxNamedNodes {
			named = append(named, endpoint.Node+" "+nodeStateNames[endpoint.State])
		}
	}
	o.log.LogAttrs(context.Background(), slog.LevelInfo, "membership changed",
		slog.Int("serving", counts[scheduler.Serving]), slog.Int("draining", counts[scheduler.Draining]),
		slog.Int("gone", counts[scheduler.Removed]), slog.Any("nodes", named))
}

// InvariantViolated logs the violation of an invariant, or an attempt that was withheld to prevent one.
func (o *observer) InvariantViolated(v invariant.Violation) {
	suppressed, ok := o.violationLimiter.allow()
	if !ok {
		return
	}
	level, message := slog.LevelError, "invariant violated"
	if v.Withheld {
		level, message = slog.LevelInfo, "attempt withheld"
	}
	o.log.LogAttrs(context.Background(), level, message,
		slog.String("rule", v.Rule.String()), slog.String("request", v.RequestID), slog.String("node", v.Node),
		slog.Int("attempt", v.Attempt), slog.Duration("now", v.Now), slog.Duration("limit", v.Limit),
		slog.Int("suppressed", suppressed))
}
