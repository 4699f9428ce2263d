package speed

import (
	"slices"
	"time"
)

const (
	// minExpected is the shortest expected time that a sample may have. Network latency and a
	// daemon that runs late add about 10 ms to an observed time, which is within the neutral range
	// from here on.
	minExpected = 50 * time.Millisecond
	// minPauses is the number of pauses whose median is not that of single long prefills.
	minPauses = 3
	// maxPauses is the number of pauses kept of a stream.
	maxPauses = 16
)

// Stream collects the times of one stream, to make one sample of them. The first event alone has an
// error of half a pass, because a request arrives at any time within one; the pauses alone grow with
// what an engine accepts later. A sample therefore adds both.
type Stream struct {
	first, pass   time.Duration // expected; zero: cannot be compared
	observedFirst time.Duration
	pauses        []time.Duration
}

// NewStream returns a Stream for the expected time to the first event and between two events; a
// time that is not above zero is not known.
func NewStream(first, pass time.Duration) *Stream { return &Stream{first: first, pass: pass} }

// First records the time from sending the request to its first event.
func (s *Stream) First(after time.Duration) { s.observedFirst = after }

// Pause records a pause between two events. Those after the first few are ignored.
func (s *Stream) Pause(pause time.Duration) {
	if len(s.pauses) < maxPauses {
		s.pauses = append(s.pauses, pause)
	}
}

// Times returns the expected and the observed time of the sample; ok is false if the stream was too
// short for one.
func (s *Stream) Times() (expected, observed time.Duration, ok bool) {
	if s.first > 0 && s.observedFirst > 0 {
		expected, observed = s.first, s.observedFirst
	}
	if s.pass > 0 && len(s.pauses) >= minPauses {
		sorted := slices.Sorted(slices.Values(s.pauses))
		expected += s.pass
		observed += sorted[len(sorted)/2]
	}
	return expected, observed, expected >= minExpected
}
