package dogtrace

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"dogwoodford"
)

// ErrUnknownExporter is returned by New for an unknown exporter.
var ErrUnknownExporter = eris.New("unknown exporter, want none, console or otlp")

// exportTimeout limits the time of one export, and so the delay that a collector
// that hangs can cause in Shutdown.
const exportTimeout = 5 * time.Second

// Config configures the exporter and the attributes that describe the node in its
// spans.
type Config struct {
	Exporter   string // none, console or otlp; empty means none.
	Endpoint   string // IP address and port of the OTLP collector; otlp only.
	Service    string
	Node       string
	DataCentre string
	Output     io.Writer // Output of console; os.Stdout if nil.
	// Processor, if set, replaces the exporter. Tests pass a span recorder.
	Processor sdktrace.SpanProcessor
}

// Tracer starts spans and propagates the trace context. It is safe for concurrent
// use.
type Tracer struct {
	recording  bool
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
	shutdown   func(context.Context) error
}

// New returns a tracer. It returns ErrUnknownExporter for an unknown exporter. An
// OTLP collector need not be reachable: spans that cannot be sent are dropped.
func New(ctx context.Context, cfg Config) (*Tracer, error) {
	t := &Tracer{
		propagator: propagation.TraceContext{},
		tracer:     noop.NewTracerProvider().Tracer("dogwoodford"),
		shutdown:   func(context.Context) error { return nil },
	}
	processor := cfg.Processor
	if processor == nil {
		exporter, err := newExporter(ctx, cfg)
		if err != nil {
			return nil, fmt.Errorf("trace: %w", err)
		}
		if exporter == nil {
			return t, nil
		}
		processor = sdktrace.NewBatchSpanProcessor(exporter, sdktrace.WithExportTimeout(exportTimeout))
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSpanProcessor(processor),
		// The sampling decision of the caller, if there is one, applies.
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.AlwaysSample())),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "dogwoodford"),
			attribute.String("service.instance.id", cfg.Node),
			attribute.String("dogwoodford.service", cfg.Service),
			attribute.String("dogwoodford.data_centre", cfg.DataCentre),
		)),
	)
	t.tracer = provider.Tracer("dogwoodford")
	t.shutdown = provider.Shutdown
	t.recording = true
	return t, nil
}

// Recording reports whether spans are recorded. If not, the tracer propagates a
// trace context unchanged, and callers need not call it.
func (t *Tracer) Recording() bool { return t.recording }

// newExporter returns the configured exporter, or nil without an error for none.
func newExporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	switch cfg.Exporter {
	case "", "none":
		return nil, nil
	case "console":
		out := cfg.Output
		if out == nil {
			out = os.Stdout
		}
		return stdouttrace.New(stdouttrace.WithWriter(out))
	case "otlp":
		return otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(cfg.Endpoint),
			otlptracehttp.WithInsecure(),
			otlptracehttp.WithTimeout(exportTimeout))
	}
	return nil, fmt.Errorf("exporter %q: %w", cfg.Exporter, ErrUnknownExporter)
}

// Role is the part that a node plays in a hop, and the name of the span.
type Role string

// Roles of a node in the processing of a request. Target is the call of the
// node to its target.
const (
	Entry  Role = "entry"
	Exit   Role = "exit"
	Guard  Role = "guard"
	Owner  Role = "owner"
	Target Role = "target"
)

// Hop contains the attributes of a span that describe the request.
type Hop struct {
	Customer string
	Service  string
	Class    string
	Root     string // Identifier of the customer request that the call belongs to.
	Depth    int    // Depth in the call tree; 0 at the entry.
	Attempt  int
}

// Result is the result of a hop.
type Result struct {
	Outcome dogwoodford.Outcome
	Reason  dogwoodford.Reason
	Status  int // HTTP status code of the response; 0 if there was none.
}

// Span is the span of one hop in progress.
type Span struct{ span trace.Span }

// StartHop starts the span of a hop and returns it and a context that contains it.
// Its parent is the span in ctx if there is one, otherwise that of the trace
// context in header, the headers of the incoming request. header may be nil.
func (t *Tracer) StartHop(ctx context.Context, header http.Header, role Role, hop Hop) (context.Context, Span) {
	if !trace.SpanContextFromContext(ctx).IsValid() && header != nil {
		ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(header))
	}
	kind := trace.SpanKindServer
	if role == Target {
		kind = trace.SpanKindClient
	}
	ctx, span := t.tracer.Start(ctx, string(role), trace.WithSpanKind(kind))
	out := Span{span: span}
	out.Describe(hop)
	return ctx, out
}

// Describe sets the attributes of the hop, for callers that know them only after
// StartHop. An empty hop has no effect.
func (s Span) Describe(hop Hop) {
	if !s.span.IsRecording() || hop == (Hop{}) {
		return
	}
	s.span.SetAttributes(
		attribute.String("dogwoodford.customer", hop.Customer),
		attribute.String("dogwoodford.service", hop.Service),
		attribute.String("dogwoodford.class", hop.Class),
		attribute.String("dogwoodford.root", hop.Root),
		attribute.Int("dogwoodford.hop", hop.Depth),
		attribute.Int("dogwoodford.attempt", hop.Attempt),
	)
}

// Inject writes the trace context of ctx into the headers of an outgoing request.
// It replaces any trace context in them.
func (t *Tracer) Inject(ctx context.Context, header http.Header) {
	header.Del("traceparent")
	header.Del("tracestate")
	t.propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Event adds an event, such as a retry, to the span at the current time.
func (s Span) Event(name string) {
	if s.span.IsRecording() {
		s.span.AddEvent(name)
	}
}

// End sets the attributes of the result and ends the span. The status of the span
// is an error unless the request ran with an HTTP status below 500.
func (s Span) End(r Result) {
	if s.span.IsRecording() {
		s.span.SetAttributes(attribute.String("dogwoodford.outcome", r.Outcome.String()))
		if r.Reason != dogwoodford.ReasonNone {
			s.span.SetAttributes(attribute.String("dogwoodford.reason", string(r.Reason)))
		}
		if r.Status != 0 {
			s.span.SetAttributes(attribute.Int("http.response.status_code", r.Status))
		}
		if r.Outcome != dogwoodford.OutcomeRan || r.Status >= 500 {
			s.span.SetStatus(codes.Error, string(r.Reason))
		}
	}
	s.span.End()
}

// Shutdown exports the remaining spans and stops the exporter. It returns an error
// if spans could not be sent.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if err := t.shutdown(ctx); err != nil {
		return fmt.Errorf("trace: shut down: %w", err)
	}
	return nil
}
