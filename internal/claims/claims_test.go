package claims

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

func ask(key string) Ask {
	return Ask{Customer: "frigolijst", Key: key, Fingerprint: 7, NotAfter: time.Now().Add(time.Minute)}
}

func (s *site) acquire(host, key string) (Result, error) {
	s.mu.Lock()
	h := s.hosts[host]
	s.mu.Unlock()
	return h.Acquire(context.Background(), ask(key))
}

// mustHold acquires a key and takes the step before the first byte.
func (s *site) mustHold(host, key string) Result {
	s.t.Helper()
	r, err := s.acquire(host, key)
	if err != nil || !r.Mine() {
		s.t.Fatalf("%s does not hold %s: %+v, %v", host, key, r.Holder, err)
	}
	return r
}

func wantCode(t *testing.T, err error, want request.Code) *request.Refusal {
	t.Helper()
	var refusal *request.Refusal
	if !errors.As(err, &refusal) || refusal.Code != want || refusal.Outcome != request.NotRun {
		t.Fatalf("got %v, want a refusal with code %s", err, want)
	}
	return refusal
}

// records counts the decoded records of a key's partition.
func (l *memLog) records(key string) (claims, releases int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.streams[StreamName(claim.Partition("frigolijst", key))] {
		rec, err := claim.Decode(r.Data)
		switch {
		case err != nil:
		case rec.Claim != nil:
			claims++
		case rec.Release != nil:
			releases++
		}
	}
	return claims, releases
}

func TestOneHolderAndWholeAnswersForAll(t *testing.T) {
	s := newSite(t, "a", "b", "c")
	const callers = 24
	results := make([]Result, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			r, err := s.acquire(s.names[i%3], "basket")
			if err != nil {
				t.Errorf("caller %d: %v", i, err)
			}
			results[i] = r
		})
	}
	wg.Wait()
	var dispatched int
	want := bytes.Repeat([]byte("0123456789"), chunkBytes/4)
	for i, r := range results {
		if r.Mine() {
			if r.Permit.Dispatch(time.Now()) {
				dispatched++
			}
			wg.Go(func() {
				for part := want; len(part) > 0; part = part[len(want)/10:] {
					_, _ = r.Answer.Write(part[:len(want)/10])
				}
				r.Answer.Finish(Ending{State: AnswerComplete})
			})
			continue
		}
		wg.Go(func() {
			var got bytes.Buffer
			end, err := s.hosts[s.names[i%3]].Await(context.Background(), r, &got)
			if err != nil || end.State != AnswerComplete || !bytes.Equal(got.Bytes(), want) {
				t.Errorf("caller %d: %v, %v, %d bytes of %d", i, end.State, err, got.Len(), len(want))
			}
		})
	}
	wg.Wait()
	if dispatched != 1 {
		t.Errorf("%d dispatches", dispatched)
	}
}

func TestAppendFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults []fault
		claims int // records in the log afterwards
	}{
		"no effect":        {[]fault{noEffect, noEffect}, 1},
		"lost answer":      {[]fault{lostAnswer}, 1},
		"doubled":          {[]fault{doubled}, 2},
		"no effect, twice": {[]fault{noEffect, doubled}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, "a", "b")
			s.log.set(func() { s.log.faults = c.faults })
			r := s.mustHold("b", "k")
			if claims, _ := s.log.records("k"); claims != c.claims || !r.Permit.Dispatch(time.Now()) {
				t.Errorf("%d claim records, want %d; permit %v", claims, c.claims, r.Permit.State())
			}
			if again, err := s.acquire("a", "k"); err != nil || again.Mine() || again.Offset != r.Offset {
				t.Errorf("second ask: %+v, %v", again, err)
			}
		})
	}
}

