package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var testPaths = []string{"/", "/a", "/a/b", "/ab", "/c"}

// randomLog makes a log from random words, as concurrent operators could: changes checked
// against states of different age, repeated records and records that are not changes. It also
// returns the decoded changes, nil where there is none, and the state after the last record.
func randomLog(words []uint16) (log [][]byte, changes []*Change, last *State) {
	last = NewState()
	versions := []map[string]int64{{}}
	for i, w := range words {
		var data []byte
		switch {
		case w%8 == 0:
			data = fmt.Appendf(nil, "garbage %d", w)
		case w%8 == 1 && len(log) > 0:
			data = log[int(w>>3)%len(log)]
		default:
			seen := max(0, i-int(w>>6)%4)
			path := testPaths[int(w>>3)%len(testPaths)]
			c := Change{ID: fmt.Sprint("c", i), Author: "op", CheckedOffset: int64(seen)}
			c.Edits = []Edit{{Path: path, Base: versions[seen][path]}}
			if w>>8&3 > 0 {
				yaml := fmt.Sprintf("routing: {idle_ms: %d}", w+1)
				c.Edits[0].YAML = &yaml
			}
			data, _ = c.Encode()
		}
		c, _ := DecodeChange(data)
		log, changes = append(log, data), append(changes, c)
		last.Apply(int64(i+1), time.UnixMilli(int64(w)), data)
		versions = append(versions, versionsOf(last))
	}
	return log, changes, last
}

func versionsOf(s *State) map[string]int64 {
	versions := map[string]int64{}
	for _, d := range s.Documents(Root) {
		versions[d.Path] = d.Version
	}
	return versions
}

func export(s *State) []byte {
	data, err := s.Export()
	if err != nil {
		panic(err)
	}
	return data
}

func properties() *gopter.Properties {
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 300
	parameters.MaxSize = 60
	return gopter.NewProperties(parameters)
}

func TestReplayProperties(t *testing.T) {
	p := properties()
	words := gen.SliceOf(gen.UInt16())
	p.Property("any delivery of the same records gives the same state", prop.ForAll(sameStateForAnyDelivery, words, words))
	p.Property("a change is accepted exactly when no related change was accepted since its check", prop.ForAll(matchesIndependentRule, words))
	p.Property("a change is decoded as it was encoded, or is not encoded", prop.ForAll(changeRoundTrips, gen.AnyString(), gen.SliceOf(gen.UInt8())))
	p.Property("versions never decrease", prop.ForAll(versionsNeverDecrease, words))
	p.TestingRun(t)
}

// sameStateForAnyDelivery applies records out of order, repeatedly and across an export and
// import, as delivery says, and compares the state with that of records applied in order.
func sameStateForAnyDelivery(words, delivery []uint16) bool {
	log, _, want := randomLog(words)
	got := NewState()
	deliver := func(i int) {
		before := export(got)
		v := got.Apply(int64(i+1), time.UnixMilli(int64(words[i])), log[i])
		if v.Outcome == OutOfOrder && !bytes.Equal(before, export(got)) {
			panic("a record out of order changed the state")
		}
	}
	for _, d := range delivery {
		if len(log) == 0 {
			break
		}
		deliver(int(d) % len(log))
		if d%5 == 0 {
			joined, err := ImportState(export(got))
			if err != nil {
				return false
			}
			got = joined
		}
	}
	for i := range log {
		deliver(i)
	}
	return got.Digest() == want.Digest() && bytes.Equal(export(got), export(want))
}

// matchesIndependentRule compares the verdicts with an independent form of the rule: a change
// whose id is undecided is accepted unless, since its check, a change at its path, an ancestor
// or a descendant was accepted.
func matchesIndependentRule(words []uint16) bool {
	log, changes, _ := randomLog(words)
	s := NewState()
	decided := map[string]bool{}
	accepted := map[int64]string{}
	for i, c := range changes {
		offset := int64(i + 1)
		v := s.Apply(offset, time.UnixMilli(0), log[i])
		if c == nil || decided[c.ID] {
			if v.Accepted() {
				return false
			}
			continue
		}
		decided[c.ID] = true
		want := true
		for rival, path := range accepted {
			mine, other := strings.TrimSuffix(c.Edits[0].Path, "/")+"/", strings.TrimSuffix(path, "/")+"/"
			if rival > c.CheckedOffset && (strings.HasPrefix(mine, other) || strings.HasPrefix(other, mine)) {
				want = false
			}
		}
		if v.Accepted() != want {
			return false
		}
		if want {
			accepted[offset] = c.Edits[0].Path
		}
	}
	return true
}

func changeRoundTrips(author string, yaml []uint8) bool {
	text := string(yaml)
	c := &Change{ID: "id", Author: author, Edits: []Edit{{Path: "/", YAML: &text}}}
	data, err := c.Encode()
	if err != nil {
		return !utf8.ValidString(text) || !utf8.ValidString(author) || len(author) > maxAuthorBytes
	}
	decoded, err := DecodeChange(data)
	return err == nil && reflect.DeepEqual(decoded, c) && decoded.ContentHash() == c.ContentHash()
}

func versionsNeverDecrease(words []uint16) bool {
	log, _, _ := randomLog(words)
	s := NewState()
	newest := map[string]int64{}
	for i := range log {
		s.Apply(int64(i+1), time.UnixMilli(0), log[i])
		for path, version := range versionsOf(s) {
			if version < newest[path] || version > s.Offset() {
				return false
			}
			newest[path] = version
		}
	}
	return s.Offset() == int64(len(log))
}

