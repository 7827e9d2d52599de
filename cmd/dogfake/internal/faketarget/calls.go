package faketarget

import (
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrRule is returned for a malformed rule of child calls.
var ErrRule = eris.New("malformed rule, want PREFIX sequence|parallel METHOD PATH [METHOD PATH ...]")

// Call is one child call.
type Call struct {
	Method string
	Path   string
}

// Rule lists the child calls of requests whose path has a given prefix.
type Rule struct {
	Prefix   string
	Parallel bool // The calls are made concurrently instead of in sequence.
	Calls    []Call
}

// LoadRules parses text as rules if it contains a space, and otherwise reads
// the rules from the file that it names. An empty text means no rules.
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

// ParseRules parses rules that are separated by line breaks or semicolons.
// A part that starts with # is a comment.
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

// parseRule parses the fields of one rule.
func parseRule(f []string) (Rule, error) {
	if len(f) < 4 || len(f)%2 != 0 || f[0][0] != '/' || f[1] != "sequence" && f[1] != "parallel" {
		return Rule{}, ErrRule
	}
	r := Rule{Prefix: f[0], Parallel: f[1] == "parallel"}
	for i := 2; i < len(f); i += 2 {
		if f[i+1][0] != '/' || f[i] != strings.ToUpper(f[i]) {
			return Rule{}, ErrRule
		}
		r.Calls = append(r.Calls, Call{Method: f[i], Path: f[i+1]})
	}
	return r, nil
}

// matchRule returns the rule with the longest prefix that matches path, or a
// rule without calls if none matches.
func matchRule(rules []Rule, path string) Rule {
	var best Rule
	for _, r := range rules {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// IDHeader identifies a customer request to the fakes: a target counts its
// value, echoes it and propagates it to child calls. It is a header because a
// query parameter would change the content of each request, so that a node could
// take equal requests for different ones.
const IDHeader = "Dogfake-Id"

// propagatedHeaders are the headers that a target copies to its child calls.
var propagatedHeaders = []string{"Dogwoodford-Request", "Traceparent", "Tracestate", IDHeader}

// bodyless reports whether a method usually has no body.
func bodyless(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodDelete
}
