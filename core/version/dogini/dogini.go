package dogini

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes is the size of the largest text that is parsed. It leaves room for
// the envelope within the platform's limit of 1 MB on an object.
const MaxBytes = 512 << 10

// Document is a parsed file. It is not safe for concurrent use.
type Document struct {
	file       string
	sections   []*Section
	byName     map[string]*Section
	problems   Problems
	unparsable bool
}

// Section is one section of a document. It is not safe for concurrent use.
type Section struct {
	doc       *Document
	name      string
	requested bool
	keys      []string
	values    map[string]string
	used      map[string]bool
}

// Parse parses data and collects its problems, which Err returns. file is the
// name of the file in messages.
func Parse(file string, data []byte) *Document {
	d := &Document{file: file, byName: make(map[string]*Section)}
	if len(data) > MaxBytes {
		d.Report("", "", "the file has %d bytes, at most %d are allowed", len(data), MaxBytes)
		d.unparsable = true
		return d
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true, // Keep repeated keys, to report them.
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		AllowNonUniqueSections:     true,
		IgnoreContinuation:         true, // A stray backslash must not hide the next line.
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		d.Report("", "", "%s", strings.TrimSpace(err.Error()))
		d.unparsable = true
		return d
	}
	for _, s := range f.Sections() {
		d.add(s)
	}
	return d
}

func (d *Document) add(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			d.Report("", k.Name(), "the key is outside any section")
		}
		return
	}
	name := strings.Join(strings.Fields(s.Name()), " ")
	if d.byName[name] != nil {
		d.Report(name, "", "the section is repeated")
		return
	}
	sec := &Section{doc: d, name: name, values: make(map[string]string), used: make(map[string]bool)}
	for _, k := range s.Keys() {
		if len(k.ValueWithShadows()) > 1 {
			d.Report(name, k.Name(), "the key is repeated")
		}
		sec.keys = append(sec.keys, k.Name())
		sec.values[k.Name()] = strings.TrimSpace(k.Value())
	}
	d.sections = append(d.sections, sec)
	d.byName[name] = sec
}

// File returns the name of the file in messages.
func (d *Document) File() string { return d.file }

// Unparsable reports whether the text is too long or has a syntax error. Err then
// returns that problem, and there are no sections.
func (d *Document) Unparsable() bool { return d.unparsable }

// Report records a problem. section and key may be empty.
func (d *Document) Report(section, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.file, Section: section, Key: key, Text: fmt.Sprintf(format, args...)})
}

// Section returns the section with the given name and marks it as known. A
// missing section is a problem; the result is then an empty section whose
// accessors return defaults and report no further problems.
func (d *Document) Section(name string) *Section {
	if s, ok := d.OptionalSection(name); ok {
		return s
	}
	d.Report(name, "", "the section is missing")
	return &Section{name: name, values: map[string]string{}, used: map[string]bool{}}
}

// OptionalSection returns the section with the given name, if present, and marks it as
// known.
func (d *Document) OptionalSection(name string) (*Section, bool) {
	s := d.byName[name]
	if s == nil {
		return nil, false
	}
	s.requested = true
	return s, true
}

// SectionsOfKind returns the sections whose names are kind and one further word,
// in the order of the file, and marks them as known.
func (d *Document) SectionsOfKind(kind string) []*Section {
	var out []*Section
	for _, s := range d.sections {
		k, rest, ok := strings.Cut(s.name, " ")
		if ok && k == kind && !strings.Contains(rest, " ") {
			s.requested = true
			out = append(out, s)
		}
	}
	return out
}

// Err returns all problems so far as Problems, or nil if there are none. They
// include the keys and sections that the caller has not requested.
func (d *Document) Err() error {
	out := append(Problems(nil), d.problems...)
	for _, s := range d.sections {
		if !s.requested {
			out = append(out, Problem{File: d.file, Section: s.name, Text: "the section is unknown"})
			continue
		}
		for _, k := range s.keys {
			if !s.used[k] {
				out = append(out, Problem{File: d.file, Section: s.name, Key: k, Text: "the key is unknown"})
			}
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}
