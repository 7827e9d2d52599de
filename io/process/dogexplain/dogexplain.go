package dogexplain

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// Path is the path of the explanation on the metrics listener of a node.
const Path = "/explain"

const (
	// maxQueryBytes bounds the body of a question.
	maxQueryBytes = 16 << 10
	// maxAnswerBytes bounds the answer that is read.
	maxAnswerBytes = 1 << 20
)

// ErrBadAnswer is returned for an answer that is not a valid explanation.
var ErrBadAnswer = eris.New("answer is not a valid explanation")

// Query describes the request that is asked about.
type Query struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`     // Key of the caller's workspace.
	LeftMs int64  `json:"left_ms,omitempty"` // Time until the deadline that the caller declares; 0 if it declares none.
}

// Answer tells what the node would do with the request now. Parts that it would not reach
// are nil.
type Answer struct {
	Node       string     `json:"node"`
	DataCentre string     `json:"data_centre"`
	Config     Config     `json:"config"`
	Refusal    *Refusal   `json:"refusal,omitempty"` // First reason for which the request is refused at this node.
	Route      *Route     `json:"route,omitempty"`
	Workspace  *Workspace `json:"workspace,omitempty"`
	Quota      *Quota     `json:"quota,omitempty"`
	Trees      *Trees     `json:"trees,omitempty"`
	Services   []Service  `json:"services,omitempty"`
}

// Config describes the configuration in force at the node.
type Config struct {
	Version int64 `json:"version"`      // 0 if there is none.
	SinceMs int64 `json:"in_force_ms"`  // Time since it was put in force at this node.
	AgeMs   int64 `json:"age_ms"`       // Time since it is known to have been the newest; -1 if that is not known.
	Trusted bool  `json:"keys_trusted"` // Whether the keys may be used.
}

// Refusal is the answer that the caller would get in place of a run.
type Refusal struct {
	Status       int    `json:"status"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"` // About; 0 if there is no hint.
}

// Route is the route of the request.
type Route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	TimeoutMs int64  `json:"timeout_ms"`
	Attempts  int    `json:"attempts"`
	Priority  int    `json:"priority"`
	Public    bool   `json:"public"`
}

// Workspace is the workspace of the caller.
type Workspace struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"` // Of its requests on the route.
}

// Quota is the quota of the workspace.
type Quota struct {
	RatePerS float64 `json:"rate_per_s"`
	Burst    float64 `json:"burst"`
	Lender   string  `json:"lender"`
	Tokens   int     `json:"tokens"`   // At this node.
	Decision string  `json:"decision"` // What a request would meet: granted, refused, ask or fallback.
}

// Trees tells how the call trees of the route complete.
type Trees struct {
	Runs    int  `json:"runs"`
	Failed  int  `json:"failed"`
	Refuses bool `json:"refuses"`
}

// Service is a service of the route.
type Service struct {
	Name    string `json:"name"`
	Weight  int    `json:"weight"`
	Percent int    `json:"percent"` // Share of the requests of the route.
	// Cutoff is the lowest priority that early refusal admits; the priorities of such
	// requests lie from LowestPriority to HighestPriority.
	Cutoff          int         `json:"cutoff"`
	LowestPriority  int         `json:"lowest_priority"`
	HighestPriority int         `json:"highest_priority"`
	Refuses         string      `json:"refuses"` // Which of them are refused: none, some or all but probes.
	RetryAfterMs    int64       `json:"retry_after_ms,omitempty"`
	Candidates      []Candidate `json:"candidates"`
	Omitted         int         `json:"omitted,omitempty"` // Candidates beyond the bound of the answer.
}

// Candidate is a target of a service. Those that may be chosen come first, in the order of
// preference.
type Candidate struct {
	Node        string  `json:"node"`
	State       string  `json:"state"`
	DataCentre  string  `json:"data_centre"`
	Local       bool    `json:"local"`
	LeftOut     string  `json:"left_out,omitempty"` // Why it is not considered; empty if it is.
	FromHere    int     `json:"from_here"`          // Requests in flight from this node.
	Load        *Load   `json:"load,omitempty"`     // As last reported, if that still counts.
	Weight      float64 `json:"weight"`
	Utilisation float64 `json:"utilisation"`
	Cost        float64 `json:"cost"`
}

// Load is the load that a target has reported.
type Load struct {
	InFlight  int     `json:"in_flight"`
	Limit     int     `json:"limit"`
	Queued    int     `json:"queued"`
	Cutoff    int     `json:"cutoff"`
	ServiceMs float64 `json:"service_ms"`
	AgeMs     int64   `json:"age_ms"`
}

// Handler serves the answers of explain.
func Handler(explain func(Query) Answer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q Query
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes)).Decode(&q); err != nil {
			http.Error(w, "the body is not a query", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		w.Header().Set("Cache-Control", "no-store")
		_ = json.NewEncoder(w).Encode(explain(q)) // The client may have left.
	})
}

// Fetch asks the node whose metrics listener has the given address. Errors do not show the
// key.
func Fetch(ctx context.Context, client *http.Client, address string, q Query) (Answer, error) {
	var a Answer
	body, err := json.Marshal(q)
	if err != nil {
		return a, fmt.Errorf("encode query: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return a, fmt.Errorf("ask %s: %w", address, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return a, fmt.Errorf("ask %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("ask %s: HTTP status %d: %w", address, resp.StatusCode, ErrBadAnswer)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&a); err != nil {
		return a, fmt.Errorf("ask %s: %w: %w", address, ErrBadAnswer, err)
	}
	if a.Node == "" {
		return a, fmt.Errorf("ask %s: no node name: %w", address, ErrBadAnswer)
	}
	return a, nil
}
