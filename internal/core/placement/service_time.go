package placement

import "time"

// mostAsked bounds the engines looked at for a ServiceTime.
const mostAsked = 8

// MinServiceTime returns the least time that a request takes on an engine of its
// failure domain from its start to its end, when nothing is ahead of it: its prefill
// without any cache, and its expected answer. It is zero when no engine is live.
func MinServiceTime(v *View, a Request, now time.Time) time.Duration {
	g := v.group(a.Pool, a.Domain)
	if g == nil {
		return 0
	}
	g.rank()
	s := v.estimator(g, &a, leastUrgent, now)
	var least time.Duration
	for i, e := range g.live {
		if i == mostAsked {
			break
		}
		answer := s.share * float64(a.MaxTokens)
		took := tokensTime(float64(a.Tokens), e.prefill(s.opts, now)) + tokensTime(answer, e.decode(s.opts, now))
		if least == 0 || took < least {
			least = took
		}
	}
	return least
}
