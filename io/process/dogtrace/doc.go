// Package dogtrace makes one OpenTelemetry span for each hop of a request.
//
// The W3C trace context travels in the headers traceparent and tracestate.
// Spans go to an exporter: none, console (standard output) or OTLP over HTTP.
// Without an exporter no span is recorded, and a trace context that a caller
// sent still travels on, so that callers and targets can trace by themselves.
//
// # Usage
//
//	t, err := dogtrace.New(ctx, dogtrace.Config{Exporter: "otlp", Endpoint: "127.0.0.1:4318", Service: "rounds", Node: "rounds-1"})
//	defer t.Shutdown(ctx)
//
//	ctx, span := t.StartHop(r.Context(), r.Header, dogtrace.Entry, dogtrace.Hop{Service: "rounds", Class: "round-sheet"})
//	t.Inject(ctx, out.Header)
//	span.End(dogtrace.Result{Outcome: dogwoodford.Ran, Status: 200})
//
// The package records no bodies, no credentials and no paths, as these may
// hold personal data.
package dogtrace
