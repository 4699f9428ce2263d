package platform

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// KeyedRecord is a record of a keyed stream: the newest one of each key is kept for
// good.
type KeyedRecord struct {
	Era    int64 // of the store, in which the offset was last read
	Offset int64
	Key    string
	Value  []byte // nil: the key was removed
}

// NoEra is the era of a store that tells none, or of an answer that does not.
const NoEra = 0

// KeyedPage is what a read of a keyed stream returned, in the order of offsets.
type KeyedPage struct {
	Records    []KeyedRecord
	NextOffset int64 // offset to read on from
	// Era rises each time that the store has come back from an older copy of itself: what it had
	// taken in since is gone, and its offsets are given out again.
	Era int64
}

// Errors of a Keyed, beside those of the connection.
var (
	// ErrTrimmed says that records at the offset are no longer kept; the newest ones
	// have to be read instead.
	ErrTrimmed = merry.Sentinel("the records are no longer kept")
	// ErrBusy says that nothing was done, because of a rate limit or an outage.
	ErrBusy = merry.Sentinel("the store does not serve this now")
)

// Keyed is a store of keyed streams.
type Keyed interface {
	// Newest returns the newest record of each key that is not removed.
	Newest(ctx context.Context, stream string) (KeyedPage, error)
	// Since returns the records from an offset on, waiting for a first one.
	Since(ctx context.Context, stream string, from int64, wait time.Duration) (KeyedPage, error)
	// Put appends the new value of a key. An error does not say that it was not done.
	Put(ctx context.Context, stream, key string, value []byte) error
}
