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

// Page is the result of a read of a stream.
type Page struct {
	FirstKept int64 // lowest offset still kept
	EndOffset int64 // offset that the next append gets
	Records   []Record
	// Era increases each time that the log is restored from an older copy of itself; NoEra if it
	// never was. Records appended after that copy are lost, and their offsets are assigned again.
	Era int64
}

// Log is the append-only log. Offsets of a stream start at 1 and have no gaps.
// After an error of Append the records may have been appended all the same.
type Log interface {
	// Append adds records in order and returns the offset of the first.
	Append(ctx context.Context, stream string, records [][]byte) (first int64, err error)
	// Read returns up to limit records from the offset on. If there is none, it waits
	// up to wait for the first one.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

// HostState is the state of a host on the platform's list.
type HostState string

// Host states. A host that has gone is not listed.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostKind distinguishes entry hosts from upstream hosts.
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

// Hosts is the platform's list of hosts. It lags behind the actual state.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// TakePermit requests bandwidth for one load of a model and returns how long to
	// wait before the load may start.
	TakePermit(ctx context.Context, model string) (wait time.Duration, err error)
}
