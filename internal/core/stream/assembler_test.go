package stream

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const id = "r1"

// token is the text at an index that all valid attempts of the test request give.
func token(i int) string { return fmt.Sprintf("<%d>", i) }

func answer(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(i))
	}
	return b.String()
}

func validChunks(attempt, from, total int) []Chunk {
	var cs []Chunk
	for i := from; i < total; i++ {
		cs = append(cs, Chunk{RequestID: id, Attempt: attempt, Index: i, Text: token(i)})
	}
	return append(cs, Chunk{RequestID: id, Attempt: attempt, Index: total, Done: true, Total: total})
}

// distort loses, repeats, truncates and reorders valid chunks, and mixes in chunks of other
// requests and attempts.
func distort(rng *rand.Rand, cs []Chunk, attempt int) []Chunk {
	var out []Chunk
	for _, c := range cs {
		switch rng.IntN(12) {
		case 0: // lost
			continue
		case 1: // repeated
			out = append(out, c, c)
		case 2: // preceded by a chunk of another request
			out = append(out, Chunk{RequestID: "r2", Attempt: attempt, Index: c.Index, Text: "!", Done: c.Done, Total: 1}, c)
		case 3: // preceded by a chunk of another attempt
			out = append(out, Chunk{RequestID: id, Attempt: attempt + 1 - 2*rng.IntN(2), Index: c.Index, Text: "!", Done: c.Done, Total: 1}, c)
		default:
			out = append(out, c)
		}
	}
	for range rng.IntN(4) {
		if len(out) > 1 {
			i, j := rng.IntN(len(out)), rng.IntN(len(out))
			out[i], out[j] = out[j], out[i]
		}
	}
	return out[:len(out)-rng.IntN(2)*rng.IntN(len(out)+1)]
}

func TestDistortedChunksNeverGiveAWrongAnswer(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20)
	params.MinSuccessfulTests = 500
	props := gopter.NewProperties(params)
	var complete, unfinished int
	props.Property("text is a prefix of the answer, and complete means all of it", prop.ForAll(
		func(seed uint64, total, attempts int) bool {
			rng := rand.New(rand.NewPCG(seed, 1))
			a := New(Options{RequestID: id, MaxHeld: 4})
			var got strings.Builder
			for n := 1; n <= attempts; n++ {
				resumed := rng.IntN(3) == 0 && n > 1
				if resumed {
					n-- // the same attempt on a new connection
					attempts--
				}
				a.StartAttempt(n)
				for _, c := range distort(rng, validChunks(n, a.NextIndex(), total), n) {
					s := a.Accept(c)
					got.WriteString(s.Text)
					if !strings.HasPrefix(answer(total), got.String()) || got.String() != answer(a.NextIndex()) {
						return false
					}
					if s.State == Complete && got.String() != answer(total) {
						return false
					}
					if s.State == Faulty || len(a.held) > 4 {
						return false
					}
				}
			}
			if a.State() == Complete {
				complete++
				return true
			}
			unfinished++
			// A valid stream from NextIndex always completes the answer.
			a.StartAttempt(attempts + 1)
			for _, c := range validChunks(attempts+1, a.NextIndex(), total) {
				got.WriteString(a.Accept(c).Text)
			}
			return a.State() == Complete && got.String() == answer(total)
		}, gen.UInt64(), gen.IntRange(0, 40), gen.IntRange(1, 4)))
	props.TestingRun(t)
	if complete < 50 || unfinished < 50 {
		t.Errorf("too few cases of one kind: %d complete, %d unfinished", complete, unfinished)
	}
}

func TestFaults(t *testing.T) {
	tok := func(i int, text string) Chunk { return Chunk{RequestID: id, Attempt: 1, Index: i, Text: text} }
	end := func(total int) Chunk { return Chunk{RequestID: id, Attempt: 1, Done: true, Total: total} }
	cases := []struct {
		name   string
		chunks []Chunk
		want   Fault
	}{
		{"negative index", []Chunk{tok(-1, "a")}, FaultIndex},
		{"negative total", []Chunk{end(-1)}, FaultTotal},
		{"two totals", []Chunk{tok(0, "a"), end(2), end(3)}, FaultTotal},
		{"more emitted than total", []Chunk{tok(0, "a"), tok(1, "b"), end(1)}, FaultTotal},
		{"more held than total", []Chunk{tok(2, "c"), end(2)}, FaultTotal},
		{"token past total", []Chunk{end(1), tok(1, "b")}, FaultTotal},
		{"two texts", []Chunk{tok(1, "b"), tok(1, "x")}, FaultText},
		{"too many tokens", []Chunk{tok(5, "a")}, FaultTooLong},
		{"total over the bound", []Chunk{end(6)}, FaultTooLong},
		{"marker with text", []Chunk{{RequestID: id, Attempt: 1, Done: true, Text: "a"}}, FaultMarker},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := New(Options{RequestID: id, MaxTokens: 5})
			a.StartAttempt(1)
			for _, k := range c.chunks {
				a.Accept(k)
			}
			var fe *FaultError
			if a.State() != Faulty || !errors.As(a.Err(), &fe) || fe.Fault != c.want {
				t.Fatalf("state %s, error %v, want fault %q", a.State(), a.Err(), c.want)
			}
			if a.StartAttempt(2) {
				t.Error("a faulty answer was started again")
			}
		})
	}
}

