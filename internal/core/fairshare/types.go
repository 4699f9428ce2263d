package fairshare

import (
	"math"
	"time"
)

// Window is the time over which the use of engine time counts.
const Window = windowBuckets * bucketSpan

// waitLapse is how long a claim waits after it last asked: callers ask again every 50 or 100 ms,
// and some of these messages are late.
const waitLapse = 300 * time.Millisecond

// agingSteps is the number of steps in which a claim ages while it waits; each counts as one rank.
const agingSteps = 4

// Weights of customers: the one that counts if none is set, and the range to which they are limited,
// so that sums of them are finite.
const (
	defaultWeight = 1.0
	minWeight     = 1e-6
	maxWeight     = 1e6
)

// tolerance is the difference from its fair share up to which a customer is neither below nor above
// it.
const tolerance = time.Millisecond

// Claim is one attempt that needs engine time.
type Claim struct {
	ID       string  // of the attempt; asking again with the same ID is the same claim
	Customer string  // empty: anonymous callers, who together count as one customer
	Host     string  // daemon that sends the attempt and reports its use
	Weight   float64 // of the customer; zero, negative and infinite ones and NaN count as 1
	Rank     int     // 0 is the most urgent; negative ranks count as 0
	Cost     time.Duration
	// LatestStart is until when the claim can wait.
	LatestStart time.Time
	// Late says that the claim misses its objective whenever it is granted, so that it loses little
	// by waiting. Within a rank it does not go before claims that can be in time.
	Late bool
}

// normalized returns the claim with its weight, rank and cost in their ranges. valid is false if a
// value was ignored.
func (c Claim) normalized() (n Claim, valid bool) {
	n, valid = c, c.Rank >= 0 && c.Cost >= 0
	n.Weight = validWeight(c.Weight)
	if c.Weight < 0 || math.IsNaN(c.Weight) || math.IsInf(c.Weight, 0) {
		valid = false
	}
	n.Rank, n.Cost = max(c.Rank, 0), max(c.Cost, 0)
	return n, valid
}

func validWeight(w float64) float64 {
	if w > 0 && !math.IsInf(w, 1) {
		return min(max(w, minWeight), maxWeight)
	}
	return defaultWeight
}

// Share is the account of one customer.
type Share struct {
	Customer string
	Weight   float64
	Use      time.Duration // engine time granted within the window
	Waiting  int           // number of waiting claims
	Demand   time.Duration // Use and the cost of the waiting claims
	Share    time.Duration // fair share of the engine time granted within the window
}

// Below reports whether the customer has used less than its fair share.
func (s *Share) Below() bool { return s.Use < s.Share-tolerance }

// Above reports whether the customer has used more than its fair share.
func (s *Share) Above() bool { return s.Use > s.Share+tolerance }

// WaitingClaim is a claim that waits.
type WaitingClaim struct {
	Claim
	Since         time.Time // it first asked
	EffectiveRank int       // after aging
}

// Use is the engine time that a customer was granted through one daemon.
type Use struct {
	Customer string
	Weight   float64
	Seconds  []time.Duration // in each second of the window, the present one first
}

// Invalid is a value of a message that was ignored.
type Invalid struct {
	Customer string
	Weight   float64
	Rank     int
	Cost     time.Duration
}
