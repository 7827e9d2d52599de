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

// maxResponseBytes limits the body of a response. A list contains several values,
// base64-encoded.
const maxResponseBytes = 64 << 20

// ErrTooLarge is returned for a value larger than dogwoodford.MaxObjectBytes, and
// if the service rejects a value as too large.
var ErrTooLarge = eris.New("value exceeds the maximum object size")

// ErrBadResponse is returned, together with dogwoodford.ErrUnavailable, for a
// response that does not conform to the protocol.
var ErrBadResponse = eris.New("response does not conform to the protocol")

// object is the JSON representation of an object.
type object struct {
	Name     string `json:"name"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value"`
}

func (o object) toObject() dogwoodford.Object {
	return dogwoodford.Object{Name: o.Name, Version: o.Version, Value: o.Value}
}

type objectList struct {
	Objects  []object `json:"objects"`
	Revision int64    `json:"revision"`
}

type putRequest struct {
	Expected int64  `json:"expected"`
	Value    []byte `json:"value"`
}

// Get returns the object, or dogwoodford.ErrNotFound. It is retried after
// dogwoodford.ErrUnavailable.
func (c *Client) Get(ctx context.Context, name string) (dogwoodford.Object, error) {
	var o object
	err := c.readWithRetry(ctx, objectPath(name), &o)
	if err == nil && (o.Name != name || o.Version < 1) {
		err = badResponse("object has another name or no version")
	}
	if err != nil {
		return dogwoodford.Object{}, fmt.Errorf("get %s: %w", name, err)
	}
	return o.toObject(), nil
}

// List returns the objects whose names start with prefix, in the order of the
// response, which is sorted by name. It is retried after dogwoodford.ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]dogwoodford.Object, error) {
	var l objectList
	err := c.readWithRetry(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), &l)
	var out []dogwoodford.Object
	if err == nil {
		out, err = toObjects(l.Objects, prefix)
	}
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return out, nil
}

func toObjects(list []object, prefix string) ([]dogwoodford.Object, error) {
	out := make([]dogwoodford.Object, 0, len(list))
	for _, o := range list {
		if !strings.HasPrefix(o.Name, prefix) {
			return nil, badResponse("object name lacks the prefix")
		}
		out = append(out, o.toObject())
	}
	return out, nil
}

// Put implements dogwoodford.Platform. It is not retried: after
// dogwoodford.ErrUnavailable the write may have taken effect, and the caller has
// to read the object to find out.
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
	body, err := json.Marshal(putRequest{Expected: expected, Value: value})
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	var o object
	if err := c.callLimited(ctx, http.MethodPut, objectPath(name), body, &o); err != nil {
		return 0, err
	}
	if o.Version < 1 {
		return 0, badResponse("response has no version")
	}
	return o.Version, nil
}

// Delete removes the object if it has the expected version, and returns
// dogwoodford.ErrConflict if the version differs. It is not retried: after
// dogwoodford.ErrUnavailable the deletion may have taken effect.
func (c *Client) Delete(ctx context.Context, name string, expected int64) error {
	path := objectPath(name) + "?expected=" + strconv.FormatInt(expected, 10)
	if err := c.callLimited(ctx, http.MethodDelete, path, nil, nil); err != nil {
		return fmt.Errorf("delete %s: %w", name, err)
	}
	return nil
}

