package dogstatus

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Path is the path of the status on the admin listener.
const Path = "/status"

// ReleasePath is the path on the admin listener of a POST request that releases
// quarantined content, given by the parameter digest.
const ReleasePath = "/quarantines/release"

// MetricsPath is the path of the metrics, as JSON, on the admin listener.
const MetricsPath = "/metrics"

// maxResponseBytes limits the body of a response. One member takes about 250
// bytes of a status.
const maxResponseBytes = 4 << 20

// ErrBadResponse is returned for a response that is not a valid status or set of
// metrics.
var ErrBadResponse = eris.New("response is not a valid status or set of metrics")

// Status describes the state of one node at the time Now.
type Status struct {
	Node        string       `json:"node"`
	Service     string       `json:"service"`
	DataCentre  string       `json:"data_centre"`
	State       string       `json:"state"` // Text of dogwoodford.State.
	Entry       string       `json:"entry"` // Address of the entry listener; Peer and Admin likewise.
	Peer        string       `json:"peer"`
	Admin       string       `json:"admin"`
	Started     time.Time    `json:"started"`
	Now         time.Time    `json:"now"`
	Target      Target       `json:"target"`
	Platform    Platform     `json:"platform"`
	Contracts   []Contract   `json:"contracts"`
	Members     []Member     `json:"members"`
	Ranges      []Range      `json:"ranges"`
	Quarantines []Quarantine `json:"quarantines"`
	// Problems describes, in plain language, conditions that an operator should
	// know about.
	Problems []string `json:"problems"`
}

// Target describes the target beside the node and the admission of requests to it.
type Target struct {
	Address  string `json:"address"`
	State    string `json:"state"` // Text of dogwoodford.State.
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	Limit    int    `json:"limit"`
	Cutoff   int    `json:"cutoff"` // Lowest priority that is admitted.
}

// Platform describes the node's view of the platform's object service.
type Platform struct {
	Address    string    `json:"address"`
	Reachable  bool      `json:"reachable"`
	LastAnswer time.Time `json:"last_answer"`
	Error      string    `json:"error,omitempty"`
	Watching   bool      `json:"watching"` // The node watches the service for its data centre.
}

// Contract is the generation of a customer's contract in force at the node.
type Contract struct {
	Customer   string    `json:"customer"`
	Generation int64     `json:"generation"`
	Since      time.Time `json:"since"`
	Source     string    `json:"source"` // "platform" or the name of a peer.
}

// Member describes the node's view of another node or of itself.
type Member struct {
	Node       string `json:"node"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Peer       string `json:"peer"`
	// Admin is the address of the admin listener; empty if it is unknown.
	Admin     string `json:"admin,omitempty"`
	Suspected bool   `json:"suspected,omitempty"`
}

// Range describes the node's view of a key range of its own service.
type Range struct {
	Service string    `json:"service"`
	Number  int       `json:"number"`
	Epoch   int64     `json:"epoch"`
	Owner   string    `json:"owner"`
	Witness string    `json:"witness"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
}

// Quarantine is content that is refused because it crashed targets.
type Quarantine struct {
	Service string    `json:"service"`
	Digest  string    `json:"digest"` // 16 hexadecimal digits.
	Until   time.Time `json:"until"`
}

// Counters contains the metrics of a node that count requests and refusals since
// its start.
type Counters struct {
	Requests      map[string]int64 `json:"requests"`       // At the entry, by outcome.
	Refusals      map[string]int64 `json:"refusals"`       // At the entry, by reason.
	GuardRefusals map[string]int64 `json:"guard_refusals"` // At the guard, by reason.
	EarlyRefusals int64            `json:"early_refusals"` // Because of the cutoff of another service.
}

// Generation returns the generation of the customer's contract in force, or 0 if
// there is none.
func (s Status) Generation(customer string) int64 {
	for _, c := range s.Contracts {
		if c.Customer == customer {
			return c.Generation
		}
	}
	return 0
}

// Handler returns a handler that serves the status returned by describe. describe
// is called for each request and must be safe for concurrent use.
func Handler(describe func() Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		// An error means that the client has disconnected.
		_ = enc.Encode(describe())
	})
}

// Fetch fetches the status of the node whose admin listener has the given IP
// address and port. It returns ErrBadResponse for a response that is not a status.
func Fetch(ctx context.Context, client *http.Client, admin string) (Status, error) {
	var s Status
	if err := getJSON(ctx, client, admin, Path, &s); err != nil {
		return s, fmt.Errorf("status of %s: %w", admin, err)
	}
	if s.Node == "" {
		return s, fmt.Errorf("status of %s: no node name: %w", admin, ErrBadResponse)
	}
	return s, nil
}

// FetchCounters fetches the counters of the node whose admin listener has the given
// IP address and port. It returns ErrBadResponse for a response that is not a set
// of metrics.
func FetchCounters(ctx context.Context, client *http.Client, admin string) (Counters, error) {
	var c Counters
	if err := getJSON(ctx, client, admin, MetricsPath, &c); err != nil {
		return c, fmt.Errorf("metrics of %s: %w", admin, err)
	}
	return c, nil
}

func getJSON(ctx context.Context, client *http.Client, admin, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+path, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("HTTP status %d: %w", resp.StatusCode, ErrBadResponse)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrBadResponse, err)
	}
	return nil
}
