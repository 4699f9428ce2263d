package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// tokenHash is the SHA-256 of "secret".
const tokenHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

func compile(t testing.TB, texts ...string) (*Snapshot, string) {
	t.Helper()
	var sources []Source
	for i := 0; i < len(texts); i += 2 {
		doc := mustParse(t, texts[i], texts[i+1])
		sources = append(sources, Source{Path: texts[i], Version: int64(i + 1), Document: doc})
	}
	snapshot, findings := Compile(sources)
	return snapshot, findings.Error()
}

const teamDocument = `
limits: {requests_in_flight: 10}
routing: {spill: never}
customers:
  - {name: shop, token_sha256: [` + tokenHash + `], weight: 3, limits: {tokens_per_second: 5}}
pools:
  - {name: eng, kind: engine, upstreams: [{name: e1, address: "10.0.0.1:80", domain: d, state: leaving}]}
  - {name: web, kind: service, upstreams: [{name: s1, address: "10.0.0.2:80", domain: d}]}
models:
  - {name: chat, pool: eng}
  - {name: kept, pool: eng, customers: [shop2]}
services: [{name: basket, pool: web, operations: [{name: confirm, repeatable: false, priority: urgent}]}]
`

func TestCompileInheritsDownTheTree(t *testing.T) {
	s, findings := compile(t,
		"/team", teamDocument,
		"/", "limits: {requests_in_flight: 100}\nrequests: {deadline_ms: 9000, priority: bulk}\nrouting: {spill: dead, idle_ms: 700}",
		"/team/sub/deep", "customers: [{name: shop2, token_sha256: ["+testHash+"]}]")
	if findings != "" {
		t.Fatal(findings)
	}
	c, ok := s.CustomerByToken("secret")
	if !ok || c.Name != "shop" || c.Path != "/team" || c.Weight != 3 {
		t.Fatalf("customer %+v", c)
	}
	if c.Routing.Spill != SpillNever || c.Routing.IdleMs != 700 || c.Routing.Policy != DefaultPolicy {
		t.Errorf("routing %+v", c.Routing)
	}
	if c.Requests.DeadlineMs != 9000 || c.Requests.DefaultPriority() != request.Bulk || c.Requests.MaxTokens != DefaultMaxTokens {
		t.Errorf("requests %+v", c.Requests)
	}
	want := "[{/ {100 0 0}} {/team {10 0 0}} {customer:shop {0 0 5}}]"
	if got := fmt.Sprint(c.Limits); got != want {
		t.Errorf("limits %s, want %s", got, want)
	}
	deep := s.Customer("shop2")
	if deep.Routing.Spill != SpillNever || len(deep.Limits) != 2 || deep.Weight != DefaultWeight {
		t.Errorf("deep customer %+v", deep)
	}
	if u := s.Upstream("e1"); !u.Leaving || u.Pool != s.Pool("eng") || len(s.Upstreams()) != 2 {
		t.Errorf("upstream %+v", u)
	}
	if _, ok := s.CustomerByToken("Secret"); ok {
		t.Error("a wrong token was taken")
	}
}

func TestVisibility(t *testing.T) {
	s, findings := compile(t,
		"/team", teamDocument,
		"/team/sub", "customers: [{name: shop2, token_sha256: ["+testHash+"]}]",
		"/other", "customers: [{name: stranger, token_sha256: ["+strings.Repeat("cd", 32)+"]}]")
	if findings != "" {
		t.Fatal(findings)
	}
	cases := []struct{ customer, model, operation, want string }{
		{"shop", "chat", "", ""},
		{"shop2", "kept", "", ""},
		{"shop", "kept", "", "forbidden"},
		{"stranger", "chat", "", "unknown_target"},
		{"shop", "none", "", "unknown_target"},
		{"shop2", "basket", "confirm", ""},
		{"shop", "basket", "refund", "unknown_target"},
		{"stranger", "basket", "confirm", "unknown_target"},
	}
	for _, c := range cases {
		var err error
		if c.operation == "" {
			_, err = s.Model(s.Customer(c.customer), c.model)
		} else {
			_, err = s.Operation(s.Customer(c.customer), c.model, c.operation)
		}
		var refusal *request.Refusal
		errors.As(err, &refusal)
		if (err == nil) != (c.want == "") || err != nil && string(refusal.Code) != c.want {
			t.Errorf("%+v: %v", c, err)
		}
	}
	if models := s.Models(s.Customer("shop")); len(models) != 1 || models[0].Name != "chat" {
		t.Errorf("models of shop: %v", models)
	}
}

func TestCompileReportsAndLeavesOutTheLaterDuplicate(t *testing.T) {
	s, findings := compile(t,
		"/team", teamDocument,
		"/aaa", teamDocument+"requests: {deadline_ms: 5000, max_deadline_ms: 10}\n")
	if c := s.Customer("shop"); c.Path != "/team" {
		t.Errorf("customer is taken over by %s", c.Path)
	}
	for _, want := range []string{
		`customers[0].name: customer "shop" exists already at /team`,
		`pools[0].name: pool "eng" exists already`,
		`models[0].name: model "chat" exists already`,
		`services[0].name: service "basket" exists already`,
		"deadline_ms 5000 is above max_deadline_ms 10",
		`no customer "shop2"`,
	} {
		if !strings.Contains(findings, want) {
			t.Errorf("no finding %q in\n%s", want, findings)
		}
	}
}

func TestCompileChecksAcrossDocuments(t *testing.T) {
	s, findings := compile(t,
		"/team", teamDocument,
		"/x", `models: [{name: m1, pool: eng}, {name: m2, pool: none}]
operators: [{name: op, token_sha256: [`+tokenHash+`]}]
pools: [{name: p2, kind: engine, upstreams: [{name: e1, address: "10.0.0.9:80", domain: d}, {name: e9, address: "10.0.0.1:80", domain: d}]}]`,
		"/team/y", "models: [{name: m3, pool: web}]")
	for _, want := range []string{
		`/x:1: models[0].pool: pool "eng" of /team is not on the way to the root`,
		`/x:1: models[1].pool: no pool "none"`,
		"/x:2: operators[0].token_sha256[0]: customer shop has the same token",
		`/x:3: pools[0].upstreams[0].name: upstream "e1" exists already in pool "eng"`,
		`/x:3: pools[0].upstreams[1].address: upstream "e1" has the same address`,
		`/team/y:1: models[0].pool: pool "web" is of kind service, not engine`,
	} {
		if !strings.Contains(findings, want) {
			t.Errorf("no finding %q in\n%s", want, findings)
		}
	}
	if _, ok := s.OperatorByToken("secret"); ok {
		t.Error("an operator holds a customer's token")
	}
}
