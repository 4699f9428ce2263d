package placement

import (
	"math"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// anyLength is the limit of an engine that accepts long prompts.
const anyLength = math.MaxInt

// boundary sets for each live engine of a group the longest prompt that it accepts.
// The limits rise with the ranks, such that the work of the prompts below the limit
// of the i-th engine is what the first i engines can process, with headroom. So there
// are engines where no much longer prompt delays the shortest ones, while these may go
// to any engine.
//
// Invariant: with two or more live engines the last accepts any prompt, and the first
// only prompts shorter than LongSlack times the length from which prompts are long. The
// first accepts long prompts only while the others could not process the long work. A
// single engine accepts any prompt.
type boundary struct {
	work       Work
	byPriority [request.NumPriorities]float64
	decayedAt  time.Time // of the last decay of work and byPriority
	peers      []peerWork

	limits    []int // by rank
	basis     Work  // the work that the limits were computed from
	longFrom  int   // tokens; the length from which prompts are long that the limits were computed with
	checkedAt time.Time
	promotes  bool // the shortest prompts are a small enough share of the work to be promoted
}

type peerWork struct {
	host string
	work Work
	at   time.Time
}

// peerWorkMaxAge is how long the offered work reported by a peer counts.
const peerWorkMaxAge = 15 * time.Second

func (b *boundary) decay(now time.Time, halfLife time.Duration) {
	if !now.After(b.decayedAt) {
		return
	}
	factor := decayFactor(now.Sub(b.decayedAt), halfLife)
	b.work.scale(factor)
	for i := range b.byPriority {
		b.byPriority[i] *= factor
	}
	b.decayedAt = now
}

func (b *boundary) addOffered(length int, tokens int64, p request.Priority, now time.Time, halfLife time.Duration) {
	b.decay(now, halfLife)
	b.byPriority[p] += float64(tokens)
	b.work[band(length)] += float64(tokens)
}

// shareUpTo returns the share of the offered work that is at least as urgent as p, or
// 1 before any work was offered.
func (b *boundary) shareUpTo(p request.Priority) float64 {
	var upTo, all float64
	for i, tokens := range b.byPriority {
		all += tokens
		if i <= int(p) {
			upTo += tokens
		}
	}
	if all == 0 {
		return 1
	}
	return upTo / all
}

// OfferedWork returns the work offered to this front, zero for an unknown pool or
// domain. It is for the other fronts of the domain, so that all of them compute the
// same boundary.
func (v *View) OfferedWork(poolName, domain string, now time.Time) Work {
	g := v.group(poolName, domain)
	if g == nil {
		return Work{}
	}
	g.boundary.decay(now, v.opts.WorkHalfLife)
	return g.boundary.work
}

// ApplyPeerWork records the work offered to another front, which that front has
// reported. Work with a negative, infinite or NaN value is ignored.
func (v *View) ApplyPeerWork(poolName, domain, host string, w Work, now time.Time) {
	g := v.group(poolName, domain)
	if g == nil || !w.valid() {
		return
	}
	b := &g.boundary
	for i := range b.peers {
		if b.peers[i].host == host {
			b.peers[i] = peerWork{host: host, work: w, at: now}
			return
		}
	}
	b.peers = append(b.peers, peerWork{host: host, work: w, at: now})
}

func (w *Work) valid() bool {
	for _, tokens := range w {
		if !(tokens >= 0) || math.IsInf(tokens, 1) {
			return false
		}
	}
	return true
}

func (v *View) group(poolName, domain string) *group {
	p := v.pools[poolName]
	if p == nil {
		return nil
	}
	return p.groups[domain]
}

// total returns the sum of the front's own work and that of its peers. It removes
// reports of peers that are too old.
func (b *boundary) total(now time.Time) Work {
	sum := b.work
	kept := b.peers[:0]
	for _, p := range b.peers {
		if now.Sub(p.at) > peerWorkMaxAge {
			continue
		}
		kept = append(kept, p)
		sum.add(&p.work)
	}
	b.peers = kept
	return sum
}

// LongPromptEngines returns the number of live engines in a domain, and how many of
// them accept long prompts.
func (v *View) LongPromptEngines(poolName, domain string) (long, live int) {
	g := v.group(poolName, domain)
	if g == nil {
		return 0, 0
	}
	g.rankLive()
	for _, e := range g.live {
		if e.limit() == anyLength {
			long++
		}
	}
	return long, len(g.live)
}

// limit returns the longest prompt that the engine accepts, in tokens.
func (e *Engine) limit() int {
	limits := e.group.boundary.limits
	if e.rank < 0 || e.rank >= len(limits) {
		return anyLength
	}
	return limits[e.rank]
}

// refresh updates the ranks and the boundary. The boundary is recomputed at most once
// per BoundaryDwell, and only when the work has shifted by BoundaryMargin engines or
// longFrom has changed. A change in the number of live engines recomputes it at once.
func (g *group) refresh(o *Options, longFrom int, now time.Time) {
	g.rankLive()
	b := &g.boundary
	if longFrom <= 0 {
		longFrom = b.longFrom // a request without length separation keeps the limits for others
	}
	resized := len(b.limits) != len(g.live)
	if !resized && now.Sub(b.checkedAt) < o.BoundaryDwell {
		return
	}
	b.checkedAt = now
	b.decay(now, o.WorkHalfLife)
	work := b.total(now)
	small := work.shareBelow(o.promoteBelow(longFrom))
	b.promotes = small <= o.PromoteShare
	if !resized && longFrom == b.longFrom {
		shift := work.distance(&b.basis) * float64(len(g.live))
		if shift < o.BoundaryMargin {
			return
		}
	}
	b.limits = computeLimits(&work, len(g.live), longFrom, o)
	b.basis = work
	b.longFrom = longFrom
}

// computeLimits returns the limits in tokens of n engines, by rank. Before any work was
// offered, half of the engines accept long prompts.
func computeLimits(w *Work, n, longFrom int, o *Options) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = anyLength
	}
	if longFrom <= 0 || n < 2 {
		return list
	}
	known := w.Total() > 0
	for i := range n - 1 {
		limit := float64(longFrom - 1)
		if known {
			limit = w.quantile(lowerShare(float64(i+1)/float64(n), o))
		}
		shortOnly := limit < float64(longFrom) && (known || i < n/2)
		if shortOnly || i == 0 {
			list[i] = int(min(limit, float64(longFrom)*o.LongSlack-1))
		}
	}
	return list
}

// lowerShare returns the share of the work for the given share of the engines, those
// with the lowest limits. They get less than an even share, because the same wait is
// worse for a shorter prompt; but the other engines get at most UpperLoad times their
// even share.
func lowerShare(engines float64, o *Options) float64 {
	skewed := math.Pow(engines, o.ShortSkew)
	return max(skewed, 1-o.UpperLoad*(1-engines))
}
