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

// ErrTable is wrapped by all errors of New.
var ErrTable = eris.New("invalid routing table")

// Kind states whether a request may run more than once.
type Kind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests have large bodies and run at most once.
	Upload
	// Download requests have large responses and may run more than once.
	Download
)

// Repeatable reports whether requests of the kind may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// String returns the name of the kind, or "invalid".
func (k Kind) String() string {
	names := [...]string{"non-idempotent", "idempotent", "upload", "download"}
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

// RouteSpec is the definition of a Route.
type RouteSpec struct {
	Name      string
	Host      string
	Prefix    string // Starts and ends with a slash.
	Kind      Kind
	Timeout   time.Duration // Maximum time to the answer.
	Objective time.Duration // Target latency, within which an answer has its full value.
	Priority  int           // 0 is the most important.
	Attempts  int           // Maximum number of targets that a request is sent to; at least 1.
	Backends  []Backend
	Public    bool // Requests need no key, even if there are workspaces.
	// Unreadable tells that the node does not understand the definition. Only
	// Name, Host and Prefix are set then, and no request of the route is sent.
	Unreadable bool
}

// Problem is a part of a configuration that the node does not understand.
type Problem struct {
	Route string // Name of the route, empty if it has none.
	Err   error
}

// Route states how the requests of one host and path prefix are handled. It is
// immutable.
type Route struct{ spec RouteSpec }

// Name returns the name of the route.
func (r *Route) Name() string { return r.spec.Name }

// Host returns the host name.
func (r *Route) Host() string { return r.spec.Host }

// Prefix returns the path prefix.
func (r *Route) Prefix() string { return r.spec.Prefix }

// Kind returns the kind of the requests.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the maximum time to the answer.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the target latency, within which an answer has its full
// value.
func (r *Route) Objective() time.Duration { return r.spec.Objective }

// Unreadable reports whether the node does not understand the route and must
// refuse its requests.
func (r *Route) Unreadable() bool { return r.spec.Unreadable }

// Priority returns the priority; 0 is the most important.
func (r *Route) Priority() int { return r.spec.Priority }

// Attempts returns the maximum number of targets that a request is sent to.
func (r *Route) Attempts() int { return r.spec.Attempts }

// Backends returns the services with their weights. The caller must not modify
// the slice.
func (r *Route) Backends() []Backend { return r.spec.Backends }

// Public reports whether requests need no key, even if there are workspaces.
func (r *Route) Public() bool { return r.spec.Public }

// Limits holds the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is the configuration of a service.
type Service struct {
	Name        string
	HealthPath  string
	Connections int // Number of connections that a target accepts.
}

// Spec is the definition of a Table.
type Spec struct {
	Version    int64
	Routes     []RouteSpec
	Services   []Service
	Limits     Limits
	Workspaces []WorkspaceSpec
	Problems   []Problem // What was left out or replaced, for the operator.
}

// Table is one version of the routing table. It is immutable and safe for
// concurrent use.
type Table struct {
	version    int64
	hosts      map[string][]*Route // Longest prefix first.
	services   map[string]Service
	limits     Limits
	workspaces map[string]*Workspace // By name.
	keys       map[KeyHash]*Workspace
}

// New validates spec and returns its table. Errors wrap ErrTable; those about a
// route name it.
func New(spec Spec) (*Table, error) {
	t := &Table{
		version: spec.Version, limits: spec.Limits,
		hosts: make(map[string][]*Route), services: make(map[string]Service),
	}
	if spec.Version < 1 {
		return nil, fmt.Errorf("version %d: %w", spec.Version, ErrTable)
	}
	if err := t.addWorkspaces(spec.Workspaces); err != nil {
		return nil, err
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
	case r.Unreadable:
		return nil
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

// Limits returns the limits on callers' requests and connections.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the configuration of the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Lookup returns the route with the longest prefix of path among those of host.
// It ignores the case of host and a port in it.
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
