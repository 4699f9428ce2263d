package shutdown

import "time"

// Bounds of the times of a shutdown. Each is at most 1/marginDivisor of the grace period, so that
// upstreams have three quarters of a short one too.
const (
	// maxLameDuck is how long a leaving daemon still accepts all requests, until the balancer, which
	// checks once a second and acts on the second answer, has noticed. Requests that arrive within
	// these 3 s, including the network delay, may be in progress until the end of the grace period.
	maxLameDuck = 2900 * time.Millisecond
	// lameDuckDivisor limits it to 1/lameDuckDivisor of the grace period.
	lameDuckDivisor = 2

	marginDivisor = 8
	// maxAnswerMargin is the time in which callers of requests that were not sent get their answers,
	// also over a slow link.
	maxAnswerMargin = 500 * time.Millisecond
	// maxExitMargin is the time reserved for the end of the process. Half of it is for the last
	// answers to callers, the rest for all else.
	maxExitMargin = 500 * time.Millisecond
	// lastAnswerTime is the least time for the answers to requests that were given up. A process that
	// stood still at End has it, too, though it may end after its grace period then.
	lastAnswerTime = maxExitMargin / 2
)

// Times are the moments of a graceful shutdown, in their order.
type Times struct {
	Late     time.Time // requests that come later are served whole or not at all
	LastSend time.Time // nothing is sent to an upstream after it
	End      time.Time // requests in progress are given up, but for those whose answers have begun
	Exit     time.Time // the process ends
}

// TimesOf returns the times of a shutdown that began at a time and must be over a grace period
// later.
func TimesOf(begun time.Time, grace time.Duration) Times {
	exitMargin := min(maxExitMargin, grace/marginDivisor)
	answerMargin := min(maxAnswerMargin, grace/marginDivisor)
	end := begun.Add(grace - exitMargin)
	return Times{
		Late:     begun.Add(min(maxLameDuck, grace/lameDuckDivisor)),
		LastSend: end.Add(-answerMargin),
		End:      end,
		Exit:     end.Add(exitMargin / 2),
	}
}

// ExitBy returns the time at which the process ends at the latest if it gives up the requests in
// progress now: Exit, or later if it was held up.
func (t Times) ExitBy(now time.Time) time.Time {
	if by := now.Add(lastAnswerTime); by.After(t.Exit) {
		return by
	}
	return t.Exit
}
