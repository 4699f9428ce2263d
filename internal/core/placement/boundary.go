package placement

import (
	"math"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// anyLength is the limit of an engine that takes long prompts.
const anyLength = math.MaxInt

// boundary sets for each live engine of a group the longest prompt that it takes.
// The limits rise along the ranks such that the work of the prompts below the
// limit of the i-th engine is what the first i engines can carry, with headroom.
// So the shortest prompts have engines that nothing much longer ever holds up,
// while they may go anywhere.
//
// Invariant: with two or more live engines the last takes any prompt and the first
// none of LongSlack times the length from which prompts are long; it takes a long
// one at all only while the others could not carry the long work. An engine alone
// takes any.
type boundary struct {
	work       Work
	byPriority [request.NumPriorities]float64
	at         time.Time // of the fading
	peers      []peerWork

	limits   []int // by rank
	basis    Work  // the work that gave the limits
	longFrom int   // that gave the limits
	checked  time.Time
	promotes bool // the shortest prompts are few enough to go before others
}

type peerWork struct {
	host string
	work Work
	at   time.Time
}

// peerWorkLife is how long the offered work that a peer has told counts.
const peerWorkLife = 15 * time.Second

func (b *boundary) fade(now time.Time, halfLife time.Duration) {
	if !now.After(b.at) {
		return
	}
	factor := fade(now.Sub(b.at), halfLife)
	b.work.scale(factor)
	for i := range b.byPriority {
		b.byPriority[i] *= factor
	}
	b.at = now
}

func (b *boundary) offer(length int, tokens int64, p request.Priority, now time.Time, halfLife time.Duration) {
	b.fade(now, halfLife)
	b.byPriority[p] += float64(tokens)
	b.work[band(length)] += float64(tokens)
}

// shareUpTo returns the part of the offered work that is at least as urgent as p,
// 1 before any work was seen.
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

// OfferedWork returns this front's own offered work, to be told to the other
// fronts of the domain so that all move the boundary alike.
func (v *View) OfferedWork(poolName, domain string, now time.Time) Work {
	g := v.group(poolName, domain)
	if g == nil {
		return Work{}
	}
	g.boundary.fade(now, v.opts.WorkHalfLife)
	return g.boundary.work
}

// ApplyPeerWork takes in the offered work that another front has told. Negative
// and infinite work is ignored.
func (v *View) ApplyPeerWork(poolName, domain, host string, w Work, now time.Time) {
	g := v.group(poolName, domain)
	if g == nil || !w.sane() {
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

func (w *Work) sane() bool {
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

// total adds the peers' work to the own and drops what is too old.
func (b *boundary) total(now time.Time) Work {
	sum := b.work
	kept := b.peers[:0]
	for _, p := range b.peers {
		if now.Sub(p.at) > peerWorkLife {
			continue
		}
		kept = append(kept, p)
		sum.add(&p.work)
	}
	b.peers = kept
	return sum
}

// LongPromptEngines returns how many live engines a domain has, and how many of them take
// long prompts.
func (v *View) LongPromptEngines(poolName, domain string) (long, live int) {
	g := v.group(poolName, domain)
	if g == nil {
		return 0, 0
	}
	g.rank()
	for _, e := range g.live {
		if e.limit() == anyLength {
			long++
		}
	}
	return long, len(g.live)
}

// limit returns the longest prompt that the engine takes, in tokens.
func (e *Engine) limit() int {
	limits := e.group.boundary.limits
	if e.rank < 0 || e.rank >= len(limits) {
		return anyLength
	}
	return limits[e.rank]
}

// refresh brings the ranks and the boundary up to date. The boundary moves at most
// once in a dwell time, and only when the work has shifted by a good part of an
// engine, unless engines have come or gone.
func (g *group) refresh(o *Options, longFrom int, now time.Time) {
	g.rank()
	b := &g.boundary
	if longFrom <= 0 {
		longFrom = b.longFrom // an ask without separation leaves that of others
	}
	resized := len(b.limits) != len(g.live)
	if !resized && now.Sub(b.checked) < o.BoundaryDwell {
		return
	}
	b.checked = now
	b.fade(now, o.WorkHalfLife)
	work := b.total(now)
	small := work.shareBelow(o.promoteBelow(longFrom))
	b.promotes = small <= o.PromoteShare
	if !resized && longFrom == b.longFrom {
		shift := work.distance(&b.basis) * float64(len(g.live))
		if shift < o.BoundaryMargin {
			return
		}
	}
	b.limits = limits(&work, len(g.live), longFrom, o)
	b.basis = work
	b.longFrom = longFrom
}

// limits divides n engines by length. Without any work seen half of them take
// long prompts.
func limits(w *Work, n, longFrom int, o *Options) []int {
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
		kept := limit < float64(longFrom) && (known || i < n/2)
		if kept || i == 0 {
			list[i] = int(min(limit, float64(longFrom)*o.LongSlack-1))
		}
	}
	return list
}

// lowerShare returns the share of the work for a share of the engines, those with
// the lowest limits. They get less than their even part, because the same wait is
// worse for a shorter prompt; but no more than UpperLoad times its even part is
// left to the others.
func lowerShare(engines float64, o *Options) float64 {
	skewed := math.Pow(engines, o.ShortSkew)
	return max(skewed, 1-o.UpperLoad*(1-engines))
}
