package slots

import (
	"maps"
	"slices"
	"time"
)

// ScarceFor is how long a service counts as scarce after one of its servers has turned a call
// away, or after a request had to wait for a slot.
const ScarceFor = 2 * time.Second

// Ledger has the leases on the slots of plain servers. It is not safe for concurrent use.
//
// Invariants: a lease is granted only at a server with fewer leases than leasable slots, and those
// are never more than its slots. A request with a lease is not waiting. A slot is not granted to a
// request while one that goes before it waits for the same slot. Each lease ends by its release,
// its deadline, the end of its host, or the end of its server.
type Ledger struct {
	servers map[string]*server // by ID
	leases  map[string]*lease  // by ID
	queues  map[string]*queue  // by service
	// firstExpiry is not after the first deadline of a lease; it is zero without leases.
	firstExpiry time.Time
}

type lease struct {
	Lease
	host  string
	route string // empty: not known, as of a lease that was restored
	since time.Time
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{servers: map[string]*server{}, leases: map[string]*lease{}, queues: map[string]*queue{}}
}

// SetServer sets the service and the slots of a server. It returns false for a number of slots
// that is not positive: no leases are granted on such a server.
func (l *Ledger) SetServer(id, service string, slots int) bool {
	if slots <= 0 {
		l.dropServer(id)
		return false
	}
	s := l.servers[id]
	if s == nil {
		s = &server{}
		l.servers[id] = s
	}
	s.service = service
	s.setSlots(slots)
	return true
}

// Retain drops the servers that are not listed, and their leases.
func (l *Ledger) Retain(listed func(id string) bool) {
	for id := range l.servers {
		if !listed(id) {
			l.dropServer(id)
		}
	}
}

func (l *Ledger) dropServer(id string) {
	maps.DeleteFunc(l.leases, func(_ string, x *lease) bool { return x.Server == id })
	delete(l.servers, id)
}

// RecordFull records that a server has turned a call away because it was full. It returns false
// for a server that is not known.
func (l *Ledger) RecordFull(id string, now time.Time) bool {
	s := l.servers[id]
	if s == nil {
		return false
	}
	q := l.queueOf(s.service)
	q.lastScarce = now
	s.recordFull(now)
	s.pause(q.hold, now)
	return true
}

// Acquire answers a request for a slot.
func (l *Ledger) Acquire(r Request, now time.Time) Grant {
	l.expireLeases(now)
	if held := l.leases[r.ID]; held != nil {
		return Grant{Verdict: Granted, Server: held.Server}
	}
	if !now.Before(r.Deadline) {
		l.withdraw(r.ID)
		return Grant{Verdict: Refused}
	}
	r.Servers = l.known(r.Service, r.Servers)
	if len(r.Servers) == 0 {
		return Grant{Verdict: Unavailable}
	}
	q := l.queueOf(r.Service)
	q.expire(now)
	w := q.enter(r, now)
	q.starved = q.counts.starved(now)
	ahead := q.ahead(w, now)
	if id, ok := l.pick(r.Servers, ahead, now); ok {
		delete(q.waiting, r.ID)
		q.counts.of(w.Rank).granted.Add(1, now)
		l.grant(r, id, now)
		return Grant{Verdict: Granted, Server: id}
	}
	return l.wait(q, w, len(ahead), now)
}

// enter returns the waiter of a request; it keeps the arrival of one that waits already, because
// the times in messages vary with their delay.
func (q *queue) enter(r Request, now time.Time) *waiter {
	if known := q.waiting[r.ID]; known != nil {
		known.Servers = r.Servers
		return known
	}
	r.Rank = max(r.Rank, 0)
	q.counts.of(r.Rank).asked.Add(1, now)
	return &waiter{Request: r}
}

// wait enters a request in the queue, or refuses it if no slot is expected before its deadline.
func (l *Ledger) wait(q *queue, w *waiter, ahead int, now time.Time) Grant {
	q.lastScarce = now
	expected := q.expectedWait(ahead, l.leasable(w.Servers, now))
	if now.Add(expected+q.ownTime(w.Route)).After(w.Deadline) || !now.Add(expected).Before(w.Deadline) {
		delete(q.waiting, w.ID)
		return Grant{Verdict: Refused, Wait: expected}
	}
	next := min(max(expected, minAskInterval), maxAskInterval, w.Deadline.Sub(now))
	w.askBy = now.Add(next)
	q.waiting[w.ID] = w
	return Grant{Verdict: Wait, Wait: next}
}

func (l *Ledger) grant(r Request, id string, now time.Time) {
	l.enter(&lease{Lease: Lease{ID: r.ID, Server: id, Until: r.Deadline}, host: r.Host, route: r.Route, since: now})
	s := l.servers[id]
	if s.recovering(now) {
		s.notBefore = now.Add(s.spacing(l.queueOf(s.service).hold))
	}
}

// enter adds a lease on a known server.
func (l *Ledger) enter(x *lease) {
	l.leases[x.ID] = x
	l.servers[x.Server].leased++
	if l.firstExpiry.IsZero() || x.Until.Before(l.firstExpiry) {
		l.firstExpiry = x.Until
	}
}

// known returns those of some servers that the ledger has for a service.
func (l *Ledger) known(service string, ids []string) []string {
	var list []string
	for _, id := range ids {
		if s := l.servers[id]; s != nil && s.service == service {
			list = append(list, id)
		}
	}
	return list
}

func (l *Ledger) leasable(ids []string, now time.Time) int {
	n := 0
	for _, id := range ids {
		s := l.servers[id]
		s.grow(now)
		n += s.leasable
	}
	return n
}

