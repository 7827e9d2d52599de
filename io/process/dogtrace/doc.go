// Package dogtrace creates one OpenTelemetry span for each hop of a request.
//
// The W3C trace context is propagated in the headers traceparent and tracestate.
// Spans are sent to an exporter: none, console (standard output) or OTLP over
// HTTP. Without an exporter no span is recorded, but the trace context of a
// caller is still propagated, so that callers and targets can record their own
// spans.
//
// # Usage
//
//	t, err := dogtrace.New(ctx, dogtrace.Config{Exporter: "otlp", Endpoint: "127.0.0.1:4318", Service: "rounds", Node: "rounds-1"})
//	defer t.Shutdown(ctx)
//
//	ctx, span := t.StartHop(r.Context(), r.Header, dogtrace.Entry, dogtrace.Hop{Service: "rounds", Class: "round-sheet"})
//	t.Inject(ctx, out.Header)
//	span.End(dogtrace.Result{Outcome: dogwoodford.OutcomeRan, Status: 200})
//
// The package records no bodies, no credentials and no paths, as these may
// contain personal data.
package dogtrace
