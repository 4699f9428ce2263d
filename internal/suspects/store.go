package suspects

import (
	"bytes"
	"cmp"
	"context"
	"encoding/gob"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// Record is one record of a Store.
type Record struct {
	Key   string
	Value []byte // nil: the key was removed
}

// Batch is what one read of a Store returned, in the store's order.
type Batch struct {
	Records []Record
	Whole   bool // all keys, after the start, a gap or a restore: what is not in it is not there
}

// Store keeps evidence and trials beyond the lives of the daemons, in one order for all.
type Store interface {
	// Put appends the value of a key; nil removes it. An error does not say that it was not done.
	Put(ctx context.Context, key string, value []byte) error
	// Next returns what was put since the last call, waiting for a first record; all keys at
	// first. It is for one goroutine.
	Next(ctx context.Context, wait time.Duration) (Batch, error)
}

// keyedStore keeps them in a keyed stream.
type keyedStore struct {
	store   platform.Keyed
	stream  string
	next    int64
	era     int64
	reading bool // next is an offset of era
}

// NewKeyedStore returns a Store in a keyed stream.
func NewKeyedStore(store platform.Keyed, stream string) Store {
	return &keyedStore{store: store, stream: stream}
}

// Put implements Store.
func (s *keyedStore) Put(ctx context.Context, key string, value []byte) error {
	return s.store.Put(ctx, s.stream, key, value)
}

// Next implements Store.
func (s *keyedStore) Next(ctx context.Context, wait time.Duration) (Batch, error) {
	if !s.reading {
		return s.whole(ctx)
	}
	page, err := s.store.Since(ctx, s.stream, s.next, wait)
	if errors.Is(err, platform.ErrTrimmed) || err == nil && page.Era != s.era {
		s.reading = false
		return s.whole(ctx)
	}
	if err != nil {
		// A store that came back from an older copy may refuse to read from beyond its end.
		s.reading = errors.Is(err, platform.ErrBusy)
		return Batch{}, err
	}
	s.next = page.NextOffset
	return Batch{Records: keyedRecords(page)}, nil
}

func (s *keyedStore) whole(ctx context.Context) (Batch, error) {
	page, err := s.store.Newest(ctx, s.stream)
	if err != nil {
		return Batch{}, err
	}
	s.next, s.era, s.reading = page.NextOffset, page.Era, true
	slices.SortFunc(page.Records, func(a, b platform.KeyedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	return Batch{Records: keyedRecords(page), Whole: true}, nil
}

func keyedRecords(page platform.KeyedPage) []Record {
	records := make([]Record, 0, len(page.Records))
	for _, r := range page.Records {
		records = append(records, Record{Key: r.Key, Value: r.Value})
	}
	return records
}

// logStore keeps them in a stream of a log.
type logStore struct {
	log     platform.Log
	stream  string
	next    int64
	era     int64
	reading bool // next is an offset of era
}

// NewLogStore returns a Store in a stream of a log, which has to keep records for as long as evidence
// counts.
func NewLogStore(log platform.Log, stream string) Store { return &logStore{log: log, stream: stream} }

// Put implements Store.
func (s *logStore) Put(ctx context.Context, key string, value []byte) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(Record{key, value}); err != nil {
		return merry.Prepend(err, "encode record")
	}
	_, err := s.log.Append(ctx, s.stream, [][]byte{b.Bytes()})
	return err
}

// firstOffset is that of a log's first record.
const firstOffset = 1

// pageRecords is how many records one read of a log returns at the most.
const pageRecords = 1000

// Next implements Store.
func (s *logStore) Next(ctx context.Context, wait time.Duration) (Batch, error) {
	if !s.reading {
		s.next, wait = firstOffset, 0
	}
	page, err := s.log.Read(ctx, s.stream, s.next, pageRecords, wait)
	if err != nil {
		return Batch{}, err
	}
	if s.reading && (page.Era != s.era || page.FirstKept > s.next) {
		s.reading = false
		return s.Next(ctx, 0)
	}
	batch := Batch{Whole: !s.reading}
	s.next, s.era, s.reading = max(s.next, page.FirstKept), page.Era, true
	for _, r := range page.Records {
		s.next = r.Offset + 1
		var decoded Record
		if err := gob.NewDecoder(bytes.NewReader(r.Data)).Decode(&decoded); err != nil {
			continue // of another writer; what it would have said is missing, as if it were late
		}
		batch.Records = append(batch.Records, decoded)
	}
	return batch, nil
}
