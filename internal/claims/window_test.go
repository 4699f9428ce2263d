package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// A host that starts after a trim cannot know which claim held the key, so it
// refuses the key, whether or not any records are left.
func TestTrimmedWindowRefuses(t *testing.T) {
	for name, kept := range map[string]int{"some records kept": 1, "all trimmed": 0} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, "a")
			back := claim.Options{}.Window() + time.Minute
			s.log.update(func() { s.log.clock = func() time.Time { return time.Now().Add(-back) } })
			s.mustHold("a", "k")
			stream := StreamName(claim.Partition("frigolijst", "k"))
			s.log.update(func() {
				garbage := platform.Record{Offset: 2, At: s.log.clock(), Data: []byte("garbage")}
				s.log.streams[stream] = append(s.log.streams[stream], garbage)
				s.log.first[stream] = int64(3 - kept)
			})
			s.start("a", 99)
			_, err := s.acquire("a", "k")
			wantCode(t, err, request.CodeKeyUnavailable)

			// Once the trimmed part is older than the window, the key can be claimed again.
			s.log.update(func() { s.log.clock = time.Now })
			s.start("a", 100)
			s.mustHold("a", "k")
		})
	}
}

// A combiner that stopped because it was idle replays the window before it answers.
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
	if err != nil || r.HoldsKey() || r.Offset != first.Offset {
		t.Errorf("%+v, %v", r, err)
	}
}

func TestWindowStartIsSearched(t *testing.T) {
	log := newMemLog()
	start := time.Now().Add(-24 * time.Hour)
	const count = 3 * minSearchRecords
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
	a := newAnswers(AnswerOptions{MaxTotalBytes: 100, MaxAnswerBytes: 60, MaxRecords: 3}, time.Minute, func() time.Time { return now })
	record := func(i, size int) answerKey {
		k := answerKey{"c", fmt.Sprint(i), 1}
		r := a.begin(k)
		_, _ = r.Write(make([]byte, size))
		r.Finish(Ending{State: AnswerComplete})
		return k
	}
	state := func(k answerKey) AnswerState {
		chunk, _ := a.chunkAt(k, 0)
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

func TestAbandonedClaimExpires(t *testing.T) {
	now := time.Now()
	g := newAbandonedClaims(time.Minute, func() time.Time { return now })
	g.add(claim.ID{1})
	g.sweep()
	if !g.contains(claim.ID{1}) || g.contains(claim.ID{2}) {
		t.Error("contains is wrong about a claim")
	}
	now = now.Add(time.Minute + 1)
	g.sweep()
	if g.contains(claim.ID{1}) {
		t.Error("a claim is kept beyond its window")
	}
}
