package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// StateLeaving is the state of an upstream that is to get no new work.
const StateLeaving = "leaving"

const tokenHashBytes = 32

// checker collects the findings on one decoded document that do not depend on other documents.
type checker struct {
	file     string
	lines    map[string]int
	findings *finding.List
}

func checkDocument(path string, doc *Document, findings *finding.List) {
	c := &checker{file: path, lines: doc.lines, findings: findings}
	if !ValidPath(path) {
		c.addf("", "invalid settings path %q", path)
	}
	c.limits("limits", doc.Limits)
	c.routing(doc.Routing)
	c.requests(doc.Requests)
	c.operators(doc.Operators)
	c.customers(doc.Customers)
	c.pools(doc.Pools)
	c.models(doc.Models)
	c.services(doc.Services)
	if c.present("evacuate") && path != EvacuationPath(doc.Evacuate) {
		c.addf("evacuate", "is allowed only in the document at %s", EvacuationPath(doc.Evacuate))
	}
}

// addf adds a finding unless the key has one already, so that a value of the wrong type is
// not also reported as missing.
func (c *checker) addf(key, format string, args ...any) {
	for _, f := range *c.findings {
		if f.Place.Key == key {
			return
		}
	}
	place := finding.Place{File: c.file, Line: lineFor(c.lines, key), Key: key}
	c.findings.Addf(place, format, args...)
}

