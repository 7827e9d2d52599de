package fakeload

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"dogwoodford"
)

// Config describes a run.
type Config struct {
	Entries          []string // Addresses, used in round-robin order.
	Rate             float64  // Customer requests per second.
	Duration         time.Duration
	Mix              Mix
	Customer         string
	Credential       string
	Timeout          time.Duration // Time limit of one attempt; also sent as its deadline.
	Resends          int           // Maximum number of resends of a request that did not complete.
	HonourRetryAfter bool          // Wait for Retry-After before a resend.
	MaxInProgress    int           // Maximum number of requests in progress; further ones are not sent.
	HTTP2            bool          // Use cleartext HTTP/2.
	Seed             uint64
	Client           *http.Client // Nil for a default client.
}

// Run sends requests until the duration has passed or ctx ends, waits for the
// answers, and returns the counts.
func Run(ctx context.Context, cfg Config) Report {
	if cfg.Client == nil {
		cfg.Client = newClient(cfg)
	}
	var (
		c     = newCollector()
		rng   = rand.New(rand.NewPCG(cfg.Seed, 2))
		slots = make(chan struct{}, cfg.MaxInProgress)
		start = time.Now()
		wg    sync.WaitGroup
	)
	total := int(cfg.Rate * cfg.Duration.Seconds())
	for i := 0; i < total; i++ {
		due := time.Duration(float64(i) / cfg.Rate * float64(time.Second))
		if !waitUntil(ctx, start.Add(due)) {
			break
		}
		k := cfg.Mix.draw(rng)
		j := job{cfg: cfg, kind: k, entry: i, path: strings.ReplaceAll(k.Path, "{n}", strconv.Itoa(rng.IntN(10_000)))}
		select {
		case slots <- struct{}{}:
		default:
			c.unsent++
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			res, reason, attempts := j.run(ctx)
			// Latency counts from the time at which the request was due, so that
			// it includes the delay of a generator that falls behind.
			c.add(k.Class, due, res, reason, attempts, time.Since(start.Add(due)))
		})
	}
	wg.Wait()
	return c.report()
}

func newClient(cfg Config) *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: cfg.MaxInProgress, DisableCompression: true}
	if cfg.HTTP2 {
		t.Protocols = new(http.Protocols)
		t.Protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: t}
}

// waitUntil waits until t. It returns false if ctx ends first.
func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// job is one customer request.
type job struct {
	cfg   Config
	kind  Kind
	entry int
	path  string
}

// run makes the attempts of one customer request. It returns the result, the
// reason if the request did not complete, and the number of attempts.
func (j job) run(ctx context.Context) (res result, reason string, attempts int) {
	id, key := uuid.NewString(), ""
	if j.kind.keyed() {
		key = uuid.Must(uuid.NewV7()).String()
	}
	mayHaveRun := false
	for n := 1; ; n++ {
		var wait time.Duration
		res, reason, wait = j.attempt(ctx, n, id, key)
		if res == completed || n > j.cfg.Resends || ctx.Err() != nil {
			if res == refused && mayHaveRun {
				// The refusal covers only the last attempt.
				res = unknown
			}
			return res, reason, n
		}
		mayHaveRun = mayHaveRun || res != refused
		if j.cfg.HonourRetryAfter && wait > 0 && !waitUntil(ctx, time.Now().Add(wait)) {
			return res, reason, n
		}
	}
}

// attempt makes the nth attempt. It returns its result, the reason if it did not
// complete, and the time of Retry-After.
func (j job) attempt(ctx context.Context, n int, id, key string) (result, string, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, j.cfg.Timeout)
	defer cancel()
	entry := j.cfg.Entries[(j.entry+n-1)%len(j.cfg.Entries)]
	var body io.Reader
	if j.kind.Body > 0 {
		body = strings.NewReader(strings.Repeat("x", j.kind.Body))
	}
	req, err := http.NewRequestWithContext(ctx, j.kind.Method, "http://"+entry+j.path, body)
	if err != nil {
		return failed, "bad-mix", 0
	}
	// Otherwise net/http may resend a POST with an empty body by itself.
	req.GetBody = nil
	set := func(name, v string) {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	set("Dogwoodford-Customer", j.cfg.Customer)
	if j.cfg.Credential != "" {
		set("Authorization", "Bearer "+j.cfg.Credential)
	}
	set("Dogfake-Id", id)
	set("Dogwoodford-Key", key)
	set("Dogwoodford-Attempt", strconv.Itoa(n))
	set("Dogwoodford-Deadline-Ms", strconv.FormatInt(j.cfg.Timeout.Milliseconds(), 10))
	resp, err := j.cfg.Client.Do(req)
	if err != nil {
		return classifyError(err)
	}
	defer resp.Body.Close()
	res, reason := classify(resp, id)
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return res, reason, time.Duration(seconds) * time.Second
}

// classifyError returns the result of an attempt without an answer. It is failed
// only if no connection was made; otherwise the request may have run.
func classifyError(err error) (result, string, time.Duration) {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return failed, "dial", 0
	case errors.Is(err, context.DeadlineExceeded):
		return unknown, "timeout", 0
	}
	return unknown, "connection", 0
}

// maxAnswerBytes bounds the part of an answer that is kept to compare its id.
const maxAnswerBytes = 64 << 10

// classify reads the answer and returns the result of the attempt and the reason
// if it did not complete.
func classify(resp *http.Response, id string) (result, string) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	reason := resp.Header.Get("Dogwoodford-Reason")
	text := resp.Header.Get("Dogwoodford-Outcome")
	if text == "" {
		// The answer comes directly from a target, without a node.
		text = dogwoodford.OutcomeRan.String()
	}
	outcome, parseErr := dogwoodford.ParseOutcome(text)
	switch {
	case parseErr != nil:
		return unknown, "bad-outcome"
	case outcome == dogwoodford.OutcomeNotRun:
		return refused, orDefault(reason, "not-run")
	case outcome == dogwoodford.OutcomeUnknown:
		return unknown, orDefault(reason, "unknown")
	case err != nil:
		return failed, "cut-short"
	case resp.StatusCode >= 300:
		return failed, orDefault(reason, fmt.Sprintf("status-%d", resp.StatusCode))
	}
	var answer struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(head, &answer) == nil && answer.ID != "" && answer.ID != id {
		return failed, "wrong-answer"
	}
	return completed, ""
}

// orDefault returns s, or fallback if s is empty.
func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}
