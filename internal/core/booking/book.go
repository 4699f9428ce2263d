package booking

import (
	"cmp"
	"slices"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/cost"
	"github.com/buckthorndock/buckthorndock/internal/core/fairshare"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/pace"
)

// Service has the settings of a service of engines.
type Service struct {
	Name    string
	Figures cost.Figures
	MinGap  time.Duration // the shortest gap objective of its routes
	// MinObjective is the shortest objective of its routes until the first event; zero: none.
	MinObjective time.Duration
}

// Book is the state machine that plans attempts. It is not safe for concurrent use.
type Book struct {
	services  map[string]*Service
	engines   map[string]*engine // by ID
	packOrder []*engine          // sorted by packRank
	entries   map[string]*entry  // by attempt
	byHost    map[string]map[string]*entry
	pacer     *pace.Pacer
	arrivals  *arrivals
	accounts  map[string]*fairshare.Accounts // by service
	speeds    *speeds
}

// New returns an empty book.
func New() *Book {
	return &Book{
		services: map[string]*Service{},
		engines:  map[string]*engine{},
		entries:  map[string]*entry{},
		byHost:   map[string]map[string]*entry{},
		pacer:    pace.New(),
		arrivals: newArrivals(),
		accounts: map[string]*fairshare.Accounts{},
		speeds:   newSpeeds(),
	}
}

// Pacer returns the pacer of the book, which gives out the turns at upstreams with limits, engines
// or others.
func (b *Book) Pacer() *pace.Pacer { return b.pacer }

// SetServices replaces the settings of the services.
func (b *Book) SetServices(services []Service) {
	clear(b.services)
	for i := range services {
		b.services[services[i].Name] = &services[i]
	}
	for _, e := range b.engines {
		if s := b.services[e.up.Service]; s != nil {
			e.figures = &s.Figures
			e.invalidate()
		}
	}
}

// SetUpstreams replaces the list of upstreams. An engine that is no longer listed is
// dropped with the parts booked on it.
func (b *Book) SetUpstreams(list *fleet.Snapshot) {
	seen := make(map[string]bool, len(list.Upstreams))
	for _, u := range list.Upstreams {
		s := b.services[u.Service]
		if s == nil {
			continue
		}
		seen[u.ID] = true
		if e := b.engines[u.ID]; e != nil {
			e.up = u
			continue
		}
		b.engines[u.ID] = newEngine(u, &s.Figures)
	}
	for id, e := range b.engines {
		if !seen[id] {
			b.dropEngine(e)
		}
	}
	b.speeds.tracker.Retain(func(id string) bool { return b.engines[id] != nil })
	b.packOrder = b.packOrder[:0]
	for _, e := range b.engines {
		b.packOrder = append(b.packOrder, e)
	}
	slices.SortFunc(b.packOrder, func(x, y *engine) int {
		return cmp.Or(cmp.Compare(x.packRank, y.packRank), cmp.Compare(x.up.ID, y.up.ID))
	})
	b.setCapacities()
}

func (b *Book) dropEngine(e *engine) {
	for _, x := range e.entries {
		x.engines = slices.DeleteFunc(x.engines, func(y *engine) bool { return y == e })
	}
	delete(b.engines, e.up.ID)
}

// Record enters a plan that this book or another one made, and charges the customer. Plans other
// than Booked are ignored.
func (b *Book) Record(a Request, p Plan, now time.Time) {
	b.record(a, p, now)
	if p.Verdict == Booked {
		b.charge(&a, now)
	}
}

// record is Record without the charge.
func (b *Book) record(a Request, p Plan, now time.Time) {
	if p.Verdict != Booked {
		return
	}
	b.End(a.ID)
	x := &entry{req: a, plan: p, prefillStart: now.Add(p.Wait), expires: now.Add(a.Left + expiryGrace)}
	x.long = len(p.Parts) > 1 || p.Read > b.maxShortPrefill(a.Service)
	x.prefillEnd = now.Add(p.First)
	for _, part := range p.Parts {
		if e := b.engines[part.Upstream]; e != nil {
			x.engines = append(x.engines, e)
			e.entries = append(e.entries, x)
			e.invalidate()
		}
	}
	b.entries[a.ID] = x
	hosted := b.byHost[a.Host]
	if hosted == nil {
		hosted = map[string]*entry{}
		b.byHost[a.Host] = hosted
	}
	hosted[a.ID] = x
}

// RecordFirstEvent records the first event of an attempt: its prefill is done.
func (b *Book) RecordFirstEvent(id string) {
	x := b.entries[id]
	if x == nil || x.hasFirst {
		return
	}
	x.hasFirst = true
	for _, e := range x.engines {
		e.invalidate()
	}
}

// End removes an attempt that has ended.
func (b *Book) End(id string) {
	x := b.entries[id]
	if x == nil {
		return
	}
	for _, e := range x.engines {
		e.entries = slices.DeleteFunc(e.entries, func(y *entry) bool { return y == x })
		e.invalidate()
	}
	delete(b.entries, id)
	hosted := b.byHost[x.req.Host]
	delete(hosted, id)
	if len(hosted) == 0 {
		delete(b.byHost, x.req.Host)
	}
}

// expiryGrace is how long an attempt stays in the book after its deadline: its daemon ends it at
// the deadline and reports that within about 10 ms.
const expiryGrace = time.Second

// Expire drops attempts whose end was not reported, for example because the message was lost at
// a change of the keeper. Otherwise each would count as a decode forever.
func (b *Book) Expire(now time.Time) {
	b.arrivals.expire(now)
	b.expireAccounts(now)
	for id, x := range b.entries {
		if now.After(x.expires) {
			b.End(id)
		}
	}
}

// Has reports whether a daemon has attempts in the book.
func (b *Book) Has(host string) bool { return len(b.byHost[host]) > 0 }

// DropHost drops all attempts of a daemon.
func (b *Book) DropHost(host string) {
	for id := range b.byHost[host] {
		b.End(id)
	}
}

// Restore replaces the attempts of a daemon by the open ones that it reports.
func (b *Book) Restore(host string, open []OpenAttempt, now time.Time) {
	b.DropHost(host)
	for _, o := range open {
		booked := now.Add(-o.Age)
		b.record(o.Ask, o.Plan, booked)
		if o.HasFirst {
			b.RecordFirstEvent(o.Ask.ID)
		}
	}
}

// Len returns the number of attempts in the book.
func (b *Book) Len() int { return len(b.entries) }

// Bounds of what counts as a short prompt.
const (
	// pauseMargin is subtracted from the pause that a decode tolerates, for the network
	// latency to the caller and the lag of the book.
	pauseMargin = 20 * time.Millisecond
	// minShortPrefill is a prefill time that is short whatever the gap objectives are.
	minShortPrefill = 30 * time.Millisecond
	// typicalDecodes is the number of decodes for which maxShortPrefill is computed: most of
	// the slots of an engine.
	typicalDecodes = 10
)

// maxShortPrefill returns the longest prefill time that makes no decode of the service late.
func (b *Book) maxShortPrefill(service string) time.Duration {
	s := b.services[service]
	if s == nil || s.MinGap <= 0 {
		return minShortPrefill
	}
	context := int64(typicalDecodes * s.Figures.UsualPrompt)
	pass := time.Duration(s.Figures.Stride) * s.Figures.StepTime(typicalDecodes, context)
	return max(s.MinGap-pass-pauseMargin, minShortPrefill)
}
