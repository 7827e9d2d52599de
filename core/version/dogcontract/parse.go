package dogcontract

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogini"
	"github.com/rotisserie/eris"
)

// Bounds of the numbers in a contract.
const (
	MaxGeneration    = 1 << 53 // JSON readers may round larger integers.
	MaxResendPercent = 100
	MaxResendBurst   = 1_000_000
	MaxWorkers       = 10_000
	MaxSlots         = 100_000
	MaxConnections   = 1_000_000
	MaxServices      = 256
	MaxClasses       = 1024
	MaxRetries       = 16
	MaxCredentials   = 2
	MinDeadline      = time.Millisecond
	// MaxDeadline is half the retention period of the owners' records, so that
	// a request ends well before its record expires.
	MaxDeadline = 5 * time.Minute
	// MaxBodyBytes is the largest upload in bytes; bodies are streamed, not
	// buffered.
	MaxBodyBytes = 16 << 30
	// MaxPath is the length of the longest path prefix in bytes.
	MaxPath = 1024
)

// maxImportances is the largest number of distinct importances in a contract.
const maxImportances = dogwoodford.MaxImportance + 1

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// replayable lists the methods whose requests net/http may resend by itself on a
// broken connection, which would violate at-most-once execution.
var replayable = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// Parse parses and validates a contract. file is the name of the file in errors.
// The error wraps a dogini.Problems with every problem.
func Parse(file string, data []byte) (*Contract, error) {
	doc := dogini.Parse(file, data)
	if doc.Unparsable() {
		return nil, fmt.Errorf("contract: %w", doc.Err())
	}
	c := &Contract{}
	c.parseContractSection(doc.Section("contract"))
	c.parseServices(doc)
	c.parseClasses(doc)
	if err := doc.Err(); err != nil {
		return nil, fmt.Errorf("contract: %w", err)
	}
	c.buildIndex()
	return c, nil
}

func (c *Contract) parseContractSection(s *dogini.Section) {
	c.customer = s.Name("customer")
	c.generation = s.Int("generation", dogini.Range{Min: 1, Max: MaxGeneration})
	c.resendPercent = int(s.Int("resend_percent", dogini.Range{Min: 0, Max: MaxResendPercent}))
	c.resendBurst = int(s.Int("resend_burst", dogini.Range{Min: 0, Max: MaxResendBurst}))
	texts := s.List("credential")
	if len(texts) > MaxCredentials {
		s.Report("credential", "%d credentials are given, at most %d are allowed", len(texts), MaxCredentials)
	}
	for i, text := range texts {
		sum, ok := parseDigest(text)
		if !ok {
			// Leave the value out: it may be a secret in plain text.
			s.Report("credential", "credential %d is not sha256: and 64 hexadecimal digits", i+1)
			continue
		}
		if slices.Contains(c.credentials, sum) {
			s.Report("credential", "credential %d is repeated", i+1)
		}
		c.credentials = append(c.credentials, sum)
	}
}

func parseDigest(text string) (sum [sha256.Size]byte, ok bool) {
	digits, ok := strings.CutPrefix(text, "sha256:")
	if !ok || len(digits) != hex.EncodedLen(len(sum)) {
		return sum, false
	}
	_, err := hex.Decode(sum[:], []byte(digits))
	return sum, err == nil
}

func (c *Contract) parseServices(doc *dogini.Document) {
	sections := doc.SectionsOfKind("service")
	if len(sections) == 0 {
		doc.Report("service", "", "the contract has no service")
	}
	if len(sections) > MaxServices {
		doc.Report("service", "", "%d services are given, at most %d are allowed", len(sections), MaxServices)
	}
	for _, s := range sections {
		checkLabel(s)
		svc := Service{
			name:        s.Label(),
			workers:     int(s.Int("workers", dogini.Range{Min: 1, Max: MaxWorkers})),
			slots:       int(s.Int("slots", dogini.Range{Min: 1, Max: MaxSlots})),
			connections: int(s.Int("connections", dogini.Range{Min: 1, Max: MaxConnections})),
		}
		if svc.connections < svc.slots {
			s.Report("connections", "%d connections cannot fill %d slots", svc.connections, svc.slots)
		}
		c.services = append(c.services, svc)
	}
}

