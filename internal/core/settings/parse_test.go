package settings

import (
	"os"
	"strings"
	"testing"
)

var testHash = strings.Repeat("ab", tokenHashBytes)

func TestParseDocumentReportsAllFaultsTogether(t *testing.T) {
	text := `limits:
  requests_in_flight: -1
  prompt_tokens_in_flight: many
routing:
  policy: magic
  idle_ms: 0
  retry_budget: 1.5
  colour: red
customers:
  - name: shop one
    token_sha256: [12ab]
pools:
  - name: eng
    kind: rocket
    upstreams:
      - {name: e1, address: "host:80", domain: hal-a}
      - {name: [e2], address: "10.0.0.1", domain: hal-a, state: gone}
services:
requests: 7
`
	want := []string{
		"/a:2: limits.requests_in_flight: must not be negative",
		"/a:3: limits.prompt_tokens_in_flight: must be a whole number",
		`/a:5: routing.policy: "magic" is not one of random, least-loaded, least-loaded+priority, length-aware`,
		"/a:6: routing.idle_ms: must be above 0; leave it out to inherit",
		"/a:7: routing.retry_budget: must be above 0 and at most 1",
		"/a:8: routing.colour: unknown key",
		`/a:10: customers[0].name: "shop one" may hold only letters, digits and ._-`,
		"/a:11: customers[0].token_sha256[0]: is not the 64 hex digits of a SHA-256 hash",
		`/a:14: pools[0].kind: "rocket" is not one of engine, service`,
		`/a:16: pools[0].upstreams[0].address: "host:80" is not IP:port`,
		`/a:17: pools[0].upstreams[1].address: "10.0.0.1" is not IP:port`,
		"/a:17: pools[0].upstreams[1].name: must be a text",
		`/a:17: pools[0].upstreams[1].state: "gone" is not one of leaving`,
		"/a:18: services: has no value; leave the key out",
		"/a:19: requests: must be a mapping of keys to values",
	}
	doc, findings := ParseDocument("/a", []byte(text))
	if doc != nil {
		t.Error("a document with faults was returned")
	}
	if got := findings.Error(); got != strings.Join(want, "\n") {
		t.Errorf("findings:\n%s\nwant:\n%s", got, strings.Join(want, "\n"))
	}
}

func TestParseDocumentRefusesTextThatIsNoDocument(t *testing.T) {
	cases := map[string]string{
		"syntax":        "limits: {",
		"twice":         "limits: {requests_in_flight: 1}\nlimits: {requests_in_flight: 2}",
		"two documents": "limits: {requests_in_flight: 1}\n---\nlimits: {requests_in_flight: 1}",
		"list":          "- a",
		"alias":         "limits: &x {requests_in_flight: 1}\nrouting: *x",
		"brackets":      strings.Repeat("[", 10_000),
		"dashes":        strings.Repeat("- ", 10_000),
		"size":          strings.Repeat("#", MaxDocumentBytes+1),
		"huge number":   "limits: {requests_in_flight: 99999999999999999999}",
	}
	for name, text := range cases {
		if _, findings := ParseDocument("/a", []byte(text)); len(findings) == 0 {
			t.Errorf("%s: no finding", name)
		}
	}
	if _, findings := ParseDocument("/A b", nil); len(findings) != 1 {
		t.Errorf("bad path: findings %v", findings)
	}
}

func TestParseDocumentAcceptsValidText(t *testing.T) {
	doc := mustParse(t, "/a", `# a comment
models: [{name: org/m:1, pool: eng, version: 1.10, adapters: [x], bytes_per_token: 3.5, urgent: true}]
pools:
  - {name: eng, kind: engine, checks_fencing: true, upstreams: [{name: e1, address: "[::1]:80", domain: d}]}
`)
	m := doc.Models[0]
	if m.Name != "org/m:1" || m.Version != "1.10" || m.BytesPerToken != 3.5 || !m.Urgent || m.Adapters[0] != "x" {
		t.Errorf("model %+v", m)
	}
	if u := doc.Pools[0].Upstreams[0]; u.Address != "[::1]:80" || !doc.Pools[0].ChecksFencing {
		t.Errorf("pool %+v", doc.Pools[0])
	}
	for _, empty := range []string{"", "# only a comment\n"} {
		mustParse(t, "/", empty)
	}
}

func mustParse(t testing.TB, path, text string) *Document {
	t.Helper()
	doc, findings := ParseDocument(path, []byte(text))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	return doc
}

func FuzzParseDocument(f *testing.F) {
	for _, file := range []string{"schema.go", "doc.go"} {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte("limits: {requests_in_flight: 1}\ncustomers:\n  - name: a\n    token_sha256: [" + testHash + "]\n"))
	f.Add([]byte("a: &x [*x, !!binary 1, <<: *x, ? y]\n--- |\n >"))
	f.Add([]byte("pools: [{name: 1e3, kind: engine, upstreams: [~, {}, 0x1]}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, findings := ParseDocument("/a", text)
		if (doc == nil) != (len(findings) > 0) {
			t.Fatalf("document %v with findings %v", doc, findings)
		}
		if doc != nil {
			Compile([]Source{{Path: "/a", Version: 1, Document: doc}})
		}
	})
}
