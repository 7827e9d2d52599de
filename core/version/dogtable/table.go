package dogtable

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrTable is the root of all errors about unusable tables.
var ErrTable = eris.New("invalid routing table")

// Kind says how often a request may run.
type Kind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests have large bodies and run at most once.
	Upload
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"non-idempotent", "idempotent", "upload"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Backend is a service that runs a share of a route's requests.
type Backend struct {
	Service string
	Weight  int // Share relative to the other backends of the route; at least 0.
}

// RouteSpec lists the fields of a Route.
type RouteSpec struct {
	Name      string
	Host      string
	Prefix    string // Starts and ends with a slash.
	Kind      Kind
	Timeout   time.Duration // Longest time for an answer.
	Objective time.Duration // Time within which an answer has its full value.
	Priority  int           // 0 is the most important.
	Attempts  int           // Targets that one request may be sent to; at least 1.
	Backends  []Backend
}

// Route says what happens to the requests of one host and path prefix.
type Route struct{ spec RouteSpec }

// Name returns the name of the route.
func (r *Route) Name() string { return r.spec.Name }

// Host returns the host name.
func (r *Route) Host() string { return r.spec.Host }

// Prefix returns the path prefix.
func (r *Route) Prefix() string { return r.spec.Prefix }

// Kind returns how often a request may run.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the longest time for an answer.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the time within which an answer has its full value.
func (r *Route) Objective() time.Duration { return r.spec.Objective }

// Priority returns the priority; 0 is the most important.
func (r *Route) Priority() int { return r.spec.Priority }

// Attempts returns the number of targets that one request may be sent to.
func (r *Route) Attempts() int { return r.spec.Attempts }

// Backends returns the services with their weights. The caller must not change
// the slice.
func (r *Route) Backends() []Backend { return r.spec.Backends }

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is what the configuration says of a service.
type Service struct {
	Name        string
	HealthPath  string
	Connections int // Connections that a target accepts.
}

// Spec lists the contents of a Table.
type Spec struct {
	Version  int64
	Routes   []RouteSpec
	Services []Service
	Limits   Limits
}

// Table is one version of the routes. It is immutable.
type Table struct {
	version  int64
	hosts    map[string][]*Route // Longest prefix first.
	services map[string]Service
	limits   Limits
}

// New checks spec and returns its table. Errors wrap ErrTable and name the
// route.
func New(spec Spec) (*Table, error) {
	t := &Table{
		version: spec.Version, limits: spec.Limits,
		hosts: make(map[string][]*Route), services: make(map[string]Service),
	}
	if spec.Version < 1 {
		return nil, fmt.Errorf("version %d: %w", spec.Version, ErrTable)
	}
	for _, s := range spec.Services {
		t.services[s.Name] = s
	}
	for _, rs := range spec.Routes {
		if err := t.check(rs); err != nil {
			return nil, fmt.Errorf("route %q: %w", rs.Name, err)
		}
		host := strings.ToLower(rs.Host)
		t.hosts[host] = append(t.hosts[host], &Route{spec: rs})
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.spec.Prefix), len(a.spec.Prefix))
		})
	}
	return t, nil
}

func (t *Table) check(r RouteSpec) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("no host: %w", ErrTable)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not start and end with a slash: %w", r.Prefix, ErrTable)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v: %w", r.Timeout, ErrTable)
	case r.Attempts < 1:
		return fmt.Errorf("%d attempts: %w", r.Attempts, ErrTable)
	case r.Priority < 0:
		return fmt.Errorf("priority %d: %w", r.Priority, ErrTable)
	case len(r.Backends) == 0:
		return fmt.Errorf("no service: %w", ErrTable)
	}
	total := 0
	for _, b := range r.Backends {
		if _, ok := t.services[b.Service]; !ok {
			return fmt.Errorf("unknown service %q: %w", b.Service, ErrTable)
		}
		if b.Weight < 0 {
			return fmt.Errorf("weight %d of service %q: %w", b.Weight, b.Service, ErrTable)
		}
		total += b.Weight
	}
	if total == 0 {
		return fmt.Errorf("all weights are 0: %w", ErrTable)
	}
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds for callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns what the configuration says of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Lookup returns the route with the longest prefix of path among those of the
// host, which may carry a port.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r, true
		}
	}
	return nil, false
}
