package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// oddTexts are texts that another writer may leave in the log, as a record or as the document of a change.
func oddTexts() []string {
	const deep, large = 100_000, 262_144
	aliases := "a0: &a0 [x, x]\n"
	for i := 1; i < 20; i++ {
		aliases += fmt.Sprintf("a%d: &a%d [*a%d, *a%d]\n", i, i, i-1, i-1)
	}
	return []string{
		"null", "[]", "{", "\x00", "\xff", "!!binary x", aliases,
		strings.Repeat("[", deep), strings.Repeat("[", deep) + strings.Repeat("]", deep), strings.Repeat("{a: ", deep),
		strings.Repeat("- ", deep), strings.Repeat(`{"a":`, deep) + "1" + strings.Repeat("}", deep),
		"routing: {idle_ms: 1e400}", "routing: {idle_ms: 99999999999999999999}", "routing: {idle_ms: -1}", "routing: {idle_ms: 0x7fffffffffffffff}",
		"routing: {idle_ms: " + strings.Repeat("9", large) + "}", "routing: {idle_ms: 5}" + strings.Repeat(" ", large), "# " + strings.Repeat("x", large),
		"pools: [{name: p, kind: engine, upstreams: [{name: u, address: '127.0.0.1:65536'}]}]",
		"pools: [{name: p, kind: engine, upstreams: [{name: u, address: '127.0.0.1:-1'}]}]",
		"pools: [{name: p, kind: engine, upstreams: [{name: u, address: '127.0.0.1:99999999999999999999'}]}]",
	}
}

// TestOddRecordsDoNotStopTheSettings guards against a daemon that ends, or follows the settings no more, because of an odd record
// or document in the log.
func TestOddRecordsDoNotStopTheSettings(t *testing.T) {
	s, cache := NewState(), NewCache()
	for i, text := range oddTexts() {
		if v := s.Apply(s.Offset()+1, time.UnixMilli(1), []byte(text)); v.Accepted() {
			t.Errorf("odd record %d was accepted", i)
		}
		odd := setChange(fmt.Sprintf("odd%d", i), s.Offset(), fmt.Sprintf("/odd%d", i), 0)
		odd.Edits[0].YAML = &text
		if data, err := odd.Encode(); err == nil {
			s.Apply(s.Offset()+1, time.UnixMilli(1), data)
		}
		path := fmt.Sprintf("/t%d", i)
		if v := applyChange(t, s, setChange(fmt.Sprintf("sound%d", i), s.Offset(), path, 0)); !v.Accepted() {
			t.Errorf("after odd text %d a sound change is %s", i, v.Outcome)
		}
		if snapshot, _ := cache.Compile(s.Documents("/")); snapshot.RoutingAt(path).IdleMs != 5 {
			t.Errorf("after odd text %d a sound document is not in force", i)
		}
	}
}

// TestNestingIsFoundWithinALine guards against a document whose brackets end on the line where they begin: it is
// nested deeper than the parser's stack and time allow.
func TestNestingIsFoundWithinALine(t *testing.T) {
	const levels = MaxNesting + 1
	for _, text := range []string{strings.Repeat("[", levels) + strings.Repeat("]", levels), strings.Repeat("{a: ", levels) + strings.Repeat("}", levels)} {
		if _, findings := ParseDocument("/x", []byte(text)); !strings.Contains(findings.Error(), "nested deeper than") {
			t.Errorf("%q: %v", text, findings)
		}
	}
}
