package suspects

import (
	"bytes"
	"context"
	"encoding/gob"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Keys of the store: a daemon's evidence under its host's name, a trial under its ID.
const (
	evidencePrefix = "evidence/"
	trialPrefix    = "trial/"
)

const (
	// readWait is how long a read of the store stays open without news; with many daemons longer
	// by readWaitPerHost for each, so that those of all are few, but readWaitMost at the most.
	readWait        = 10 * time.Second
	readWaitPerHost = 20 * time.Millisecond
	readWaitMost    = 30 * time.Second
	// readTimeout is what a read may take besides.
	readTimeout  = 2 * time.Second
	writeTimeout = time.Second
	// keepPace is the least time between two reads, or two writes of what is not urgent;
	// keepPacePerHost, for each daemon, that before any write besides, for all read what one has
	// written. A death is urgent: its evidence is lost with a daemon that is killed next.
	keepPace        = time.Second
	keepPacePerHost = 2 * time.Millisecond
	// staleAfter is how long after it was written a record is removed, by any daemon that starts;
	// mostStale bounds the removals of one.
	staleAfter = time.Hour
	mostStale  = 20
	// storeAgain is the time to the next try while the store does not answer.
	storeAgain = time.Second
)

// kept is the value of a key, with the time of day at which it was written: ages count from then
// where a daemon that starts reads it.
type kept struct {
	Written  time.Time
	Evidence []quarantine.RecordDigest
	Trial    *quarantine.Trial
}

// SyncWithStore writes this daemon's evidence and trials to the store and reads those of all, until the
// context ends.
func (t *Tracker) SyncWithStore(ctx context.Context, store Store, group Group) error {
	t.mu.Lock()
	t.store = store
	t.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.keepWriting(ctx, store, group)
	}()
	t.keepReading(ctx, store, group)
	<-done
	return nil
}

func (t *Tracker) kickReader() { wake(t.readNow) }

func (t *Tracker) wakeWriter() { wake(t.toWrite) }

// wake signals somebody who may not wait now, but will look before waiting again.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// keepReading reads what all daemons write, as one of those that do so for others or when it is
// asked to.
func (t *Tracker) keepReading(ctx context.Context, store Store, group Group) {
	asked := false
	for ctx.Err() == nil {
		again := keepPace
		if asked || reads(t.host, group, time.Now()) {
			again = t.readTold(ctx, store, time.Duration(group.HostCount()))
		}
		select {
		case <-time.After(again):
			asked = false
		case <-t.readNow:
			asked = true
		case <-ctx.Done():
		}
	}
}

// readTold reads once, tells when the store is lost or back, and returns the time to the next read.
func (t *Tracker) readTold(ctx context.Context, store Store, hosts time.Duration) (again time.Duration) {
	err := t.readOnce(ctx, store, min(readWait+hosts*readWaitPerHost, readWaitMost))
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		metrics.GetOrCreateCounter("buckthorndock_suspects_store_failures_total").Inc()
	}
	switch {
	case err != nil && !t.away:
		t.log.WithError(err).Warn("suspects_store_lost")
	case err == nil && t.away:
		t.log.Info("suspects_store_back")
	}
	t.away = err != nil
	if t.away {
		return storeAgain
	}
	return keepPace + hosts*keepPacePerHost
}

func (t *Tracker) readOnce(ctx context.Context, store Store, open time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, open+readTimeout)
	defer cancel()
	batch, err := store.Next(ctx, open)
	if err != nil {
		return err
	}
	now := time.Now()
	t.mu.Lock()
	before := t.core.Version()
	for _, r := range batch.Records {
		t.take(r, batch.Whole, now)
	}
	if batch.Whole {
		t.written = nil // what the store has of this host may be older, or nothing
	}
	t.began = true
	close(t.wasRead)
	t.wasRead = make(chan struct{})
	news := t.core.Version() != before
	t.mu.Unlock()
	if news || batch.Whole {
		t.log.WithFields(logrus.Fields{"records": len(batch.Records), "whole": batch.Whole}).Info("suspects_read")
		t.signal()
	}
	return nil
}

