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

// Path is where a node serves its status on the admin listener.
const Path = "/status"

// ReleasePath is where a node takes the release of quarantined content, by
// POST with the parameter digest.
const ReleasePath = "/quarantines/release"

// MetricsPath is where a node serves its metrics as JSON.
const MetricsPath = "/metrics"

// maxBytes bounds a status; one member takes about 250 bytes.
const maxBytes = 4 << 20

// ErrStatus is returned for an answer that is not a status.
var ErrStatus = eris.New("the answer is not a status")

// Status describes one node at one time.
type Status struct {
	Node        string       `json:"node"`
	Service     string       `json:"service"`
	DataCentre  string       `json:"data_centre"`
	State       string       `json:"state"` // Text of dogwoodford.State.
	Entry       string       `json:"entry"` // Listener addresses.
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
	// Problems are conditions that an operator should know of, in plain words.
	Problems []string `json:"problems"`
}

// Target describes the target beside the node and its admission.
type Target struct {
	Address  string `json:"address"`
	State    string `json:"state"` // Text of dogwoodford.State.
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	Limit    int    `json:"limit"`
	Cutoff   int    `json:"cutoff"` // Lowest priority that is admitted.
}

// Platform says how the node sees the object service.
type Platform struct {
	Address    string    `json:"address"`
	Reachable  bool      `json:"reachable"`
	LastAnswer time.Time `json:"last_answer"`
	Error      string    `json:"error,omitempty"`
	Watching   bool      `json:"watching"` // The node holds the watch of its data centre.
}

// Contract is the generation of a customer's contract in force at the node.
type Contract struct {
	Customer   string    `json:"customer"`
	Generation int64     `json:"generation"`
	Since      time.Time `json:"since"`
	Source     string    `json:"source"` // platform or the name of a peer.
}

// Member is another node, or the node itself, as the node sees it.
type Member struct {
	Node       string `json:"node"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Peer       string `json:"peer"`
	// Admin is the admin listener; empty if the node does not tell it.
	Admin     string `json:"admin,omitempty"`
	Suspected bool   `json:"suspected,omitempty"`
}

// Range is a key range of the own service as the node sees it.
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

// Counters are the metrics of a node that say what it sheds, since its start.
type Counters struct {
	Requests      map[string]int64 `json:"requests"`       // At this entry, by outcome.
	Refusals      map[string]int64 `json:"refusals"`       // At this entry, by reason.
	GuardRefusals map[string]int64 `json:"guard_refusals"` // At this guard, by reason.
	EarlyRefusals int64            `json:"early_refusals"` // Because of the cutoff of another service.
}

// Generation returns the generation in force for a customer; 0 if there is
// none.
func (s Status) Generation(customer string) int64 {
	for _, c := range s.Contracts {
		if c.Customer == customer {
			return c.Generation
		}
	}
	return 0
}

// Handler serves the status that describe returns. describe is called for each
// request and must be safe for concurrent use.
func Handler(describe func() Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		// An error means that the reader went away.
		_ = enc.Encode(describe())
	})
}

// Fetch reads the status of the node with the given admin listener, an IP
// address and port.
func Fetch(ctx context.Context, client *http.Client, admin string) (Status, error) {
	var s Status
	if err := get(ctx, client, admin, Path, &s); err != nil {
		return s, fmt.Errorf("status of %s: %w", admin, err)
	}
	if s.Node == "" {
		return s, fmt.Errorf("status of %s: no node name: %w", admin, ErrStatus)
	}
	return s, nil
}

// FetchCounters reads the counters of the node with the given admin listener.
func FetchCounters(ctx context.Context, client *http.Client, admin string) (Counters, error) {
	var c Counters
	if err := get(ctx, client, admin, MetricsPath, &c); err != nil {
		return c, fmt.Errorf("metrics of %s: %w", admin, err)
	}
	return c, nil
}

func get(ctx context.Context, client *http.Client, admin, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+path, nil)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("HTTP status %d: %w", resp.StatusCode, ErrStatus)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBytes)).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrStatus, err)
	}
	return nil
}
