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

// Batch holds the records that one read of a Store returned, in the store's order.
type Batch struct {
	Records []Record
	Whole   bool // the batch holds all keys, after the start, a gap or a restore; other keys do not exist
}

// Store keeps evidence and trials across restarts of the daemons, in the same order for all readers.
type Store interface {
	// Put appends the value of a key; nil removes it. After an error it may still have taken effect.
	Put(ctx context.Context, key string, value []byte) error
	// Next returns what was put since the last call and waits for a first record; the first call
	// returns all keys. It is not safe for concurrent use.
	Next(ctx context.Context, wait time.Duration) (Batch, error)
}

// keyedStore is a Store in a keyed stream.
type keyedStore struct {
	store      platform.Keyed
	stream     string
	next       int64
	era        int64
	positioned bool // next is an offset of era
}

// NewKeyedStore returns a Store that keeps its records in a keyed stream.
func NewKeyedStore(store platform.Keyed, stream string) Store {
	return &keyedStore{store: store, stream: stream}
}

// Put implements Store.
func (s *keyedStore) Put(ctx context.Context, key string, value []byte) error {
	return s.store.Put(ctx, s.stream, key, value)
}

// Next implements Store.
func (s *keyedStore) Next(ctx context.Context, wait time.Duration) (Batch, error) {
	if !s.positioned {
		return s.readAll(ctx)
	}
	page, err := s.store.Since(ctx, s.stream, s.next, wait)
	if errors.Is(err, platform.ErrTrimmed) || err == nil && page.Era != s.era {
		s.positioned = false
		return s.readAll(ctx)
	}
	if err != nil {
		// A store restored from an older copy may refuse to read from beyond its end.
		s.positioned = errors.Is(err, platform.ErrBusy)
		return Batch{}, err
	}
	s.next = page.NextOffset
	return Batch{Records: keyedRecords(page)}, nil
}

func (s *keyedStore) readAll(ctx context.Context) (Batch, error) {
	page, err := s.store.Newest(ctx, s.stream)
	if err != nil {
		return Batch{}, err
	}
	s.next, s.era, s.positioned = page.NextOffset, page.Era, true
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

// logStore is a Store in a stream of a log.
type logStore struct {
	log        platform.Log
	stream     string
	next       int64
	era        int64
	positioned bool // next is an offset of era
}

// NewLogStore returns a Store that keeps its records in a stream of a log. The log must retain
// records for as long as evidence counts.
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

// firstOffset is the offset of a log's first record.
const firstOffset = 1

// maxPageRecords limits the number of records that one read of a log returns.
const maxPageRecords = 1000

// Next implements Store.
func (s *logStore) Next(ctx context.Context, wait time.Duration) (Batch, error) {
	if !s.positioned {
		s.next, wait = firstOffset, 0
	}
	page, err := s.log.Read(ctx, s.stream, s.next, maxPageRecords, wait)
	if err != nil {
		return Batch{}, err
	}
	if s.positioned && (page.Era != s.era || page.FirstKept > s.next) {
		s.positioned = false
		return s.Next(ctx, 0)
	}
	batch := Batch{Whole: !s.positioned}
	s.next, s.era, s.positioned = max(s.next, page.FirstKept), page.Era, true
	for _, r := range page.Records {
		s.next = r.Offset + 1
		var decoded Record
		if err := gob.NewDecoder(bytes.NewReader(r.Data)).Decode(&decoded); err != nil {
			continue // written by another program; treated like evidence that has not arrived yet
		}
		batch.Records = append(batch.Records, decoded)
	}
	return batch, nil
}
