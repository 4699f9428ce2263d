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

// Times of the loops that update the router.
const (
	digestReadInterval   = 20 * time.Millisecond  // between two reads of the owners' digests
	watchTargetsInterval = 200 * time.Millisecond // between two selections of the upstreams to poll directly
	watchInterval        = 100 * time.Millisecond // between two polls of one of them
	watchTimeout         = 400 * time.Millisecond // of one poll
)

// A report is stale, and its engine is polled directly, when it is much older than
// the median report of the pool, and in any case when it is older than
// maxStaleAgeBase plus staleAgePerEngine for each engine of the pool in this domain:
// owners publish less often where there are more engines.
const (
	staleMedianFactor = 3                      // multiple of the median age
	minStaleAge       = 700 * time.Millisecond // a younger report is never stale
	maxStaleAgeBase   = 2500 * time.Millisecond
	staleAgePerEngine = 60 * time.Millisecond
)

// applySettings passes each version of the settings to the components that use them.
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

// incarnationKey identifies one incarnation of a host.
type incarnationKey struct {
	host        string
	incarnation uint64
}

// readDigests passes the load reports and cache events that engine owners publish
// to the router.
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

// watch polls the watchTargets directly. It also drops attempts whose end was never
// reported to the router.
func (p *process) watch(ctx context.Context) error {
	defer p.watcher.Wait()
	ticker := time.NewTicker(watchTargetsInterval)
	defer ticker.Stop()
	for {
		p.watcher.SetTargets(ctx, p.watchTargets())
		if n := p.router.Expire(); n > 0 {
			p.log.WithField("attempts", n).Error("attempts_expired")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// watchTargets returns the upstreams of this domain that are not known to work:
// failing ones, and engines without a fresh report. If none of a pool works, it adds
// upstreams of other domains, unless the pool never spills over.
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

// splitByDomain separates the upstreams of this failure domain from all others.
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

// maxSpillTargets limits the upstreams of other domains that one front polls for a
// pool when none of its own domain works. Fronts select different ones, so that they
// share the load.
const maxSpillTargets = 8

// spillTargets returns the maxSpillTargets upstreams that rank first for this host by
// rendezvous hashing. It sorts others in place.
func (p *process) spillTargets(others []router.UpstreamStatus) []router.UpstreamStatus {
	score := func(u router.UpstreamStatus) uint64 { return xxhash.Sum64String(p.cfg.Host + "\x00" + u.Name) }
	slices.SortFunc(others, func(a, b router.UpstreamStatus) int { return cmp.Compare(score(a), score(b)) })
	return others[:min(len(others), maxSpillTargets)]
}
