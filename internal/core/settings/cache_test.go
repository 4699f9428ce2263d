package settings

import (
	"strings"
	"testing"
)

func TestCacheKeepsTheLastValidDocument(t *testing.T) {
	c := NewCache()
	good := StoredDocument{Path: "/t", Version: 1, YAML: "routing: {idle_ms: 70}"}
	if _, findings := c.Compile([]StoredDocument{good}); len(findings) > 0 {
		t.Fatal(findings)
	}
	future := StoredDocument{Path: "/t", Version: 2, YAML: "routing: {idle_ms: 80}\nnewer_section: 1"}
	for range 2 {
		s, findings := c.Compile([]StoredDocument{future})
		if s.RoutingAt("/t").IdleMs != 70 {
			t.Errorf("idle_ms %d", s.RoutingAt("/t").IdleMs)
		}
		if !strings.Contains(findings.Error(), "newer_section: unknown key") {
			t.Errorf("findings %v", findings)
		}
	}
	s, _ := c.Compile(nil)
	if s.RoutingAt("/t").IdleMs != DefaultIdleMs {
		t.Error("a deleted document is still in force")
	}
}

func TestCheckChangeCoversAllDocuments(t *testing.T) {
	documents := []StoredDocument{
		{Path: "/", Version: 1, YAML: "pools: [{name: eng, kind: engine, upstreams: []}]"},
		{Path: "/t", Version: 2, YAML: "models: [{name: chat, pool: eng}]"},
		{Path: "/u", Version: 3, YAML: "models: [{name: lost, pool: none}]"},
	}
	change := func(path, yaml string) *Change {
		return &Change{ID: "x", Edits: []Edit{{Path: path, YAML: &yaml}}}
	}
	if f := CheckChange(documents, change("/", "limits: {}")); len(f) != 1 || f[0].Place.File != "/t" {
		t.Errorf("removing a pool that is in use was not reported: %v", f)
	}
	if f := CheckChange(documents, change("/t", "models: [{name: chat2, pool: eng}]")); len(f) > 0 {
		t.Errorf("an existing fault in another document was reported: %v", f)
	}
	if f := CheckChange(documents, change("/u", "models: [{name: lost, pool: none}, {name: m, pool: eng}]")); len(f) == 0 {
		t.Error("a fault in the edited document was not reported")
	}
	if f := CheckChange(documents, change("/v", "models: [{name: chat, pool: eng}]")); len(f) != 1 || f[0].Place.File != "/v" {
		t.Errorf("a duplicate name was not reported: %v", f)
	}
}
