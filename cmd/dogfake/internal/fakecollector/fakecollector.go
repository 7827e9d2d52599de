package fakecollector

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	common "go.opentelemetry.io/proto/otlp/common/v1"
	"google.golang.org/protobuf/proto"
)

const (
	// maxTraces bounds the traces in memory; spans of further ones are dropped.
	maxTraces = 10_000
	// maxBodyBytes bounds the body of an export request.
	maxBodyBytes = 16 << 20
)

// Server receives spans and prints them as trees. It is safe for concurrent
// use.
type Server struct {
	mux *http.ServeMux

	mu     sync.Mutex
	traces map[string][]span // By trace id in hexadecimal digits.
}

// span holds the parts of a span that the tree shows.
type span struct {
	id, parent string
	name, node string
	start      time.Time
	duration   time.Duration
	attrs      map[string]string
}

// NewServer returns a server without spans.
func NewServer() *Server {
	s := &Server{mux: http.NewServeMux(), traces: make(map[string][]span)}
	s.mux.HandleFunc("POST /v1/traces", s.serveExport)
	s.mux.HandleFunc("GET /control/tree", s.serveTree)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// serveExport answers an OTLP export request.
func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "read body: "+err.Error(), http.StatusBadRequest)
		return
	}
	var req collector.ExportTraceServiceRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		http.Error(w, "decode body: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.addSpans(&req)
	w.Header().Set("Content-Type", "application/x-protobuf")
	out, err := proto.Marshal(&collector.ExportTraceServiceResponse{})
	if err != nil {
		http.Error(w, "encode answer: "+err.Error(), http.StatusInternalServerError)
		return
	}
	// An error means that the exporter disconnected.
	_, _ = w.Write(out)
}

func (s *Server) addSpans(req *collector.ExportTraceServiceRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rs := range req.GetResourceSpans() {
		node := attribute(rs.GetResource().GetAttributes(), "service.instance.id")
		for _, ss := range rs.GetScopeSpans() {
			for _, sp := range ss.GetSpans() {
				id := hex.EncodeToString(sp.GetTraceId())
				if _, ok := s.traces[id]; !ok && len(s.traces) >= maxTraces {
					continue
				}
				start := time.Unix(0, int64(sp.GetStartTimeUnixNano()))
				s.traces[id] = append(s.traces[id], span{
					id: hex.EncodeToString(sp.GetSpanId()), parent: hex.EncodeToString(sp.GetParentSpanId()),
					name: sp.GetName(), node: node, start: start,
					duration: time.Unix(0, int64(sp.GetEndTimeUnixNano())).Sub(start),
					attrs:    attributes(sp.GetAttributes()),
				})
			}
		}
	}
}

// attribute returns the value of an attribute as text.
func attribute(kvs []*common.KeyValue, key string) string { return attributes(kvs)[key] }

// attributes returns the attributes as text: strings that are not empty and
// integers other than 0.
func attributes(kvs []*common.KeyValue) map[string]string {
	out := make(map[string]string, len(kvs))
	for _, kv := range kvs {
		v := kv.GetValue()
		if s := v.GetStringValue(); s != "" {
			out[kv.GetKey()] = s
		} else if n := v.GetIntValue(); n != 0 {
			out[kv.GetKey()] = fmt.Sprint(n)
		}
	}
	return out
}

func (s *Server) serveTree(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.FormValue("trace")
	if id == "" {
		id = s.largestTrace()
	}
	spans, ok := s.traces[id]
	if !ok {
		http.Error(w, "no such trace", http.StatusNotFound)
		return
	}
	fmt.Fprintf(w, "trace %s\n", id)
	writeTree(w, spans)
}

// largestTrace returns the id of the trace with the most services. Ties go to
// the most spans, then to the least id. The caller holds mu.
func (s *Server) largestTrace() string {
	var best string
	var most, length int
	for id, spans := range s.traces {
		services := make(map[string]bool)
		for _, sp := range spans {
			services[sp.attrs["dogwoodford.service"]] = true
		}
		n, l := len(services), len(spans)
		if n > most || n == most && (l > length || l == length && id < best) {
			best, most, length = id, n, l
		}
	}
	return best
}

// writeTree writes each span below its parent, ordered by start time. A span
// whose parent was not received, such as a span of an external caller, is a
// root.
func writeTree(w io.Writer, spans []span) {
	known := make(map[string]bool, len(spans))
	for _, sp := range spans {
		known[sp.id] = true
	}
	children := make(map[string][]span)
	for _, sp := range spans {
		parent := sp.parent
		if !known[parent] {
			parent = ""
		}
		children[parent] = append(children[parent], sp)
	}
	for _, c := range children {
		slices.SortFunc(c, func(a, b span) int {
			return cmp.Or(a.start.Compare(b.start), strings.Compare(a.id, b.id))
		})
	}
	writeChildren(w, children, "", 0)
}

// writeChildren writes the children of a span and their descendants.
func writeChildren(w io.Writer, children map[string][]span, parent string, depth int) {
	for _, sp := range children[parent] {
		fmt.Fprintf(w, "%s%s %s at %s: %s, %.1f ms\n", strings.Repeat("  ", depth), sp.name,
			sp.attrs["dogwoodford.service"], sp.node, formatOutcome(sp), float64(sp.duration.Microseconds())/1000)
		writeChildren(w, children, sp.id, depth+1)
	}
}

// formatOutcome returns the outcome of a span with the reason in brackets.
func formatOutcome(sp span) string {
	out := cmp.Or(sp.attrs["dogwoodford.outcome"], "no outcome")
	if reason := sp.attrs["dogwoodford.reason"]; reason != "" {
		out += " (" + reason + ")"
	}
	return out
}
