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
	"github.com/buckthorndock/buckthorndock/internal/speedlog"
)

// Peers gives access to the other daemons.
type Peers interface {
	// Rank returns up to n live daemons in an order that all agree on.
	Rank(key string, n int) []membership.Member
	// SameDomain reports whether a daemon is in this one's failure domain.
	SameDomain(host string) bool
	// Call calls a method of the daemon at an address.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options configure a Service.
type Options struct {
	Host        string
	Incarnation uint64
	Peers       Peers
	// BehindCut reports whether a daemon counts as unreachable because its failure domain is
	// cut off. It may be nil.
	BehindCut func(host string) bool
	// OnNoAnswer is called with the host of a daemon that did not answer. It may be nil.
	OnNoAnswer func(host string)
	// Move moves those of the attempts of this daemon that may be moved to other engines, and
	// returns how many. It may be nil.
	Move func(attempts []string) int
	// Limits returns the limits that were reported to this daemon. It may be nil.
	Limits func() []notice.Limit
	Log    *logrus.Entry
}

// Timeouts and intervals of messages between daemons.
const (
	// placeTimeout bounds a call to the keeper that a request waits for. A round trip
	// between failure domains takes 1 to 2 ms; the bound is a fifth of the shortest
	// objective, so that after a timeout the daemon's own plan is still in time.
	placeTimeout = 60 * time.Millisecond
	// notifyTimeout bounds a call that no request waits for.
	notifyTimeout = 500 * time.Millisecond
	// flushDelay is how long an event waits for others to be sent with it. Prefill takes
	// tens of milliseconds, so that this is soon enough.
	flushDelay = 10 * time.Millisecond
	// heartbeatInterval is the time between two messages to the keeper without events.
	heartbeatInterval = 500 * time.Millisecond
	// dropAttemptsAfter is the silence after which a daemon's attempts are dropped.
	dropAttemptsAfter = 2500 * time.Millisecond
	// dropClientAfter is the silence after which a daemon without open attempts is dropped: it
	// sends nothing while it has none.
	dropClientAfter = time.Minute
	// calledWithin is how long after a call by another daemon this one counts as a keeper in
	// use.
	calledWithin = 10 * time.Second
)

// allMembers is passed to Peers.Rank for the ranking of all daemons.
const allMembers = math.MaxInt

// keeperKey is the rendezvous key: the first live daemon in its ranking keeps the book.
const keeperKey = "booking"

// Numbers of daemons that are considered as keepers: the first in the ranking, then the first
// of the own failure domain, for all of the former may be behind one cut.
const (
	keeperCandidates     = 6
	sameDomainCandidates = 3
)

// Service is one daemon's part in the schedule. It is safe for concurrent use.
type Service struct {
	opts Options
	log  *logrus.Entry

	mu            sync.Mutex
	book          *booking.Book
	open          map[string]*booking.OpenAttempt // own attempts, with Age unset
	bookedAt      map[string]time.Time            // when own attempts were booked
	events        []Event
	clients       map[string]client    // daemons that call this one, by host
	listedCold    map[string]time.Time // by ID: until when an upstream is cold according to the list
	silent        *silentHosts
	slots         slotLeases
	speedLog      *speedlog.Log
	badSamples    badSamples
	keeper        string // host of the present keeper; empty: this one
	uncoordinated bool   // those that rank before this one are silent, and no other daemon calls it
	needsRestore  bool   // the keeper lacks some of the own attempts
	// restoring says that a RestoreRequest is under way.
	restoring bool
	wake      chan struct{}
	demand    *demandRecorder // has its own lock
	urgent    chan struct{}   // as wake, for events that are sent without delay
}

// client is what the keeper knows of another daemon.
type client struct {
	incarnation uint64
	lastMessage time.Time // time of its last message
	restored    bool      // it has sent its open attempts
}

// New returns a Service with an empty book.
func New(o Options) *Service {
	return &Service{
		opts:       o,
		log:        o.Log,
		book:       booking.New(),
		open:       map[string]*booking.OpenAttempt{},
		bookedAt:   map[string]time.Time{},
		clients:    map[string]client{},
		listedCold: map[string]time.Time{},
		silent:     newSilentHosts(),
		slots:      newSlotLeases(),
		speedLog:   speedlog.New(o.Log),
		wake:       make(chan struct{}, 1),
		demand:     newDemandRecorder(),
		urgent:     make(chan struct{}, 1),
	}
}

// Apply replaces the services, the list of upstreams, and which of these are cold according to
// the list.
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
	s.applySlots(services, list)
}

func (s *Service) self() sender {
	return sender{Host: s.opts.Host, Incarnation: s.opts.Incarnation}
}

// candidates returns the daemons that may keep the book, in order of preference.
func (s *Service) candidates() []membership.Member {
	ranked := s.opts.Peers.Rank(keeperKey, allMembers)
	return membership.TopAndNearby(ranked, keeperCandidates, sameDomainCandidates, s.opts.Peers.SameDomain)
}

func (s *Service) behindCut(host string) bool {
	return s.opts.BehindCut != nil && s.opts.BehindCut(host)
}

// recentlyCalled reports whether other daemons have called this one recently. The caller holds
// the lock.
func (s *Service) recentlyCalled(now time.Time) bool {
	for _, c := range s.clients {
		if now.Sub(c.lastMessage) < calledWithin {
			return true
		}
	}
	return false
}

