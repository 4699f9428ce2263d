package placement

import (
	"math"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

// Work is the offered work of a pool in a failure domain, in prompt tokens that
// no cache held, faded by the half-life of the options.
type Work struct {
	Short float64
	Long  float64
}

// boundary says how many engines of a group may take long prompts: those with the
// lowest ranks. The others are kept for short ones, which may go anywhere.
// Invariant: with two or more live engines each class has at least one.
type boundary struct {
	work       Work
	byPriority [request.NumPriorities]float64
	at         time.Time // of the fading

	peers []peerWork

	long    int // engines for long prompts at the last move
	of      int // live engines at the last move
	changed time.Time
	settled bool // a first value has been set
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
	b.work.Short *= factor
	b.work.Long *= factor
	for i := range b.byPriority {
		b.byPriority[i] *= factor
	}
	b.at = now
}

func (b *boundary) offer(c Class, tokens int64, p request.Priority, now time.Time, halfLife time.Duration) {
	b.fade(now, halfLife)
	b.byPriority[p] += float64(tokens)
	if c == Long {
		b.work.Long += float64(tokens)
		return
	}
	b.work.Short += float64(tokens)
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

// ApplyPeerWork takes in the offered work that another front has told.
func (v *View) ApplyPeerWork(poolName, domain, host string, w Work, now time.Time) {
	g := v.group(poolName, domain)
	if g == nil {
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

func (v *View) group(poolName, domain string) *group {
	p := v.pools[poolName]
	if p == nil {
		return nil
	}
	return p.groups[domain]
}

// Boundary returns how many of the live engines may take long prompts.
func (v *View) Boundary(poolName, domain string, now time.Time) (long, live int) {
	g := v.group(poolName, domain)
	if g == nil {
		return 0, 0
	}
	g.refresh(&v.opts, now)
	return g.longEngines(), g.live
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
		sum.Short += p.work.Short
		sum.Long += p.work.Long
	}
	b.peers = kept
	return sum
}

// longEngines returns the engines for long prompts; an engine alone serves both.
func (g *group) longEngines() int {
	if g.live <= 1 {
		return g.live
	}
	if !g.boundary.settled {
		return g.live / 2
	}
	return min(max(g.boundary.long, 1), g.live-1)
}

// refresh brings the ranks and the boundary up to date.
func (g *group) refresh(o *Options, now time.Time) {
	g.rank()
	if g.live <= 1 {
		return
	}
	b := &g.boundary
	b.fade(now, o.WorkHalfLife)
	resized := b.of != g.live
	if b.settled && !resized && now.Sub(b.changed) < o.BoundaryDwell {
		return
	}
	work := b.total(now)
	all := work.Short + work.Long
	if !(all > 0) {
		return
	}
	target := float64(g.live) * (1 - o.ShortHeadroom*work.Short/all)
	if b.settled && !resized && math.Abs(target-float64(b.long)) < o.BoundaryMargin {
		return
	}
	b.long = min(max(int(math.Floor(target)), 1), g.live-1)
	b.of = g.live
	b.changed = now
	b.settled = true
}
