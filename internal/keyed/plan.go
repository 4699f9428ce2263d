package keyed

import (
	"slices"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// Ages of the data at which a read does more, as fractions of Options.Within. Data in a tree whose
// daemons all answer stays below half of Within.
const (
	// takeOverFraction is the age at which a reader reads the store although a reader before it has
	// not answered: the first one that comes after at this age, each other readerFraction later.
	takeOverFraction = 0.56
	readerFraction   = 0.02
	// freshFraction is the age up to which a copy counts as fresh; levelFraction is added for each
	// level of the tree.
	freshFraction = 0.6
	levelFraction = 0.01
	// besideFraction is the age at which a daemon that is no reader asks its next source beside one
	// that has not answered, and gapFraction the time between two such steps. The store comes after
	// besideSteps of them.
	besideFraction = 0.62
	gapFraction    = 0.03
	besideSteps    = 3
	// recoverFraction is how long a read waits at most for records that the store may have lost.
	recoverFraction = 0.05
	// retryFraction is the minimum time between two reads of the store by a daemon that is no
	// reader, while none of its sources answers.
	retryFraction = 0.25
	// lingerFraction is how long a read without open requests waits for its next step.
	lingerFraction = 0.2
	// searchFraction is the minimum time between two searches among all daemons.
	searchFraction = 0.2
)

const (
	// firstWave is the number of daemons that are asked at first when a daemon searches among all
	// for one with fresh data; each further wave has waveGrowth times as many.
	firstWave  = 12
	waveGrowth = 4
	waves      = 5
)

// part returns a fraction of Options.Within.
func (f *Follower) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(f.opts.Within))
}

// maxAge is the age up to which a copy counts as fresh for a daemon at a level of the tree.
func (f *Follower) maxAge(levels int) time.Duration {
	return f.part(freshFraction + levelFraction*float64(levels))
}

// storeAge is the age of the data at which a daemon that is no reader reads the store itself.
func (f *Follower) storeAge(levels int) time.Duration {
	return f.part(besideFraction + levelFraction*float64(levels) + besideSteps*gapFraction)
}

// readAt returns when the read of the store began that the data comes from; ok is false if there
// is no data.
func (f *Follower) readAt() (at time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.at, !f.state.at.IsZero()
}

func always() bool { return true }

// peersOnly returns the step.peers of sources that are known.
func peersOnly(list ...membership.Member) func(*hedgedRead) []membership.Member {
	return func(*hedgedRead) []membership.Member { return list }
}

// plan returns the steps of a read from sources.
func (f *Follower) plan(from sources) []step {
	if from.reader {
		return f.planReader(from)
	}
	return f.planOther(from)
}

// planReader returns the steps of a reader: the readers before it in turn, then the store. When its
// data gets old, it asks each of them when that has taken over, and then reads the store itself.
func (f *Follower) planReader(from sources) []step {
	base, noData := f.base(takeOverFraction)
	position := len(from.before)
	ownRead := later(base.Add(f.part(readerFraction*float64(position))), time.Now())
	var steps []step
	for i, m := range from.before {
		s := step{peers: peersOnly(m), maxAge: f.maxAge(0), hold: f.opts.PeerHold, readers: true, eager: always, due: time.Now()}
		if i > 0 {
			s.due = base.Add(f.part(readerFraction * (float64(i) + 0.5)))
		}
		steps = append(steps, s)
	}
	if noData {
		steps = append(steps, step{peers: f.randomPeers, maxAge: f.maxAge(0), eager: always, due: base.Add(f.part(gapFraction))})
	}
	steps = append(steps,
		step{store: true, eager: always, due: ownRead},
		step{store: true, again: true, due: ownRead.Add(f.part(gapFraction))},
		step{peers: peersOnly(from.after...), maxAge: f.maxAge(0), eager: always, due: ownRead.Add(f.part(gapFraction / 2))},
		step{peers: f.lastHelper, maxAge: f.maxAge(0), eager: always, due: ownRead.Add(f.part(gapFraction / 2))},
		f.fallbackStep(ownRead.Add(f.part(gapFraction)), noData),
	)
	return append(steps, f.search(ownRead.Add(f.part(2*gapFraction)))...)
}

// planOther returns the steps of a daemon that is no reader: its sources in turn, and beside each
// other when its data gets old. Then it reads the store itself.
func (f *Follower) planOther(from sources) []step {
	base, noData := f.base(besideFraction + levelFraction*float64(from.levels))
	gap := f.part(gapFraction)
	var steps []step
	for i, m := range from.before {
		s := step{
			peers: peersOnly(m), maxAge: f.maxAge(from.levels), hold: f.opts.PeerHold, hedgeHold: gap,
			readers: true, eager: always, due: time.Now(),
		}
		if i > 0 {
			s.due = base.Add(time.Duration(min(i, besideSteps)-1) * gap)
		}
		steps = append(steps, s)
	}
	if noData {
		steps = append(steps, step{peers: f.randomPeers, maxAge: f.maxAge(from.levels), eager: always, due: base.Add(gap)})
	}
	steps = append(steps,
		step{peers: f.lastHelper, maxAge: f.maxAge(from.levels), eager: always, due: base.Add(gap)},
		step{store: true, eager: sync.OnceValue(f.isTurn), due: f.ownReadDue(base, noData), postpone: f.postponeOwnRead},
		f.fallbackStep(base.Add((besideSteps+1)*gap), noData),
	)
	return append(steps, f.search(base.Add((besideSteps+2)*gap))...)
}

