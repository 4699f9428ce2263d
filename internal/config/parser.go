package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/claims"
	"github.com/buckthorndock/buckthorndock/internal/core/finding"
)

// field is one key of the file with its line and its value.
type field struct {
	line  int
	value string
	list  []string
	kind  fieldKind
	taken bool // the parser knows the key
}

type fieldKind uint8

const (
	scalar fieldKind = iota
	sequence
	mapping
)

// parser collects the fields of a file and the findings about them.
type parser struct {
	file      string
	fields    map[string]field
	knownKeys []string // keys that the parser has looked up
	findings  finding.List
}

func (p *parser) addf(line int, key, format string, args ...any) {
	p.findings.Addf(finding.Place{File: p.file, Line: line, Key: key}, format, args...)
}

// flatten parses the file and fills fields, whose keys are dotted paths.
func (p *parser) flatten(text []byte) {
	f, err := yamlparser.ParseBytes(text, 0)
	if err != nil {
		p.addf(0, "", "not YAML: %s", firstLine(err.Error()))
		return
	}
	if len(f.Docs) == 0 || f.Docs[0].Body == nil {
		p.addf(1, "", "the file is empty")
		return
	}
	p.collect("", f.Docs[0].Body)
}

// collect adds the entries of a mapping to fields.
func (p *parser) collect(prefix string, n ast.Node) {
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			p.collectEntry(prefix, v)
		}
	case *ast.MappingValueNode:
		p.collectEntry(prefix, n)
	default:
		p.addf(n.GetToken().Position.Line, prefix, "expected keys and values")
	}
}

func (p *parser) collectEntry(prefix string, v *ast.MappingValueNode) {
	name := v.Key.GetToken().Value
	key := name
	if prefix != "" {
		key = prefix + "." + name
	}
	line := v.Key.GetToken().Position.Line
	if _, duplicate := p.fields[key]; duplicate {
		p.addf(line, key, "duplicate key")
		return
	}
	switch value := v.Value.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		p.fields[key] = field{line: line, kind: mapping, taken: true}
		p.collect(key, value)
	case *ast.SequenceNode:
		f := field{line: line, kind: sequence}
		for _, item := range value.Values {
			f.list = append(f.list, item.GetToken().Value)
		}
		p.fields[key] = f
	case *ast.NullNode:
		p.fields[key] = field{line: line}
	default:
		p.fields[key] = field{line: line, value: value.GetToken().Value}
	}
}

// take returns a scalar field and marks the key as known.
func (p *parser) take(key string) (field, bool) {
	p.knownKeys = append(p.knownKeys, key)
	f, ok := p.fields[key]
	if !ok {
		return field{}, false
	}
	f.taken = true
	p.fields[key] = f
	if f.kind != scalar {
		p.addf(f.line, key, "expected a single value")
		return field{}, false
	}
	return f, true
}

// required returns a scalar field. A missing or empty one is a finding.
func (p *parser) required(key string) (field, bool) {
	if _, found := p.fields[key]; !found {
		p.knownKeys = append(p.knownKeys, key)
		p.addf(0, key, "missing")
		return field{}, false
	}
	f, ok := p.take(key)
	if ok && f.value == "" {
		p.addf(f.line, key, "empty")
		return field{}, false
	}
	return f, ok
}

func (p *parser) name(key string) string {
	f, _ := p.required(key)
	if strings.ContainsAny(f.value, " \t/=\"") {
		p.addf(f.line, key, "%q: blanks, slashes, quotes and = are not allowed in a name", f.value)
	}
	return f.value
}

func (p *parser) address(key string) string {
	f, ok := p.required(key)
	if !ok {
		return ""
	}
	p.checkAddress(f.line, key, f.value)
	return f.value
}

func (p *parser) checkAddress(line int, key, value string) {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		p.addf(line, key, "%q is not IP:port", value)
	}
}

func (p *parser) addresses(key string) []string {
	p.knownKeys = append(p.knownKeys, key)
	f, ok := p.fields[key]
	if !ok {
		return nil
	}
	f.taken = true
	p.fields[key] = f
	if f.kind != sequence {
		p.addf(f.line, key, "expected a list of IP:port")
		return nil
	}
	for i, a := range f.list {
		p.checkAddress(f.line, key+"["+strconv.Itoa(i)+"]", a)
	}
	return f.list
}

