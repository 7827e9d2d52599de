package dognode

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/process/dogtrace"
	"dogwoodford/io/request/doghttp"
)

func attr(key string, value any) slog.Attr { return slog.Any(key, value) }

// log writes an event of the node itself.
func (n *node) log(e doglog.Event, attrs ...slog.Attr) {
	doglog.Log(context.Background(), n.logger, e, attrs...)
}

// tracer implements doghttp.Tracer.
type tracer struct{ t *dogtrace.Tracer }

// Start starts the span of a hop.
func (t tracer) Start(ctx context.Context, role doghttp.Role, traceparent string) (context.Context, string, doghttp.Span) {
	if !t.t.Records() {
		return ctx, traceparent, noSpan{}
	}
	header := make(http.Header)
	if traceparent != "" {
		header.Set("Traceparent", traceparent)
	}
	ctx, s := t.t.StartHop(ctx, header, dogtrace.Role(role), dogtrace.Hop{})
	t.t.Inject(ctx, header)
	return ctx, header.Get("Traceparent"), span{s: s}
}

// span implements doghttp.Span.
type span struct{ s dogtrace.Span }

// Call names the call.
func (s span) Call(r dogwoodford.Request) {
	s.s.Describe(dogtrace.Hop{
		Customer: r.Customer(), Service: r.Service(), Class: r.Class(), Root: r.Root(),
		Depth: r.Hop(), Attempt: r.Attempt(),
	})
}

// End ends the span.
func (s span) End(o dogwoodford.Outcome, reason dogwoodford.Reason, status int) {
	s.s.End(dogtrace.Result{Outcome: o, Reason: reason, Status: status})
}

// noSpan is the span of a hop that is not traced.
type noSpan struct{}

// Call does nothing.
func (noSpan) Call(dogwoodford.Request) {}

// End does nothing.
func (noSpan) End(dogwoodford.Outcome, dogwoodford.Reason, int) {}

// requestEvents maps the events of requests to the catalogue.
var requestEvents = map[doghttp.Event]struct {
	event  doglog.Event
	metric dogmetric.Metric
}{
	doghttp.EventPanic:        {doglog.RequestPanicked, dogmetric.Panics},
	doghttp.EventUnknownToken: {doglog.ChildWithoutToken, dogmetric.ChildWithoutToken},
	doghttp.EventBadPeer:      {doglog.PeerKeyRejected, dogmetric.PeerKeysRejected},
	doghttp.EventDuplicate:    {doglog.KeyGivenTwice, dogmetric.DuplicatesCaught},
	doghttp.EventBadAnswer:    {doglog.AnswerMalformed, dogmetric.MalformedAnswers},
	doghttp.EventUnframed:     {doglog.AnswerUnframed, dogmetric.MalformedAnswers},
	doghttp.EventTruncated:    {doglog.AnswerTruncated, dogmetric.TruncatedAnswers},
}

// events implements doghttp.Events.
type events struct{ n *node }

// Event logs an event of a request and counts it.
func (e events) Event(ctx context.Context, ev doghttp.Event, root string, err error) {
	entry, ok := requestEvents[ev]
	if !ok {
		return
	}
	e.n.metrics.Add(entry.metric, 1)
	attrs := []slog.Attr{attr("root", root)}
	if err != nil {
		attrs = append(attrs, doglog.Err(err))
	}
	e.n.limited.Log(ctx, entry.event, attrs...)
}

// counters implements doghttp.Counters.
type counters struct{ m *dogmetric.Set }

// Answered counts an answer. Classes are counted at the entry only, where a
// request of a customer counts once.
func (c counters) Answered(role doghttp.Role, _, class string, o dogwoodford.Outcome, reason dogwoodford.Reason, d time.Duration) {
	if role == doghttp.RoleExit {
		c.m.Add(dogmetric.ChildCalls, 1)
	}
	if role != doghttp.RoleEntry {
		return
	}
	c.m.AddTo(dogmetric.Requests, o.String(), 1)
	c.m.Observe(dogmetric.EntryLatency, d)
	if reason != dogwoodford.ReasonNone {
		c.m.AddTo(dogmetric.Refusals, string(reason), 1)
	}
	if class == "" {
		return
	}
	c.m.AddTo(dogmetric.ClassOffered, class, 1)
	if o == dogwoodford.Ran {
		c.m.AddTo(dogmetric.ClassCompleted, class, 1)
	} else {
		c.m.AddTo(dogmetric.ClassRefused, class, 1)
	}
}

// Attempted counts a dispatch.
func (c counters) Attempted(_ doghttp.Role, service string, attempt int) {
	c.m.AddTo(dogmetric.DispatchesToService, service, 1)
	if attempt > 1 {
		c.m.Add(dogmetric.RetriesSpent, 1)
	}
}
