package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int // 0 if there was none.
	seal   string
	body   []byte
	err    error
	sent   time.Time
}

// served reports whether the answer is a success with the worker's whole body.
func (a answer) served() bool {
	return a.status/100 == 2 && a.seal == seal(a.id, a.status, a.body)
}

var attempts atomic.Int64

// send sends one attempt to the node of m on a new connection.
func send(rec *record, m *machine, method, path string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1)), sent: time.Now()}
	rec.add("client", "%s sends %s %s at %s", a.id, method, path, m.name)
	a.status, a.seal, a.body, a.err = exchange(m.at(m.ports.outbound), method, path, a.id, deadline)
	rec.add("client", "%s is answered %d after %d ms, seal %q, error %v", a.id, a.status, time.Since(a.sent).Milliseconds(), a.seal, a.err)
	return a
}

func exchange(addr, method, path, id string, deadline time.Duration) (int, string, []byte, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, "", nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(deadline + time.Second))
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n",
		method, path, host, id, deadline.Milliseconds(), length)
	if err != nil {
		return 0, "", nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = io.Copy(&body, resp.Body)
	return resp.StatusCode, resp.Header.Get("Response-Seal"), body.Bytes(), err
}
