package dogplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford"
)

// readLimit bounds an answer: a list holds several values, in base64.
const readLimit = 64 << 20

// ErrTooLarge is returned for a value beyond dogwoodford.MaxObjectBytes.
var ErrTooLarge = eris.New("value exceeds the largest object")

// ErrBadAnswer is returned, with dogwoodford.ErrUnavailable, for an answer that
// does not follow the protocol.
var ErrBadAnswer = eris.New("answer does not follow the protocol")

// object is the JSON form of an object.
type object struct {
	Name     string `json:"name"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value"`
}

func (o object) plain() dogwoodford.Object {
	return dogwoodford.Object{Name: o.Name, Version: o.Version, Value: o.Value}
}

type objects struct {
	Objects  []object `json:"objects"`
	Revision int64    `json:"revision"`
}

type write struct {
	Expected int64  `json:"expected"`
	Value    []byte `json:"value"`
}

// Get returns the object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) (dogwoodford.Object, error) {
	var o object
	err := c.read(ctx, objectPath(name), &o)
	if err == nil && (o.Name != name || o.Version < 1) {
		err = badAnswer("object of another name or without version")
	}
	if err != nil {
		return dogwoodford.Object{}, fmt.Errorf("get %s: %w", name, err)
	}
	return o.plain(), nil
}

// List returns the objects whose names start with prefix, by name.
func (c *Client) List(ctx context.Context, prefix string) ([]dogwoodford.Object, error) {
	var l objects
	err := c.read(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), &l)
	var out []dogwoodford.Object
	if err == nil {
		out, err = plain(l.Objects, prefix)
	}
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return out, nil
}

func plain(list []object, prefix string) ([]dogwoodford.Object, error) {
	out := make([]dogwoodford.Object, 0, len(list))
	for _, o := range list {
		if !strings.HasPrefix(o.Name, prefix) {
			return nil, badAnswer("object outside of the prefix")
		}
		out = append(out, o.plain())
	}
	return out, nil
}

// Put implements dogwoodford.Platform. It is not tried again: after
// ErrUnavailable the caller reads the object to find out what took effect.
func (c *Client) Put(ctx context.Context, name string, expected int64, value []byte) (int64, error) {
	version, err := c.put(ctx, name, expected, value)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", name, err)
	}
	return version, nil
}

func (c *Client) put(ctx context.Context, name string, expected int64, value []byte) (int64, error) {
	if len(value) > dogwoodford.MaxObjectBytes {
		return 0, ErrTooLarge
	}
	body, err := json.Marshal(write{Expected: expected, Value: value})
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	var o object
	if err := c.bounded(ctx, http.MethodPut, objectPath(name), body, &o); err != nil {
		return 0, err
	}
	if o.Version < 1 {
		return 0, badAnswer("no version")
	}
	return o.Version, nil
}

// Delete removes the object if it has the expected version. A deletion whose
// answer was lost gives ErrUnavailable.
func (c *Client) Delete(ctx context.Context, name string, expected int64) error {
	path := objectPath(name) + "?expected=" + strconv.FormatInt(expected, 10)
	if err := c.bounded(ctx, http.MethodDelete, path, nil, nil); err != nil {
		return fmt.Errorf("delete %s: %w", name, err)
	}
	return nil
}

// Watch implements dogwoodford.Platform. When the service ends the wait without
// a change, it is asked again. A failure is returned: the caller decides whether
// to list anew.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]dogwoodford.Object, int64, error) {
	for {
		var l objects
		path := "/v1/watch?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatInt(after, 10)
		if c.Open() {
			// A watch may wait long, so a short call makes the trial.
			if _, err := c.List(ctx, prefix); err != nil {
				return nil, after, fmt.Errorf("watch %s: %w", prefix, err)
			}
		}
		begun := time.Now()
		err := c.guarded(ctx, c.opt.WatchWait, http.MethodGet, path, nil, &l)
		var out []dogwoodford.Object
		if err == nil {
			out, err = plain(l.Objects, prefix)
		}
		if err != nil {
			return nil, after, fmt.Errorf("watch %s: %w", prefix, err)
		}
		// A lower revision tells of a restored service; the caller must see it.
		if len(out) > 0 || l.Revision < after {
			return out, l.Revision, nil
		}
		after = l.Revision
		if time.Since(begun) < c.opt.PauseMin {
			// A service that ends each wait at once must not be asked in a
			// tight loop.
			if err := sleep(ctx, c.jitter(time.Second)); err != nil {
				return nil, after, fmt.Errorf("watch %s: %w", prefix, unavailable(err))
			}
		}
	}
}

