// Package finding collects the faults of an input with their places, so that all
// of them are reported together instead of one per attempt.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Place is the location of a finding. Zero fields are left out of its text.
type Place struct {
	File string // file name, or settings path of the document
	Line int    // from 1
	Key  string // dotted path inside the document, such as pools[0].upstreams[2].address
}

// String returns the place in the form "file:line: key".
func (p Place) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		if b.Len() > 0 {
			b.WriteString(": ")
		}
		b.WriteString(p.Key)
	}
	return b.String()
}

// Finding is one fault of an input.
type Finding struct {
	Place   Place
	Message string
}

// String returns the place and the message on one line.
func (f Finding) String() string {
	return f.Place.String() + ": " + f.Message
}

// List holds findings in the order they were added. Use Err to get it as an error,
// or nil when it is empty.
type List []Finding

// Addf adds a finding with a message formatted as by fmt.Sprintf.
func (l *List) Addf(place Place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Sort orders the list by file, line and key.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i].Place, l[j].Place
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Key < b.Key
	})
}

// Error returns one line per finding.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