func (p *parser) boolean(key string) bool {
	f, ok := p.take(key)
	if !ok {
		return false
	}
	b, err := strconv.ParseBool(f.value)
	if err != nil {
		p.addf(f.line, key, "%q is neither true nor false", f.value)
	}
	return b
}

func (p *parser) seconds(key string) time.Duration {
	f, ok := p.take(key)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(f.value)
	if err != nil || n < 0 {
		p.addf(f.line, key, "%q is not a number of seconds", f.value)
		return 0
	}
	return time.Duration(n) * time.Second
}

// logRetention returns the retention of the log. One that drops claims while they
// still protect an idempotency key is a finding; the daemon leaves the times of the
// claims at their defaults.
func (p *parser) logRetention(key string) time.Duration {
	f, found := p.fields[key]
	before := len(p.findings)
	d := p.seconds(key)
	if !found {
		return DefaultLogRetention
	}
	minRetention := claims.Options{}.MinRetention()
	if d < minRetention && len(p.findings) == before {
		p.addf(f.line, key, "%d: claims of idempotency keys need a log that keeps records for at least %d seconds",
			int(d.Seconds()), int(minRetention.Seconds()))
	}
	return d
}

// positiveCount returns a number of at least 1, or defaultValue for a missing key.
func (p *parser) positiveCount(key string, defaultValue int) int {
	f, ok := p.take(key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(f.value)
	if err != nil || n < 1 {
		p.addf(f.line, key, "%q is not a number above 0", f.value)
	}
	return n
}

func (p *parser) logLevel(key string) string {
	f, ok := p.take(key)
	if !ok {
		return ""
	}
	if _, err := logrus.ParseLevel(f.value); err != nil {
		p.addf(f.line, key, "%q is not a log level", f.value)
	}
	return f.value
}

func (p *parser) tokenHash(key string) string {
	f, ok := p.take(key)
	if !ok {
		return ""
	}
	b, err := hex.DecodeString(f.value)
	if err != nil || len(b) != sha256.Size {
		p.addf(f.line, key, "not a SHA-256 in hex")
	}
	return f.value
}

func (p *parser) peerKey(key string) string {
	f, ok := p.required(key)
	if ok && len(f.value) < MinPeerKeyLen {
		p.addf(f.line, key, "shorter than %d bytes", MinPeerKeyLen)
	}
	return f.value
}

// daemon reads every known key.
func (p *parser) daemon() *Daemon {
	d := &Daemon{
		Host:       p.name("host"),
		Domain:     p.name("domain"),
		Region:     p.name("region"),
		Listen:     p.address("listen"),
		PeerListen: p.address("peer_listen"),
		PeerKey:    p.peerKey("peer_key"),
		Seeds:      p.addresses("seeds"),
		Platform: Platform{
			Log:     p.address("platform.log"),
			Hosts:   p.address("platform.hosts"),
			Weights: p.address("platform.weights"),

			LogRetention: p.logRetention("platform.log_retention_seconds"),
		},
		LogLevel:            p.logLevel("log_level"),
		OperatorTokenSHA256: p.tokenHash("operator_token_sha256"),
		ShutdownTimeout:     p.seconds("shutdown_timeout_seconds"),
		MaxConnections:      p.positiveCount("max_connections", DefaultMaxConnections),
		MemoryMB:            p.positiveCount("memory_mb", DefaultMemoryMB),
		TestFaults:          p.boolean("test_faults"),
	}
	if d.Listen != "" && d.Listen == d.PeerListen {
		p.addf(p.fields["peer_listen"].line, "peer_listen", "the same as listen")
	}
	return d
}

// reportUnknownKeys adds a finding for each key that daemon has not read.
func (p *parser) reportUnknownKeys() {
	for key, f := range p.fields {
		switch {
		case f.kind == mapping && key != "platform":
			p.addf(f.line, key, "unknown key")
		case f.kind != mapping && !f.taken:
			p.addf(f.line, key, "unknown key")
		}
	}
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}
