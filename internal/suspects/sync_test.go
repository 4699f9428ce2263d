package suspects

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// memoryStore is an in-memory store that serves as a platform.Keyed and as a platform.Log.
type memoryStore struct {
	mu          sync.Mutex
	records     []platform.KeyedRecord
	era         int64
	unreachable bool
	grown       chan struct{}
}

var (
	errUnreachable = merry.Sentinel("store unreachable")
	errBeyond      = merry.Sentinel("offset beyond the end of the stream")
)

func newMemory() *memoryStore { return &memoryStore{grown: make(chan struct{})} }

func (m *memoryStore) setUnreachable(unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable = unreachable
}

// restore simulates a restore from an empty backup.
func (m *memoryStore) restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = nil
	m.era++
	m.wake()
}

func (m *memoryStore) wake() {
	close(m.grown)
	m.grown = make(chan struct{})
}

func (m *memoryStore) Put(_ context.Context, _, key string, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable {
		return errUnreachable
	}
	m.records = append(m.records, platform.KeyedRecord{Era: m.era, Offset: int64(len(m.records)), Key: key, Value: value})
	m.wake()
	return nil
}

func (m *memoryStore) Newest(context.Context, string) (platform.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable {
		return platform.KeyedPage{}, errUnreachable
	}
	newest := map[string]platform.KeyedRecord{}
	for _, r := range m.records {
		newest[r.Key] = r
	}
	page := platform.KeyedPage{NextOffset: int64(len(m.records)), Era: m.era}
	for _, r := range newest {
		if r.Value != nil {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (m *memoryStore) Since(ctx context.Context, _ string, from int64, wait time.Duration) (platform.KeyedPage, error) {
	timeout := time.After(wait)
	for {
		m.mu.Lock()
		records, unreachable, grown, era := m.records, m.unreachable, m.grown, m.era
		m.mu.Unlock()
		if unreachable {
			return platform.KeyedPage{}, errUnreachable
		}
		page := platform.KeyedPage{NextOffset: int64(len(records)), Era: era}
		if from < int64(len(records)) {
			page.Records = records[from:]
			return page, nil
		}
		if from > int64(len(records)) {
			return page, errBeyond
		}
		select {
		case <-grown:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (m *memoryStore) Append(ctx context.Context, _ string, records [][]byte) (int64, error) {
	for _, data := range records {
		if err := m.Put(ctx, "", "", data); err != nil {
			return 0, err
		}
	}
	return 0, nil
}

// Read refuses offsets below 1, which is a log's first offset.
func (m *memoryStore) Read(ctx context.Context, _ string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	if from < 1 {
		return platform.Page{}, errBeyond
	}
	kept, err := m.Since(ctx, "", from-1, wait)
	if errors.Is(err, errBeyond) {
		err = nil
	}
	page := platform.Page{FirstKept: 1, EndOffset: kept.NextOffset + 1, Era: kept.Era}
	for _, r := range kept.Records[:min(limit, len(kept.Records))] {
		page.Records = append(page.Records, platform.Record{Offset: r.Offset + 1, Data: r.Value})
	}
	return page, err
}

// smallGroup is a group of smallGroup daemons.
type smallGroup struct{}

func (smallGroup) HostCount() int                     { return 8 }
func (smallGroup) DomainMembers() []membership.Member { return nil }

// startDaemons starts trackers that share a store but do not exchange digests.
func startDaemons(t *testing.T, store func() Store, names ...string) []*Tracker {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	var all []*Tracker
	var running sync.WaitGroup
	for _, name := range names {
		tr := New(name, logrus.NewEntry(log))
		all = append(all, tr)
		running.Go(func() { _ = tr.SyncWithStore(ctx, store(), smallGroup{}) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	time.Sleep(time.Second)
	return all
}

// culprit is the fingerprint of a request that crashes engines.
const culprit = 7

// crashUnderCulprit records at a daemon that an engine died while it ran the culprit and another
// request.
func crashUnderCulprit(t *testing.T, tr *Tracker, engine string, beside uint64) {
	t.Helper()
	for _, fingerprint := range []uint64{culprit, beside} {
		if _, ok := tr.TryStart(engine, workOf(fingerprint), nil, time.Now()); !ok {
			t.Fatalf("%d may not start on %s", fingerprint, engine)
		}
	}
	tr.EngineDied(engine, engine, time.Now())
}

const settleTime = quarantine.DefaultSettleAfter + time.Second

// forEachStore runs a test with both kinds of store, under a fake clock.
func forEachStore(t *testing.T, test func(t *testing.T, m *memoryStore, store func() Store)) {
	for name, of := range map[string]func(m *memoryStore) Store{
		"keyed": func(m *memoryStore) Store { return NewKeyedStore(m, "s") },
		"log":   func(m *memoryStore) Store { return NewLogStore(m, "s") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory()
				test(t, m, func() Store { return of(m) })
			})
		})
	}
}

// TestOneDaemonAtATimeRunsATrial guards against daemons that do not exchange digests and run a
// culprit at the same time although each knows all of its deaths.
func TestOneDaemonAtATimeRunsATrial(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *memoryStore, store func() Store) {
		all := startDaemons(t, store, "a", "b", "c", "d")
		crashUnderCulprit(t, all[0], "e1", 101)
		crashUnderCulprit(t, all[1], "e2", 102)
		time.Sleep(settleTime)
		var mu sync.Mutex
		var granted []*Trial
		var asked sync.WaitGroup
		for _, tr := range all {
			asked.Go(func() {
				trial, refusal := tr.Admit(t.Context(), workOf(culprit), nil, time.Second)
				mu.Lock()
				defer mu.Unlock()
				if trial != nil {
					granted = append(granted, trial)
				} else if refusal == nil || refusal.Code != request.CodeSuspect || refusal.RetryAfter <= 0 {
					t.Errorf("%s: neither a trial nor a refusal to retry later: %v", tr.host, refusal)
				}
			})
		}
		asked.Wait()
		if len(granted) != 1 {
			t.Fatalf("%d of %d daemons were granted a trial", len(granted), len(all))
		}
		granted[0].MarkSent()
		granted[0].End(quarantine.TrialCompleted)
		time.Sleep(settleTime)
		for _, tr := range all {
			if trial, refusal := tr.Admit(t.Context(), workOf(culprit), nil, time.Second); trial != nil || refusal != nil {
				t.Errorf("%s does not know that it has completed: %v", tr.host, refusal)
			}
		}
	})
}

// TestRefusalEndsAnUnsentTrial guards against a request that still waits to be placed under its trial
// after it was quarantined, and against one that requests a second trial.
func TestRefusalEndsAnUnsentTrial(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *memoryStore, store func() Store) {
		tr := startDaemons(t, store, "a")[0]
		crashUnderCulprit(t, tr, "e1", 101)
		crashUnderCulprit(t, tr, "e2", 102)
		time.Sleep(settleTime)
		trial, _ := tr.Admit(t.Context(), workOf(culprit), nil, time.Minute)
		if again, refusal := tr.Admit(t.Context(), workOf(culprit), trial, time.Minute); trial == nil || again != trial || refusal != nil {
			t.Fatalf("got %v after %v: %v", again, trial, refusal)
		}
		tr.End(tr.core.Started("e3", workOf(101)), true) // leaves the culprit as the only cause of the first death
		if again, refusal := tr.Admit(t.Context(), workOf(culprit), trial, time.Minute); again != nil || refusal == nil || refusal.Code != request.CodeQuarantined {
			t.Errorf("got %v, %v", again, refusal)
		}
		if o := tr.trials[trial.id].trial.Outcome; o != quarantine.TrialNotSent {
			t.Errorf("the trial has ended as %s", o)
		}
	})
}

// TestRequestInManyDeathsNeedsTheStore checks that, while the store is unreachable, a request in two
// deaths gets a trial, one in three does not, and neither waits longer than trialTimeout.
func TestRequestInManyDeathsNeedsTheStore(t *testing.T) {
	forEachStore(t, func(t *testing.T, m *memoryStore, store func() Store) {
		all := startDaemons(t, store, "a")
		crashUnderCulprit(t, all[0], "e1", 101)
		crashUnderCulprit(t, all[0], "e2", 102)
		time.Sleep(settleTime)
		m.setUnreachable(true)
		trial, refusal := all[0].Admit(t.Context(), workOf(culprit), nil, time.Second)
		if trial == nil {
			t.Fatalf("two deaths: %v", refusal)
		}
		if _, ok := all[0].TryStart("e3", workOf(culprit), trial, time.Now()); !ok {
			t.Fatal("it may not start")
		}
		trial.MarkSent()
		all[0].TryStart("e3", workOf(103), nil, time.Now())
		all[0].EngineDied("e3", "e3", time.Now())
		trial.End(quarantine.TrialRan)
		time.Sleep(settleTime)
		began := time.Now()
		trial, refusal = all[0].Admit(t.Context(), workOf(culprit), nil, time.Second)
		if trial != nil || refusal == nil || time.Since(began) > trialTimeout {
			t.Errorf("three deaths: %v after %s", refusal, time.Since(began))
		}
	})
}

// TestEvidenceSurvivesRestartOfAllDaemons guards against evidence that is lost when all daemons
// restart, also after the store was restored from an empty backup.
func TestEvidenceSurvivesRestartOfAllDaemons(t *testing.T) {
	forEachStore(t, func(t *testing.T, m *memoryStore, store func() Store) {
		first := startDaemons(t, store, "a", "b")
		crashUnderCulprit(t, first[0], "e1", 101)
		crashUnderCulprit(t, first[1], "e2", 102)
		time.Sleep(settleTime)
		m.restore()
		time.Sleep(2 * readWait)
		for _, tr := range startDaemons(t, store, "a", "b") {
			if got := tr.core.Deaths(culprit); got != 2 {
				t.Errorf("%s knows %d deaths", tr.host, got)
			}
			if got := len(tr.core.OwnRecords(time.Now(), false)); got != 1 {
				t.Errorf("%s has %d own records", tr.host, got)
			}
		}
	})
}

// TestDeathsAreWrittenBeforeTheirDaemonIsKilled guards against evidence of a death that waits for the
// next regular write and is lost with its daemon.
func TestDeathsAreWrittenBeforeTheirDaemonIsKilled(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *memoryStore, store func() Store) {
		first := startDaemons(t, store, "a")
		for i := range 2 {
			crashUnderCulprit(t, first[0], fmt.Sprint("e", i), uint64(101+i))
			time.Sleep(50 * time.Millisecond)
		}
		second := New("b", first[0].log)
		if err := second.readOnce(t.Context(), store(), readWait); err != nil {
			t.Fatal(err)
		}
		if got := second.core.Deaths(culprit); got != 2 {
			t.Errorf("the store has %d deaths", got)
		}
	})
}