// findKeeper returns the keeper to call; ok is false when it is this daemon. skipped says that
// daemons that rank before it do not answer.
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

// chooseKeeper returns the keeper, records a change of it, and sets the share of the limits that
// this daemon gives out. remote is false when this daemon is the keeper. The caller holds the
// lock.
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
		s.log.WithFields(logrus.Fields{"keeper": host, "former": s.keeper, "open": len(s.open)}).Info("keeper_changed")
		s.keeper = host
		s.needsRestore = remote && s.hasStateFor(now)
		s.restoreOwnSlots(remote, now)
		s.requestFlush() // the new keeper is to get the open attempts at once
	}
	return m, remote
}

// hasStateFor reports whether a new keeper must be told anything of this daemon. The caller holds the
// lock.
func (s *Service) hasStateFor(now time.Time) bool {
	return len(s.open)+len(s.slots.held) > 0 || len(s.limitMessages(now)) > 0 || len(s.book.Use(s.opts.Host, now)) > 0
}

// Place plans an attempt: by the keeper, or with the own book if the keeper does not answer.
func (s *Service) Place(ctx context.Context, a booking.Request) booking.Plan {
	s.mu.Lock()
	now := time.Now()
	keeper, remote := s.chooseKeeper(now)
	if !remote {
		defer s.demand.record(&a, s.book.EngineTime(a), now) // after the lock is released
		defer s.mu.Unlock()
		return s.placeLocally(a, s.uncoordinated, now)
	}
	events := s.takeEvents()
	s.mu.Unlock()

	var reply PlaceReply
	err := s.call(ctx, keeper, "Place", placeTimeout, &PlaceRequest{From: s.self(), Ask: a, Events: events}, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	now = time.Now()
	if err == nil {
		s.silent.recordAnswer(keeper.Host, now)
		s.recordScarce(reply.Scarce, now)
	}
	if err != nil {
		s.recordNoAnswer(ctx, keeper, err, now)
		return s.placeLocally(a, true, now)
	}
	if reply.Unknown || s.restoring {
		// A RestoreRequest under way lacks this attempt and replaces what the keeper has.
		s.needsRestore = true
		s.requestFlush()
	}
	if reply.Plan.Verdict == booking.NoEngine {
		// A keeper that has just started may not have the list of upstreams yet.
		p := s.placeLocally(a, true, now)
		s.needsRestore = s.needsRestore || p.Verdict == booking.Booked
		return p
	}
	s.book.Record(a, reply.Plan, now)
	s.recordOwn(a, reply.Plan, now)
	return reply.Plan
}

// placeLocally plans with the own book; uncoordinated says that another daemon may be planning
// for others meanwhile. The caller holds the lock.
func (s *Service) placeLocally(a booking.Request, uncoordinated bool, now time.Time) booking.Plan {
	place := s.book.Place
	if uncoordinated {
		place = s.book.PlaceUncoordinated
	}
	p := place(a, now)
	s.logInvalid(a.Host)
	s.recordOwn(a, p, now)
	s.scheduleDisplace(a.ID, p)
	return p
}

// takeEvents returns the events to send with a call to the keeper: none while a RestoreRequest is
// due or under way, for it would undo events that overtake it. The caller holds the lock.
func (s *Service) takeEvents() []Event {
	if s.needsRestore || s.restoring {
		return nil
	}
	events := s.events
	s.events = nil
	return events
}

func (s *Service) call(ctx context.Context, to membership.Member, method string, timeout time.Duration, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.opts.Peers.Call(ctx, to.Address, ServiceName+"."+method, args, reply)
}

// recordNoAnswer records that a daemon did not answer. The caller holds the lock.
func (s *Service) recordNoAnswer(ctx context.Context, m membership.Member, err error, now time.Time) {
	s.needsRestore = true // events may be lost with the message
	if ctx.Err() != nil {
		return // the request has ended; that says nothing about the daemon
	}
	if s.opts.OnNoAnswer != nil {
		s.opts.OnNoAnswer(m.Host)
	}
	span := s.silent.recordFailure(m.Host, now)
	s.log.WithError(err).WithFields(logrus.Fields{"keeper": m.Host, "avoid_ms": span.Milliseconds()}).Warn("keeper_not_answering")
}

func (s *Service) recordOwn(a booking.Request, p booking.Plan, now time.Time) {
	if p.Verdict != booking.Booked {
		return
	}
	s.open[a.ID] = &booking.OpenAttempt{Ask: a, Plan: p}
	s.bookedAt[a.ID] = now
}

// FirstEvent records the first event of an own attempt.
func (s *Service) FirstEvent(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.RecordFirstEvent(attempt)
	if o := s.open[attempt]; o != nil {
		o.HasFirst = true
		s.enqueue(Event{Attempt: attempt})
	}
}

// End records the end of an own attempt.
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
	s.requestFlush()
}

func (s *Service) requestFlush() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// requestUrgentFlush has the events sent without waiting for others: a slot that a call has left is
// idle until the keeper knows.
func (s *Service) requestUrgentFlush() {
	select {
	case s.urgent <- struct{}{}:
	default:
	}
}
