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

// ErrExporter is returned for an unknown exporter.
var ErrExporter = eris.New("exporter is none of none, console, otlp")

// exportTimeout bounds one export, so that a collector that hangs cannot hold
// up Shutdown for longer.
const exportTimeout = 5 * time.Second

// Config says where spans go and what describes the node in them.
type Config struct {
	Exporter   string // none, console or otlp; empty is none.
	Endpoint   string // IP address and port of the OTLP collector.
	Service    string
	Node       string
	DataCentre string
	Output     io.Writer // Output of console; os.Stdout if nil.
	// Processor, if set, takes the place of the exporter. Tests pass a
	// recorder.
	Processor sdktrace.SpanProcessor
}

// Tracer starts spans. It is safe for concurrent use.
type Tracer struct {
	records    bool
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
	shutdown   func(context.Context) error
}

// New returns a tracer. An OTLP collector need not be reachable: spans that
// cannot be sent are dropped.
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
		// A caller that decided against sampling is followed.
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
	t.records = true
	return t, nil
}

// Records reports whether spans go anywhere. If not, a trace context travels on
// unchanged, and callers may leave the tracer out.
func (t *Tracer) Records() bool { return t.records }

// newExporter returns nil without an error for the exporter none.
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
	return nil, fmt.Errorf("exporter %q: %w", cfg.Exporter, ErrExporter)
}

// Role names the part of a node that a span describes.
type Role string

// Roles of a node on the path of a request.
const (
	Entry  Role = "entry"
	Exit   Role = "exit"
	Guard  Role = "guard"
	Owner  Role = "owner"
	Target Role = "target"
)

// Hop describes one hop.
type Hop struct {
	Customer string
	Service  string
	Class    string
	Root     string
	Depth    int
	Attempt  int
}

// Result says how a hop ended.
type Result struct {
	Outcome dogwoodford.Outcome
	Reason  dogwoodford.Reason
	Status  int // HTTP status of the answer; 0 if there was none.
}

// Span is one hop in progress.
type Span struct{ span trace.Span }

// StartHop starts the span of a hop. Its parent is the span in ctx if there is
// one, else the trace context in the headers of the request that came in;
// header may be nil.
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

// Describe names the hop once it is known; an empty hop changes nothing.
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

// Inject writes the trace context of ctx into the headers of an outgoing
// request, in place of any that is there.
func (t *Tracer) Inject(ctx context.Context, header http.Header) {
	header.Del("traceparent")
	header.Del("tracestate")
	t.propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Event adds a point in time to the span, such as a retry.
func (s Span) Event(name string) {
	if s.span.IsRecording() {
		s.span.AddEvent(name)
	}
}

// End ends the span.
func (s Span) End(r Result) {
	if s.span.IsRecording() {
		s.span.SetAttributes(attribute.String("dogwoodford.outcome", r.Outcome.String()))
		if r.Reason != dogwoodford.ReasonNone {
			s.span.SetAttributes(attribute.String("dogwoodford.reason", string(r.Reason)))
		}
		if r.Status != 0 {
			s.span.SetAttributes(attribute.Int("http.response.status_code", r.Status))
		}
		if r.Outcome != dogwoodford.Ran || r.Status >= 500 {
			s.span.SetStatus(codes.Error, string(r.Reason))
		}
	}
	s.span.End()
}

// Shutdown sends the spans that are left and ends the exporter.
func (t *Tracer) Shutdown(ctx context.Context) error {
	if err := t.shutdown(ctx); err != nil {
		return fmt.Errorf("trace: shut down: %w", err)
	}
	return nil
}
