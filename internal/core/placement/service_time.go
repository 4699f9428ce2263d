package placement

import "time"

// maxEnginesConsidered is the largest number of engines that MinServiceTime compares.
const maxEnginesConsidered = 8

// MinServiceTime returns the least time that a request takes on a live engine of its
// failure domain when no work is ahead of it: its prefill without cached tokens plus its
// expected answer. It compares at most maxEnginesConsidered engines, and is zero when no
// engine is live.
func MinServiceTime(v *View, r Request, now time.Time) time.Duration {
	g := v.group(r.Pool, r.Domain)
	if g == nil {
		return 0
	}
	g.rankLive()
	s := v.newEstimator(g, &r, lowestPriority, now)
	var shortest time.Duration
	for i, e := range g.live {
		if i == maxEnginesConsidered {
			break
		}
		answer := s.answerShare * float64(r.MaxTokens)
		took := timeForTokens(float64(r.Tokens), e.estimatePrefillRate(s.opts, now)) + timeForTokens(answer, e.estimateDecodeRate(s.opts, now))
		if shortest == 0 || took < shortest {
			shortest = took
		}
	}
	return shortest
}
