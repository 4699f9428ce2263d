package config

import (
	"os"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
)

// Daemon holds the checked content of a daemon file.
type Daemon struct {
	Host       string   // name of this host, unique in the site
	Domain     string   // failure domain
	Region     string   // region of the failure domain
	Listen     string   // IP:port for callers and operators
	PeerListen string   // IP:port for other daemons
	PeerKey    string   // shared by all daemons of the site
	Seeds      []string // IP:port of peers to contact first when the platform is unavailable
	Platform   Platform
	LogLevel   string
	// OperatorTokenSHA256 is the hex SHA-256 of the site's first operator token. Its
	// bearer may change the settings at every path, even before there are any.
	OperatorTokenSHA256 string
	// ShutdownTimeout is the longest time that a graceful shutdown waits for requests
	// in progress; zero means until all have ended.
	ShutdownTimeout time.Duration
	// MaxConnections limits the open connections of callers and operators.
	MaxConnections int
	// MemoryMB is the memory that the process may use, in 2^20 bytes.
	MemoryMB int
	// TestFaults enables the fault switches used by the scenarios.
	TestFaults bool
}

// Platform holds the addresses (IP:port) of the platform's services.
type Platform struct {
	Log     string
	Hosts   string
	Weights string
	// LogRetention is the shortest time that the log keeps a record.
	LogRetention time.Duration
}

// Defaults of the daemon file.
const (
	DefaultLogRetention   = time.Hour
	DefaultMaxConnections = 10_000
	DefaultMemoryMB       = 2560 // has room for DefaultMaxConnections
)

// MinPeerKeyLen is the shortest peer key accepted, in bytes.
const MinPeerKeyLen = 32

// Load reads and checks a daemon file. The error is a finding.List with every
// fault of the file, or the error of reading it.
func Load(file string) (*Daemon, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	d, findings := Parse(file, text)
	return d, findings.Err()
}

// Parse checks the text of a daemon file. The Daemon is usable only when there
// are no findings.
func Parse(file string, text []byte) (*Daemon, finding.List) {
	p := &parser{file: file, fields: map[string]field{}}
	p.flatten(text)
	d := p.daemon()
	p.reportUnknownKeys()
	p.findings.Sort()
	return d, p.findings
}