// Watch implements dogwoodford.Platform. When the service ends the wait without
// a change, Watch sends the request again. Errors are returned without a retry,
// and the caller decides whether to list the objects again. A returned revision
// lower than after means that the service has been restored.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]dogwoodford.Object, int64, error) {
	for {
		var l objectList
		path := "/v1/watch?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatInt(after, 10)
		if c.CircuitOpen() {
			// The trial is a List, as a watch may wait long for its response.
			if _, err := c.List(ctx, prefix); err != nil {
				return nil, after, fmt.Errorf("watch %s: %w", prefix, err)
			}
		}
		begun := time.Now()
		err := c.callThroughCircuit(ctx, c.opt.WatchWait, http.MethodGet, path, nil, &l)
		var out []dogwoodford.Object
		if err == nil {
			out, err = toObjects(l.Objects, prefix)
		}
		if err != nil {
			return nil, after, fmt.Errorf("watch %s: %w", prefix, err)
		}
		// A lower revision means that the service has been restored, which the
		// caller has to know.
		if len(out) > 0 || l.Revision < after {
			return out, l.Revision, nil
		}
		after = l.Revision
		if time.Since(begun) < c.opt.MinBackoff {
			// A service that ends each wait immediately would otherwise be
			// called in a tight loop.
			if err := sleep(ctx, c.jitter(time.Second)); err != nil {
				return nil, after, fmt.Errorf("watch %s: %w", prefix, unavailable(err))
			}
		}
	}
}

func objectPath(name string) string { return "/v1/objects/" + escapePath(name) }

// escapePath escapes each segment of name, but not the slashes between them.
func escapePath(name string) string {
	segments := strings.Split(name, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return strings.Join(segments, "/")
}

func badResponse(what string) error { return unavailable(fmt.Errorf("%s: %w", what, ErrBadResponse)) }

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", dogwoodford.ErrUnavailable, err)
}

// readWithRetry makes a GET call and retries it with jittered exponential backoff
// while the service is unavailable and the circuit is closed.
func (c *Client) readWithRetry(ctx context.Context, path string, out any) error {
	pause := c.opt.MinBackoff
	for attempt := 1; ; attempt++ {
		err := c.callLimited(ctx, http.MethodGet, path, nil, out)
		if !errors.Is(err, dogwoodford.ErrUnavailable) || attempt >= c.opt.MaxAttempts || c.CircuitOpen() {
			return err
		}
		if sleep(ctx, c.jitter(pause)) != nil {
			return err
		}
		pause = min(2*pause, c.opt.MaxBackoff)
		c.retries.Add(1)
	}
}

// callLimited makes one call. It first waits while MaxConcurrent calls are in
// progress, within the timeout of the call.
func (c *Client) callLimited(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opt.Timeout)
	defer cancel()
	select {
	case c.semaphore <- struct{}{}:
		defer func() { <-c.semaphore }()
	case <-ctx.Done():
		return unavailable(fmt.Errorf("too many concurrent calls: %w", ctx.Err()))
	}
	return c.callThroughCircuit(ctx, c.opt.Timeout, method, path, body, out)
}

// callThroughCircuit makes one call if the circuit allows it, and records its
// result.
func (c *Client) callThroughCircuit(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) error {
	c.mu.Lock()
	ok := c.circuit.allow(time.Now(), c.opt)
	c.mu.Unlock()
	if !ok {
		c.rejected.Add(1)
		return unavailable(errCircuitOpen)
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.calls.Add(1)
	c.inProgress.Add(1)
	err := c.roundTrip(ctx, method, path, body, out)
	c.inProgress.Add(-1)

	failed := errors.Is(err, dogwoodford.ErrUnavailable)
	c.mu.Lock()
	opened := false
	if failed && errors.Is(parent.Err(), context.Canceled) {
		c.circuit.recordCancelled()
	} else {
		opened = c.circuit.record(time.Now(), !failed, c.opt, c.opt.Rand)
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

// observe reports a call to Options.Observe, unless its caller cancelled it, as
// such a call says nothing about the service.
func (c *Client) observe(ctx context.Context, method, path string, err error, failed bool) {
	switch {
	case c.opt.Observe == nil || failed && errors.Is(ctx.Err(), context.Canceled):
	case failed:
		c.opt.Observe(callKind(method, path), err)
	default:
		c.opt.Observe(callKind(method, path), nil)
	}
}

func callKind(method, path string) string {
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

var errCircuitOpen = eris.New("circuit breaker rejected the call after failures")

// roundTrip makes one HTTP call and decodes the response into out, unless out is
// nil.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte, out any) error {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return unavailable(err)
	}
	if len(data) > maxResponseBytes {
		return badResponse("response body is too large")
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
			return badResponse(err.Error())
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
