package route

import (
	"testing"
)

func table(t *testing.T, s Spec) *Table {
	t.Helper()
	tb, found := NewTable(s)
	if len(found) > 0 {
		t.Fatal(found)
	}
	return tb
}

func to(service string) []Target { return []Target{{Service: service, Weight: 1}} }

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	tb := table(t, Spec{
		Services: []Service{{Name: "s"}},
		Routes: []Route{
			{Name: "short", Host: "A.example", Prefix: "/x/", Targets: to("s")},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: to("s")},
			{Name: "root", Host: "b.example", Prefix: "/", Targets: to("s")},
		},
	})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"}, {"a.example", "/x/y", "short"}, {"a.example:8080", "/x/", "short"},
		{"A.EXAMPLE", "/x/yy/", "short"}, {"a.example", "/x", ""}, {"a.example", "/", ""},
		{"b.example", "/anything", "root"}, {"c.example", "/x/", ""}, {"a.example", "", ""},
	}
	for _, c := range cases {
		got := ""
		if r := tb.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestFaultsAreFoundTogether(t *testing.T) {
	tb, found := NewTable(Spec{
		Services: []Service{{Name: "s"}},
		Routes: []Route{
			{Name: "no slash", Host: "h", Prefix: "/x", Targets: to("s")},
			{Name: "no target", Host: "h", Prefix: "/y/"},
			{Name: "unknown", Host: "h", Prefix: "/z/", Targets: to("t")},
			{Name: "good", Host: "h", Prefix: "/g/", Targets: to("s")},
		},
	})
	if len(found) != 3 || tb.Len() != 1 || tb.Match("h", "/g/") == nil {
		t.Errorf("%d findings, %d routes: %v", len(found), tb.Len(), found)
	}
}

func TestKeys(t *testing.T) {
	tb := table(t, Spec{
		Services:  []Service{{Name: "s"}},
		Routes:    []Route{{Name: "r", Host: "h", Prefix: "/", Targets: to("s")}, {Name: "open", Host: "h", Prefix: "/o/", Anonymous: true, Targets: to("s")}},
		Customers: []CustomerKeys{{Customer: Customer{Name: "c"}, Keys: []string{"k1", "k2"}}},
	})
	if c := tb.CustomerOf("k2"); c == nil || c.Name != "c" {
		t.Errorf("got %v", c)
	}
	if tb.CustomerOf("") != nil || tb.CustomerOf("k3") != nil {
		t.Error("an unknown key has an owner")
	}
	if !tb.NeedsKey(tb.Match("h", "/x")) || tb.NeedsKey(tb.Match("h", "/o/x")) {
		t.Error("the wrong route requires a key")
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}}
	got := map[string]int{}
	const draws = 1000
	for i := range draws {
		got[r.Pick(float64(i)/draws)]++
	}
	if got["a"] != 900 || got["b"] != 100 || got["none"] != 0 {
		t.Errorf("got %v", got)
	}
	if one := (&Route{Targets: []Target{{Service: "a"}}}); one.Pick(0.5) != "a" {
		t.Error("a single target without weight is not chosen")
	}
}

func TestRepeatable(t *testing.T) {
	cases := map[*Route]bool{
		{Kind: Once}: false, {Kind: Once, Resumable: true}: false, {Kind: Idempotent}: true,
		{Kind: Stream}: false, {Kind: Stream, Resumable: true}: true,
	}
	for r, want := range cases {
		if r.Repeatable() != want {
			t.Errorf("%s, resumable %v: got %v", r.Kind, r.Resumable, !want)
		}
	}
}
