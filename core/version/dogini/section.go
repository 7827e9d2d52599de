package dogini

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Range is a closed interval of integers.
type Range struct{ Min, Max int64 }

// namePattern matches names that are safe in object names, headers and file
// names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether s is a name: 1 to 63 lower-case letters, digits
// and inner hyphens.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Title returns the full name of the section.
func (s *Section) Title() string { return s.name }

// Label returns the second word of the section's name.
func (s *Section) Label() string {
	_, label, _ := strings.Cut(s.name, " ")
	return label
}

// Report records a problem with a key of the section.
func (s *Section) Report(key, format string, args ...any) {
	if s.doc != nil {
		s.doc.Report(s.name, key, format, args...)
	}
}

// Has reports whether the key is present, and marks it as known.
func (s *Section) Has(key string) bool {
	s.used[key] = true
	_, ok := s.values[key]
	return ok
}

// Text returns the value of a key that must be present and not empty.
func (s *Section) Text(key string) string {
	if !s.Has(key) {
		s.Report(key, "the key is missing")
		return ""
	}
	if s.values[key] == "" {
		s.Report(key, "the value is empty")
	}
	return s.values[key]
}

// TextOr returns the value of an optional key, or fallback if the key is absent.
func (s *Section) TextOr(key, fallback string) string {
	if !s.Has(key) {
		return fallback
	}
	return s.Text(key)
}

// Name returns the value of a key that must be a name.
func (s *Section) Name(key string) string {
	v := s.Text(key)
	if v != "" && !ValidName(v) {
		s.Report(key, "%q is not a name of 1 to 63 lower-case letters, digits and inner hyphens", truncate(v))
	}
	return v
}

// List returns the comma-separated values of a key that must be present.
func (s *Section) List(key string) []string {
	v := s.Text(key)
	if v == "" {
		return nil
	}
	parts := strings.Split(v, ",")
	for i, p := range parts {
		parts[i] = strings.TrimSpace(p)
		if parts[i] == "" {
			s.Report(key, "element %d of the list is empty", i+1)
		}
	}
	return parts
}

// Int returns the value of a key that must be a whole number in r. It returns
// r.Min for an invalid value.
func (s *Section) Int(key string, r Range) int64 {
	v := s.Text(key)
	if v == "" {
		return r.Min
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		s.Report(key, "%q is not a whole number", truncate(v))
		return r.Min
	}
	if n < r.Min || n > r.Max {
		s.Report(key, "%d is outside %d to %d", n, r.Min, r.Max)
		return r.Min
	}
	return n
}

// IntOr returns the value of an optional key, or fallback if the key is absent.
func (s *Section) IntOr(key string, r Range, fallback int64) int64 {
	if !s.Has(key) {
		return fallback
	}
	return s.Int(key, r)
}

// Bool returns the value of a key that must be yes or no.
func (s *Section) Bool(key string) bool {
	v := s.Text(key)
	if v != "" && v != "yes" && v != "no" {
		s.Report(key, "%q is neither yes nor no", truncate(v))
	}
	return v == "yes"
}

// Duration returns the value of a key that must be a duration with a unit, such
// as 250ms, 2s or 1m30s, in [lower, upper]. It returns lower for an invalid value.
func (s *Section) Duration(key string, lower, upper time.Duration) time.Duration {
	v := s.Text(key)
	if v == "" {
		return lower
	}
	d, err := time.ParseDuration(v)
	if err != nil || v == "0" {
		s.Report(key, "%q is not a duration with a unit, such as 250ms or 2s", truncate(v))
		return lower
	}
	if d < lower || d > upper {
		s.Report(key, "%v is outside %v to %v", d, lower, upper)
		return lower
	}
	return d
}

var byteUnits = []struct {
	suffix string
	factor int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Bytes returns the value of a key that must be a size in r with one of the
// units B, KiB, MiB and GiB. It returns r.Min for an invalid value.
func (s *Section) Bytes(key string, r Range) int64 {
	v := s.Text(key)
	if v == "" {
		return r.Min
	}
	n, ok := parseBytes(v)
	if !ok {
		s.Report(key, "%q is not a size with one of the units B, KiB, MiB, GiB", truncate(v))
		return r.Min
	}
	if n < r.Min || n > r.Max {
		s.Report(key, "%s is outside %s to %s", v, FormatBytes(r.Min), FormatBytes(r.Max))
		return r.Min
	}
	return n
}

func parseBytes(v string) (int64, bool) {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(v, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.factor {
			return 0, false
		}
		return n * u.factor, true
	}
	return 0, false
}

// FormatBytes formats a size in bytes with the largest unit that divides it.
func FormatBytes(n int64) string {
	for _, u := range byteUnits {
		if n >= u.factor && n%u.factor == 0 {
			return strconv.FormatInt(n/u.factor, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// Choice returns the value of an optional key that must be one of the given
// values; the first is the default.
func (s *Section) Choice(key string, values ...string) string {
	v := s.TextOr(key, values[0])
	if v != "" && !slices.Contains(values, v) {
		s.Report(key, "%q is none of %s", truncate(v), strings.Join(values, ", "))
		return values[0]
	}
	return v
}

// truncate bounds the length of untrusted text in messages.
func truncate(s string) string {
	const maxBytes = 64
	if len(s) > maxBytes {
		return s[:maxBytes] + "..."
	}
	return s
}
