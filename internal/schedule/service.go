package schedule

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/pace"
)

// Peers is what the schedule needs of the other daemons.
type Peers interface {
	// Rank returns up to n live daemons in an order that all agree on.
	Rank(key string, n int) []membership.Member
	// SameDomain reports whether a daemon is in this one's failure domain.
	SameDomain(host string) bool
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options configure a Service.
type Options struct {
	Host        string
	Incarnation uint64
	Peers       Peers
	// BehindCut reports whether a daemon is believed to be behind a cut; Doubt tells of one
	// that did not answer. Both may be nil.
	BehindCut  func(host string) bool
	OnNoAnswer func(host string)
	// Move moves attempts of this daemon to other engines, those that may be, and returns
	// how many. It may be nil.
	Move func(attempts []string) int
	// Limits returns the limits that this daemon has heard. It may be nil.
	Limits func() []notice.Limit
	Log    *logrus.Entry
}

// Times between daemons.
const (
	// placeTimeout bounds a question to the keeper. A round trip between failure
	// domains takes 1 to 2 ms; the bound is a fifth of the shortest objective, so
	// that a plan of the daemon's own is still in time.
	placeTimeout = 60 * time.Millisecond
	// notifyTimeout bounds a message without a caller behind it.
	notifyTimeout = 500 * time.Millisecond
	// flushDelay is how long news waits for more of it. Engines are read in parts
	// of tens of milliseconds, so that this is soon enough.
	flushDelay = 10 * time.Millisecond
	// heartbeatInterval is the time between two messages to the keeper without news.
	heartbeatInterval = 500 * time.Millisecond
	// dropAttemptsAfter is the silence after which a daemon's attempts are dropped.
	dropAttemptsAfter = 2500 * time.Millisecond
	// dropClientAfter is the silence after which a daemon without open attempts is forgotten: it tells
	// nothing while it has none.
	dropClientAfter = time.Minute
	// calledWithin is how long after a question this daemon counts as one that others ask.
	calledWithin = 10 * time.Second
)

// allMembers asks for the ranking of all daemons.
const allMembers = math.MaxInt

// keeperKey is the key whose first live daemon keeps the book.
const keeperKey = "booking"

// Daemons that are looked at for one that answers: the first of all, then the first of the
// own failure domain, for all of the former may be behind one cut.
const (
	keeperCandidates     = 6
	sameDomainCandidates = 3
)

// Service is one daemon's part in the schedule. It is safe for concurrent use.
type Service struct {
	opts Options
	log  *logrus.Entry

	mu      sync.Mutex
	book    *booking.Book
	open    map[string]*booking.OpenAttempt // own attempts, without their age
	bookedAt   map[string]time.Time            // of own attempts
	events    []Event
	clients   map[string]client      // daemons that ask this one
	listedCold    map[string]time.Time // until when upstreams are cold by the list, where it has said so
	silent    *silentHosts
	keeper  string // host that was asked last; empty: this one
	uncoordinated   bool   // those that come before this one are silent, and nobody asks it
	needsRestore bool   // the keeper lacks some of the own attempts
	// restoring: the own attempts are on their way to the keeper.
	restoring bool
	wake      chan struct{}
}

// client is what the keeper knows of another daemon.
type client struct {
	incarnation uint64
	lastMessage          time.Time // of its last message
	restored        bool      // it has told its open attempts
}

// New returns a Service with an empty book.
func New(o Options) *Service {
	return &Service{
		opts:  o,
		log:   o.Log,
		book:  booking.New(),
		open:  map[string]*booking.OpenAttempt{},
		bookedAt: map[string]time.Time{},
		clients: map[string]client{},
		listedCold:  map[string]time.Time{},
		silent:  newSilentHosts(),
		wake:  make(chan struct{}, 1),
	}
}

// Apply takes in the services, the list of upstreams, and which of these are cold.
func (s *Service) Apply(services []booking.Service, list *fleet.Snapshot, cold []pace.ColdLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.SetServices(services)
	s.book.SetUpstreams(list)
	now := time.Now()
	for _, c := range cold {
		if !c.Until.Equal(s.listedCold[c.Upstream]) {
			s.book.Pacer().SetCold(c, now)
		}
		s.listedCold[c.Upstream] = c.Until
	}
	listed := func(id string) bool {
		_, ok := list.Get(id)
		return ok
	}
	maps.DeleteFunc(s.listedCold, func(id string, _ time.Time) bool { return !listed(id) })
	s.book.Pacer().RetainListed(listed, now)
}

func (s *Service) self() sender {
	return sender{Host: s.opts.Host, Incarnation: s.opts.Incarnation}
}

// candidates returns the daemons that may keep the book, in order.
func (s *Service) candidates() []membership.Member {
	ranked := s.opts.Peers.Rank(keeperKey, allMembers)
	return membership.TopAndNearby(ranked, keeperCandidates, sameDomainCandidates, s.opts.Peers.SameDomain)
}

func (s *Service) behindCut(host string) bool { return s.opts.BehindCut != nil && s.opts.BehindCut(host) }

// recentlyCalled reports whether others have asked this daemon of late. The caller holds the lock.
func (s *Service) recentlyCalled(now time.Time) bool {
	for _, l := range s.clients {
		if now.Sub(l.lastMessage) < calledWithin {
			return true
		}
	}
	return false
}

// findKeeper returns the daemon to ask; ok is false when it is this one. skipped says that
// others come before it and do not answer.
func (s *Service) findKeeper() (m membership.Member, ok, skipped bool) {
	for _, m := range s.candidates() {
		if m.Host == s.opts.Host {
			return m, false, skipped
		}
		if s.silent.hosts[m.Host] || s.behindCut(m.Host) {
			skipped = true
			continue
		}
		return m, true, skipped
	}
	return membership.Member{}, false, skipped
}

// chooseKeeper returns the keeper and notes a change of it. The caller holds the lock.
func (s *Service) chooseKeeper(now time.Time) (m membership.Member, remote bool) {
	m, remote, skipped := s.findKeeper()
	s.uncoordinated = !remote && skipped && !s.recentlyCalled(now)
	share := pace.FallbackShare
	if !remote && !skipped {
		share = pace.FullShare
	}
	s.book.Pacer().SetShare(share)
	host := ""
	if remote {
		host = m.Host
	}
	if host != s.keeper {
		s.log.WithFields(logrus.Fields{"keeper": host, "former": s.keeper, "open": len(s.open)}).Info("book_keeper_changed")
		s.keeper = host
		s.needsRestore = remote && len(s.open)+len(s.limitMessages(now)) > 0
		s.signal() // the new one is to know at once what is under way
	}
	return m, remote
}

// Place plans an attempt: by the keeper, else by what is known here.
func (s *Service) Place(ctx context.Context, a booking.Request) booking.Plan {
	s.mu.Lock()
	now := time.Now()
	keeper, remote := s.chooseKeeper(now)
	if !remote {
		defer s.mu.Unlock()
		return s.placeLocally(a, s.uncoordinated, now)
	}
	news := s.takeEvents()
	s.mu.Unlock()

	var reply PlaceReply
	err := s.call(ctx, keeper, "Place", placeTimeout, &PlaceRequest{From: s.self(), Ask: a, Events: news}, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	now = time.Now()
	if err == nil {
		s.silent.recordAnswer(keeper.Host, now)
	}
	if err != nil {
		s.recordNoAnswer(ctx, keeper, err, now)
		return s.placeLocally(a, true, now)
	}
	if reply.Unknown || s.restoring {
		// What is on its way does not have this attempt and replaces what the keeper knows.
		s.needsRestore = true
		s.signal()
	}
	if reply.Plan.Verdict == booking.NoEngine {
		// A keeper that has just started may not have the list yet.
		p := s.placeLocally(a, true, now)
		s.needsRestore = s.needsRestore || p.Verdict == booking.Booked
		return p
	}
	s.book.Record(a, reply.Plan, now)
	s.recordOwn(a, reply.Plan, now)
	return reply.Plan
}

// placeLocally plans by what is known here; alone says that another daemon may plan for others
// meanwhile. The caller holds the lock.
func (s *Service) placeLocally(a booking.Request, alone bool, now time.Time) booking.Plan {
	place := s.book.Place
	if alone {
		place = s.book.PlaceUncoordinated
	}
	p := place(a, now)
	s.recordOwn(a, p, now)
	s.scheduleDisplace(a.ID, p)
	return p
}

// takeEvents returns what a question to the keeper takes with it: nothing while the keeper is
// to be told all open attempts, for news that overtakes these would be undone by them. The
// caller holds the lock.
func (s *Service) takeEvents() []Event {
	if s.needsRestore || s.restoring {
		return nil
	}
	news := s.events
	s.events = nil
	return news
}

func (s *Service) call(ctx context.Context, to membership.Member, method string, wait time.Duration, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return s.opts.Peers.Call(ctx, to.Address, ServiceName+"."+method, args, reply)
}

// recordNoAnswer notes that a daemon did not answer. The caller holds the lock.
func (s *Service) recordNoAnswer(ctx context.Context, m membership.Member, err error, now time.Time) {
	s.needsRestore = true // news may be lost with the message
	if ctx.Err() != nil {
		return // the request has ended; that says nothing of the daemon
	}
	if s.opts.OnNoAnswer != nil {
		s.opts.OnNoAnswer(m.Host)
	}
	span := s.silent.recordFailure(m.Host, now)
	s.log.WithError(err).WithFields(logrus.Fields{"keeper": m.Host, "avoid_ms": span.Milliseconds()}).Warn("book_keeper_silent")
}

func (s *Service) recordOwn(a booking.Request, p booking.Plan, now time.Time) {
	if p.Verdict != booking.Booked {
		return
	}
	s.open[a.ID] = &booking.OpenAttempt{Ask: a, Plan: p}
	s.bookedAt[a.ID] = now
}

// FirstEvent notes the first event of an own attempt.
func (s *Service) FirstEvent(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.RecordFirstEvent(attempt)
	if o := s.open[attempt]; o != nil {
		o.HasFirst = true
		s.enqueue(Event{Attempt: attempt})
	}
}

// End notes the end of an own attempt.
func (s *Service) End(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.End(attempt)
	if s.open[attempt] == nil {
		return
	}
	delete(s.open, attempt)
	delete(s.bookedAt, attempt)
	s.enqueue(Event{Attempt: attempt, Ended: true})
}

func (s *Service) enqueue(e Event) {
	if s.keeper == "" {
		return
	}
	s.events = append(s.events, e)
	s.signal()
}

func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
