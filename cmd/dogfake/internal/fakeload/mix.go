package fakeload

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMix is returned for a malformed mix.
var ErrMix = eris.New("malformed mix, want WEIGHT CLASS METHOD PATH [BODY-BYTES]")

// Kind is one kind of request in a mix.
type Kind struct {
	Weight int    // Relative frequency.
	Class  string // Class in the report.
	Method string
	Path   string // {n} is replaced by a random number below 10,000.
	Body   int    // Size of the body in bytes.
}

// Mix is a list of kinds of request, each sent in proportion to its weight.
type Mix []Kind

// LoadMix parses text as a mix if it contains a space, and otherwise reads the
// mix from the file that it names.
func LoadMix(text string) (Mix, error) {
	if !strings.Contains(text, " ") {
		data, err := os.ReadFile(text)
		if err != nil {
			return nil, fmt.Errorf("mix: %w", err)
		}
		text = string(data)
	}
	return ParseMix(text)
}

// ParseMix parses a mix, whose kinds are separated by line breaks or semicolons.
// A part that starts with # is a comment.
func ParseMix(text string) (Mix, error) {
	var mix Mix
	for _, line := range strings.FieldsFunc(text, func(r rune) bool { return r == '\n' || r == ';' }) {
		f := strings.Fields(line)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		k, err := parseKind(f)
		if err != nil {
			return nil, fmt.Errorf("mix: %q: %w", strings.TrimSpace(line), err)
		}
		mix = append(mix, k)
	}
	if len(mix) == 0 {
		return nil, fmt.Errorf("mix: empty: %w", ErrMix)
	}
	return mix, nil
}

// parseKind parses the fields of one kind.
func parseKind(f []string) (Kind, error) {
	if len(f) < 4 || len(f) > 5 || f[3][0] != '/' || f[2] != strings.ToUpper(f[2]) {
		return Kind{}, ErrMix
	}
	k := Kind{Class: f[1], Method: f[2], Path: f[3]}
	var err error
	if k.Weight, err = strconv.Atoi(f[0]); err != nil || k.Weight < 1 {
		return Kind{}, ErrMix
	}
	if len(f) == 5 {
		if k.Body, err = strconv.Atoi(f[4]); err != nil || k.Body < 0 {
			return Kind{}, ErrMix
		}
	}
	return k, nil
}

// draw returns a random kind, with a probability in proportion to its weight.
func (m Mix) draw(rng *rand.Rand) Kind {
	total := 0
	for _, k := range m {
		total += k.Weight
	}
	n := rng.IntN(total)
	for _, k := range m {
		if n -= k.Weight; n < 0 {
			return k
		}
	}
	panic("fakeload: drawn number is not below the sum of weights")
}

// keyed reports whether requests of the kind carry an idempotency key.
func (k Kind) keyed() bool {
	switch k.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return true
	}
	return false
}
