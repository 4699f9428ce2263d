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

// Key prefixes in the store: evidence is stored under the host's name, a trial under its ID.
const (
	evidencePrefix = "evidence/"
	trialPrefix    = "trial/"
)

const (
	// readWait is how long a read of the store waits for new records. It grows by readWaitPerHost
	// for each daemon, up to maxReadWait, so that the total rate of reads stays low.
	readWait        = 10 * time.Second
	readWaitPerHost = 20 * time.Millisecond
	maxReadWait     = 30 * time.Second
	// readTimeout limits the time of a read beyond that wait.
	readTimeout  = 2 * time.Second
	writeTimeout = time.Second
	// syncInterval is the minimum time between two reads, or between two writes that are not
	// urgent. syncIntervalPerHost times the number of daemons is added to the time between reads
	// and is the minimum time between any two writes, because all daemons read what one writes. A
	// death is urgent: its evidence is lost if the daemon is killed next.
	syncInterval        = time.Second
	syncIntervalPerHost = 2 * time.Millisecond
	// staleAfter is the age from which any daemon that starts removes a record; each daemon
	// collects at most maxStaleRemovals of them at a time.
	staleAfter       = time.Hour
	maxStaleRemovals = 20
	// storeRetryInterval is the time to the next attempt after the store has failed.
	storeRetryInterval = time.Second
)

// storedValue is the value of a key. The ages in it are those at the time Written; a read of all keys
// adds the time since then.
type storedValue struct {
	Written  time.Time
	Evidence []quarantine.RecordDigest
	Trial    *quarantine.Trial
}

// SyncWithStore writes this daemon's evidence and trials to the store and reads those of all daemons.
// It returns nil when the context ends.
func (t *Tracker) SyncWithStore(ctx context.Context, store Store, group Group) error {
	t.mu.Lock()
	t.store = store
	t.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.writeLoop(ctx, store, group)
	}()
	t.readLoop(ctx, store, group)
	<-done
	return nil
}

func (t *Tracker) requestRead() { notify(t.readRequested) }

func (t *Tracker) requestWrite() { notify(t.writeRequested) }

// notify sends a signal without blocking. The channel has a buffer of one, so that a receiver that
// is busy gets the signal when it waits next.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// readLoop reads what all daemons write to the store, if this daemon is one of the readers or a read
// is requested.
func (t *Tracker) readLoop(ctx context.Context, store Store, group Group) {
	requested := false
	for ctx.Err() == nil {
		delay := syncInterval
		if requested || readsStore(t.host, group, time.Now()) {
			delay = t.readAndReport(ctx, store, time.Duration(group.HostCount()))
		}
		select {
		case <-time.After(delay):
			requested = false
		case <-t.readRequested:
			requested = true
		case <-ctx.Done():
		}
	}
}

// readAndReport reads once, logs when the store becomes unreachable or reachable again, and returns
// the time to the next read.
func (t *Tracker) readAndReport(ctx context.Context, store Store, hosts time.Duration) (delay time.Duration) {
	err := t.readOnce(ctx, store, min(readWait+hosts*readWaitPerHost, maxReadWait))
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		metrics.GetOrCreateCounter("buckthorndock_suspects_store_failures_total").Inc()
	}
	switch {
	case err != nil && !t.storeUnreachable:
		t.log.WithError(err).Warn("suspects_store_lost")
	case err == nil && t.storeUnreachable:
		t.log.Info("suspects_store_regained")
	}
	t.storeUnreachable = err != nil
	if t.storeUnreachable {
		return storeRetryInterval
	}
	return syncInterval + hosts*syncIntervalPerHost
}

// readOnce reads the store once, waits up to maxWait for new records, and merges them.
func (t *Tracker) readOnce(ctx context.Context, store Store, maxWait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait+readTimeout)
	defer cancel()
	batch, err := store.Next(ctx, maxWait)
	if err != nil {
		return err
	}
	now := time.Now()
	changed := t.update(func() {
		for _, r := range batch.Records {
			t.applyRecord(r, batch.Whole, now)
		}
		if batch.Whole {
			t.writtenEvidence = nil // the store's copy of this host's evidence may be older or missing
		}
		t.storeLoaded = true
		close(t.readDone)
		t.readDone = make(chan struct{})
	})
	if changed || batch.Whole {
		t.log.WithFields(logrus.Fields{"records": len(batch.Records), "whole": batch.Whole}).Info("suspects_read")
		t.signalEvidence()
	}
	return nil
}