func TestGapAsksForResume(t *testing.T) {
	a := New(Options{RequestID: id, MaxHeld: 2})
	a.StartAttempt(1)
	a.Accept(Chunk{RequestID: id, Attempt: 1, Index: 0, Text: "a"})
	if s := a.Accept(Chunk{RequestID: id, Attempt: 1, Index: 4, Text: "e"}); s.State != Gap || a.NextIndex() != 1 {
		t.Fatalf("state %s, next %d; want gap at 1", s.State, a.NextIndex())
	}
	b := New(Options{RequestID: id})
	b.StartAttempt(1)
	if s := b.Accept(Chunk{RequestID: id, Attempt: 1, Done: true, Total: 1}); s.State != Gap {
		t.Fatalf("truncated stream with a marker: %s, want gap", s.State)
	}
	// The total received before the resume still holds for the same attempt.
	b.StartAttempt(1)
	b.Accept(Chunk{RequestID: id, Attempt: 1, Index: 0, Text: "a"})
	if b.State() != Complete {
		t.Fatalf("after the resume: %s, want complete", b.State())
	}
}

func TestNextAttemptMayGiveOtherTokens(t *testing.T) {
	a := New(Options{RequestID: id})
	a.StartAttempt(1)
	a.Accept(Chunk{RequestID: id, Attempt: 1, Index: 1, Text: "x"})
	a.Accept(Chunk{RequestID: id, Attempt: 1, Done: true, Total: 9})
	a.StartAttempt(2)
	var got string
	for i, text := range []string{"a", "b"} {
		got += a.Accept(Chunk{RequestID: id, Attempt: 2, Index: i, Text: text}).Text
	}
	a.Accept(Chunk{RequestID: id, Attempt: 2, Done: true, Total: 2})
	if got != "ab" || a.State() != Complete {
		t.Errorf("got %q, %s (%v), want ab, complete", got, a.State(), a.Err())
	}
}

func TestDropsAreCounted(t *testing.T) {
	a := New(Options{RequestID: id})
	a.Accept(Chunk{RequestID: id}) // no attempt runs
	a.StartAttempt(2)
	a.Accept(Chunk{RequestID: "r2", Attempt: 2})
	a.Accept(Chunk{RequestID: id, Attempt: 1})
	a.Accept(Chunk{RequestID: id, Attempt: 2, Text: "a"})
	a.Accept(Chunk{RequestID: id, Attempt: 2, Text: "a"})
	a.Accept(Chunk{RequestID: id, Attempt: 2, Index: 99, Text: "z"})
	a.Accept(Chunk{RequestID: id, Attempt: 2, Done: true, Total: 1})
	a.Accept(Chunk{RequestID: id, Attempt: 2, Done: true, Total: 7})
	want := DropCounts{ForeignRequest: 1, ForeignAttempt: 2, Duplicate: 1, TooFarAhead: 1, AfterEnd: 1}
	if a.DropCounts() != want || a.State() != Complete {
		t.Errorf("counts %+v in state %s, want %+v, complete", a.DropCounts(), a.State(), want)
	}
	if a.StartAttempt(1) {
		t.Error("a lower attempt was started")
	}
}

func BenchmarkAccept(b *testing.B) {
	a := New(Options{RequestID: id})
	a.StartAttempt(1)
	b.ReportAllocs()
	for i := range b.N {
		a.Accept(Chunk{RequestID: id, Attempt: 1, Index: i, Text: "token"})
	}
}

// TestFirstIndexAboveZero checks an answer whose first tokens were handed out by another run.
func TestFirstIndexAboveZero(t *testing.T) {
	a := New(Options{RequestID: "r", MaxTokens: 4, FirstIndex: 2})
	a.StartAttempt(1)
	if a.NextIndex() != 2 {
		t.Fatalf("next index %d", a.NextIndex())
	}
	var got strings.Builder
	for i, text := range []string{"a", "b", "c", "d"} {
		got.WriteString(a.Accept(Chunk{RequestID: "r", Attempt: 1, Index: i, Text: text}).Text)
	}
	end := a.Accept(Chunk{RequestID: "r", Attempt: 1, Index: 4, Done: true, Total: 4})
	if got.String() != "cd" || end.State != Complete {
		t.Errorf("got %q, %v", got.String(), end.State)
	}
}