func setChange(id string, seen int64, path string, base int64) *Change {
	yaml := "routing: {idle_ms: 5}"
	return &Change{ID: id, Author: "op", CheckedOffset: seen, Edits: []Edit{{Path: path, Base: base, YAML: &yaml}}}
}

func applyChange(t *testing.T, s *State, c *Change) Verdict {
	t.Helper()
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(s.Offset()+1, time.UnixMilli(1), data)
}

func TestReplayVerdicts(t *testing.T) {
	s := NewState()
	steps := []struct {
		change *Change
		want   Outcome
		reason string
	}{
		{setChange("a", 0, "/t", 0), Accepted, ""},
		{setChange("b", 0, "/t", 0), Conflict, "/t has version 1, the edit is based on 0"},
		{setChange("c", 0, "/t/x", 0), Overtaken, "the change at offset 1, at, above or below /t/x, came first"},
		{setChange("d", 0, "/", 0), Overtaken, "the change at offset 1, at, above or below /, came first"},
		{setChange("a", 4, "/u", 0), Repeated, "repeats the change at offset 1"},
		{setChange("e", 5, "/t/x", 0), Accepted, ""},
		{setChange("f", 7, "/v", 0), Stale, "checked against offset 7, too far from offset 7"},
	}
	for _, step := range steps {
		if v := applyChange(t, s, step.change); v.Outcome != step.want || v.Reason() != step.reason {
			t.Errorf("%s: %s, %q", step.change.ID, v.Outcome, v.Reason())
		}
	}
	if v, ok := s.FindVerdict("a"); !ok || v.Offset != 1 || !v.Accepted() {
		t.Errorf("found %+v, %v", v, ok)
	}
	offsets := []int64{}
	for _, v := range s.History("/t", 3) {
		offsets = append(offsets, v.Offset)
	}
	if !slices.Equal(offsets, []int64{6, 3, 2}) {
		t.Errorf("history %v", offsets)
	}
}

// TestDoubledAppendAfterTheWindow checks that a change that is appended again, however late,
// does not bring back the document that was deleted after the first append.
func TestDoubledAppendAfterTheWindow(t *testing.T) {
	for _, late := range []int{1, HistoryWindow - 2, HistoryWindow - 1, HistoryWindow, 3 * HistoryWindow} {
		s := NewState()
		create := setChange("create", 0, "/t", 0)
		applyChange(t, s, create)
		remove := &Change{ID: "remove", CheckedOffset: 1, Edits: []Edit{{Path: "/t", Base: 1}}}
		if v := applyChange(t, s, remove); !v.Accepted() {
			t.Fatal(v.Reason())
		}
		for i := range late {
			s.Apply(s.Offset()+1, time.UnixMilli(1), fmt.Append(nil, "garbage", i))
		}
		if v := applyChange(t, s, create); v.Accepted() || len(s.Documents("/")) > 0 {
			t.Errorf("repeated append after %d records: %s", late, v.Outcome)
		}
	}
}

// TestOvertakenAtTheEndOfTheWindow checks that a change is not accepted, however late it is
// appended, when a change of an ancestor was accepted after its check.
func TestOvertakenAtTheEndOfTheWindow(t *testing.T) {
	for _, late := range []int{0, HistoryWindow - 2, HistoryWindow - 1, HistoryWindow} {
		s := NewState()
		applyChange(t, s, setChange("rival", 0, "/t", 0))
		for i := range late {
			s.Apply(s.Offset()+1, time.UnixMilli(1), fmt.Append(nil, "garbage", i))
		}
		if v := applyChange(t, s, setChange("child", 0, "/t/x", 0)); v.Accepted() {
			t.Errorf("accepted %d records after the change of its ancestor", late)
		}
	}
}

func TestImportRefusesBrokenStates(t *testing.T) {
	for _, text := range []string{
		``, `{}`, `{"format":2}`, `{"format":1,"offset":-1}`,
		`{"format":1,"offset":1,"documents":[{"path":"x","version":1}]}`,
		`{"format":1,"offset":1,"documents":[{"path":"/x","version":2}]}`,
		`{"format":1,"offset":1,"documents":[{"path":"/x","version":1},{"path":"/x","version":1}]}`,
		`{"format":1,"offset":1,"history":[{"offset":2}]}`,
		`{"format":1,"offset":3,"history":[{"offset":2,"id":"a"},{"offset":1,"id":"b"}]}`,
		`{"format":1,"offset":3,"history":[{"offset":1,"id":"a"},{"offset":2,"id":"a"}]}`,
	} {
		if _, err := ImportState([]byte(text)); err == nil {
			t.Errorf("%s was imported", text)
		}
	}
}

func FuzzApply(f *testing.F) {
	data, _ := setChange("a", 0, "/t", 0).Encode()
	f.Add(data)
	f.Add([]byte(`{"format":1,"id":"b","seen":0,"edits":[{"path":"/","base":0}]}`))
	f.Add([]byte(`{"format":1,"id":"b","edits":[{"path":"/a","base":-1},{"path":"a"}]} x`))
	f.Fuzz(func(t *testing.T, record []byte) {
		s := NewState()
		v := s.Apply(1, time.UnixMilli(0), record)
		if s.Offset() != 1 || (v.Outcome == Undecodable) != (s.Undecodable() > 0) {
			t.Fatalf("verdict %+v", v)
		}
		joined, err := ImportState(export(s))
		if err != nil || !bytes.Equal(export(joined), export(s)) {
			t.Fatalf("export differs after import: %v", err)
		}
	})
}
