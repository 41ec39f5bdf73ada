package daemon

import (
	"context"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"maddergap/internal/gateway"
)

// spanWriter appends OpenTelemetry spans to a file. A nil *spanWriter writes nothing.
type spanWriter struct {
	origin   time.Time // the wall-clock time at which the loop's clock reads 0
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     *os.File
}

// newSpanWriter opens the trace file. Spans are queued and written by another goroutine. The queue is
// bounded and drops spans that do not fit, so that a slow disk never delays the loop.
func newSpanWriter(path string, origin time.Time) (*spanWriter, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		file.Close()
		return nil, err
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithIDGenerator(spanIDs{}), sdk.WithSampler(sdk.AlwaysSample()))
	return &spanWriter{origin: origin, provider: provider, tracer: provider.Tracer("maddergap"), file: file}, nil
}

// close writes the queued spans and closes the file.
func (w *spanWriter) close() {
	if w == nil {
		return
	}
	w.provider.Shutdown(context.Background())
	w.file.Close()
}

// spanIDs is an sdk.IDGenerator that returns the IDs that the gateway chose and sent over the wire,
// instead of generating new ones. It takes them from the context, see spanKey.
type spanIDs struct{}

// spanKey is the context key of the *gateway.Span that is written.
type spanKey struct{}

func (spanIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	s := ctx.Value(spanKey{}).(*gateway.Span)
	return s.Trace, s.ID
}

func (g spanIDs) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	_, id := g.NewIDs(ctx)
	return id
}

// write writes a span if its trace is sampled. failure is the reason for a failure, or "" if there was
// none.
func (w *spanWriter) write(s *gateway.Span, kind trace.SpanKind, name, failure string, attrs ...attribute.KeyValue) {
	if w == nil || !s.Sampled {
		return
	}
	ctx := context.WithValue(context.Background(), spanKey{}, s)
	if s.Parent != ([8]byte{}) {
		parent := trace.NewSpanContext(trace.SpanContextConfig{TraceID: s.Trace, SpanID: s.Parent, TraceFlags: trace.FlagsSampled, Remote: true})
		ctx = trace.ContextWithRemoteSpanContext(ctx, parent)
	}
	attrs = append(attrs,
		attribute.String("maddergap.request", s.Request),
		attribute.String("http.request.method", s.Method),
		attribute.String("url.path", s.Path),
		attribute.Int("http.response.status_code", s.Status),
		attribute.String("maddergap.volume", s.Volume),
		attribute.String("maddergap.class", s.Class))
	_, span := w.tracer.Start(ctx, name, trace.WithTimestamp(w.origin.Add(s.Start)), trace.WithSpanKind(kind), trace.WithAttributes(attrs...))
	if failure != "" {
		span.SetStatus(codes.Error, failure)
	}
	span.End(trace.WithTimestamp(w.origin.Add(s.End)))
}
