package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"golang.org/x/time/rate"

	"maddergap/internal/admission"
	"maddergap/internal/config"
	"maddergap/internal/gateway"
	"maddergap/internal/invariant"
	"maddergap/internal/membership"
	"maddergap/scheduler"
)

// observer writes requests to the log and spans to the trace file.
type observer struct {
	log      *slog.Logger
	quiet    bool
	start    time.Time
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     *os.File
	turns    *rate.Limiter // of lines about connections not admitted
	untold   int
	// violations limits the lines about invariants, unlogged counts those left out.
	violations *rate.Limiter
	unlogged   int
}

func newObserver(c *config.Config, log *slog.Logger, start time.Time) (*observer, error) {
	o := &observer{log: log, quiet: !c.Telemetry.LogRequests, start: start, turns: rate.NewLimiter(turnLines, turnLines), violations: rate.NewLimiter(turnLines, turnLines)}
	if c.Telemetry.TraceFile == "" {
		return o, nil
	}
	f, err := os.OpenFile(c.Telemetry.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	exp, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		f.Close()
		return nil, err
	}
	o.file = f
	// The batcher's queue is bounded; what does not fit is dropped.
	o.provider = sdk.NewTracerProvider(sdk.WithBatcher(exp), sdk.WithIDGenerator(given{}), sdk.WithSampler(sdk.AlwaysSample()))
	o.tracer = o.provider.Tracer("maddergap")
	return o, nil
}

func (o *observer) close() {
	if o.provider != nil {
		o.provider.Shutdown(context.Background())
		o.file.Close()
	}
}

// given hands the tracer the ids that went over the wire.
type given struct{}

type spanKey struct{}

func (given) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	s := ctx.Value(spanKey{}).(*gateway.Span)
	return s.Trace, s.ID
}

func (g given) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	_, id := g.NewIDs(ctx)
	return id
}

func (o *observer) span(s *gateway.Span, kind trace.SpanKind, name string, failed string, attrs ...attribute.KeyValue) {
	if o.tracer == nil || !s.Sampled {
		return
	}
	ctx := context.WithValue(context.Background(), spanKey{}, s)
	if s.Parent != ([8]byte{}) {
		ctx = trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
			TraceID: s.Trace, SpanID: s.Parent, TraceFlags: trace.FlagsSampled, Remote: true}))
	}
	attrs = append(attrs, attribute.String("maddergap.request", s.Request), attribute.String("http.request.method", s.Method),
		attribute.String("url.path", s.Path), attribute.Int("http.response.status_code", s.Status),
		attribute.String("maddergap.volume", s.Volume), attribute.String("maddergap.class", s.Class))
	_, span := o.tracer.Start(ctx, name, trace.WithTimestamp(o.start.Add(s.Start)), trace.WithSpanKind(kind), trace.WithAttributes(attrs...))
	if failed != "" {
		span.SetStatus(codes.Error, failed)
	}
	span.End(trace.WithTimestamp(o.start.Add(s.End)))
}

// Request logs a request's end and its span.
func (o *observer) Request(s *gateway.Span) {
	failed := ""
	if s.Outcome != gateway.Served {
		failed = s.Outcome.String()
	}
	o.span(s, trace.SpanKindServer, s.Method, failed, attribute.String("client.address", s.Client), attribute.Int("maddergap.attempts", s.Attempts))
	if o.quiet {
		return
	}
	o.log.LogAttrs(context.Background(), slog.LevelInfo, "request", slog.String("request", s.Request),
		slog.String("trace", fmt.Sprintf("%x", s.Trace)), slog.String("client", s.Client), slog.String("method", s.Method),
		slog.String("path", s.Path), slog.String("volume", s.Volume), slog.String("class", s.Class),
		slog.String("outcome", s.Outcome.String()), slog.Int("status", s.Status), slog.Int("attempts", s.Attempts),
		slog.Duration("took", s.End-s.Start), slog.String("reason", s.Reason))
}

// turnLines is how many lines a second tell of connections that are not admitted;
// a flood must not be one of the log too.
const turnLines = 5

// ConnectionRejected logs a connection that was not admitted, or counts it for the next line.
func (o *observer) ConnectionRejected(client netip.AddrPort, why admission.Reason, told bool) {
	if !o.turns.Allow() {
		o.untold++
		return
	}
	o.log.LogAttrs(context.Background(), slog.LevelWarn, "connection not admitted", slog.String("client", client.String()),
		slog.String("by", why.String()), slog.Bool("told", told), slog.Int("others_not_logged", o.untold))
	o.untold = 0
}

// membersNamed is how many nodes a line about a change of the list names.
const membersNamed = 8

var stateNames = map[scheduler.NodeState]string{scheduler.Serving: "serving", scheduler.Draining: "draining", scheduler.Removed: "gone"}

// MembersChanged logs what changed of the node list: how many nodes by their new state, and the
// first of them by name.
func (o *observer) MembersChanged(changes []membership.Change) {
	counts := map[scheduler.NodeState]int{}
	var named []string
	for i := range changes {
		e := &changes[i].Endpoint
		counts[e.State]++
		if len(named) < membersNamed {
			named = append(named, e.Node+" "+stateNames[e.State])
		}
	}
	o.log.LogAttrs(context.Background(), slog.LevelInfo, "members changed", slog.Int("serving", counts[scheduler.Serving]),
		slog.Int("draining", counts[scheduler.Draining]), slog.Int("gone", counts[scheduler.Removed]), slog.Any("first", named))
}

// InvariantViolated logs an invariant that was broken, or an attempt that was not begun for it, or
// counts it for the next line.
func (o *observer) InvariantViolated(v invariant.Violation) {
	if !o.violations.Allow() {
		o.unlogged++
		return
	}
	level, text := slog.LevelError, "invariant broken"
	if v.Withheld {
		level, text = slog.LevelInfo, "attempt withheld"
	}
	o.log.LogAttrs(context.Background(), level, text, slog.String("rule", v.Rule.String()), slog.String("request", v.RequestID),
		slog.String("node", v.Node), slog.Int("attempt", v.Attempt), slog.Duration("now", v.Now), slog.Duration("limit", v.Limit),
		slog.Int("others_not_logged", o.unlogged))
	o.unlogged = 0
}

var outcomes = map[scheduler.Outcome]string{scheduler.OK: "ok", scheduler.Failed: "failed", scheduler.QueueFull: "full", scheduler.TimedOut: "timed out",
	scheduler.ConnectFailed: "no connection", scheduler.Reset: "reset", scheduler.Cancelled: "cancelled", scheduler.Superseded: "not sent"}

// Attempt logs an attempt that did not bring an answer, and every one's span.
func (o *observer) Attempt(s *gateway.Span) {
	failed := ""
	if s.AttemptOutcome != scheduler.OK {
		failed = outcomes[s.AttemptOutcome]
	}
	o.span(s, trace.SpanKindClient, "attempt", failed, attribute.String("maddergap.node", s.Node), attribute.Int("maddergap.attempt", s.Attempt))
	if o.quiet || s.AttemptOutcome == scheduler.OK {
		return
	}
	o.log.LogAttrs(context.Background(), slog.LevelWarn, "attempt", slog.String("request", s.Request),
		slog.String("trace", fmt.Sprintf("%x", s.Trace)), slog.Int("attempt", s.Attempt), slog.String("node", s.Node),
		slog.String("ended", failed), slog.Int("status", s.Status), slog.Duration("took", s.End-s.Start))
}