// take takes in one record of the store. The caller holds the lock.
func (t *Tracker) take(r Record, whole bool, now time.Time) {
	if r.Value == nil {
		return // what it said has expired
	}
	var k kept
	if err := gob.NewDecoder(bytes.NewReader(r.Value)).Decode(&k); err != nil {
		t.log.WithError(err).WithField("key", r.Key).Warn("suspects_record_undecodable")
		return
	}
	var older time.Duration
	if whole {
		older = max(now.Sub(k.Written), 0)
	}
	if older > staleAfter && len(t.stale) < mostStale {
		t.stale = append(t.stale, r.Key)
	}
	for i := range k.Evidence {
		k.Evidence[i].Age += older
	}
	host, isEvidence := strings.CutPrefix(r.Key, evidencePrefix)
	switch {
	case isEvidence && host == t.host && !t.began:
		t.core.RestoreOwnRecords(k.Evidence, now)
	case isEvidence:
		t.core.Merge(quarantine.Digest{Records: k.Evidence}, now)
	case k.Trial != nil:
		k.Trial.Age += older
		t.core.ApplyStoredTrial(*k.Trial, now)
	}
}

// keepWriting writes what is new of this daemon's own.
func (t *Tracker) keepWriting(ctx context.Context, store Store, group Group) {
	for ctx.Err() == nil {
		again := time.Duration(group.HostCount()) * keepPacePerHost
		if err := t.writeOnce(ctx, store); err != nil && ctx.Err() == nil {
			t.log.WithError(err).Warn("suspects_not_written")
			again = storeAgain
		}
		if !wait.For(ctx, again) {
			return
		}
		t.awaitNews(ctx)
	}
}

// awaitNews waits for something to write: for what is not urgent keepPace at the least.
func (t *Tracker) awaitNews(ctx context.Context) {
	select {
	case <-t.urgent:
		return
	case <-time.After(keepPace):
	case <-ctx.Done():
		return
	}
	select {
	case <-t.urgent:
	case <-t.toWrite:
	case <-time.After(lookEvery): // a write that failed, or evidence that has expired
	case <-ctx.Done():
	}
}

func (t *Tracker) writeOnce(ctx context.Context, store Store) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := t.writeEvidence(ctx, store); err != nil {
		return err
	}
	if err := t.writeTrials(ctx, store); err != nil {
		return err
	}
	return t.removeStale(ctx, store)
}

// writeEvidence writes this host's evidence if it says something else than what the store has.
// Nothing is written before the store was read: a former life's evidence is adopted first.
func (t *Tracker) writeEvidence(ctx context.Context, store Store) error {
	now := time.Now()
	t.mu.Lock()
	unaged, aged := t.core.OwnRecords(now, false), t.core.OwnRecords(now, true)
	began, written := t.began, t.written
	t.mu.Unlock()
	said, err := encode(unaged)
	if !began && len(unaged) > 0 {
		t.kickReader()
	}
	if err != nil || !began || bytes.Equal(said, written) || len(unaged) == 0 && len(written) == 0 {
		return err
	}
	var value []byte
	if len(aged) > 0 {
		if value, err = encode(kept{Written: now, Evidence: aged}); err != nil {
			return err
		}
	}
	if err := store.Put(ctx, evidencePrefix+t.host, value); err != nil {
		return merry.Prepend(err, "write evidence")
	}
	t.mu.Lock()
	t.written = said
	t.mu.Unlock()
	t.log.WithField("deaths", len(aged)).Info("evidence_written")
	return nil
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	return b.Bytes(), merry.Prepend(err, "encode for the store")
}

// writeTrials writes the outcomes that the store has not been told.
func (t *Tracker) writeTrials(ctx context.Context, store Store) error {
	now := time.Now()
	t.mu.Lock()
	var due []quarantine.Trial
	for _, own := range t.trials {
		if own.unwritten {
			due = append(due, own.aged(now))
		}
	}
	t.mu.Unlock()
	for _, told := range due {
		if err := putTrial(ctx, store, told); err != nil {
			return err
		}
		t.mu.Lock()
		t.trials[told.ID].unwritten = false
		t.mu.Unlock()
	}
	return nil
}

// removeStale removes what nobody counts any more: of hosts that are gone, and trials of this one.
func (t *Tracker) removeStale(ctx context.Context, store Store) error {
	now := time.Now()
	t.mu.Lock()
	stale := t.stale
	for id, own := range t.trials {
		if now.Sub(own.asked) > staleAfter && !own.unwritten {
			stale = append(stale, trialPrefix+id)
			delete(t.trials, id)
		}
	}
	t.stale = nil
	t.mu.Unlock()
	for _, key := range stale {
		if err := store.Put(ctx, key, nil); err != nil {
			return merry.Prepend(err, "remove what is stale") // whoever starts next finds it again
		}
	}
	return nil
}

func putTrial(ctx context.Context, store Store, r quarantine.Trial) error {
	now := time.Now()
	value, err := encode(kept{Written: now, Trial: &r})
	if err != nil {
		return err
	}
	return merry.Prepend(store.Put(ctx, trialPrefix+r.ID, value), "write trial")
}
