package doghttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
)

// Guards against wrong outcomes, truncated answers that are taken for complete,
// answers of another request, attempts beyond the retry budget and second runs.
func TestFaults(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/faults.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range ar.Files {
		t.Run(f.Name, func(t *testing.T) { runScript(t, string(f.Data)) })
	}
}

func runScript(t *testing.T, script string) {
	target := newScriptedTarget(t)
	m := newMesh(t, target.addr)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	got := ""
	for line := range strings.Lines(script) {
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		method, path, _ := strings.Cut(rest, " ")
		switch verb {
		case "target":
			target.script = strings.Fields(rest)
		case "set":
			setFlag(m, rest)
		case "call", "resend":
			req := newRequest(t, method, m.entry+path, nil)
			if verb == "resend" {
				req.Header.Set(dogcall.HeaderAttempt, "2")
				req.Header.Set(dogcall.HeaderKey, dogwoodford.MakeKey(now(), 1, 2).String())
			}
			got = describe(client.Do(req))
		case "leave":
			ctx, cancel := context.WithCancel(t.Context())
			go func() { <-target.read; cancel() }()
			if _, err := client.Do(newRequest(t, method, m.entry+path, nil).WithContext(ctx)); !errors.Is(err, context.Canceled) {
				t.Errorf("error %v, want a cancellation", err)
			}
		case "ends":
			<-m.released // The answer may arrive before its end is reported.
			if got := strings.Join(m.takeEnds(), " "); got != rest {
				t.Errorf("ends %q, want %q", got, rest)
			}
		case "want":
			target.mu.Lock()
			got += fmt.Sprintf(" %d", target.runs)
			target.mu.Unlock()
			if got != rest {
				t.Errorf("got %q, want %q", got, rest)
			}
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
}

func setFlag(m *mesh, flag string) {
	m.flags[flag] = true
	if flag == "down" {
		for _, h := range m.nodes {
			h.cfg.TargetAddress = "127.0.0.1:1" // No listener has this port.
		}
	}
}

// describe formats an answer as the scripts do.
func describe(resp *http.Response, err error) string {
	if err != nil {
		return "error " + err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "aborted"
	}
	text, reason := string(body), resp.Header.Get(dogcall.HeaderReason)
	if strings.HasPrefix(text, resp.Header.Get(dogcall.HeaderOutcome)+": "+reason) {
		text = "" // The body of a refusal repeats outcome and reason.
	}
	if sum := resp.Trailer.Get("X-Sum"); sum != "" {
		text += "+X-Sum=" + sum
	}
	dash := func(s string) string {
		if s == "" {
			return "-"
		}
		return s
	}
	return fmt.Sprintf("%d %s %s %s", resp.StatusCode, resp.Header.Get(dogcall.HeaderOutcome), dash(reason), dash(text))
}

// Guards against an answer that breaks off and looks complete to a caller that speaks
// HTTP/1.0, where only the end of the connection marks its end.
func TestTruncatedAnswerOfHTTP10(t *testing.T) {
	target := newScriptedTarget(t)
	target.script = []string{"chunk-cut"}
	m := newMesh(t, target.addr)
	c, err := net.Dial("tcp", strings.TrimPrefix(m.entry, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	req := newRequest(t, "GET", m.entry+"/rounds/sheets/1", nil)
	fmt.Fprintf(c, "GET %s HTTP/1.0\r\n", req.URL.Path)
	if err := req.Header.Write(c); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "\r\n")
	if data, err := io.ReadAll(c); err == nil {
		t.Errorf("%q is taken as a whole answer", data)
	}
}