// TestTrialOfADeadDaemonExpires guards against a request that waits forever for a trial whose daemon
// never reports its end, and against an unlimited number of such trials.
func TestTrialOfADeadDaemonExpires(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *memoryStore, store func() Store) {
		all := startDaemons(t, store, "a", "b", "c", "d", "e")
		crashUnderCulprit(t, all[0], "e1", 101)
		crashUnderCulprit(t, all[0], "e2", 102)
		time.Sleep(settleTime)
		for i, tr := range all {
			trial, refusal := tr.Admit(t.Context(), workOf(culprit), nil, 5*time.Second)
			if got, want := trial != nil, i < quarantine.MaxTrialSends; got != want {
				t.Fatalf("%s: %v, %v", tr.host, got, refusal)
			}
			if _, again := all[(i+1)%len(all)].Admit(t.Context(), workOf(culprit), nil, time.Second); again == nil {
				t.Errorf("another daemon gets a trial during that of %s", tr.host)
			}
			time.Sleep(5*time.Second + 2*trialMargin)
		}
	})
}

// TestStaleRecordsAreRemoved guards against records of removed daemons that stay in the store forever.
func TestStaleRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		store := func() Store { return NewKeyedStore(m, "s") }
		value, err := encode(storedValue{Written: time.Now()})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			if err := m.Put(t.Context(), "s", evidencePrefix+fmt.Sprint("gone", i), value); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * staleAfter)
		startDaemons(t, store, "a")
		time.Sleep(2 * maxShareInterval)
		if page, err := m.Newest(t.Context(), "s"); err != nil || len(page.Records) > 0 {
			t.Errorf("left: %v, %v", page.Records, err)
		}
	})
}
