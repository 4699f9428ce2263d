package stream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// eventNames are ways to name the nth event of an answer; numbers need not be consecutive.
var eventNames = []func(n int) string{
	strconv.Itoa,
	func(n int) string { return strconv.Itoa(46*n + n%3) },
	func(n int) string { return fmt.Sprintf("e%x", n*7919) },
}

// TestEventsArePassedOnOnceInOrder guards against events that come twice or out of order, whatever
// the upstreams repeat when they are asked to go on.
func TestEventsArePassedOnOnceInOrder(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(78)
	params.MinSuccessfulTests = 2000
	props := gopter.NewProperties(params)
	repeated, whole := 0, 0
	props.Property("each event once, in order; whole after the last", prop.ForAll(
		func(seed uint64, total, naming int) bool {
			rng := rand.New(rand.NewPCG(seed, 2))
			name := eventNames[naming]
			s := NewSequence("")
			var got []string
			for run := 0; ; run++ {
				s.StartRun()
				from := len(got) + 1 - min(rng.IntN(2), len(got)) // after the last event, or at it
				if rng.IntN(3) == 0 {
					from = 1
				}
				cut := from + rng.IntN(total+2-from+1) // the first event that does not come
				if run > 20 {
					cut = total + 1
				}
				for n := from; n < cut && n <= total; n++ {
					switch s.Accept(name(n)) {
					case Pass:
						got = append(got, name(n))
					case Repeated:
						repeated++
					case Skipped:
						return false
					}
				}
				if cut > total {
					break
				}
			}
			if s.RunIsWhole() {
				whole++
			}
			want := make([]string, total)
			for i := range want {
				want[i] = name(i + 1)
			}
			return slices.Equal(got, want) && s.RunIsWhole()
		}, gen.UInt64(), gen.IntRange(1, 30), gen.IntRange(0, len(eventNames)-1)))
	props.TestingRun(t)
	if repeated < 1000 || whole < 1000 {
		t.Errorf("too few cases of one kind: %d repeated events, %d whole answers", repeated, whole)
	}
}

// TestSequence covers what a further run may send.
func TestSequence(t *testing.T) {
	cases := []struct {
		name          string
		has           string // last event of an earlier answer
		before, after []string
		want          []Step // of after
		whole         bool
	}{
		{"after", "", []string{"1", "2"}, []string{"3"}, []Step{Pass}, true},
		{"nothing is left", "", []string{"1", "2"}, nil, nil, true},
		{"at the last", "", []string{"1", "2"}, []string{"2", "3"}, []Step{Repeated, Pass}, true},
		{"at the last, which was the last of all", "", []string{"1", "2"}, []string{"2"}, []Step{Repeated}, true},
		{"anew", "", []string{"1", "2"}, []string{"1", "2", "3"}, []Step{Repeated, Repeated, Pass}, true},
		{"anew, and ends too soon", "", []string{"1", "2", "3"}, []string{"1", "2"}, []Step{Repeated, Repeated}, false},
		{"anew with texts, and ends too soon", "", []string{"a", "b", "c"}, []string{"a", "b"}, []Step{Repeated, Repeated}, false},
		{"anew with texts", "", []string{"a", "b"}, []string{"a", "b", "c"}, []Step{Repeated, Repeated, Pass}, true},
		{"later", "", []string{"1", "2", "3"}, []string{"5"}, []Step{Skipped}, true},
		{"numbers with gaps", "", []string{"1", "4", "6"}, []string{"9"}, []Step{Pass}, true},
		{"too few to tell", "", []string{"1", "2"}, []string{"4"}, []Step{Pass}, true},
		{"goes back inside", "", []string{"1", "2"}, []string{"3", "2", "4"}, []Step{Pass, Repeated, Pass}, true},
		{"the caller's own resumption", "12", nil, []string{"12", "13"}, []Step{Repeated, Pass}, true},
		{"the caller's own, anew", "2", nil, []string{"1", "2", "3"}, []Step{Repeated, Repeated, Pass}, true},
		{"the caller's own, of another kind", "x", nil, []string{"1", "2"}, []Step{Pass, Pass}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewSequence(c.has)
			s.StartRun()
			for _, id := range c.before {
				if got := s.Accept(id); got != Pass {
					t.Fatalf("event %q before: got %d", id, got)
				}
			}
			if len(c.before) > 0 {
				s.StartRun()
			}
			for i, id := range c.after {
				if got := s.Accept(id); got != c.want[i] {
					t.Fatalf("event %q: got %d, want %d", id, got, c.want[i])
				}
			}
			if got := s.RunIsWhole(); got != c.whole {
				t.Errorf("whole: got %v, want %v", got, c.whole)
			}
		})
	}
}

// TestAnswerWithoutIDsCannotBeResumed covers events that no further run can be told to follow.
func TestAnswerWithoutIDsCannotBeResumed(t *testing.T) {
	s := NewSequence("")
	s.StartRun()
	for _, c := range []struct {
		id  string
		can bool
	}{{"1", true}, {"", false}, {"2", true}} {
		if s.Accept(c.id); s.CanResume() != c.can {
			t.Errorf("after event %q: can be resumed: %v", c.id, s.CanResume())
		}
	}
}
