package platform

import (
	"context"
	"time"
)

// Record is one entry of a stream.
type Record struct {
	Offset int64
	At     time.Time // by the log's clock
	Data   []byte
}

// Page is the answer to a read.
type Page struct {
	FirstKept int64 // lowest offset still kept
	EndOffset int64 // offset that the next append gets
	Records   []Record
	// Era rises each time that the log has come back from an older copy of itself; NoEra: it never
	// has. What was appended after that copy is gone, and its offsets are given out again.
	Era int64
}

// Log is the append-only log. Offsets of a stream start at 1 and have no gaps.
// An error of Append does not say that nothing was appended.
type Log interface {
	// Append adds records in order and returns the offset of the first.
	Append(ctx context.Context, stream string, records [][]byte) (first int64, err error)
	// Read returns up to limit records from the offset on, waiting up to wait for
	// a first one.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

// HostState is what the platform says of a host.
type HostState string

// Host states; a host that is gone is not listed.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostKind tells entry hosts from upstream hosts.
type HostKind string

// Kinds of host.
const (
	HostEntry    HostKind = "entry"
	HostUpstream HostKind = "upstream"
)

// Host is one entry of the platform's list.
type Host struct {
	Name    string
	Kind    HostKind
	Domain  string
	Region  string
	Address string // IP:port; of an entry host, its peer listener
	State   HostState
}

// Hosts is the lagging list of hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// TakePermit asks for bandwidth for one load of a model and returns how long
	// to wait before it may start.
	TakePermit(ctx context.Context, model string) (wait time.Duration, err error)
}
