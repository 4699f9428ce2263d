package follow

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/buckthorndock/buckthorndock/internal/core/finding"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

func edit(id, path string, base int64, idleMs int) settings.Change {
	yaml := fmt.Sprintf("routing: {idle_ms: %d}", idleMs)
	return settings.Change{ID: id, Author: "op", Edits: []settings.Edit{{Path: path, Base: base, YAML: &yaml}}}
}

// accept makes a change through a host and fails the test unless it is accepted.
func accept(t testing.TB, h *host, c settings.Change) settings.Verdict {
	t.Helper()
	eventually(t, "host "+h.name+" ready", h.Ready)
	v, err := h.Change(context.Background(), c)
	if err != nil || !v.Accepted() {
		t.Fatalf("change %s: %s, %v", c.ID, v.Reason(), err)
	}
	return v
}

func TestChangeReachesAllHosts(t *testing.T) {
	s := newSite(t)
	s.run(true)
	for range 6 {
		s.run(false)
	}
	changed, cancel := s.hosts[3].Subscribe()
	defer cancel()
	accept(t, s.hosts[6], edit("a", "/t", 0, 77))
	accept(t, s.hosts[0], edit("b", "/t", 1, 78))
	s.awaitAgreement(2)
	for _, h := range s.hosts {
		if got := h.Current().RoutingAt("/t").IdleMs; got != 78 {
			t.Errorf("host %s has idle_ms %d", h.name, got)
		}
		eventually(t, "lag is known", func() bool { return h.Lag(time.Now()) >= 0 })
	}
	<-changed
	var page bytes.Buffer
	set := metrics.NewSet()
	s.hosts[1].RegisterMetrics(set)
	set.WritePrometheus(&page)
	if !strings.Contains(page.String(), "buckthorndock_settings_offset 2\n") {
		t.Errorf("metrics:\n%s", page.String())
	}
	documents, offset := s.hosts[1].Documents("/")
	if len(documents) != 1 || documents[0].Version != 2 || offset != 2 || len(s.hosts[1].History("/", 9)) != 2 {
		t.Errorf("documents %v at %d", documents, offset)
	}
}

func TestPushAloneReachesAllHosts(t *testing.T) {
	s := newSite(t)
	s.pull = time.Hour
	for i := range 5 { // the default fan-out plus one
		s.run(i == 0)
	}
	for _, h := range s.hosts {
		eventually(t, "ready", h.Ready)
	}
	accept(t, s.hosts[2], edit("a", "/t", 0, 77))
	s.awaitAgreement(1)
}

func TestConcurrentChangesAcceptOnePerPath(t *testing.T) {
	for name, paths := range map[string][]string{
		"one path":         {"/t"},
		"parent and child": {"/t", "/t/x", "/"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			for i := range 4 {
				s.run(i == 0)
			}
			var wg sync.WaitGroup
			verdicts := make([]settings.Verdict, 12)
			for i := range verdicts {
				h := s.hosts[i%len(s.hosts)]
				eventually(t, "ready", h.Ready)
				wg.Go(func() {
					var err error
					verdicts[i], err = h.Change(context.Background(), edit(fmt.Sprint(i), paths[i%len(paths)], 0, i+1))
					if err != nil {
						t.Error(err)
					}
				})
			}
			wg.Wait()
			s.checkConcurrentVerdicts(paths, verdicts)
		})
	}
}

// checkConcurrentVerdicts requires that some change was accepted, at most one on each path, and
// that each refused one has a reason. On several paths a change may also be accepted that was
// checked after another was accepted.
func (s *site) checkConcurrentVerdicts(paths []string, verdicts []settings.Verdict) {
	s.t.Helper()
	winners := map[string]int{}
	for _, v := range verdicts {
		if v.Accepted() {
			winners[v.Paths[0]]++
		} else if v.Reason() == "" {
			s.t.Errorf("no reason: %+v", v)
		}
	}
	if len(winners) == 0 {
		s.t.Error("no change was accepted")
	}
	for path, n := range winners {
		if n > 1 {
			s.t.Errorf("%d changes were accepted on %s", n, path)
		}
	}
}

