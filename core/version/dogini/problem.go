package dogini

import (
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Text    string `json:"text"`
}

// Error returns "file: [section] key: text" without the empty parts.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	b.WriteString(":")
	if p.Section != "" {
		b.WriteString(" [" + p.Section + "]")
	}
	if p.Key != "" {
		b.WriteString(" " + p.Key + ":")
	} else if p.Section != "" {
		b.WriteString(":")
	}
	b.WriteString(" " + p.Text)
	return b.String()
}

// Problems lists all errors in a file. A non-empty value is an error.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}
