package settings

import (
	"math"
	"slices"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
)

// Cache compiles the documents of a State and parses only those that changed. Where this
// version of the program cannot parse a text, the last document at that path that it could
// parse stays in force. A Cache is not safe for concurrent use.
type Cache struct {
	entries map[string]cacheEntry
}

// cacheEntry holds the parsed document of one path.
type cacheEntry struct {
	version   int64        // of the text that was parsed last
	findings  finding.List // of that text
	lastValid Source       // last document without faults; its Document is nil when there was none
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{entries: map[string]cacheEntry{}}
}

// Compile returns the snapshot of the documents in force and all findings, including those
// on texts that cannot be parsed.
func (c *Cache) Compile(documents []StoredDocument) (*Snapshot, finding.List) {
	entries := make(map[string]cacheEntry, len(documents))
	var sources []Source
	var unreadable finding.List
	for _, d := range documents {
		e := c.lookup(d)
		entries[d.Path] = e
		unreadable = append(unreadable, e.findings...)
		if e.lastValid.Document != nil {
			sources = append(sources, e.lastValid)
		}
	}
	c.entries = entries
	snapshot, findings := Compile(sources)
	findings = append(unreadable, findings...)
	findings.Sort()
	return snapshot, findings
}

func (c *Cache) lookup(d StoredDocument) cacheEntry {
	e := c.entries[d.Path]
	if e.version == d.Version {
		return e
	}
	e.version = d.Version
	doc, findings := ParseDocument(d.Path, []byte(d.YAML))
	e.findings = findings
	if doc != nil {
		e.lastValid = Source{Path: d.Path, Version: d.Version, Document: doc}
	}
	return e
}

// CheckChange returns the findings on the documents as the change would leave them. Findings that
// the documents had before are left out, unless they are on an edited document: a fault of
// one team must not block the changes of others.
func CheckChange(documents []StoredDocument, c *Change) finding.List {
	known := map[finding.Finding]bool{}
	_, before := NewCache().Compile(documents)
	for _, f := range before {
		known[withoutLine(f)] = true
	}
	_, after := NewCache().Compile(edited(documents, c))
	var findings finding.List
	for _, f := range after {
		isEdited := slices.ContainsFunc(c.Edits, func(e Edit) bool { return e.Path == f.Place.File })
		if isEdited || !known[withoutLine(f)] {
			findings = append(findings, f)
		}
	}
	return findings
}

func withoutLine(f finding.Finding) finding.Finding {
	f.Place.Line = 0
	return f
}

// edited returns the documents as a change would leave them, with the highest version on
// those that it edits.
func edited(documents []StoredDocument, c *Change) []StoredDocument {
	after := slices.DeleteFunc(slices.Clone(documents), func(d StoredDocument) bool {
		return slices.ContainsFunc(c.Edits, func(e Edit) bool { return e.Path == d.Path })
	})
	for _, e := range c.Edits {
		if e.YAML != nil {
			after = append(after, StoredDocument{Path: e.Path, Version: math.MaxInt64, YAML: *e.YAML})
		}
	}
	return after
}