// TestStormOfFaults: with every other append failing in some way, combiners
// coming and going and keys released, no key is dispatched twice, and each
// key can be dispatched in the end.
func TestStormOfFaults(t *testing.T) {
	const keys, workers, asks = 8, 6, 40
	s := newSite(t, "a", "b", "c")
	rng := rand.New(rand.NewPCG(1, 2))
	for range workers * asks {
		f := []fault{noEffect, lostAnswer, doubled, fine, fine, fine}[rng.IntN(6)]
		s.log.faults = append(s.log.faults, f)
	}
	var dispatches [keys]atomic.Int64
	try := func(rng *rand.Rand, host string, n int) {
		r, err := s.acquire(host, fmt.Sprint(n))
		switch {
		case err != nil || !r.Mine():
		case rng.IntN(2) == 0:
			s.hosts[host].Release(r)
		case r.Permit.Dispatch(time.Now()):
			dispatches[n].Add(1)
		}
	}
	var wg sync.WaitGroup
	for w := range workers {
		rng := rand.New(rand.NewPCG(3, uint64(w)))
		wg.Go(func() {
			for i := range asks {
				if w == 0 {
					s.setDown(s.names[i%2], rng.IntN(2) == 0)
				}
				try(rng, s.names[rng.IntN(3)], rng.IntN(keys))
			}
		})
	}
	wg.Wait()
	s.log.set(func() { s.log.faults = nil })
	for n := range dispatches {
		eventually(t, fmt.Sprintf("key %d dispatched", n), func() bool {
			try(rng, "c", n)
			return dispatches[n].Load() > 0
		})
		if d := dispatches[n].Load(); d != 1 {
			t.Errorf("key %d: %d dispatches", n, d)
		}
	}
}

func TestLogAwayRefusesAndRecovers(t *testing.T) {
	s := newSite(t, "a", "b")
	s.log.set(func() { s.log.noLog = true })
	_, err := s.acquire("b", "k")
	if r := wantCode(t, err, request.CodeKeyUnavailable); r.RetryAfter <= 0 {
		t.Error("no Retry-After")
	}
	s.log.set(func() { s.log.noLog = false })
	eventually(t, "a claim is held again", func() bool {
		r, err := s.acquire("b", "k")
		return err == nil && r.Mine()
	})
}

// An append whose record cannot be read back in time leaves no right to
// dispatch, and the key comes free by the front's own release.
func TestUndecidedClaimDiesAndIsReleased(t *testing.T) {
	s := newSite(t, "a", "b")
	s.log.set(func() { s.log.faults = []fault{blinded} })
	a := ask("k")
	a.NotAfter = time.Now().Add(300 * time.Millisecond)
	_, err := s.hosts["b"].Acquire(context.Background(), a)
	wantCode(t, err, request.CodeKeyUnavailable)
	if claims, _ := s.log.records("k"); claims != 1 {
		t.Fatalf("%d claim records", claims)
	}
	s.log.set(func() { s.log.noReads = false })
	eventually(t, "the key is free again", func() bool {
		r, err := s.acquire("a", "k")
		return err == nil && r.Mine() && r.Permit.Dispatch(time.Now())
	})
	if _, releases := s.log.records("k"); releases != 1 {
		t.Errorf("%d releases", releases)
	}
}

func TestAppendsFailUntilDeadline(t *testing.T) {
	s := newSite(t, "a")
	s.log.set(func() { s.log.faults = make([]fault, 100_000) }) // no effect
	a := ask("k")
	a.NotAfter = time.Now().Add(300 * time.Millisecond)
	_, err := s.hosts["a"].Acquire(context.Background(), a)
	wantCode(t, err, request.CodeKeyUnavailable)
	s.log.set(func() { s.log.faults = nil })
	eventually(t, "another ask holds", func() bool {
		r, err := s.acquire("a", "k")
		return err == nil && r.Mine()
	})
	if claims, _ := s.log.records("k"); claims != 1 {
		t.Errorf("%d claim records: one that nobody waits for was appended", claims)
	}
}

func TestReleasedKeyIsSuperseded(t *testing.T) {
	s := newSite(t, "a", "b")
	first := s.mustHold("a", "k")
	if !s.hosts["a"].Release(first) || first.Permit.Dispatch(time.Now()) || s.hosts["a"].Release(first) {
		t.Fatal("a released permit may not be dispatched, nor released again")
	}
	eventually(t, "b supersedes", func() bool {
		r, err := s.acquire("b", "k")
		if err != nil || r.Mine() {
			return err == nil && r.Permit.Dispatch(time.Now())
		}
		end, err := s.hosts["b"].Await(context.Background(), r, &bytes.Buffer{})
		if err != nil || end.State != AnswerReleased {
			t.Errorf("state %v, %v while the release is on its way", end.State, err)
		}
		return false
	})
}