func (l *Ledger) queueOf(service string) *queue {
	q := l.queues[service]
	if q == nil {
		q = &queue{waiting: map[string]*waiter{}, byRoute: map[string]time.Duration{}, counts: grantCounts{}}
		l.queues[service] = q
	}
	return q
}

// pick returns the server with the most free slots that are left after the requests ahead have
// taken theirs; the first of several.
func (l *Ledger) pick(ids []string, ahead []*waiter, now time.Time) (id string, ok bool) {
	free := make(map[string]int, len(ids))
	for _, id := range ids {
		free[id] = l.servers[id].free(now)
	}
	for _, w := range ahead {
		l.reserve(w, free, now)
	}
	return mostFree(ids, free)
}

// Next returns the IDs of the waiting requests that get a slot if they ask now.
func (l *Ledger) Next(now time.Time) []string {
	var next []string
	for _, q := range l.queues {
		next = append(next, l.nextOf(q, now)...)
	}
	return next
}

func (l *Ledger) nextOf(q *queue, now time.Time) []string {
	var next []string
	free := map[string]int{}
	total := 0
	for _, w := range q.waiting {
		for _, id := range w.Servers {
			if _, seen := free[id]; seen || l.servers[id] == nil {
				continue
			}
			free[id] = l.servers[id].free(now)
			total += free[id]
		}
	}
	if total == 0 {
		return nil
	}
	for _, w := range q.ordered(now) {
		if id, ok := mostFree(w.Servers, free); ok {
			free[id]--
			next = append(next, w.ID)
		}
	}
	return next
}

// mostFree returns the server with the most free slots, the first of several.
func mostFree(ids []string, free map[string]int) (id string, ok bool) {
	best := 0
	for _, candidate := range ids {
		if free[candidate] > best {
			id, best = candidate, free[candidate]
		}
	}
	return id, best > 0
}

// reserve takes a slot from free for a waiting request, unless it finds a slot elsewhere.
func (l *Ledger) reserve(w *waiter, free map[string]int, now time.Time) {
	taken, most := "", 0
	for _, id := range w.Servers {
		left, shared := free[id]
		if s := l.servers[id]; !shared && s != nil && s.free(now) > 0 {
			return
		}
		if left > most {
			taken, most = id, left
		}
	}
	if taken != "" {
		free[taken]--
	}
}

// Release ends a lease, or withdraws a request that waits.
func (l *Ledger) Release(id string, now time.Time) {
	x := l.leases[id]
	if x == nil {
		l.withdraw(id)
		return
	}
	// A call that is turned away ends at once, which says nothing about the time of a call.
	if s := l.servers[x.Server]; s != nil && s.lastFull.Before(x.since) {
		l.queueOf(s.service).observeHold(x.route, now.Sub(x.since))
	}
	l.end(id)
}

// end removes a lease.
func (l *Ledger) end(id string) {
	if s := l.servers[l.leases[id].Server]; s != nil {
		s.leased--
	}
	delete(l.leases, id)
}

func (l *Ledger) withdraw(id string) {
	for _, q := range l.queues {
		delete(q.waiting, id)
	}
}

// Waits reports whether a request waits.
func (l *Ledger) Waits(id string) bool {
	for _, q := range l.queues {
		if q.waiting[id] != nil {
			return true
		}
	}
	return false
}

// Restore replaces the leases of a host by those that it reports. They are counted even if they
// are more than the slots, because their calls are running.
func (l *Ledger) Restore(host string, held []Lease, now time.Time) {
	l.endLeases(host)
	for _, x := range held {
		s := l.servers[x.Server]
		if s == nil || l.leases[x.ID] != nil || !now.Before(x.Until) {
			continue
		}
		l.withdraw(x.ID)
		l.enter(&lease{Lease: x, host: host, since: now})
	}
}

func (l *Ledger) endLeases(host string) {
	for id, x := range l.leases {
		if x.host == host {
			l.end(id)
		}
	}
}

// DropHost ends all leases of a host and withdraws its requests.
func (l *Ledger) DropHost(host string) {
	l.endLeases(host)
	for _, q := range l.queues {
		maps.DeleteFunc(q.waiting, func(_ string, w *waiter) bool { return w.Host == host })
	}
}

// Has reports whether a host has leases.
func (l *Ledger) Has(host string) bool {
	for _, x := range l.leases {
		if x.host == host {
			return true
		}
	}
	return false
}

// Expire ends the leases whose calls have passed their deadlines, drops the requests that ask no
// more, and lets the numbers of leasable slots grow.
func (l *Ledger) Expire(now time.Time) {
	l.expireLeases(now)
	for _, q := range l.queues {
		q.expire(now)
	}
	for _, s := range l.servers {
		s.grow(now)
	}
}

// expireLeases ends the leases whose calls have passed their deadlines. It looks at the leases only
// when one of them may have.
func (l *Ledger) expireLeases(now time.Time) {
	if l.firstExpiry.IsZero() || now.Before(l.firstExpiry) {
		return
	}
	l.firstExpiry = time.Time{}
	for id, x := range l.leases {
		switch {
		case !now.Before(x.Until):
			l.end(id)
		case l.firstExpiry.IsZero() || x.Until.Before(l.firstExpiry):
			l.firstExpiry = x.Until
		}
	}
}

// ScarceServices returns the services that are scarce, sorted.
func (l *Ledger) ScarceServices(now time.Time) []string {
	var scarce []string
	for service, q := range l.queues {
		if !q.lastScarce.IsZero() && now.Sub(q.lastScarce) < ScarceFor {
			scarce = append(scarce, service)
		}
	}
	slices.Sort(scarce)
	return scarce
}