func TestAppendAnswerLost(t *testing.T) {
	for name, fault := range map[string]func(*memoryLog){
		"after the effect":  func(l *memoryLog) { l.loseAnswers = 1 },
		"before the effect": func(l *memoryLog) { l.dropAppends = 2 },
		"reads lost":        func(l *memoryLog) { l.failReads = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			h := s.add(true)
			h.bootstrap(context.Background())
			fault(s.log)
			first := accept(t, h, edit("a", "/t", 0, 5))
			again := accept(t, h, edit("a", "/t", 0, 5))
			if first.Offset != 1 || again.Offset != 1 || s.log.stream(Stream).next() != 2 {
				t.Errorf("offsets %d and %d", first.Offset, again.Offset)
			}
			if _, err := h.Change(context.Background(), edit("a", "/t", 0, 6)); !errors.Is(err, ErrIDReused) {
				t.Errorf("another change under the same id: %v", err)
			}
		})
	}
}

func TestChangeIsRefusedBeforeAppend(t *testing.T) {
	s := newSite(t)
	h := s.run(true)
	eventually(t, "ready", h.Ready)
	var findings finding.List
	if _, err := h.Change(context.Background(), edit("a", "/t", 0, -1)); !errors.As(err, &findings) || len(findings) != 1 {
		t.Errorf("bad document: %v", err)
	}
	if v, err := h.Change(context.Background(), edit("b", "/t", 9, 1)); err != nil || v.Outcome != settings.Conflict {
		t.Errorf("wrong base: %+v, %v", v, err)
	}
	h.logUnreachable.Store(true)
	if _, err := h.Change(context.Background(), edit("c", "/t", 0, 1)); !errors.Is(err, ErrLogUnreachable) {
		t.Errorf("log unreachable: %v", err)
	}
	if _, err := s.add(false).Change(context.Background(), edit("d", "/t", 0, 1)); !errors.Is(err, ErrNotReady) {
		t.Errorf("not ready: %v", err)
	}
	if s.log.stream(Stream).next() != 1 {
		t.Error("a refused change was appended")
	}
}

func TestIsolatedHostCatchesUp(t *testing.T) {
	s := newSite(t)
	a, b := s.run(true), s.run(true)
	accept(t, a, edit("a", "/t", 0, 1))
	s.awaitAgreement(1)
	b.logUnreachable.Store(true)
	b.isolated.Store(true)
	// Keep fewer records for peers than are missing, so that a snapshot is needed too.
	a.mu.Lock()
	a.recent.limit = 1
	a.mu.Unlock()
	for i := range 5 {
		accept(t, a, edit(fmt.Sprint(i), "/t", int64(i+1), i+10))
	}
	if b.Offset() != 1 || b.Current().RoutingAt("/t").IdleMs != 1 {
		t.Errorf("isolated host is at %d", b.Offset())
	}
	b.isolated.Store(false) // the log stays unreachable for it
	s.awaitAgreement(6)
	if b.Current().RoutingAt("/t").IdleMs != 14 {
		t.Error("reconnected host has old settings")
	}
}

func TestFreshHostWhilePlatformIsDown(t *testing.T) {
	s := newSite(t)
	a := s.run(true)
	accept(t, a, edit("a", "/t", 0, 9))
	a.logUnreachable.Store(true)
	a.isolated.Store(true)
	fresh := s.add(true)
	fresh.logUnreachable.Store(true)
	fresh.start()
	other := s.add(true) // also new: neither may become ready by the empty state of the other
	other.logUnreachable.Store(true)
	other.start()
	time.Sleep(20 * time.Millisecond)
	if fresh.Ready() || other.Ready() {
		t.Error("ready without any settings")
	}
	a.isolated.Store(false)
	eventually(t, "fresh host ready", fresh.Ready)
	if fresh.Offset() != 1 || fresh.Current().RoutingAt("/t").IdleMs != 9 {
		t.Errorf("fresh host at %d", fresh.Offset())
	}
}