func objectPath(name string) string { return "/v1/objects/" + escapePath(name) }

// escapePath escapes each segment of a name, keeping the slashes between.
func escapePath(name string) string {
	segments := strings.Split(name, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return strings.Join(segments, "/")
}

func badAnswer(what string) error { return unavailable(fmt.Errorf("%s: %w", what, ErrBadAnswer)) }

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", dogwoodford.ErrUnavailable, err)
}

// read makes a read, trying again after a jittered pause.
func (c *Client) read(ctx context.Context, path string, out any) error {
	pause := c.opt.PauseMin
	for attempt := 1; ; attempt++ {
		err := c.bounded(ctx, http.MethodGet, path, nil, out)
		if !errors.Is(err, dogwoodford.ErrUnavailable) || attempt >= c.opt.Attempts || c.Open() {
			return err
		}
		if sleep(ctx, c.jitter(pause)) != nil {
			return err
		}
		pause = min(2*pause, c.opt.PauseMax)
		c.retries.Add(1)
	}
}

// bounded makes one call within the bound on calls at once.
func (c *Client) bounded(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opt.Timeout)
	defer cancel()
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return unavailable(fmt.Errorf("too many calls at once: %w", ctx.Err()))
	}
	return c.guarded(ctx, c.opt.Timeout, method, path, body, out)
}

// guarded makes one call if the circuit allows it.
func (c *Client) guarded(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) error {
	c.mu.Lock()
	ok := c.circuit.allow(time.Now(), c.opt)
	c.mu.Unlock()
	if !ok {
		c.rejected.Add(1)
		return unavailable(errOpen)
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.calls.Add(1)
	c.inProgress.Add(1)
	err := c.once(ctx, method, path, body, out)
	c.inProgress.Add(-1)

	failed := errors.Is(err, dogwoodford.ErrUnavailable)
	c.mu.Lock()
	opened := false
	if failed && errors.Is(parent.Err(), context.Canceled) {
		c.circuit.abandon()
	} else {
		opened = c.circuit.done(time.Now(), !failed, c.opt, c.opt.Rand)
	}
	c.mu.Unlock()
	if failed {
		c.failures.Add(1)
	}
	if opened {
		c.opened.Add(1)
	}
	if errors.Is(err, dogwoodford.ErrConflict) {
		c.conflicts.Add(1)
	}
	c.observe(parent, method, path, err, failed)
	return err
}

// observe leaves out calls that their caller cancelled, as they tell nothing
// of the service.
func (c *Client) observe(ctx context.Context, method, path string, err error, failed bool) {
	switch {
	case c.opt.Observe == nil || failed && errors.Is(ctx.Err(), context.Canceled):
	case failed:
		c.opt.Observe(kindOf(method, path), err)
	default:
		c.opt.Observe(kindOf(method, path), nil)
	}
}

func kindOf(method, path string) string {
	switch {
	case method == http.MethodPut:
		return "put"
	case method == http.MethodDelete:
		return "delete"
	case strings.HasPrefix(path, "/v1/watch?"):
		return "watch"
	case strings.HasPrefix(path, "/v1/objects?"):
		return "list"
	}
	return "get"
}

var errOpen = eris.New("circuit is open after failures")

// once makes one HTTP call.
func (c *Client) once(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.opt.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return unavailable(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, readLimit+1))
	if err != nil {
		return unavailable(err)
	}
	if len(data) > readLimit {
		return badAnswer("too large")
	}
	return decode(resp.StatusCode, data, out)
}

func decode(status int, data []byte, out any) error {
	switch {
	case status == http.StatusOK || status == http.StatusCreated || status == http.StatusNoContent:
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(data, out); err != nil {
			return badAnswer(err.Error())
		}
		return nil
	case status == http.StatusNotFound:
		return dogwoodford.ErrNotFound
	case status == http.StatusConflict:
		return dogwoodford.ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	return unavailable(fmt.Errorf("status %d", status))
}
