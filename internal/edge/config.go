package edge

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
)

// Config is the checked daemon file. Durations are in milliseconds, as in the file.
type Config struct {
	Host   string `yaml:"host"`   // name of this host, unique in the site
	Domain string `yaml:"domain"` // failure domain
	Region string `yaml:"region"`
	// Incarnation rises with each start; it is not in the file.
	Incarnation uint64 `yaml:"-"`
	// File is the path that it was read from.
	File string `yaml:"-"`

	Listen struct {
		Callers string `yaml:"callers"` // IP:port
		Ready   string `yaml:"ready"`   // IP:port of the balancer's question
		Peers   string `yaml:"peers"`   // IP:port for other daemons
		Metrics string `yaml:"metrics"` // IP:port of the metrics page
	} `yaml:"listen"`
	PeerKey string   `yaml:"peer_key"` // shared by all daemons of the site
	Seeds   []string `yaml:"seeds"`    // IP:port of peers to ask first
	Store   string   `yaml:"store"`    // IP:port of the platform's store

	LogLevel string `yaml:"log_level"`
	MemoryMB int    `yaml:"memory_mb"` // that the process may use
	// CPUShare is the part of a core that the process may use. Tasks for all daemons
	// go to those with more.
	CPUShare float64 `yaml:"cpu_share"`

	// DrainMs is how long after an upstream has said that it leaves it may still get
	// requests.
	DrainMs int `yaml:"drain_ms"`
	// GraceMs is the time between SIGTERM and the end of the process.
	GraceMs int `yaml:"grace_ms"`
	Retry   struct {
		Ratio    float64 `yaml:"ratio"` // repeats as a share of a service's requests
		WindowMs int     `yaml:"window_ms"`
		Slack    int     `yaml:"slack"` // repeats a window besides, of all daemons
	} `yaml:"retry"`
}

// Defaults of the daemon file.
const (
	defaultDrainMs  = 2000
	defaultGraceMs  = 8000
	defaultMemoryMB = 256
	defaultCPUShare = 1
	defaultRatio    = 0.2
	defaultWindowMs = 10_000
	minPeerKey      = 32 // bytes: whoever connects may try to guess it
)

// LoadConfig reads and checks a daemon file. The error is a finding.List with every
// fault, or that of reading the file.
func LoadConfig(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ParseConfig(file, text)
}

// ParseConfig checks the text of a daemon file.
func ParseConfig(file string, text []byte) (*Config, error) {
	cfg := &Config{
		File:     file,
		DrainMs:  defaultDrainMs,
		GraceMs:  defaultGraceMs,
		MemoryMB: defaultMemoryMB,
		CPUShare: defaultCPUShare,
	}
	cfg.Retry.Ratio, cfg.Retry.WindowMs = defaultRatio, defaultWindowMs
	var found finding.List
	if err := yaml.UnmarshalWithOptions(text, cfg, yaml.Strict()); err != nil {
		found.Addf(finding.Place{File: file}, "%s", strings.TrimSpace(yaml.FormatError(err, false, false)))
		return nil, found
	}
	cfg.check(file, &found)
	return cfg, found.Err()
}

func (c *Config) check(file string, found *finding.List) {
	at := func(key string) finding.Place { return finding.Place{File: file, Key: key} }
	for key, value := range map[string]string{"host": c.Host, "domain": c.Domain, "region": c.Region} {
		if value == "" {
			found.Addf(at(key), "must be set")
		}
	}
	addresses := map[string]string{
		"listen.callers": c.Listen.Callers,
		"listen.ready":   c.Listen.Ready,
		"listen.peers":   c.Listen.Peers,
		"listen.metrics": c.Listen.Metrics,
		"store":          c.Store,
	}
	for key, value := range addresses {
		if _, err := netip.ParseAddrPort(value); err != nil {
			found.Addf(at(key), "%q is no IP:port", value)
		}
	}
	for _, seed := range c.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			found.Addf(at("seeds"), "%q is no IP:port", seed)
		}
	}
	if len(c.PeerKey) < minPeerKey {
		found.Addf(at("peer_key"), "must have %d bytes or more", minPeerKey)
	}
	for key, value := range map[string]int{
		"drain_ms": c.DrainMs, "grace_ms": c.GraceMs, "memory_mb": c.MemoryMB, "retry.window_ms": c.Retry.WindowMs,
	} {
		if value <= 0 {
			found.Addf(at(key), "must be over 0")
		}
	}
	if !(c.CPUShare > 0) {
		found.Addf(at("cpu_share"), "must be over 0")
	}
	if c.Retry.Ratio < 0 || c.Retry.Slack < 0 {
		found.Addf(at("retry"), "must not be negative")
	}
	found.Sort()
}

// Grace returns the time between SIGTERM and the end of the process.
func (c *Config) Grace() time.Duration { return millis(c.GraceMs) }

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
