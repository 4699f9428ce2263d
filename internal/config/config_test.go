package config

import (
	"os"
	"strings"
	"testing"
)

const valid = `host: hal-a-1
domain: hal-a
region: be-central
listen: 127.0.0.1:8001
peer_listen: 127.0.0.1:9001
peer_key: 0123456789abcdef0123456789abcdef
platform:
  log: 127.0.0.1:7001
  hosts: 127.0.0.1:7002
  weights: 127.0.0.1:7003
seeds: [127.0.0.1:9002, 127.0.0.1:9003]
shutdown_timeout_seconds: 30
`

func TestParseValid(t *testing.T) {
	d, findings := Parse("daemon.yaml", []byte(valid))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	if d.Host != "hal-a-1" || d.Platform.Hosts != "127.0.0.1:7002" || len(d.Seeds) != 2 || d.Platform.LogRetention != DefaultLogRetention || d.ShutdownTimeout.Seconds() != 30 {
		t.Errorf("got %+v", d)
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	text := strings.NewReplacer(
		"region: be-central\n", "",
		"listen: 127.0.0.1:8001", "listen: entry.example:8001",
		"peer_key: 0123456789abcdef0123456789abcdef", "peer_key: short",
		"log: 127.0.0.1:7001", "log: 127.0.0.1:0",
		"127.0.0.1:9003]", "nowhere]",
		"seconds: 30", "seconds: soon",
	).Replace(valid) + "colour: blue\ntls:\n  cert: x\ntest_faults: perhaps\nlog_level: loud\nmax_connections: 0\noperator_token_sha256: abc\nmemory_mb: plenty\n"
	_, findings := Parse("daemon.yaml", []byte(text))
	got := findings.Error()
	for _, want := range []string{
		"daemon.yaml: region: missing",
		`daemon.yaml:3: listen: "entry.example:8001" is not IP:port`,
		"daemon.yaml:5: peer_key: shorter than 32 bytes",
		`daemon.yaml:7: platform.log: "127.0.0.1:0" is not IP:port`,
		`daemon.yaml:10: seeds[1]: "nowhere" is not IP:port`,
		`daemon.yaml:11: shutdown_timeout_seconds: "soon" is not a number of seconds`,
		"daemon.yaml:12: colour: unknown key",
		"daemon.yaml:13: tls: unknown key",
		"daemon.yaml:14: tls.cert: unknown key",
		"daemon.yaml:15: test_faults:",
		"daemon.yaml:16: log_level:",
		`daemon.yaml:17: max_connections: "0" is not a number above 0`,
		"daemon.yaml:18: operator_token_sha256: not a SHA-256",
		`daemon.yaml:19: memory_mb: "plenty" is not a number above 0`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("no finding %q in:\n%s", want, got)
		}
	}
	if strings.Contains(got, "short\"") {
		t.Errorf("the key is shown:\n%s", got)
	}
}

func TestParseContradiction(t *testing.T) {
	text := strings.Replace(valid, "127.0.0.1:9001", "127.0.0.1:8001", 1)
	_, findings := Parse("daemon.yaml", []byte(text))
	if len(findings) != 1 || findings[0].Message != "the same as listen" {
		t.Errorf("got %v", findings)
	}
}

func TestLogRetention(t *testing.T) {
	for value, want := range map[string]string{
		"1260": "",
		"1259": "daemon.yaml:11: platform.log_retention_seconds: 1259: claims of idempotency keys need a log that keeps records for at least 1260 seconds",
		"0":    "daemon.yaml:11: platform.log_retention_seconds: 0: claims of idempotency keys need a log that keeps records for at least 1260 seconds",
		"long": `daemon.yaml:11: platform.log_retention_seconds: "long" is not a number of seconds`,
	} {
		text := strings.Replace(valid, "7003\n", "7003\n  log_retention_seconds: "+value+"\n", 1)
		d, findings := Parse("daemon.yaml", []byte(text))
		if got := findings.Error(); got != want || want == "" && d.Platform.LogRetention.Seconds() != 1260 {
			t.Errorf("%s: got %q, retention %v", value, got, d.Platform.LogRetention)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("platform: [1, 2]\nhost: {a: b}\n"))
	f.Add([]byte("- x\n- y"))
	f.Add([]byte("host: &a [*a]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, findings := Parse("f", text)
		if d == nil {
			t.Fatal("no daemon")
		}
		if len(findings) == 0 && d.Host == "" {
			t.Error("accepted without a host")
		}
	})
}

// TestPageNamesEveryKey checks that docs/CONFIG.md has exactly the keys of the parser.
func TestPageNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONFIG.md")
	if err != nil {
		t.Fatal(err)
	}
	p := &parser{file: "f", fields: map[string]field{}}
	p.daemon()
	for _, key := range p.knownKeys {
		if !strings.Contains(string(page), "| `"+key+"` |") {
			t.Errorf("docs/CONFIG.md does not name %s", key)
		}
	}
	rows := strings.Count(string(page), "\n| `")
	if rows != len(p.knownKeys) {
		t.Errorf("docs/CONFIG.md has %d keys, the parser %d", rows, len(p.knownKeys))
	}
}
