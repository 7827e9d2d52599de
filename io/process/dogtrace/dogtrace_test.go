package dogtrace

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"google.golang.org/protobuf/encoding/protowire"

	"dogwoodford"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// TestHops guards against spans of two hops that do not belong to one trace.
func TestHops(t *testing.T) {
	rec := tracetest.NewSpanRecorder()
	tr, err := New(t.Context(), Config{Processor: rec})
	if err != nil {
		t.Fatal(err)
	}
	in := http.Header{"Traceparent": {parent}}
	ctx, entry := tr.StartHop(t.Context(), in, Entry, Hop{Service: "rounds", Class: "sheet"})
	out := http.Header{"Traceparent": {"stale"}, "Tracestate": {"stale=1"}}
	tr.Inject(ctx, out)
	// The next node receives only the headers.
	_, guard := tr.StartHop(t.Context(), out, Guard, Hop{Depth: 1})
	guard.Event("retry")
	guard.End(Result{Outcome: dogwoodford.OutcomeNotRun, Reason: dogwoodford.ReasonOverload, Status: 503})
	entry.End(Result{Outcome: dogwoodford.OutcomeRan, Status: 200})
	if err := tr.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	spans := rec.Ended()
	if len(spans) != 2 {
		t.Fatalf("%d spans, want 2", len(spans))
	}
	g, e := spans[0], spans[1]
	if got := e.Parent().SpanID().String(); got != "b7ad6b7169203331" {
		t.Errorf("parent of the entry span is %s", got)
	}
	if g.Parent().SpanID() != e.SpanContext().SpanID() || g.SpanContext().TraceID().String() != parent[3:35] {
		t.Errorf("the guard span is in trace %s with parent %s", g.SpanContext().TraceID(), g.Parent().SpanID())
	}
	if out.Get("Tracestate") != "" || g.Name() != "guard" || g.Status().Description != "overload" {
		t.Errorf("tracestate %q, name %s, status %v", out.Get("Tracestate"), g.Name(), g.Status())
	}
}

// TestExporters guards against a setting that selects a wrong exporter, and against
// a node that fails without its collector.
func TestExporters(t *testing.T) {
	got := make(chan []byte, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/v1/traces" {
			got <- body
		}
	}))
	defer collector.Close()
	var console bytes.Buffer
	for _, cfg := range []Config{
		{Exporter: "none"},
		{Exporter: "console", Output: &console, Node: "rounds-1"},
		{Exporter: "otlp", Endpoint: strings.TrimPrefix(collector.URL, "http://"), Node: "rounds-1"},
	} {
		tr, err := New(t.Context(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		ctx, span := tr.StartHop(t.Context(), http.Header{"Traceparent": {parent}}, Entry, Hop{})
		out := http.Header{}
		tr.Inject(ctx, out)
		if !strings.HasPrefix(out.Get("Traceparent"), parent[:35]) {
			t.Errorf("%s: traceparent %q does not continue the trace of the caller", cfg.Exporter, out.Get("Traceparent"))
		}
		span.End(Result{})
		if err := tr.Shutdown(t.Context()); err != nil {
			t.Errorf("%s: %v", cfg.Exporter, err)
		}
	}
	if !strings.Contains(console.String(), `"Name":"entry"`) {
		t.Errorf("console: %s", console.String())
	}
	// ExportTraceServiceRequest: field 1 is the list of resource spans.
	body := <-got
	if n, typ, _ := protowire.ConsumeTag(body); n != 1 || typ != protowire.BytesType || !bytes.Contains(body, []byte("rounds-1")) {
		t.Errorf("the collector received %q", body)
	}
	if _, err := New(t.Context(), Config{Exporter: "odd"}); !errors.Is(err, ErrUnknownExporter) {
		t.Errorf("unknown exporter: %v", err)
	}
	// Nothing listens at this address any more; New and spans still have to work.
	collector.Close()
	tr, err := New(t.Context(), Config{Exporter: "otlp", Endpoint: strings.TrimPrefix(collector.URL, "http://")})
	if err != nil {
		t.Fatal(err)
	}
	_, span := tr.StartHop(t.Context(), nil, Exit, Hop{})
	span.End(Result{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := tr.Shutdown(ctx); err == nil {
		t.Error("Shutdown does not report spans that were not sent")
	}
}

func BenchmarkHop(b *testing.B) {
	for name, cfg := range map[string]Config{
		"none":   {},
		"record": {Processor: sdktrace.NewBatchSpanProcessor(tracetest.NewNoopExporter())},
	} {
		b.Run(name, func(b *testing.B) {
			tr, err := New(b.Context(), cfg)
			if err != nil {
				b.Fatal(err)
			}
			in, out := http.Header{"Traceparent": {parent}}, http.Header{}
			b.ReportAllocs()
			for b.Loop() {
				ctx, span := tr.StartHop(b.Context(), in, Guard, Hop{Service: "rounds", Class: "sheet"})
				tr.Inject(ctx, out)
				span.End(Result{Outcome: dogwoodford.OutcomeRan, Status: 200})
			}
		})
	}
}
