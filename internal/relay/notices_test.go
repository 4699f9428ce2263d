package relay

import (
	"slices"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

// limit has servers name a limit; the wait for a turn there is given.
func (f *fixture) limit(wait time.Duration, ids ...string) {
	f.planner.turns = map[string]time.Duration{}
	for _, id := range ids {
		f.relay.opts.Notices.Heard(id, notice.Notice{Limited: true, Limit: 1}, time.Now())
		f.planner.turns[id] = wait
	}
}

func (f *fixture) sentTo() []string {
	var ids []string
	for _, a := range f.script.sent {
		ids = append(ids, a.To.ID)
	}
	return ids
}

// TestPlainServerWithALimitGetsWhatItsTurnsAllow guards against plain servers that are sent
// more than the limit which they have named: a call goes there with a turn only.
func TestPlainServerWithALimitGetsWhatItsTurnsAllow(t *testing.T) {
	f := newFixture(t, answer(200, "a"), answer(200, "b"))
	f.limit(0, "s1")
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{}); got != nil {
		t.Fatal(got)
	}
	f.limit(time.Hour, "s1", "s2") // no turn there in time
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{}); got != nil {
		t.Fatal(got)
	}
	if want := []string{"s1", "s3"}; !slices.Equal(f.sentTo(), want) || !slices.Equal(f.planner.gave, want[:1]) {
		t.Errorf("sent to %v, turns %v", f.sentTo(), f.planner.gave)
	}
}

func TestCallWithoutATurnInTimeIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.limit(time.Hour, "s1", "s2", "s3")
	got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{})
	if got == nil || got.Code != request.CodeQueueFull || got.Outcome != request.NotRun || got.RetryAfter <= 0 || len(f.script.sent) > 0 {
		t.Errorf("got %+v after %v", got, f.sentTo())
	}
}

func TestCallWaitsForATurnWhereAllServersHaveLimits(t *testing.T) {
	f := newFixture(t, answer(200, "a"))
	f.limit(time.Millisecond, "s1", "s2", "s3")
	if got := f.relay.Run(t.Context(), plainRequest(route.Once, time.Minute), &record{}); got != nil || len(f.planner.gave) != 1 {
		t.Errorf("got %v, turns %v", got, f.planner.gave)
	}
}

func TestLimitsAreSpreadWhenTheyChangeAndNowAndThen(t *testing.T) {
	var told []notice.Limit
	f := newFixture(t)
	n := NewNotices(func(l notice.Limit) { told = append(told, l) }, f.relay.log)
	sent := time.Now()
	for range 3 {
		n.Heard("a", notice.Notice{Limited: true, Limit: 2}, sent)
	}
	if len(told) != 1 || !told[0].Limited || told[0].PerSecond != 2 {
		t.Fatalf("told %+v", told)
	}
	n.told["a"] = sent.Add(-tellAgain)
	n.Heard("a", notice.Notice{Limited: true, Limit: 2}, sent)
	n.Heard("a", notice.Notice{}, time.Now())
	if len(told) != 3 || told[2].Limited || told[2].Upstream != "a" {
		t.Errorf("told %+v", told)
	}
}