func TestDispatchedKeyIsNotReleased(t *testing.T) {
	s := newSite(t, "a")
	r := s.mustHold("a", "k")
	if !r.Permit.Dispatch(time.Now()) || s.hosts["a"].Release(r) {
		t.Error("a dispatched permit was released")
	}
}

func TestCombinersFail(t *testing.T) {
	s := newSite(t, "a", "b", "c", "d")
	first := s.mustHold("d", "k")
	for _, name := range []string{"a", "b", "c"} {
		s.setDown(name, true)
		r, err := s.acquire("d", "k")
		if err != nil || r.Mine() || r.Offset != first.Offset {
			t.Errorf("without %s: %+v, %v", name, r, err)
		}
		s.mustHold("d", "without "+name)
	}
}

func TestHolderReplaced(t *testing.T) {
	s := newSite(t, "a", "b")
	first := s.mustHold("b", "k")
	first.Permit.Dispatch(time.Now())
	s.start("b", 99)
	for _, name := range s.names {
		r, err := s.acquire(name, "k")
		if err != nil || r.Mine() {
			t.Fatalf("%s: %+v, %v", name, r, err)
		}
		end, err := s.hosts[name].Await(context.Background(), r, &bytes.Buffer{})
		if err != nil || end.State != AnswerMissing || end.Refusal().Outcome != request.Unknown {
			t.Errorf("%s: %v, %v", name, end.State, err)
		}
	}
}

func TestKeysThatAreRefused(t *testing.T) {
	s := newSite(t, "a", "b")
	s.mustHold("a", "k")
	other := ask("k")
	other.Fingerprint++
	_, err := s.hosts["b"].Acquire(context.Background(), other)
	wantCode(t, err, request.CodeKeyConflict)

	old := uuid.Must(uuid.NewV7())
	copy(old[:6], make([]byte, 6)) // 1970
	_, err = s.acquire("a", old.String())
	wantCode(t, err, request.CodeKeyExpired)
	for _, key := range []string{"", "\xff", strings.Repeat("k", claim.MaxKeyBytes+1)} {
		_, err = s.acquire("a", key)
		wantCode(t, err, request.CodeBadRequest)
	}
	s.mustHold("a", uuid.Must(uuid.NewV7()).String())
}

// A host that starts after a trim cannot know who held the key: it refuses, with
// records left or without.
func TestTrimmedWindowRefuses(t *testing.T) {
	for name, kept := range map[string]int{"some records kept": 1, "all trimmed": 0} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, "a")
			back := claim.Options{}.Window() + time.Minute
			s.log.set(func() { s.log.clock = func() time.Time { return time.Now().Add(-back) } })
			s.mustHold("a", "k")
			stream := StreamName(claim.Partition("frigolijst", "k"))
			s.log.set(func() {
				garbage := platform.Record{Offset: 2, At: s.log.clock(), Data: []byte("garbage")}
				s.log.streams[stream] = append(s.log.streams[stream], garbage)
				s.log.first[stream] = int64(3 - kept)
			})
			s.start("a", 99)
			_, err := s.acquire("a", "k")
			wantCode(t, err, request.CodeKeyUnavailable)

			// Once the hole is older than the window, the key is taken again.
			s.log.set(func() { s.log.clock = time.Now })
			s.start("a", 100)
			s.mustHold("a", "k")
		})
	}
}

// A combiner that stopped for want of use replays the window before it answers.
func TestIdleCombinerReplays(t *testing.T) {
	s := newSite(t, "a")
	first := s.mustHold("a", "k")
	c := s.hosts["a"].combiner("frigolijst", "k")
	eventually(t, "the combiner stops", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.running
	})
	r, err := s.acquire("a", "k")
	if err != nil || r.Mine() || r.Offset != first.Offset {
		t.Errorf("%+v, %v", r, err)
	}
}

