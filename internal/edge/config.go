package edge

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
	"github.com/buckthorndock/buckthorndock/internal/httpwire"
)

// Config is the content of the daemon file, with defaults.
type Config struct {
	Host   string `yaml:"host"`   // name of this host, unique in the site
	Domain string `yaml:"domain"` // failure domain of this host
	Region string `yaml:"region"`
	// Incarnation rises with each start; it is not in the file.
	Incarnation uint64 `yaml:"-"`
	// File is the path of the daemon file.
	File string `yaml:"-"`
	// DialUpstream opens connections to upstreams; nil: over the network. Tests set it.
	DialUpstream httpwire.DialFunc `yaml:"-"`
	// DialPeer opens connections to other daemons; nil: over the network. Tests set it.
	DialPeer httpwire.DialFunc `yaml:"-"`

	Listen struct {
		Callers string `yaml:"callers"` // IP:port for callers
		Ready   string `yaml:"ready"`   // IP:port for the balancer's readiness check
		Peers   string `yaml:"peers"`   // IP:port for other daemons
		Metrics string `yaml:"metrics"` // IP:port of the metrics and of the status
	} `yaml:"listen"`
	PeerKey string   `yaml:"peer_key"` // shared by all daemons of the site
	Seeds   []string `yaml:"seeds"`    // IP:port of the peers to contact first
	Store   string   `yaml:"store"`    // IP:port of the platform's store

	LogLevel string  `yaml:"log_level"`
	MemoryMB float64 `yaml:"memory_mb"` // that the process may use
	MaxFiles int     `yaml:"max_files"` // that the process may have open
	// CPUShare is the part of a core that the process may use. Tasks that one daemon does for
	// all go to daemons with a larger share.
	CPUShare float64 `yaml:"cpu_share"`

	// SettingsWithinMs is the time within which a change of the settings must be in force, and
	// LeavingWithinMs the time for which a leaving upstream may still get requests.
	SettingsWithinMs float64 `yaml:"settings_within_ms"`
	LeavingWithinMs  float64 `yaml:"leaving_within_ms"`

	// GraceS is the time in seconds between SIGTERM and the end of the process.
	GraceS float64 `yaml:"grace_s"`
	Retry  struct {
		Ratio   float64 `yaml:"ratio"` // retries as a share of a service's requests
		WindowS float64 `yaml:"window_s"`
		Slack   float64 `yaml:"slack"` // additional retries per window, of all daemons together
	} `yaml:"retry"`
}

// Defaults and limits of the daemon file.
const (
	defaultGraceS   = 8
	defaultMemoryMB = 256
	defaultMaxFiles = 4096
	defaultWithinMs = 2000
	defaultCPUShare = 1
	defaultRatio    = 0.2
	defaultWindowS  = 10
	minPeerKey      = 32 // bytes: any client that connects may try to guess the key
)

// LoadConfig reads and checks a daemon file. It returns the error of reading the file, or a
// finding.List with all faults of its content.
func LoadConfig(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ParseConfig(file, text)
}

// ParseConfig parses and checks the text of a daemon file. The error is a finding.List with all
// faults; file is the path that these name.
func ParseConfig(file string, text []byte) (*Config, error) {
	cfg := &Config{
		File:     file,
		GraceS:   defaultGraceS,
		MemoryMB: defaultMemoryMB,
		MaxFiles: defaultMaxFiles,

		SettingsWithinMs: defaultWithinMs,
		LeavingWithinMs:  defaultWithinMs,
		CPUShare:         defaultCPUShare,
	}
	cfg.Retry.Ratio, cfg.Retry.WindowS = defaultRatio, defaultWindowS
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
			found.Addf(at(key), "%q is not an IP:port", value)
		}
	}
	for _, seed := range c.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			found.Addf(at("seeds"), "%q is not an IP:port", seed)
		}
	}
	if len(c.PeerKey) < minPeerKey {
		found.Addf(at("peer_key"), "must have at least %d bytes", minPeerKey)
	}
	positive := map[string]float64{
		"grace_s": c.GraceS, "memory_mb": c.MemoryMB, "retry.window_s": c.Retry.WindowS, "cpu_share": c.CPUShare,
		"max_files": float64(c.MaxFiles), "settings_within_ms": c.SettingsWithinMs, "leaving_within_ms": c.LeavingWithinMs,
	}
	for key, value := range positive {
		if !(value > 0) {
			found.Addf(at(key), "must be above 0")
		}
	}
	if c.Retry.Ratio < 0 || c.Retry.Slack < 0 {
		found.Addf(at("retry"), "must not be negative")
	}
	found.Sort()
}

// Grace returns the maximum time between SIGTERM and the end of the process.
func (c *Config) Grace() time.Duration { return seconds(c.GraceS) }

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