func (c *Contract) parseClasses(doc *dogini.Document) {
	sections := doc.SectionsOfKind("class")
	if len(sections) == 0 {
		doc.Report("class", "", "the contract has no class")
	}
	if len(sections) > MaxClasses {
		doc.Report("class", "", "%d classes are given, at most %d are allowed", len(sections), MaxClasses)
	}
	importances := make(map[string]bool)
	selectors := make(map[string]string)
	for _, s := range sections {
		checkLabel(s)
		class := c.parseClass(s, importances)
		for _, m := range class.methods {
			selector := class.service + " " + m + " " + class.path
			if other, ok := selectors[selector]; ok {
				if other == class.name {
					continue // A repeated method, which checkMethods reports.
				}
				s.Report("path", "class %s has the same service, method %s and path", other, m)
				continue
			}
			selectors[selector] = class.name
		}
		c.classes = append(c.classes, class)
	}
	if len(importances) > maxImportances {
		doc.Report("class", "importance", "%d different importances are given, at most %d are allowed",
			len(importances), maxImportances)
	}
}

func (c *Contract) parseClass(s *dogini.Section, importances map[string]bool) Class {
	class := Class{
		name:       s.Label(),
		service:    s.Name("service"),
		methods:    s.List("method"),
		path:       s.Text("path"),
		importance: int(s.Int("importance", dogini.Range{Min: 0, Max: dogwoodford.MaxImportance})),
		idempotent: s.Bool("idempotent"),
		deadline:   s.Duration("deadline", MinDeadline, MaxDeadline),
		retries:    int(s.Int("retries", dogini.Range{Min: 0, Max: MaxRetries})),
		maxBody:    s.Bytes("max_body", dogini.Range{Min: 0, Max: MaxBodyBytes}),
	}
	if v := s.TextOr("importance", ""); v != "" {
		importances[v] = true
	}
	if _, ok := c.Service(class.service); !ok && class.service != "" {
		s.Report("service", "service %q has no section", class.service)
	}
	checkMethods(s, class)
	if class.path != "" && !validPath(class.path) {
		s.Report("path", "the path must start with a slash, have no empty, \".\" or \"..\" segment, "+
			"no query, space or backslash, and at most %d bytes", MaxPath)
	}
	return class
}

func validPath(path string) bool {
	return len(path) <= MaxPath && canonical(path) &&
		!strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r == '?' || r == '#' || r == '\\' || r == 0x7f })
}

func checkMethods(s *dogini.Section, class Class) {
	for i, m := range class.methods {
		switch {
		case m == "": // Reported by List.
		case !slices.Contains(methods, m):
			s.Report("method", "%q is none of %s", m, strings.Join(methods, ", "))
		case slices.Contains(class.methods[:i], m):
			s.Report("method", "%s is repeated", m)
		case !class.idempotent && s.Has("idempotent") && slices.Contains(replayable, m):
			s.Report("idempotent", "a class with method %s must be idempotent: HTTP clients repeat such requests", m)
		}
	}
}

func checkLabel(s *dogini.Section) {
	if !dogini.ValidName(s.Label()) {
		s.Report("", "%q is not a name of 1 to 63 lower-case letters, digits and inner hyphens", s.Label())
	}
}

// ErrGeneration is returned by SetGeneration for a generation out of range, and
// for a text in which the generation cannot be changed by itself.
var ErrGeneration = eris.New("the generation cannot be set in this text")

// generationLine matches the line with the key generation. A valid contract has
// exactly one, as no other section allows this key.
var generationLine = regexp.MustCompile(`^(\s*generation\s*=\s*)(\d+)(.*)$`)

// SetGeneration returns the text of a valid contract with the generation replaced
// by n, which must be in [1, MaxGeneration]. Comments and all other lines are
// unchanged.
func SetGeneration(data []byte, n int64) ([]byte, error) {
	if n < 1 || n > MaxGeneration {
		return nil, fmt.Errorf("set generation %d: %w", n, ErrGeneration)
	}
	lines := strings.Split(string(data), "\n")
	found := 0
	for i, line := range lines {
		if m := generationLine.FindStringSubmatch(line); m != nil {
			lines[i] = m[1] + strconv.FormatInt(n, 10) + m[3]
			found++
		}
	}
	if found != 1 {
		return nil, fmt.Errorf("set generation: %d generation lines: %w", found, ErrGeneration)
	}
	out := []byte(strings.Join(lines, "\n"))
	return out, checkGeneration(data, out, n)
}

// checkGeneration verifies that after differs from before only in the generation,
// which must be n. The check is needed because SetGeneration finds the line by a
// regular expression, not by the INI parser.
func checkGeneration(before, after []byte, n int64) error {
	b, err := Parse("before", before)
	if err != nil {
		return fmt.Errorf("set generation: %w", err)
	}
	a, err := Parse("after", after)
	if err != nil {
		return fmt.Errorf("set generation: %w", err)
	}
	for _, ch := range Diff(b, a) {
		if ch.Key != "generation" {
			return fmt.Errorf("set generation: %s: %w", ch, ErrGeneration)
		}
	}
	if a.generation != n {
		return fmt.Errorf("set generation: %d instead of %d: %w", a.generation, n, ErrGeneration)
	}
	return nil
}
