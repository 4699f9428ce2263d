// Package window sums values over a sliding window of time. It is pure: time is an argument.
package window

import "time"

// Sum is the sum of the values that were added within the last buckets of time. It is not safe
// for concurrent use.
type Sum struct {
	span    time.Duration // of one bucket
	buckets []int64
	newest  int64 // number of the newest bucket, in spans since the epoch
}

// NewSum returns an empty sum over a number of buckets, each of the given span.
func NewSum(buckets int, span time.Duration) *Sum {
	return &Sum{span: span, buckets: make([]int64, buckets)}
}

// Add adds a value at a time. A time before the newest bucket counts as the newest bucket.
func (s *Sum) Add(value int64, now time.Time) {
	s.advance(now)
	s.buckets[s.newest%int64(len(s.buckets))] += value
}

// Total returns the sum at a time.
func (s *Sum) Total(now time.Time) int64 {
	s.advance(now)
	total := int64(0)
	for _, v := range s.buckets {
		total += v
	}
	return total
}

// advance makes the bucket of now the newest one and clears those that have left the window.
func (s *Sum) advance(now time.Time) {
	n := int64(len(s.buckets))
	at := now.UnixNano() / int64(s.span)
	for steps := min(at-s.newest, n); steps > 0; steps-- {
		s.buckets[(at-steps+1)%n] = 0
	}
	s.newest = max(s.newest, at)
}
