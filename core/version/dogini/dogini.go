package dogini

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes is the size of the largest text that is parsed. It leaves room for
// the envelope within the 1 MB that the platform stores.
const MaxBytes = 512 << 10

// Document is a parsed file. It is not safe for concurrent use.
type Document struct {
	file     string
	sections []*Section
	byName   map[string]*Section
	problems Problems
	broken   bool
}

// Section is one section of a document.
type Section struct {
	doc    *Document
	name   string
	taken  bool
	keys   []string
	values map[string]string
	used   map[string]bool
}

// Parse parses data. Faults are kept until Err; file is the name in messages.
func Parse(file string, data []byte) *Document {
	d := &Document{file: file, byName: make(map[string]*Section)}
	if len(data) > MaxBytes {
		d.Report("", "", "the file has %d bytes, at most %d are allowed", len(data), MaxBytes)
		d.broken = true
		return d
	}
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true, // Repeated keys are kept, to be reported.
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		AllowNonUniqueSections:     true,
		IgnoreContinuation:         true, // A stray backslash must not hide the next line.
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		d.Report("", "", "%s", strings.TrimSpace(err.Error()))
		d.broken = true
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
			d.Report("", k.Name(), "the key stands outside any section")
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

// Broken reports whether the text could not be read at all. Err then holds the
// syntax error, and there are no sections.
func (d *Document) Broken() bool { return d.broken }

// Report records a problem.
func (d *Document) Report(section, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: d.file, Section: section, Key: key, Text: fmt.Sprintf(format, args...)})
}

// Section takes the section with the given name. A section that is missing is
// a problem; the result is then an empty section whose accessors return
// defaults and report nothing further.
func (d *Document) Section(name string) *Section {
	if s, ok := d.Optional(name); ok {
		return s
	}
	d.Report(name, "", "the section is missing")
	return &Section{name: name, values: map[string]string{}, used: map[string]bool{}}
}

// Optional takes the section with the given name, if present.
func (d *Document) Optional(name string) (*Section, bool) {
	s := d.byName[name]
	if s == nil {
		return nil, false
	}
	s.taken = true
	return s, true
}

// Kind takes the sections whose names are kind and one further word, in the
// order of the file.
func (d *Document) Kind(kind string) []*Section {
	var out []*Section
	for _, s := range d.sections {
		k, rest, ok := strings.Cut(s.name, " ")
		if ok && k == kind && !strings.Contains(rest, " ") {
			s.taken = true
			out = append(out, s)
		}
	}
	return out
}

// Err returns all problems so far, including the keys and sections that were
// not asked for, as Problems; nil if there are none.
func (d *Document) Err() error {
	out := append(Problems(nil), d.problems...)
	for _, s := range d.sections {
		if !s.taken {
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
