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

// memory is a store in memory, as a keyed stream and as a log.
type memory struct {
	mu      sync.Mutex
	records []platform.KeyedRecord
	era     int64
	away    bool
	grown   chan struct{}
}

var (
	errAway   = merry.Sentinel("the store is away")
	errBeyond = merry.Sentinel("the stream ends before that")
)

func newMemory() *memory { return &memory{grown: make(chan struct{})} }

func (m *memory) setAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
}

// restore goes back to nothing.
func (m *memory) restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = nil
	m.era++
	m.wake()
}

func (m *memory) wake() {
	close(m.grown)
	m.grown = make(chan struct{})
}

func (m *memory) Put(_ context.Context, _, key string, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return errAway
	}
	m.records = append(m.records, platform.KeyedRecord{Era: m.era, Offset: int64(len(m.records)), Key: key, Value: value})
	m.wake()
	return nil
}

func (m *memory) Newest(context.Context, string) (platform.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.away {
		return platform.KeyedPage{}, errAway
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

func (m *memory) Since(ctx context.Context, _ string, from int64, wait time.Duration) (platform.KeyedPage, error) {
	timeout := time.After(wait)
	for {
		m.mu.Lock()
		records, away, grown, era := m.records, m.away, m.grown, m.era
		m.mu.Unlock()
		if away {
			return platform.KeyedPage{}, errAway
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

func (m *memory) Append(ctx context.Context, _ string, records [][]byte) (int64, error) {
	for _, data := range records {
		if err := m.Put(ctx, "", "", data); err != nil {
			return 0, err
		}
	}
	return 0, nil
}

// Read has offsets from 1, as logs do, and refuses others.
func (m *memory) Read(ctx context.Context, _ string, from int64, limit int, wait time.Duration) (platform.Page, error) {
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

// few is a group of few daemons.
type few struct{}

func (few) HostCount() int                     { return 8 }
func (few) DomainMembers() []membership.Member { return nil }

// daemons starts some that keep their evidence in one store, and do not hear each other.
func daemons(t *testing.T, store func() Store, names ...string) []*Tracker {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	var all []*Tracker
	var running sync.WaitGroup
	for _, name := range names {
		tr := New(name, logrus.NewEntry(log))
		all = append(all, tr)
		running.Go(func() { _ = tr.SyncWithStore(ctx, store(), few{}) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	time.Sleep(time.Second)
	return all
}

// culprit is a fingerprint that ends engines.
const culprit = 7

// crash has a daemon see that an engine ended under the culprit and another request.
func crash(t *testing.T, tr *Tracker, engine string, beside uint64) {
	t.Helper()
	for _, fingerprint := range []uint64{culprit, beside} {
		if _, ok := tr.TryStart(engine, fingerprint, nil, time.Now()); !ok {
			t.Fatalf("%d may not start on %s", fingerprint, engine)
		}
	}
	tr.EngineDied(engine, engine, time.Now())
}

const settled = quarantine.DefaultSettleAfter + time.Second

// eachStore runs a test on both kinds of store, by a clock of its own.
func eachStore(t *testing.T, test func(t *testing.T, m *memory, store func() Store)) {
	for name, of := range map[string]func(m *memory) Store{
		"keyed": func(m *memory) Store { return NewKeyedStore(m, "s") },
		"log":   func(m *memory) Store { return NewLogStore(m, "s") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory()
				test(t, m, func() Store { return of(m) })
			})
		})
	}
}

// TestOneOfAllDaemonsTriesARequestThatEndsEngines guards against daemons that cannot hear each
// other and try it at one moment, each knowing all of its deaths.
func TestOneOfAllDaemonsTriesARequestThatEndsEngines(t *testing.T) {
	eachStore(t, func(t *testing.T, _ *memory, store func() Store) {
		all := daemons(t, store, "a", "b", "c", "d")
		crash(t, all[0], "e1", 101)
		crash(t, all[1], "e2", 102)
		time.Sleep(settled)
		var mu sync.Mutex
		var granted []*Trial
		var asked sync.WaitGroup
		for _, tr := range all {
			asked.Go(func() {
				trial, refusal := tr.Admit(t.Context(), culprit, nil, time.Second)
				mu.Lock()
				defer mu.Unlock()
				if trial != nil {
					granted = append(granted, trial)
				} else if refusal == nil || refusal.Code != request.CodeSuspect || refusal.RetryAfter <= 0 {
					t.Errorf("%s may place it as any other: %v", tr.host, refusal)
				}
			})
		}
		asked.Wait()
		if len(granted) != 1 {
			t.Fatalf("%d of %d try it", len(granted), len(all))
		}
		granted[0].MarkSent()
		granted[0].End(quarantine.TrialCompleted)
		time.Sleep(settled)
		for _, tr := range all {
			if trial, refusal := tr.Admit(t.Context(), culprit, nil, time.Second); trial != nil || refusal != nil {
				t.Errorf("%s does not know that it has completed: %v", tr.host, refusal)
			}
		}
	})
}

// TestTrialThatIsNotSentYetEndsWithARefusal guards against a request that waits for a place under
// its trial though it is refused by now, and against one that asks again for what it has.
func TestTrialThatIsNotSentYetEndsWithARefusal(t *testing.T) {
	eachStore(t, func(t *testing.T, _ *memory, store func() Store) {
		tr := daemons(t, store, "a")[0]
		crash(t, tr, "e1", 101)
		crash(t, tr, "e2", 102)
		time.Sleep(settled)
		trial, _ := tr.Admit(t.Context(), culprit, nil, time.Minute)
		if again, refusal := tr.Admit(t.Context(), culprit, trial, time.Minute); trial == nil || again != trial || refusal != nil {
			t.Fatalf("got %v after %v: %v", again, trial, refusal)
		}
		tr.End(tr.core.Started("e3", 101), true) // the first death has one cause left
		if again, refusal := tr.Admit(t.Context(), culprit, trial, time.Minute); again != nil || refusal == nil || refusal.Code != request.CodeQuarantined {
			t.Errorf("got %v, %v", again, refusal)
		}
		if o := tr.trials[trial.id].told.Outcome; o != quarantine.TrialNotSent {
			t.Errorf("the trial has ended as %s", o)
		}
	})
}

// TestRequestInManyDeathsWaitsForTheStore: one in few is tried without its word, one in three or
// more is not, and neither waits longer than the question takes.
func TestRequestInManyDeathsWaitsForTheStore(t *testing.T) {
	eachStore(t, func(t *testing.T, m *memory, store func() Store) {
		all := daemons(t, store, "a")
		crash(t, all[0], "e1", 101)
		crash(t, all[0], "e2", 102)
		time.Sleep(settled)
		m.setAway(true)
		trial, refusal := all[0].Admit(t.Context(), culprit, nil, time.Second)
		if trial == nil {
			t.Fatalf("two deaths: %v", refusal)
		}
		if _, ok := all[0].TryStart("e3", culprit, trial, time.Now()); !ok {
			t.Fatal("it may not start")
		}
		trial.MarkSent()
		all[0].TryStart("e3", 103, nil, time.Now())
		all[0].EngineDied("e3", "e3", time.Now())
		trial.End(quarantine.TrialRan)
		time.Sleep(settled)
		began := time.Now()
		trial, refusal = all[0].Admit(t.Context(), culprit, nil, time.Second)
		if trial != nil || refusal == nil || time.Since(began) > trialWait {
			t.Errorf("three deaths: %v after %s", refusal, time.Since(began))
		}
	})
}

// TestDaemonsThatAllStartAgainKnowWhatEndsEngines guards against evidence that is lost with those
// who gathered it, in the store's order or where it went back to nothing meanwhile.
func TestDaemonsThatAllStartAgainKnowWhatEndsEngines(t *testing.T) {
	eachStore(t, func(t *testing.T, m *memory, store func() Store) {
		first := daemons(t, store, "a", "b")
		crash(t, first[0], "e1", 101)
		crash(t, first[1], "e2", 102)
		time.Sleep(settled)
		m.restore()
		time.Sleep(2 * readWait)
		for _, tr := range daemons(t, store, "a", "b") {
			if got := tr.core.Deaths(culprit); got != 2 {
				t.Errorf("%s knows %d deaths", tr.host, got)
			}
			if got := len(tr.core.OwnRecords(time.Now(), false)); got != 1 {
				t.Errorf("%s has seen %d itself", tr.host, got)
			}
		}
	})
}

// TestDeathsAreInTheStoreBeforeTheirDaemonIsKilled guards against evidence that waits for the
// next write, and is lost with its daemon.
func TestDeathsAreInTheStoreBeforeTheirDaemonIsKilled(t *testing.T) {
	eachStore(t, func(t *testing.T, _ *memory, store func() Store) {
		first := daemons(t, store, "a")
		for i := range 2 {
			crash(t, first[0], fmt.Sprint("e", i), uint64(101+i))
			time.Sleep(50 * time.Millisecond)
		}
		second := New("b", first[0].log)
		if err := second.readOnce(t.Context(), store(), readWait); err != nil {
			t.Fatal(err)
		}
		if got := second.core.Deaths(culprit); got != 2 {
			t.Errorf("the store tells of %d deaths", got)
		}
	})
}

// TestTrialOfADaemonThatDiedIsOverInTime guards against a request that waits for ever for one
// whose daemon tells nothing more, and one that is tried on for each that does not.
func TestTrialOfADaemonThatDiedIsOverInTime(t *testing.T) {
	eachStore(t, func(t *testing.T, _ *memory, store func() Store) {
		all := daemons(t, store, "a", "b", "c", "d", "e")
		crash(t, all[0], "e1", 101)
		crash(t, all[0], "e2", 102)
		time.Sleep(settled)
		for i, tr := range all {
			trial, refusal := tr.Admit(t.Context(), culprit, nil, 5*time.Second)
			if got, want := trial != nil, i < quarantine.MaxTrialSends; got != want {
				t.Fatalf("%s: %v, %v", tr.host, got, refusal)
			}
			if _, again := all[(i+1)%len(all)].Admit(t.Context(), culprit, nil, time.Second); again == nil {
				t.Errorf("another one beside that of %s", tr.host)
			}
			time.Sleep(5*time.Second + 2*trialMargin)
		}
	})
}

// TestStaleRecordsAreRemoved: what daemons wrote that are gone does not stay for good.
func TestStaleRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		store := func() Store { return NewKeyedStore(m, "s") }
		value, err := encode(kept{Written: time.Now()})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 3 {
			if err := m.Put(t.Context(), "s", evidencePrefix+fmt.Sprint("gone", i), value); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * staleAfter)
		daemons(t, store, "a")
		time.Sleep(2 * lookEvery)
		if page, err := m.Newest(t.Context(), "s"); err != nil || len(page.Records) > 0 {
			t.Errorf("left: %v, %v", page.Records, err)
		}
	})
}
