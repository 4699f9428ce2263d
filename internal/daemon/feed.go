package daemon

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/owner"
	"github.com/buckthorndock/buckthorndock/internal/router"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// Times of the loops that feed the router.
const (
	digestReadInterval   = 20 * time.Millisecond  // between two looks at the owners' digests
	watchTargetsInterval = 200 * time.Millisecond // between two choices of what to watch
	watchInterval        = 100 * time.Millisecond // between two looks at one of them
	watchTimeout         = 400 * time.Millisecond // in which it has to answer
)

// A report is stale, and its engine is looked at directly, when it is much older
// than those of most engines of the pool, and in any case when it is older than
// staleMost, and a little more for each engine of the domain: owners tell less often
// where there are more of them.
const (
	staleMedianFactor = 3                      // times the median age
	minStaleAge       = 700 * time.Millisecond // never stale before
	maxStaleAgeBase   = 2500 * time.Millisecond
	staleAgePerEngine = 60 * time.Millisecond
)

// applySettings passes new settings on.
func (p *process) applySettings(ctx context.Context) error {
	changed, cancel := p.follower.Subscribe()
	defer cancel()
	for {
		snap := p.follower.Current()
		p.router.ApplySettings(snap)
		p.front.ApplySettings(snap)
		p.suspects.ApplySettings(snap)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// incarnationKey names one host's life.
type incarnationKey struct {
	host        string
	incarnation uint64
}

// readDigests passes the load reports and cache events that engine owners spread
// on to the router.
func (p *process) readDigests(ctx context.Context) error {
	seen := map[incarnationKey]uint64{} // version last read
	wait.Every(ctx, digestReadInterval, func(time.Time) {
		for _, section := range p.node.Sections(owner.Section) {
			key := incarnationKey{section.Host, section.Incarnation}
			if section.Domain != p.cfg.Domain || seen[key] == section.Version {
				continue
			}
			seen[key] = section.Version
			p.applyDigest(section)
		}
	})
	return nil
}

func (p *process) applyDigest(section membership.SectionView) {
	digest, err := owner.DecodeDigest(section.Data)
	if err != nil {
		p.log.WithError(err).WithField("from", section.Host).Warn("digest_undecodable")
		return
	}
	for i := range digest.Engines {
		e := &digest.Engines[i]
		incarnation := strconv.FormatUint(uint64(e.IncarnationHash), 16) // placement.ShortIncarnation's form
		p.router.ApplyReport(e.Name, reportOf(e.Load(), incarnation, section.PublishedAt))
		p.router.ApplyCacheEvents(e.Name, incarnation, cacheEventsOf(e.Events()))
	}
}

func reportOf(l owner.Load, incarnation string, at time.Time) placement.Report {
	return placement.Report{
		Incarnation:   incarnation,
		Seq:           l.Seq,
		Taken:         at.Add(-l.Age),
		Step:          l.Step,
		PrefillRate:   l.PrefillRate,
		DecodeRate:    l.DecodeRate,
		Queued:        l.Queued,
		QueuedPrefill: l.QueuedPrefill,
		Running:       l.Running,
		MemoryTotal:   l.MemoryTotal,
		MemoryUsed:    l.MemoryUsed,
		BlockTokens:   l.BlockTokens,
		Models:        l.Models,
		Leaving:       l.Leaving,
	}
}

func cacheEventsOf(events []owner.CacheEvent) []placement.CacheEvent {
	out := make([]placement.CacheEvent, len(events))
	for i, e := range events {
		out[i] = placement.CacheEvent{Seq: e.Seq, Kind: placement.EventKind(e.Kind), Block: e.Block}
	}
	return out
}

// watch has those upstreams of the own domain looked at directly that are not
// known to be well: failing ones, and engines whose owner tells nothing fresh.
func (p *process) watch(ctx context.Context) error {
	defer p.watcher.Wait()
	ticker := time.NewTicker(watchTargetsInterval)
	defer ticker.Stop()
	for {
		p.watcher.SetTargets(ctx, p.watchTargets())
		if n := p.router.Expire(); n > 0 {
			p.log.WithField("attempts", n).Error("attempts_without_end")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *process) watchTargets() []upstream.Target {
	var targets []upstream.Target
	for _, pool := range p.follower.Current().Pools() {
		isEngine := pool.Kind == settings.PoolEngine
		own, others := p.splitByDomain(p.router.Upstreams(pool.Name))
		served := false
		limit := staleAge(own)
		for _, u := range own {
			stale := isEngine && (!u.Reported || u.ReportAge > limit)
			failing := u.State == placement.Dead || u.State == placement.Suspect
			served = served || !failing
			if stale || failing {
				targets = append(targets, upstream.Target{Name: u.Name, Address: u.Address, IsEngine: isEngine})
			}
		}
		if !served && pool.Routing.Spill != settings.SpillNever {
			for _, u := range p.spillTargets(others) {
				targets = append(targets, upstream.Target{Name: u.Name, Address: u.Address, IsEngine: isEngine})
			}
		}
	}
	return targets
}

// staleAge returns the age from which a report of one of these engines is stale.
func staleAge(engines []router.UpstreamStatus) time.Duration {
	var ages []time.Duration
	for _, u := range engines {
		if u.Reported {
			ages = append(ages, u.ReportAge)
		}
	}
	maxAge := maxStaleAgeBase + time.Duration(len(engines))*staleAgePerEngine
	if len(ages) == 0 {
		return maxAge
	}
	slices.Sort(ages)
	return min(max(staleMedianFactor*ages[len(ages)/2], minStaleAge), maxAge)
}

func (p *process) splitByDomain(all []router.UpstreamStatus) (own, others []router.UpstreamStatus) {
	for _, u := range all {
		if u.Domain == p.cfg.Domain {
			own = append(own, u)
		} else {
			others = append(others, u)
		}
	}
	return own, others
}

// maxSpillTargets bounds the upstreams of other domains that one front watches when
// its own domain has none. Each front takes others, so that they share the load.
const maxSpillTargets = 8

// spillTargets returns the upstreams that come first for this host by rendezvous
// hashing.
func (p *process) spillTargets(others []router.UpstreamStatus) []router.UpstreamStatus {
	score := func(u router.UpstreamStatus) uint64 { return xxhash.Sum64String(p.cfg.Host + "\x00" + u.Name) }
	slices.SortFunc(others, func(a, b router.UpstreamStatus) int { return cmp.Compare(score(a), score(b)) })
	return others[:min(len(others), maxSpillTargets)]
}
