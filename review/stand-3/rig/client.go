package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID, Method, Host, Path, Key, Body string
	Deadline                          time.Duration
}

// Reply is what a client saw of its attempt.
type Reply struct {
	Sent   time.Time
	Status int // 0 if the connection ended without a whole answer.
	Seal   string
	Body   string
	Header http.Header
	Err    error
}

// NewID returns the id of an attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Do sends a request on a new connection.
func Do(rec *Record, addr string, q Request) Reply {
	out := Reply{Sent: time.Now()}
	defer func() {
		rec.Printf("client: %s %s %s key %q: %d %q %v", q.ID, q.Method, q.Path, q.Key, out.Status, out.Body, out.Err)
	}()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		out.Err = err
		return out
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.Deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.Method, q.Path, q.Host, q.ID, q.Deadline.Milliseconds())
	if q.Key != "" {
		head += "Credential: " + q.Key + "\r\n"
	}
	if q.Body != "" || q.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	if _, out.Err = io.WriteString(c, head+"\r\n"+q.Body); out.Err != nil {
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.Method})
	if err != nil {
		out.Err = err
		return out
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		out.Err = err
		return out
	}
	out.Status, out.Seal, out.Body, out.Header = resp.StatusCode, resp.Header.Get("Response-Seal"), string(body), resp.Header
	return out
}