func TestWindowStartIsSearched(t *testing.T) {
	log := newMemLog()
	start := time.Now().Add(-24 * time.Hour)
	const count = 3 * searchFrom
	for i := range count {
		at := start.Add(time.Duration(i) * 24 * time.Hour / count)
		log.streams["claims-0"] = append(log.streams["claims-0"], platform.Record{Offset: int64(i + 1), At: at, Data: []byte("x")})
	}
	var wg sync.WaitGroup
	c := newCombiner(Options{}.withDefaults(), log, context.Background(), &wg, 0)
	replay, err := c.replayWindow(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if n := replay.Stats().Undecodable; n > count/100 || n < 100 {
		t.Errorf("%d records replayed of %d", n, count)
	}
	if !replay.Clock().After(replay.CertainFrom()) {
		t.Error("the window's start leaves verdicts uncertain")
	}
}

func TestAnswersAreBounded(t *testing.T) {
	now := time.Now()
	a := newAnswers(AnswerOptions{Bytes: 100, OneBytes: 60, Records: 3}, time.Minute, func() time.Time { return now })
	record := func(i, size int) answerKey {
		k := answerKey{"c", fmt.Sprint(i), 1}
		r := a.begin(k)
		_, _ = r.Write(make([]byte, size))
		r.Finish(Ending{State: AnswerComplete})
		return k
	}
	state := func(k answerKey) AnswerState {
		chunk, _ := a.look(k, 0)
		return chunk.State
	}
	first, second, tooLarge := record(1, 50), record(2, 51), record(3, 61)
	if state(first) != AnswerDropped || state(second) != AnswerRunning || state(tooLarge) != AnswerDropped {
		t.Errorf("states %v, %v, %v", state(first), state(second), state(tooLarge))
	}
	record(4, 1)
	if state(first) != AnswerMissing || a.bytes != 52 {
		t.Errorf("oldest outcome %v, %d bytes", state(first), a.bytes)
	}
	now = now.Add(time.Minute + 1)
	a.sweep()
	if state(second) != AnswerDropped || a.bytes != 0 {
		t.Errorf("aged answer %v, %d bytes", state(second), a.bytes)
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// A peer may read a claim as this host's before this host has read it itself.
func TestAnswerIsNotMissingBeforeTheHolderHasReadItsVerdict(t *testing.T) {
	a := newAnswers(AnswerOptions{}, time.Minute, time.Now)
	key := answerKey{"frigolijst", "basket", 7}
	verdictCame := a.expect("frigolijst", "basket")
	alsoAsked := a.expect("frigolijst", "basket")
	alsoAsked()
	chunk, changed := a.look(key, 0)
	if chunk.State != AnswerRunning || changed == nil {
		t.Fatalf("state %v while the verdict is on its way", chunk.State)
	}
	if other, _ := a.look(answerKey{"modder", "basket", 7}, 0); other.State != AnswerMissing {
		t.Errorf("state %v for another customer's key", other.State)
	}
	answer := a.begin(key)
	verdictCame()
	<-changed
	_, _ = answer.Write([]byte("list"))
	answer.Finish(Ending{State: AnswerComplete})
	if chunk, _ := a.look(key, 0); string(chunk.Data) != "list" {
		t.Errorf("got %q", chunk.Data)
	}
	if chunk, _ := a.look(answerKey{"frigolijst", "basket", 8}, 0); chunk.State != AnswerMissing {
		t.Errorf("state %v of a run that never was", chunk.State)
	}
}

// A caller who was told 'not run' must not be told 'unknown' when it comes back.
func TestClaimGivenUpIsAsGoodAsReleased(t *testing.T) {
	s := newSite(t, "a", "b")
	s.log.set(func() { s.log.faults = []fault{blinded} })
	short := ask("basket")
	short.NotAfter = time.Now().Add(200 * time.Millisecond)
	_, err := s.hosts["a"].Acquire(context.Background(), short)
	wantCode(t, err, request.CodeKeyUnavailable)
	s.log.set(func() { s.log.noReads = false })
	eventually(t, "the other host holds the key", func() bool {
		r, err := s.acquire("b", "basket")
		if err != nil || r.Mine() {
			return err == nil
		}
		end, err := s.hosts["b"].Await(context.Background(), r, &bytes.Buffer{})
		if err != nil || end.State != AnswerReleased {
			t.Errorf("%v, %v", end.State, err)
		}
		return false
	})
}

func TestGivenUpIsForgotten(t *testing.T) {
	now := time.Now()
	g := newGivenUp(time.Minute, func() time.Time { return now })
	g.add(claim.ID{1})
	g.sweep()
	if !g.has(claim.ID{1}) || g.has(claim.ID{2}) {
		t.Error("wrong claims known")
	}
	now = now.Add(time.Minute + 1)
	g.sweep()
	if g.has(claim.ID{1}) {
		t.Error("known beyond its window")
	}
}