func TestStartAfterRecordsWereTrimmed(t *testing.T) {
	s := newSite(t)
	a := s.run(true)
	for i := range 4 {
		accept(t, a, edit(fmt.Sprint(i), "/t", int64(i), i+1))
	}
	s.log.trim(Stream, 3)
	a.stop()
	a.isolated.Store(true)
	fresh := s.run(true)
	time.Sleep(20 * time.Millisecond)
	if fresh.Ready() {
		t.Error("ready although records are missing")
	}
	a.o.RecordsPerSnapshot = 3
	for range 2 {
		if err := a.snapshotOnce(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.log.stream(SnapshotStream).next() - 1; n != 1 {
		t.Errorf("%d snapshots were written", n)
	}
	eventually(t, "fresh host ready", fresh.Ready)
	accept(t, fresh, edit("last", "/t", 4, 50))
	if fresh.Offset() != 5 {
		t.Errorf("fresh host at %d", fresh.Offset())
	}
}

func TestSnapshotIsRenewedBeforeItIsTrimmed(t *testing.T) {
	s := newSite(t)
	a := s.add(true)
	now := time.Now()
	a.o.Now = func() time.Time { return now }
	a.bootstrap(context.Background())
	accept(t, a, edit("a", "/t", 0, 1))
	for _, step := range []time.Duration{0, time.Minute, 15 * time.Minute, 14 * time.Minute} {
		now = now.Add(step)
		if err := a.snapshotOnce(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.log.stream(SnapshotStream).next() - 1; n != 2 {
		t.Errorf("%d snapshots were written, want the first and one after a quarter of the retention", n)
	}
}

func TestStalePeerNeverReverts(t *testing.T) {
	s := newSite(t)
	stale, a := s.run(true), s.run(true)
	accept(t, stale, edit("a", "/t", 0, 1))
	s.awaitAgreement(1)
	stale.stop()
	old, _, err := stale.exportState()
	if err != nil {
		t.Fatal(err)
	}
	accept(t, a, edit("b", "/t", 1, 2))
	digest := a.Digest()
	a.applyReply(PeerRef{Name: "stale"}, &PullReply{Ready: true, Offset: 1, Snapshot: old})
	a.applyReply(PeerRef{Name: "stale"}, &PullReply{Ready: true, Snapshot: []byte("garbage")})
	records, _ := a.recent.from(1)
	a.apply(0, []Record{records[1], records[0], records[0], records[1]})
	if a.Offset() != 2 || a.Digest() != digest || a.Current().RoutingAt("/t").IdleMs != 2 {
		t.Errorf("state is reverted, at offset %d", a.Offset())
	}
	if gap := a.apply(0, []Record{{Offset: 9}}); !gap || a.Offset() != 2 {
		t.Error("a record after a gap was applied")
	}
}

func TestUndecodableRecordsAreCountedAndSkipped(t *testing.T) {
	s := newSite(t)
	for i := range 3 {
		s.run(i == 0)
	}
	garbage := [][]byte{nil, []byte("x"), []byte(`{"format":1}`), bytes.Repeat([]byte("["), 1<<16)}
	if _, err := s.log.Append(context.Background(), Stream, garbage); err != nil {
		t.Fatal(err)
	}
	accept(t, s.hosts[2], edit("a", "/t", 0, 3))
	s.awaitAgreement(5)
	if s.hosts[1].state.Undecodable() != 4 || s.hosts[1].Current().RoutingAt("/t").IdleMs != 3 {
		t.Error("undecodable records were not skipped")
	}
}

func FuzzUnpack(f *testing.F) {
	state, err := settings.NewState().Export()
	if err != nil {
		f.Fatal(err)
	}
	packed, err := pack(state)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add([]byte("\x1f\x8b"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := unpack(data); (s == nil) == (err == nil) {
			t.Fatalf("state %v with error %v", s, err)
		}
	})
}

// TestChangeWaitsUntilTheHostIsReady guards against ErrNotReady for a change that comes a moment
// before the host has its settings.
func TestChangeWaitsUntilTheHostIsReady(t *testing.T) {
	s := newSite(t)
	h := s.add(false)
	started := time.AfterFunc(50*time.Millisecond, func() { h.ready.Store(true) })
	defer started.Stop()
	if _, err := h.Change(context.Background(), edit("d", "/t", 0, 1)); errors.Is(err, ErrNotReady) {
		t.Errorf("got %v", err)
	}
}
