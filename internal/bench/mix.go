package bench

import (
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Mix describes a load: classes of requests, their customers and their arrival.
type Mix struct {
	Name             string     `yaml:"name"`
	Rate             float64    `yaml:"rate"` // mean arrivals a second
	Duration         Duration   `yaml:"duration"`
	Wake             *Wake      `yaml:"wake,omitempty"`     // some arrivals come at once
	ShortBelowTokens int        `yaml:"short_below_tokens"` // prompts below it are short
	Customers        []Customer `yaml:"customers"`
	Classes          []Class    `yaml:"classes"`
}

// Wake makes a share of the arrivals come within a time from the start.
type Wake struct {
	Share  float64  `yaml:"share"`
	Within Duration `yaml:"within"`
}

// Customer sends a share of the requests.
type Customer struct {
	Name   string  `yaml:"name"`
	Token  string  `yaml:"token"`
	Weight float64 `yaml:"weight"`
}

// Class is a kind of request. Model makes it a completion, Service a call of a
// plain service. Share gives it a part of the mix's rate, Count a fixed number of
// requests beside that rate.
type Class struct {
	Name          string             `yaml:"name"`
	Share         float64            `yaml:"share,omitempty"` // relative to the other classes
	Count         int                `yaml:"count,omitempty"`
	Model         string             `yaml:"model,omitempty"`
	Service       string             `yaml:"service,omitempty"`
	Operation     string             `yaml:"operation,omitempty"`
	Priority      string             `yaml:"priority,omitempty"`
	Deadline      Duration           `yaml:"deadline"`
	Keyed         bool               `yaml:"keyed,omitempty"`          // each request has an idempotency key
	NotRepeatable bool               `yaml:"not_repeatable,omitempty"` // each request runs at most once
	PromptTokens  LengthDistribution `yaml:"prompt_tokens,omitempty"`
	AnswerTokens  LengthDistribution `yaml:"answer_tokens,omitempty"`
	SharedPrefix  *SharedPrefix      `yaml:"shared_prefix,omitempty"`
	Customers     []string           `yaml:"customers,omitempty"` // empty: all
}

// LengthDistribution is a log-uniform distribution from Min to Max. A share of TailShare is
// drawn from Max to TailMax instead.
type LengthDistribution struct {
	Min       int     `yaml:"min"`
	Max       int     `yaml:"max"`
	TailShare float64 `yaml:"tail_share,omitempty"`
	TailMax   int     `yaml:"tail_max,omitempty"`
}

// SharedPrefix is text that the prompts of a class have in common.
type SharedPrefix struct {
	Tokens   int `yaml:"tokens"`
	Variants int `yaml:"variants"` // number of different prefixes
}

// Duration is a time.Duration written as in "90s".
type Duration time.Duration

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (d *Duration) UnmarshalYAML(data []byte) error {
	var s string
	if err := yaml.Unmarshal(data, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// LoadMix reads and checks a mix. The error of a bad one is a finding.List.
func LoadMix(file string) (*Mix, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Prepend(err, "read mix")
	}
	var m Mix
	if err := yaml.UnmarshalWithOptions(data, &m, yaml.Strict()); err != nil {
		var list finding.List
		list.Addf(finding.Place{File: file}, "%s", yaml.FormatError(err, false, false))
		return nil, list.Err()
	}
	return &m, m.check(file)
}

func (m *Mix) check(file string) error {
	var list finding.List
	bad := func(key, format string, args ...any) {
		list.Addf(finding.Place{File: file, Key: key}, format, args...)
	}
	if m.Name == "" {
		bad("name", "missing")
	}
	if m.Rate <= 0 {
		bad("rate", "must be above 0")
	}
	if m.Duration <= 0 {
		bad("duration", "must be above 0")
	}
	if m.Wake != nil && (m.Wake.Share <= 0 || m.Wake.Share > 1 || m.Wake.Within <= 0) {
		bad("wake", "needs a share in (0, 1] and a time above 0")
	}
	names := map[string]bool{}
	for i, c := range m.Customers {
		if c.Name == "" || c.Token == "" || c.Weight <= 0 {
			bad(fmt.Sprintf("customers[%d]", i), "needs name, token and a weight above 0")
		}
		names[c.Name] = true
	}
	if len(m.Customers) == 0 {
		bad("customers", "missing")
	}
	if len(m.Classes) == 0 {
		bad("classes", "missing")
	}
	if len(m.Classes) > 0 && m.totalShare() == 0 {
		bad("classes", "none has a share")
	}
	for i := range m.Classes {
		m.Classes[i].check(fmt.Sprintf("classes[%d]", i), names, bad)
	}
	return list.Err()
}

func (c *Class) check(key string, customers map[string]bool, bad func(key, format string, args ...any)) {
	if c.Name == "" || c.Deadline <= 0 {
		bad(key, "needs name and deadline")
	}
	if c.Share < 0 || c.Count < 0 || (c.Share == 0) == (c.Count == 0) {
		bad(key, "needs either a share or a count above 0")
	}
	if (c.Model == "") == (c.Service == "") {
		bad(key, "needs either model or service")
	}
	if c.Service != "" && c.Operation == "" {
		bad(key+".operation", "missing")
	}
	if _, ok := request.ParsePriority(c.Priority); c.Priority != "" && !ok {
		bad(key+".priority", "%q is none of urgent, normal, bulk", c.Priority)
	}
	for _, name := range c.Customers {
		if !customers[name] {
			bad(key+".customers", "no customer %q in the mix", name)
		}
	}
	if c.Model == "" {
		return
	}
	if !c.PromptTokens.valid() {
		bad(key+".prompt_tokens", "needs 1 <= min <= max, and with a tail_share a tail_max above max")
	}
	if !c.AnswerTokens.valid() {
		bad(key+".answer_tokens", "needs 1 <= min <= max, and with a tail_share a tail_max above max")
	}
	if c.SharedPrefix != nil && (c.SharedPrefix.Tokens < 1 || c.SharedPrefix.Variants < 1) {
		bad(key+".shared_prefix", "needs tokens and variants of at least 1")
	}
}

func (m *Mix) totalShare() float64 {
	total := 0.0
	for i := range m.Classes {
		total += m.Classes[i].Share
	}
	return total
}

func (l LengthDistribution) valid() bool {
	tail := l.TailShare == 0 || (l.TailShare > 0 && l.TailShare <= 1 && l.TailMax > l.Max)
	return l.Min >= 1 && l.Max >= l.Min && tail
}
