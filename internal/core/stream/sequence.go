package stream

import "strconv"

// Step is what becomes of an event of a run.
type Step uint8

// Steps.
const (
	Pass     Step = iota // the event is the next one
	Repeated             // the caller has it already
	Skipped              // the run goes on later than where it was asked to: events are missing
)

// minConsecutive is the number of events with consecutive numbers from which a later gap is taken for
// missing events: numbers of few events may follow each other by chance.
const minConsecutive = 3

// Sequence decides which events of a stream are passed on, over all its runs: each once, in order. It
// is not safe for concurrent use.
//
// A run is asked to go on after the last event. Its upstream may repeat that event, or begin anew. IDs that are
// numbers increase; others are compared with the first and the last event of the answer only.
type Sequence struct {
	first, last string // IDs of the first and the last event passed on
	passed      int    // events that were passed on
	consecutive bool   // each event so far had the number after that of the one before
	unnamed     bool   // the last event passed on has no ID

	resumed  bool   // the present run is asked to go on after last
	started  bool   // an event of the present run was passed on
	lastRead string // ID of the last event of the present run
	behind   bool   // the present run has begun anew and has not come to last yet
}

// NewSequence returns the Sequence of an answer. last is the ID of the last event that the caller has from
// an earlier answer, empty if it has none.
func NewSequence(last string) *Sequence {
	return &Sequence{last: last, resumed: last != "", consecutive: true}
}

// Last returns the ID of the last event that the caller has, empty if it has none.
func (s *Sequence) Last() string { return s.last }

// CanResume reports whether a further run can be told where to go on.
func (s *Sequence) CanResume() bool { return !s.unnamed }

// StartRun begins a further run.
func (s *Sequence) StartRun() {
	s.resumed = s.last != ""
	s.started, s.behind, s.lastRead = false, false, ""
}

// Accept takes in the ID of the next event of the run, empty if it has none.
func (s *Sequence) Accept(id string) Step {
	if s.resumed {
		switch {
		case s.repeats(id):
			s.lastRead = id
			return Repeated
		case !s.started && s.skips(id):
			return Skipped
		}
	}
	s.note(id)
	return Pass
}

// RunIsWhole reports whether a run that ends now has come to the last event that the caller has.
func (s *Sequence) RunIsWhole() bool {
	return !s.resumed || s.started || s.lastRead == "" || s.lastRead == s.last
}

// repeats reports whether the caller has an event of a resumed run already.
func (s *Sequence) repeats(id string) bool {
	if id == "" {
		return s.behind
	}
	n, last, numbers := asNumbers(id, s.last)
	switch {
	case numbers:
		s.behind = n < last
		return n <= last
	case id == s.last:
		s.behind = false
		return true
	case !s.started && id == s.first:
		s.behind = true
	}
	return s.behind
}

// skips reports whether the first new event of a run shows that events are missing before it.
func (s *Sequence) skips(id string) bool {
	n, last, numbers := asNumbers(id, s.last)
	return numbers && s.consecutive && s.passed >= minConsecutive && n > last+1
}

// note records an event that is passed on.
func (s *Sequence) note(id string) {
	if s.passed == 0 {
		s.first = id
	}
	n, last, numbers := asNumbers(id, s.last)
	if s.passed > 0 && (!numbers || n != last+1) {
		s.consecutive = false
	}
	s.passed++
	s.started, s.behind = true, false
	s.unnamed = id == ""
	if id != "" {
		s.last, s.lastRead = id, id
	}
}

// asNumbers returns two IDs as numbers; ok is false if one is none.
func asNumbers(a, b string) (x, y uint64, ok bool) {
	x, errX := strconv.ParseUint(a, 10, 64)
	y, errY := strconv.ParseUint(b, 10, 64)
	return x, y, errX == nil && errY == nil
}