// lineFor returns the line of a key or of its nearest parent that has one, else 0.
func lineFor(lines map[string]int, key string) int {
	for key != "" {
		if line := lines[key]; line > 0 {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 0
}

func (c *checker) present(key string) bool {
	return c.lines[key] > 0
}

// positive checks a number that is inherited when the key is absent: a key that is present
// must have a value above 0.
func (c *checker) positive(key string, v, maxValue int) {
	if !c.present(key) {
		return
	}
	if v <= 0 {
		c.addf(key, "must be above 0; leave it out to inherit")
	}
	if v > maxValue {
		c.addf(key, "must be at most %d", maxValue)
	}
}

func (c *checker) notNegative(key string, v int) {
	if v < 0 {
		c.addf(key, "must not be negative")
	}
	if v > MaxCount {
		c.addf(key, "must be at most %d", int64(MaxCount))
	}
}

func (c *checker) oneOf(key, v string, allowed ...string) {
	if c.present(key) && !slices.Contains(allowed, v) {
		c.addf(key, "%q is not one of %s", v, strings.Join(allowed, ", "))
	}
}

func (c *checker) priority(key, v string) {
	c.oneOf(key, v, request.Urgent.String(), request.Normal.String(), request.Bulk.String())
}

// name checks a name that is used in logs, headers and URLs. extra holds further allowed
// characters.
func (c *checker) name(key, v, extra string) {
	if v == "" {
		c.addf(key, "is missing")
		return
	}
	if len(v) > MaxNameLength {
		c.addf(key, "is longer than %d bytes", MaxNameLength)
		return
	}
	for _, r := range v {
		if !isNameRune(r) && !strings.ContainsRune(extra, r) {
			c.addf(key, "%q may hold only letters, digits and ._-%s", v, extra)
			return
		}
	}
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._-", r)
}

func (c *checker) limits(key string, l *Limits) {
	if l == nil {
		return
	}
	c.notNegative(key+".requests_in_flight", l.RequestsInFlight)
	c.notNegative(key+".prompt_tokens_in_flight", l.PromptTokensInFlight)
	c.notNegative(key+".tokens_per_second", l.TokensPerSecond)
}

func (c *checker) routing(r *Routing) {
	if r == nil {
		return
	}
	c.oneOf("routing.policy", r.Policy, PolicyRandom, PolicyLeastLoaded, PolicyLeastLoadedPriority, PolicyLengthAware)
	c.oneOf("routing.spill", r.Spill, SpillNever, SpillDead, SpillOverload)
	c.positive("routing.long_from_tokens", r.LongFromTokens, MaxCount)
	c.positive("routing.queue_tokens", r.QueueTokens, MaxCount)
	c.positive("routing.queue_requests", r.QueueRequests, MaxCount)
	c.positive("routing.idle_ms", r.IdleMs, MaxDurationMs)
	c.positive("routing.quarantine_crashes", r.QuarantineCrashes, MaxCount)
	c.positive("routing.quarantine_seconds", r.QuarantineS, MaxDurationS)
	if c.present("routing.retry_budget") && (r.RetryBudget <= 0 || r.RetryBudget > 1) {
		c.addf("routing.retry_budget", "must be above 0 and at most 1")
	}
}

func (c *checker) requests(r *Requests) {
	if r == nil {
		return
	}
	c.positive("requests.deadline_ms", r.DeadlineMs, MaxDurationMs)
	c.positive("requests.max_deadline_ms", r.MaxDeadlineMs, MaxDurationMs)
	c.positive("requests.max_tokens", r.MaxTokens, MaxCount)
	c.positive("requests.max_body_bytes", r.MaxBodyBytes, MaxCount)
	c.priority("requests.priority", r.Priority)
	c.priority("requests.highest_priority", r.HighestPriority)
}

func (c *checker) operators(list []Operator) {
	for i, o := range list {
		key := fmt.Sprintf("operators[%d]", i)
		c.name(key+".name", o.Name, "")
		c.hashes(key+".token_sha256", o.TokenSHA256)
	}
}

func (c *checker) customers(list []Customer) {
	for i, u := range list {
		key := fmt.Sprintf("customers[%d]", i)
		c.name(key+".name", u.Name, "")
		c.hashes(key+".token_sha256", u.TokenSHA256)
		c.positive(key+".weight", u.Weight, MaxWeight)
		c.limits(key+".limits", u.Limits)
	}
}

func (c *checker) hashes(key string, hashes []string) {
	if len(hashes) == 0 {
		c.addf(key, "is missing")
	}
	for i, h := range hashes {
		if _, ok := decodeHash(h); !ok {
			c.addf(fmt.Sprintf("%s[%d]", key, i), "is not the %d hex digits of a SHA-256 hash", 2*tokenHashBytes)
		}
	}
}

func decodeHash(s string) (hash [tokenHashBytes]byte, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != tokenHashBytes {
		return hash, false
	}
	copy(hash[:], b)
	return hash, true
}

func (c *checker) pools(list []Pool) {
	for i, p := range list {
		key := fmt.Sprintf("pools[%d]", i)
		c.name(key+".name", p.Name, "")
		c.required(key+".kind", p.Kind)
		c.oneOf(key+".kind", p.Kind, PoolEngine, PoolService)
		c.positive(key+".longest_order_ms", p.MaxOrderMs, MaxDurationMs)
		for j, u := range p.Upstreams {
			c.upstream(fmt.Sprintf("%s.upstreams[%d]", key, j), u)
		}
	}
}

func (c *checker) required(key, v string) {
	if v == "" && !c.present(key) {
		c.addf(key, "is missing")
	}
}

func (c *checker) upstream(key string, u Upstream) {
	c.name(key+".name", u.Name, "")
	c.name(key+".domain", u.Domain, "")
	c.oneOf(key+".state", u.State, StateLeaving)
	if u.Address == "" {
		c.addf(key+".address", "is missing")
		return
	}
	address, err := netip.ParseAddrPort(u.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.addf(key+".address", "%q is not IP:port", u.Address)
	}
}

// modelNameExtra holds the characters that are allowed in the names of models and adapters
// only.
const modelNameExtra = "/:"

func (c *checker) models(list []Model) {
	for i, m := range list {
		key := fmt.Sprintf("models[%d]", i)
		c.name(key+".name", m.Name, modelNameExtra)
		c.name(key+".pool", m.Pool, "")
		for j, a := range m.Adapters {
			c.name(fmt.Sprintf("%s.adapters[%d]", key, j), a, modelNameExtra)
		}
		if c.present(key+".bytes_per_token") && (m.BytesPerToken < 0.1 || m.BytesPerToken > 100) {
			c.addf(key+".bytes_per_token", "must be between 0.1 and 100")
		}
	}
}

func (c *checker) services(list []Service) {
	for i, s := range list {
		key := fmt.Sprintf("services[%d]", i)
		c.name(key+".name", s.Name, "")
		c.name(key+".pool", s.Pool, "")
		if len(s.Operations) == 0 {
			c.addf(key+".operations", "is missing")
		}
		c.operations(key, s.Operations)
	}
}

func (c *checker) operations(parent string, list []Operation) {
	seen := map[string]bool{}
	for j, o := range list {
		key := fmt.Sprintf("%s.operations[%d]", parent, j)
		c.name(key+".name", o.Name, "")
		c.priority(key+".priority", o.Priority)
		c.positive(key+".deadline_ms", o.DeadlineMs, MaxDurationMs)
		if seen[o.Name] {
			c.addf(key+".name", "%q is listed twice", o.Name)
		}
		seen[o.Name] = true
	}
}
