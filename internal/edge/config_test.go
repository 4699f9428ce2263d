package edge

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
)

const validFile = `
host: h1
domain: d1
region: r1
listen: {callers: "10.0.0.1:80", ready: "10.0.0.1:81", peers: "10.0.0.1:82", metrics: "10.0.0.1:83"}
peer_key: "0123456789012345678901234567890123456789"
seeds: ["10.0.0.2:82"]
store: "10.0.0.9:90"
retry: {ratio: 0.2, window_s: 10, slack: 104}
`

func TestValidFile(t *testing.T) {
	cfg, err := ParseConfig("f", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Retry.Slack != 104 || cfg.GraceS != defaultGraceS || cfg.Listen.Ready != "10.0.0.1:81" || cfg.Seeds[0] != "10.0.0.2:82" {
		t.Errorf("got %+v", cfg)
	}
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	bad := strings.NewReplacer("host: h1", "host: ''", "10.0.0.9:90", "store.example:90", "0123456789", "x", "slack: 104", "slack: -1").Replace(validFile)
	_, err := ParseConfig("f", []byte(bad))
	var found finding.List
	if !errors.As(err, &found) || len(found) != 4 {
		t.Errorf("got %v", err)
	}
}

func TestUnknownKeysAndInvalidYAMLAreRejected(t *testing.T) {
	for _, text := range []string{validFile + "hots: x\n", "host: [", "[]", "host: {a: b}"} {
		if _, err := ParseConfig("f", []byte(text)); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

func FuzzParseConfig(f *testing.F) {
	f.Add(validFile)
	f.Add("host: [")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = ParseConfig("f", []byte(text)) // must not panic
	})
}

// TestTemplateHasOnlyKnownKeys fills in the platform's template of the daemon file with values.
func TestTemplateHasOnlyKnownKeys(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "daemon.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	filled := strings.NewReplacer(
		"{{node}}", "h1", "{{zone}}", "d1", "{{region}}", "region-with-a-name",
		"{{listen.front}}", "10.0.0.1:80", "{{listen.ready}}", "10.0.0.1:81", "{{listen.control}}", "10.0.0.1:82",
		"{{ip}}:{{internal_ports.0}}", "10.0.0.1:83", "{{seeds|json}}", `["10.0.0.2:82"]`, "{{platform.address}}", "10.0.0.9:90",
		"{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4200", "{{bounds.config_apply_ms}}", "2000", "{{bounds.drain_ms}}", "2000", "{{limits.cpu_share}}", "0.4",
		"{{bounds.grace_s}}", "8.5", "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_window_s}}", "10",
		"{{bounds.retry_budget_slack}}", "104",
	).Replace(string(text))
	if strings.Contains(filled, "{{") {
		t.Fatalf("placeholders left:\n%s", filled)
	}
	if _, err := ParseConfig("daemon.yaml", []byte(filled)); err != nil {
		t.Error(err)
	}
}

func TestCPUSharesAreRankedInClasses(t *testing.T) {
	if shareClass("0.4") != shareClass("0.3") || shareClass("0.8") <= shareClass("0.192") || shareClass("x") != 0 || shareClass("") != 0 {
		t.Errorf("0.8 is %d, 0.4 %d, 0.3 %d, 0.192 %d", shareClass("0.8"), shareClass("0.4"), shareClass("0.3"), shareClass("0.192"))
	}
}

// TestPageNamesEveryKey checks that docs/CONFIG-edge.md documents exactly the keys of Config.
func TestPageNamesEveryKey(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "CONFIG-edge.md"))
	if err != nil {
		t.Fatal(err)
	}
	keys := keysOf(reflect.TypeFor[Config](), "")
	for _, key := range keys {
		if !strings.Contains(string(text), "| `"+key+"` |") {
			t.Errorf("docs/CONFIG-edge.md does not name %s", key)
		}
	}
	if rows := strings.Count(string(text), "\n| `"); rows != len(keys) {
		t.Errorf("docs/CONFIG-edge.md has %d keys, Config %d", rows, len(keys))
	}
}

// keysOf returns the full YAML keys of a configuration type.
func keysOf(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("yaml")
		if name == "-" {
			continue
		}
		if f.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(f.Type, prefix+name+".")...)
			continue
		}
		keys = append(keys, prefix+name)
	}
	return keys
}
