package dognode

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/process/dogstatus"
	"dogwoodford/io/process/dogtrace"
	"dogwoodford/io/request/doghttp"
)

func attr(key string, value any) slog.Attr { return slog.Any(key, value) }

// log logs an event that does not belong to a request.
func (n *node) log(e doglog.Event, attrs ...slog.Attr) {
	doglog.Log(context.Background(), n.logger, e, attrs...)
}

// tracer implements doghttp.Tracer.
type tracer struct{ t *dogtrace.Tracer }

// Start starts the span of a hop.
func (t tracer) Start(ctx context.Context, role doghttp.Role, traceparent string) (context.Context, string, doghttp.Span) {
	if !t.t.Recording() {
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

// SetCall sets the attributes of the span that describe the request.
func (s span) SetCall(r dogwoodford.Request) {
	s.s.Describe(dogtrace.Hop{
		Customer: r.Customer(), Service: r.Service(), Class: r.Class(), Root: r.Root(),
		Depth: r.Hop(), Attempt: r.Attempt(),
	})
}

// End ends the span with the result of the hop.
func (s span) End(o dogwoodford.Outcome, reason dogwoodford.Reason, status int) {
	s.s.End(dogtrace.Result{Outcome: o, Reason: reason, Status: status})
}

// noSpan is the span of a hop that is not traced.
type noSpan struct{}

// SetCall does nothing.
func (noSpan) SetCall(dogwoodford.Request) {}

// End does nothing.
func (noSpan) End(dogwoodford.Outcome, dogwoodford.Reason, int) {}

// requestEvents maps each event of a request to its log event and counter.
var requestEvents = map[doghttp.Event]struct {
	event  doglog.Event
	metric dogmetric.Metric
}{
	doghttp.EventPanic:         {doglog.RequestPanicked, dogmetric.Panics},
	doghttp.EventUnknownToken:  {doglog.ChildWithoutToken, dogmetric.ChildWithoutToken},
	doghttp.EventBadPeer:       {doglog.PeerKeyRejected, dogmetric.PeerKeysRejected},
	doghttp.EventDuplicate:     {doglog.KeyGivenTwice, dogmetric.DuplicatesCaught},
	doghttp.EventBadAnswer:     {doglog.AnswerMalformed, dogmetric.MalformedAnswers},
	doghttp.EventUnframed:      {doglog.AnswerUnframed, dogmetric.MalformedAnswers},
	doghttp.EventTruncated:     {doglog.AnswerTruncated, dogmetric.TruncatedAnswers},
	doghttp.EventBadCredential: {doglog.CredentialRejected, dogmetric.CredentialsRejected},
	doghttp.EventResendRefused: {doglog.ResendsUsedUp, dogmetric.ResendsRefused},
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
	e.n.limitedLogger.Log(ctx, entry.event, attrs...)
}

// counters implements doghttp.Counters.
type counters struct{ n *node }

// CountAnswer counts an answer. Requests and classes are counted at the entry
// only, so that each request of a customer counts once.
func (c counters) CountAnswer(role doghttp.Role, service, class string, o dogwoodford.Outcome, reason dogwoodford.Reason, d time.Duration) {
	m := c.n.metrics
	if role == doghttp.RoleExit {
		m.Add(dogmetric.ChildCalls, 1)
	}
	if role != doghttp.RoleEntry {
		return
	}
	c.log(service, class, o, reason, d)
	m.AddTo(dogmetric.Requests, o.String(), 1)
	m.Observe(dogmetric.EntryLatency, d)
	if reason != dogwoodford.ReasonNone {
		m.AddTo(dogmetric.Refusals, string(reason), 1)
	}
	if class == "" {
		return
	}
	m.AddTo(dogmetric.ClassOffered, class, 1)
	if o == dogwoodford.OutcomeRan {
		m.AddTo(dogmetric.ClassCompleted, class, 1)
	} else {
		m.AddTo(dogmetric.ClassRefused, class, 1)
	}
}

// log logs the end of a request at the level of the event for its outcome.
func (c counters) log(service, class string, o dogwoodford.Outcome, reason dogwoodford.Reason, d time.Duration) {
	ev := doglog.RequestFinished
	switch {
	case o == dogwoodford.OutcomeUnknown:
		ev = doglog.RequestUnknown
	case o == dogwoodford.OutcomeNotRun:
		ev = doglog.RequestRefused
	}
	ctx := context.Background()
	if !c.n.logger.Enabled(ctx, ev.Level()) {
		return // Avoids building the attributes on the request path.
	}
	c.n.limitedLogger.Log(ctx, ev, attr("service", service), attr("class", class), attr("outcome", o.String()),
		attr("reason", string(reason)), attr("duration", d))
}

// CountAttempt counts a dispatch.
func (c counters) CountAttempt(_ doghttp.Role, t dogwoodford.Target, attempt int) {
	m := c.n.metrics
	m.AddTo(dogmetric.DispatchesToService, t.Service, 1)
	if t.DataCentre != c.n.settings.Node.DataCentre {
		m.Add(dogmetric.DispatchesOtherDataCentre, 1)
	}
	if attempt > 1 {
		m.Add(dogmetric.RetriesSpent, 1)
	}
}

// CountGuardDecision counts a decision of the guard.
func (c counters) CountGuardDecision(reason dogwoodford.Reason, queued time.Duration) {
	if reason != dogwoodford.ReasonNone {
		c.n.metrics.AddTo(dogmetric.GuardRefusals, string(reason), 1)
		return
	}
	c.n.metrics.Observe(dogmetric.QueueDelay, queued)
}

// CountTargetCall counts a call that the target ran.
func (c counters) CountTargetCall(d time.Duration) { c.n.metrics.Observe(dogmetric.TargetLatency, d) }

// CountBodyBytes counts the bytes of request and response bodies at the entry.
func (c counters) CountBodyBytes(role doghttp.Role, in, out int64) {
	if role == doghttp.RoleEntry {
		c.n.metrics.Add(dogmetric.BytesIn, in)
		c.n.metrics.Add(dogmetric.BytesOut, out)
	}
}

// platformHealth holds the results of the latest calls to the object service.
type platformHealth struct {
	lastAnswer atomic.Int64 // Unix milliseconds; 0 before the first answer.
	lastError  atomic.Pointer[string]
	lost       atomic.Bool
}

// observePlatformCall counts a call to the object service and logs when the
// service stops answering or answers again.
func (n *node) observePlatformCall(kind string, err error) {
	n.metrics.AddTo(dogmetric.PlatformCalls, kind, 1)
	if err != nil {
		n.metrics.AddTo(dogmetric.PlatformErrors, kind, 1)
		text := err.Error()
		n.platformStatus.lastError.Store(&text)
	} else {
		now := time.Now().UnixMilli()
		n.platformStatus.lastAnswer.Store(now)
		n.platformStatus.lastError.Store(nil)
		n.metrics.Store(dogmetric.PlatformLastAnswerMs, now)
	}
	lost := n.platform.CircuitOpen()
	if n.platformStatus.lost.Swap(lost) == lost {
		return
	}
	if lost {
		n.log(doglog.PlatformLost, doglog.Err(err))
	} else {
		n.log(doglog.PlatformBack)
	}
}

// describe fills in the fields of a status about the object service.
func (p *platformHealth) describe(s *dogstatus.Platform) {
	if ms := p.lastAnswer.Load(); ms > 0 {
		s.LastAnswer = time.UnixMilli(ms)
	}
	if text := p.lastError.Load(); text != nil {
		s.Error = *text
	}
}
