package settings

import (
	"math"
	"slices"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
)

// Cache compiles the documents of a State and parses only those that changed. A
// text that this version of the program cannot read leaves the last readable form
// of its path in force. It is not safe for concurrent use.
type Cache struct {
	entries map[string]cacheEntry
}

// cacheEntry is what is known of one path.
type cacheEntry struct {
	version  int64        // of the text that was parsed last
	findings finding.List // of that text
	good     Source       // last readable form; its Document is nil without one
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{entries: map[string]cacheEntry{}}
}

// Compile returns the snapshot of the documents in force and all findings, those
// of texts that cannot be read among them.
func (c *Cache) Compile(documents []StoredDocument) (*Snapshot, finding.List) {
	entries := make(map[string]cacheEntry, len(documents))
	var sources []Source
	var unreadable finding.List
	for _, d := range documents {
		e := c.entry(d)
		entries[d.Path] = e
		unreadable = append(unreadable, e.findings...)
		if e.good.Document != nil {
			sources = append(sources, e.good)
		}
	}
	c.entries = entries
	snapshot, findings := Compile(sources)
	findings = append(unreadable, findings...)
	findings.Sort()
	return snapshot, findings
}

func (c *Cache) entry(d StoredDocument) cacheEntry {
	e := c.entries[d.Path]
	if e.version == d.Version {
		return e
	}
	e.version = d.Version
	doc, findings := ParseDocument(d.Path, []byte(d.YAML))
	e.findings = findings
	if doc != nil {
		e.good = Source{Path: d.Path, Version: d.Version, Document: doc}
	}
	return e
}

// CheckChange returns what is wrong with a change in the tree that it would give. What
// was wrong in the tree before is left out: it must not hold up other teams.
func CheckChange(documents []StoredDocument, c *Change) finding.List {
	known := map[finding.Finding]bool{}
	_, before := NewCache().Compile(documents)
	for _, f := range before {
		known[withoutLine(f)] = true
	}
	_, after := NewCache().Compile(edited(documents, c))
	var findings finding.List
	for _, f := range after {
		touched := slices.ContainsFunc(c.Edits, func(e Edit) bool { return e.Path == f.Place.File })
		if touched || !known[withoutLine(f)] {
			findings = append(findings, f)
		}
	}
	return findings
}

func withoutLine(f finding.Finding) finding.Finding {
	f.Place.Line = 0
	return f
}

// edited returns the documents after a change, the edited ones as the newest.
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
