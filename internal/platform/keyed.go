package platform

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// KeyedRecord is a record of a keyed stream. The newest record of each key is kept
// for good.
type KeyedRecord struct {
	Era    int64 // era of the store in which the offset was last read
	Offset int64
	Key    string
	Value  []byte // nil: the key was removed
}

// NoEra is the era of a store that reports none, or of an answer without one.
const NoEra = 0

// KeyedPage is the result of a read of a keyed stream, in the order of offsets.
type KeyedPage struct {
	Records    []KeyedRecord
	NextOffset int64 // offset to continue reading from
	// Era increases each time that the store is restored from an older copy of itself. Records
	// appended after that copy are lost, and their offsets are assigned again.
	Era int64
}

// Errors of a Keyed, besides those of the connection.
var (
	// ErrTrimmed reports that records from the offset on are no longer all kept. The
	// caller has to read with Newest instead.
	ErrTrimmed = merry.Sentinel("the records are no longer kept")
	// ErrBusy reports that the store did nothing because of a rate limit or an outage.
	ErrBusy = merry.Sentinel("the store is unavailable or limits the rate")
)

// Keyed is a store of keyed streams.
type Keyed interface {
	// Newest returns the newest record of each key that is not removed.
	Newest(ctx context.Context, stream string) (KeyedPage, error)
	// Since returns the records from an offset on. If there is none, it waits up to
	// wait for the first one.
	Since(ctx context.Context, stream string, from int64, wait time.Duration) (KeyedPage, error)
	// Put appends the new value of a key. After an error it may have been
	// appended all the same.
	Put(ctx context.Context, stream, key string, value []byte) error
}