// base returns when the data will have an age, given as a fraction of Options.Within. If that has
// passed, it returns when reads began to fail, so that the next read goes on where the last one has
// ended. Otherwise, and without data, it leaves the first source a gap to answer.
func (f *Follower) base(fraction float64) (base time.Time, noData bool) {
	now := time.Now()
	soon := now.Add(f.part(gapFraction))
	at, ok := f.readAt()
	if !ok {
		return soon, true
	}
	base = at.Add(f.part(fraction))
	switch {
	case base.After(now):
		return base, false
	case f.stale:
		return later(base, f.staleSince), false
	}
	return soon, false
}

// fallbackStep returns the step that asks a few random daemons.
func (f *Follower) fallbackStep(due time.Time, noData bool) step {
	s := step{peers: f.randomPeers, maxAge: f.maxAge(0), eager: always, due: due, before: func() { f.markStale(errNothingFresh) }}
	if noData {
		// This daemon may have started while its failure domain is cut off: an old copy of a
		// peer in it is better than no service.
		s.maxAge, s.before = anyAge, nil
	}
	return s
}

func (f *Follower) randomPeers(*hedgedRead) []membership.Member { return f.opts.Feed.fallbackPeers() }

// lastHelper returns the daemon that gave fresh data last.
func (f *Follower) lastHelper(r *hedgedRead) []membership.Member {
	for _, m := range f.opts.Feed.peers.Members() {
		if m.Host == f.helper && !r.asked[m.Host] {
			return []membership.Member{m}
		}
	}
	return nil
}

// isTurn reports whether a daemon that is no reader is to read the store at a try at which none of
// its sources had fresh data.
func (f *Follower) isTurn() bool {
	if f.hasNoData() {
		return f.demanded() || time.Since(f.started) >= 2*f.opts.StartupDelay
	}
	try := f.staleTries
	f.staleTries++
	return f.opts.Feed.isTurnToRead(try)
}

// ownReadDue returns when a daemon that is no reader reads the store although it is not its turn,
// zero for never. base is when it begins to ask sources beside each other.
func (f *Follower) ownReadDue(base time.Time, noData bool) time.Time {
	if noData {
		return time.Time{} // see isTurn
	}
	due := base.Add(f.part(besideSteps * gapFraction))
	due = later(due, time.Now().Add(f.part(gapFraction))) // others are to tell of an outage before
	return later(due, f.postponeOwnRead())
}

// postponeOwnRead returns before when this daemon must not read the store unless it is its turn: while
// other daemons say that the store fails, they take turns.
func (f *Follower) postponeOwnRead() time.Time {
	if f.outage.reported(f.opts.Within) {
		f.outage.recordReported()
		return time.Now().Add(f.opts.Within)
	}
	return f.ownRead.Add(f.part(retryFraction))
}

// search returns the steps that ask more and more daemons, until all are asked.
func (f *Follower) search(due time.Time) []step {
	if time.Since(f.searchedAt) < f.part(searchFraction) || f.outage.reported(f.opts.Within) {
		return nil
	}
	due = later(due, time.Now())
	var steps []step
	size := firstWave
	for range waves {
		steps = append(steps, step{peers: f.wave(size), maxAge: f.maxAge(0), due: due})
		due = due.Add(f.part(gapFraction))
		size *= waveGrowth
	}
	return steps
}

// wave returns the step.peers of up to size daemons that the read has not asked yet.
func (f *Follower) wave(size int) func(*hedgedRead) []membership.Member {
	return func(r *hedgedRead) []membership.Member {
		if f.outage.reported(f.opts.Within) {
			return nil // none is likely to have fresh data
		}
		f.searchedAt = time.Now()
		list := f.opts.Feed.shuffledPeers()
		list = slices.DeleteFunc(list, func(m membership.Member) bool { return r.asked[m.Host] || !f.canAsk(m.Host) })
		return list[:min(size, len(list))]
	}
}

// planStart returns the steps of a daemon that has just started: one peer, and further ones beside
// it if it does not answer. All daemons may have started together: then none has any data yet, and
// each peer that is called costs another connection.
func (f *Follower) planStart() []step {
	now := time.Now()
	var steps []step
	for i, m := range f.opts.Feed.fallbackPeers() {
		s := step{peers: peersOnly(m), maxAge: anyAge, due: now.Add(time.Duration(i) * f.part(gapFraction))}
		steps = append(steps, s)
	}
	return steps
}

// planUnknownEra returns the steps of a daemon whose data is of an unknown era: it reads the store.
func (f *Follower) planUnknownEra(from sources) []step {
	base, _ := f.base(besideFraction)
	return []step{
		{store: true, eager: always},
		{peers: f.randomPeers, maxAge: f.maxAge(from.levels), eager: always, due: base},
	}
}