// applyRecord merges one record of the store. The caller holds the lock.
func (t *Tracker) applyRecord(r Record, whole bool, now time.Time) {
	if r.Value == nil {
		return // the removed value had expired
	}
	var v storedValue
	if err := gob.NewDecoder(bytes.NewReader(r.Value)).Decode(&v); err != nil {
		t.log.WithError(err).WithField("key", r.Key).Warn("suspects_record_undecodable")
		return
	}
	var sinceWritten time.Duration
	if whole {
		sinceWritten = max(now.Sub(v.Written), 0)
	}
	if sinceWritten > staleAfter && len(t.staleKeys) < maxStaleRemovals {
		t.staleKeys = append(t.staleKeys, r.Key)
	}
	for i := range v.Evidence {
		v.Evidence[i].Age += sinceWritten
	}
	host, isEvidence := strings.CutPrefix(r.Key, evidencePrefix)
	switch {
	case isEvidence && host == t.host && !t.storeLoaded:
		t.core.RestoreOwnRecords(v.Evidence, now)
	case isEvidence:
		t.core.Merge(quarantine.Digest{Records: v.Evidence}, now)
	case v.Trial != nil:
		v.Trial.Age += sinceWritten
		t.core.ApplyStoredTrial(*v.Trial, now)
	}
}

// writeLoop writes this daemon's new evidence and trial outcomes.
func (t *Tracker) writeLoop(ctx context.Context, store Store, group Group) {
	for ctx.Err() == nil {
		delay := time.Duration(group.HostCount()) * syncIntervalPerHost
		if err := t.writeOnce(ctx, store); err != nil && ctx.Err() == nil {
			t.log.WithError(err).Warn("suspects_write_failed")
			delay = storeRetryInterval
		}
		if !wait.For(ctx, delay) {
			return
		}
		t.awaitWrite(ctx)
	}
}

// awaitWrite waits for something to write, and at least syncInterval if it is not urgent.
func (t *Tracker) awaitWrite(ctx context.Context) {
	select {
	case <-t.urgentWrite:
		return
	case <-time.After(syncInterval):
	case <-ctx.Done():
		return
	}
	select {
	case <-t.urgentWrite:
	case <-t.writeRequested:
	case <-time.After(maxShareInterval): // to retry a failed write, or write that evidence has expired
	case <-ctx.Done():
	}
}

// writeOnce writes what has changed to the store, for at most writeTimeout.
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

// writeEvidence writes this host's evidence if it differs from what the store has. It writes nothing
// before the store was read, because evidence of an earlier incarnation has to be restored first.
func (t *Tracker) writeEvidence(ctx context.Context, store Store) error {
	now := time.Now()
	t.mu.Lock()
	unaged, aged := t.core.OwnRecords(now, false), t.core.OwnRecords(now, true)
	loaded, written := t.storeLoaded, t.writtenEvidence
	t.mu.Unlock()
	encoded, err := encode(unaged)
	if !loaded && len(unaged) > 0 {
		t.requestRead()
	}
	if err != nil || !loaded || bytes.Equal(encoded, written) || len(unaged) == 0 && len(written) == 0 {
		return err
	}
	var value []byte
	if len(aged) > 0 {
		if value, err = encode(storedValue{Written: now, Evidence: aged}); err != nil {
			return err
		}
	}
	if err := store.Put(ctx, evidencePrefix+t.host, value); err != nil {
		return merry.Prepend(err, "write evidence")
	}
	t.mu.Lock()
	t.writtenEvidence = encoded
	t.mu.Unlock()
	t.log.WithField("deaths", len(aged)).Info("evidence_written")
	return nil
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	return b.Bytes(), merry.Prepend(err, "encode for the store")
}

// writeTrials writes the outcomes of trials that are not in the store yet.
func (t *Tracker) writeTrials(ctx context.Context, store Store) error {
	now := time.Now()
	t.mu.Lock()
	var due []quarantine.Trial
	for _, own := range t.trials {
		if own.outcomeUnwritten {
			due = append(due, own.withAge(now))
		}
	}
	t.mu.Unlock()
	for _, r := range due {
		if err := putTrial(ctx, store, r); err != nil {
			return err
		}
		t.mu.Lock()
		t.trials[r.ID].outcomeUnwritten = false
		t.mu.Unlock()
	}
	return nil
}

// removeStale removes records that no longer count: stale ones that were read from the store, and
// old trials of this host.
func (t *Tracker) removeStale(ctx context.Context, store Store) error {
	now := time.Now()
	t.mu.Lock()
	stale := t.staleKeys
	for id, own := range t.trials {
		ended := own.trial.Outcome != quarantine.TrialOpen && !own.outcomeUnwritten
		if ended && now.Sub(own.requestedAt) > staleAfter {
			stale = append(stale, trialPrefix+id)
			delete(t.trials, id)
		}
	}
	t.staleKeys = nil
	t.mu.Unlock()
	for _, key := range stale {
		if err := store.Put(ctx, key, nil); err != nil {
			return merry.Prepend(err, "remove stale record") // the next daemon that starts removes it
		}
	}
	return nil
}

func putTrial(ctx context.Context, store Store, r quarantine.Trial) error {
	now := time.Now()
	value, err := encode(storedValue{Written: now, Trial: &r})
	if err != nil {
		return err
	}
	return merry.Prepend(store.Put(ctx, trialPrefix+r.ID, value), "write trial")
}
