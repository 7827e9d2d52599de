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
	maxTraces = 10_000
	maxBody   = 16 << 20
)

// Server takes and shows spans. It is safe for concurrent use.
type Server struct {
	mux *http.ServeMux

	mu     sync.Mutex
	traces map[string][]span
}

// span is what the tree shows of a span.
type span struct {
	id, parent string
	name, node string
	start      time.Time
	length     time.Duration
	attrs      map[string]string
}

// NewServer returns a server without spans.
func NewServer() *Server {
	s := &Server{mux: http.NewServeMux(), traces: make(map[string][]span)}
	s.mux.HandleFunc("POST /v1/traces", s.take)
	s.mux.HandleFunc("GET /control/tree", s.show)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) take(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "read body: "+err.Error(), http.StatusBadRequest)
		return
	}
	var req collector.ExportTraceServiceRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		http.Error(w, "decode body: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.add(&req)
	w.Header().Set("Content-Type", "application/x-protobuf")
	out, err := proto.Marshal(&collector.ExportTraceServiceResponse{})
	if err != nil {
		http.Error(w, "encode answer: "+err.Error(), http.StatusInternalServerError)
		return
	}
	// An error means that the exporter went away.
	_, _ = w.Write(out)
}

func (s *Server) add(req *collector.ExportTraceServiceRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rs := range req.GetResourceSpans() {
		node := text(rs.GetResource().GetAttributes(), "service.instance.id")
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
					length: time.Unix(0, int64(sp.GetEndTimeUnixNano())).Sub(start),
					attrs:  texts(sp.GetAttributes()),
				})
			}
		}
	}
}

func text(kvs []*common.KeyValue, key string) string { return texts(kvs)[key] }

func texts(kvs []*common.KeyValue) map[string]string {
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

func (s *Server) show(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.FormValue("trace")
	if id == "" {
		id = s.largest()
	}
	spans, ok := s.traces[id]
	if !ok {
		http.Error(w, "no such trace", http.StatusNotFound)
		return
	}
	fmt.Fprintf(w, "trace %s\n", id)
	writeTree(w, spans)
}

// largest returns the id of the trace that reached the most services; among
// equals, the one with the most spans, then the least id.
func (s *Server) largest() string {
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

// writeTree writes the spans below their parents, by start time. Spans whose
// parent is unknown, such as a caller's, are roots.
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
	writeBelow(w, children, "", 0)
}

func writeBelow(w io.Writer, children map[string][]span, parent string, depth int) {
	for _, sp := range children[parent] {
		fmt.Fprintf(w, "%s%s %s at %s: %s, %.1f ms\n", strings.Repeat("  ", depth), sp.name,
			sp.attrs["dogwoodford.service"], sp.node, outcome(sp), float64(sp.length.Microseconds())/1000)
		writeBelow(w, children, sp.id, depth+1)
	}
}

func outcome(sp span) string {
	out := cmp.Or(sp.attrs["dogwoodford.outcome"], "no outcome")
	if reason := sp.attrs["dogwoodford.reason"]; reason != "" {
		out += " (" + reason + ")"
	}
	return out
}
