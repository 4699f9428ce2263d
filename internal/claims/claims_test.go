package claims

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

func newRequest(key string) AcquireRequest {
	return AcquireRequest{Customer: "frigolijst", Key: key, Fingerprint: 7, NotAfter: time.Now().Add(time.Minute)}
}

func (s *site) acquire(host, key string) (Result, error) {
	s.mu.Lock()
	h := s.hosts[host]
	s.mu.Unlock()
	return h.Acquire(context.Background(), newRequest(key))
}

// mustHold acquires a key and fails the test unless the host holds it.
func (s *site) mustHold(host, key string) Result {
	s.t.Helper()
	r, err := s.acquire(host, key)
	if err != nil || !r.HoldsKey() {
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
		if r.HoldsKey() {
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

// A claim whose record cannot be read back in time must not be dispatched, and the
// front's own release frees the key.
func TestUndecidedClaimIsReleased(t *testing.T) {
	s := newSite(t, "a", "b")
	s.log.update(func() { s.log.faults = []fault{lostReplyAndReads} })
	a := newRequest("k")
	a.NotAfter = time.Now().Add(300 * time.Millisecond)
	_, err := s.hosts["b"].Acquire(context.Background(), a)
	wantCode(t, err, request.CodeKeyUnavailable)
	if claims, _ := s.log.records("k"); claims != 1 {
		t.Fatalf("%d claim records", claims)
	}
	s.log.update(func() { s.log.noReads = false })
	eventually(t, "the key is free again", func() bool {
		r, err := s.acquire("a", "k")
		return err == nil && r.HoldsKey() && r.Permit.Dispatch(time.Now())
	})
	if _, releases := s.log.records("k"); releases != 1 {
		t.Errorf("%d releases", releases)
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
		if err != nil || r.HoldsKey() {
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

func TestAnswerIsMissingAfterHolderRestarts(t *testing.T) {
	s := newSite(t, "a", "b")
	first := s.mustHold("b", "k")
	first.Permit.Dispatch(time.Now())
	s.start("b", 99)
	for _, name := range s.names {
		r, err := s.acquire(name, "k")
		if err != nil || r.HoldsKey() {
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
	other := newRequest("k")
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

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// A peer may read from the log that this host holds a key before this host does.
func TestAnswerIsNotMissingBeforeTheHolderHasReadItsVerdict(t *testing.T) {
	a := newAnswers(AnswerOptions{}, time.Minute, time.Now)
	key := answerKey{"frigolijst", "basket", 7}
	verdictDone := a.expectVerdict("frigolijst", "basket")
	otherDone := a.expectVerdict("frigolijst", "basket")
	otherDone()
	chunk, changed := a.chunkAt(key, 0)
	if chunk.State != AnswerRunning || changed == nil {
		t.Fatalf("state %v while the verdict is on its way", chunk.State)
	}
	if other, _ := a.chunkAt(answerKey{"modder", "basket", 7}, 0); other.State != AnswerMissing {
		t.Errorf("state %v for another customer's key", other.State)
	}
	answer := a.begin(key)
	verdictDone()
	<-changed
	_, _ = answer.Write([]byte("list"))
	answer.Finish(Ending{State: AnswerComplete})
	if chunk, _ := a.chunkAt(key, 0); string(chunk.Data) != "list" {
		t.Errorf("got %q", chunk.Data)
	}
	if chunk, _ := a.chunkAt(answerKey{"frigolijst", "basket", 8}, 0); chunk.State != AnswerMissing {
		t.Errorf("state %v of a run that never began", chunk.State)
	}
}

// A caller whose request was refused as not run must not get 'unknown' when it
// repeats the request.
func TestAbandonedClaimReadsAsReleased(t *testing.T) {
	s := newSite(t, "a", "b")
	s.log.update(func() { s.log.faults = []fault{lostReplyAndReads} })
	short := newRequest("basket")
	short.NotAfter = time.Now().Add(200 * time.Millisecond)
	_, err := s.hosts["a"].Acquire(context.Background(), short)
	wantCode(t, err, request.CodeKeyUnavailable)
	s.log.update(func() { s.log.noReads = false })
	eventually(t, "the other host holds the key", func() bool {
		r, err := s.acquire("b", "basket")
		if err != nil || r.HoldsKey() {
			return err == nil
		}
		end, err := s.hosts["b"].Await(context.Background(), r, &bytes.Buffer{})
		if err != nil || end.State != AnswerReleased {
			t.Errorf("%v, %v", end.State, err)
		}
		return false
	})
}
