package faketarget

import (
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrCalls is returned for a malformed description of child calls.
var ErrCalls = eris.New("a rule is PREFIX sequence|parallel METHOD PATH [METHOD PATH ...]")

// Call is one child call.
type Call struct {
	Method string
	Path   string
}

// Rule says which child calls the requests under a path prefix make.
type Rule struct {
	Prefix   string
	Parallel bool
	Calls    []Call
}

// LoadRules reads rules from text if it holds a space, else from the file that
// it names. An empty text means no rules.
func LoadRules(text string) ([]Rule, error) {
	if text == "" {
		return nil, nil
	}
	if !strings.Contains(text, " ") {
		data, err := os.ReadFile(text)
		if err != nil {
			return nil, fmt.Errorf("child calls: %w", err)
		}
		text = string(data)
	}
	return ParseRules(text)
}

// ParseRules parses rules, one on a line or separated by semicolons. Lines
// that start with # are comments.
func ParseRules(text string) ([]Rule, error) {
	var rules []Rule
	for _, line := range strings.FieldsFunc(text, func(r rune) bool { return r == '\n' || r == ';' }) {
		f := strings.Fields(line)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		rule, err := parseRule(f)
		if err != nil {
			return nil, fmt.Errorf("child calls: %q: %w", strings.TrimSpace(line), err)
		}
		rules = append(rules, rule)
	}
	return rules, nil
}

func parseRule(f []string) (Rule, error) {
	if len(f) < 4 || len(f)%2 != 0 || f[0][0] != '/' || f[1] != "sequence" && f[1] != "parallel" {
		return Rule{}, ErrCalls
	}
	r := Rule{Prefix: f[0], Parallel: f[1] == "parallel"}
	for i := 2; i < len(f); i += 2 {
		if f[i+1][0] != '/' || f[i] != strings.ToUpper(f[i]) {
			return Rule{}, ErrCalls
		}
		r.Calls = append(r.Calls, Call{Method: f[i], Path: f[i+1]})
	}
	return r, nil
}

// match returns the rule with the longest prefix of path.
func match(rules []Rule, path string) Rule {
	var best Rule
	for _, r := range rules {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// IDHeader names a customer request for the stand-ins: a target records it,
// echoes it, and repeats it on child calls. It is a header, as a parameter in
// the query could make the content of each request look new to a node.
const IDHeader = "Dogfake-Id"

// repeatedHeaders are the headers that a target repeats on its child calls.
var repeatedHeaders = []string{"Dogwoodford-Request", "Traceparent", "Tracestate", IDHeader}

// bodyless reports whether a method usually has no body.
func bodyless(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodDelete
}
