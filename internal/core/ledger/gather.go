package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// Member is one engine of a gang and the memory to reserve on it.
type Member struct {
	Engine string
	Tokens int64
}

// GatherOptions configures a Gatherer. Zero fields take the defaults.
type GatherOptions struct {
	RoundLimit    time.Duration // longest time that members are held while others are requested; 2 s
	AnswerTimeout time.Duration // an answer that takes longer counts as lost; 1 s
	RetryEvery    time.Duration // interval of repeated releases of the same member; 500 ms
	BackoffMin    time.Duration // first wait after a failed round, doubled each time; 100 ms
	BackoffMax    time.Duration // longest wait after a failed round; 3 s
}

// Defaults of GatherOptions.
const (
	DefaultRoundLimit    = 2 * time.Second
	DefaultAnswerTimeout = time.Second
	DefaultGatherRetry   = 500 * time.Millisecond
	DefaultBackoffMin    = 100 * time.Millisecond
	DefaultBackoffMax    = 3 * time.Second
)

func (o GatherOptions) withDefaults() GatherOptions {
	option.Default(&o.RoundLimit, DefaultRoundLimit)
	option.Default(&o.AnswerTimeout, DefaultAnswerTimeout)
	option.Default(&o.RetryEvery, DefaultGatherRetry)
	option.Default(&o.BackoffMin, DefaultBackoffMin)
	option.Default(&o.BackoffMax, DefaultBackoffMax)
	return o
}

// Gang is the set of engines on which one request needs memory at the same time.
type Gang struct {
	Request  string // id of the request
	Pool     string
	Holder   Holder
	Members  []Member
	Until    time.Time // expected end of the request, zero if unknown
	Deadline time.Time // the Gatherer gives up after it
}

// Step is something that the driver of a Gatherer has to do: one of the types
// below.
type Step interface{ step() }

// AcquireTurn asks the host that manages the pool's turn; the answer goes to
// HandleTurnAnswer.
type AcquireTurn struct{ Pool, Gang string }

// ReleaseTurn gives the turn back; the answer is not awaited.
type ReleaseTurn struct{ Pool, Gang string }

// ReserveMember asks an engine's owner to reserve a member; the answer goes to
// Granted or Denied.
type ReserveMember struct{ Request ReserveRequest }

// ReleaseMember asks an engine's owner to release a member; the confirmation goes
// to Released.
type ReleaseMember struct{ Engine, ID string }

// Gathered reports that all members are held under the reservation ID.
type Gathered struct{ ID string }

// GaveUp reports that the gang was not gathered in time, or never can be.
// Releases may still be unconfirmed: see Done.
type GaveUp struct{ Reason Reason }

func (AcquireTurn) step()   {}
func (ReleaseTurn) step()   {}
func (ReserveMember) step() {}
func (ReleaseMember) step() {}
func (Gathered) step()      {}
func (GaveUp) step()        {}

// DeadlinePassed is the reason of a GaveUp that ran out of time, Aborted that of
// one whose caller has gone.
const (
	DeadlinePassed Reason = "deadline_passed"
	Aborted        Reason = "aborted"
)

type phase uint8

const (
	backingOff     phase = iota // asks for the turn at wake
	awaitingTurn                // AcquireTurn is unanswered
	awaitingMember              // ReserveMember of members[next] is unanswered
	retryingMember              // members[next] was denied; it is requested again at wake
	gathered
	gaveUp
)

type memberRef struct{ engine, id string }

// Gatherer reserves memory on all members of one gang or on none. The front that
// needs the gang drives it. Members are requested one after another in order of
// their engines' names, the same for every gang of the site, so two gangs never
// deadlock. Everything requested in a failed round is released repeatedly until
// its owner confirms, even if the answer to the reserve request was lost.
type Gatherer struct {
	opts        GatherOptions
	gang        Gang
	rnd         *rand.Rand
	phase       phase
	round       int
	next        int       // index of the member that is requested
	wake        time.Time // when Tick has something to do in this phase
	roundEnd    time.Time
	unconfirmed map[memberRef]time.Time // unconfirmed releases, by time of the next repeat
}

// NewGatherer returns a Gatherer that begins at the first Tick.
func NewGatherer(opts GatherOptions, gang Gang, rnd *rand.Rand) *Gatherer {
	gang.Members = slices.Clone(gang.Members)
	slices.SortFunc(gang.Members, func(a, b Member) int { return strings.Compare(a.Engine, b.Engine) })
	return &Gatherer{
		opts:        opts.withDefaults(),
		gang:        gang,
		rnd:         rnd,
		unconfirmed: map[memberRef]time.Time{},
	}
}

// ReservationID returns the ID of the current round's reservations.
func (g *Gatherer) ReservationID() string {
	return fmt.Sprintf("%s/%d", g.gang.Request, g.round)
}

// Done reports whether the Gatherer has ended and all releases are confirmed.
func (g *Gatherer) Done() bool {
	return g.phase >= gathered && len(g.unconfirmed) == 0
}

// Tick handles the passing of time: lost answers, retries and limits.
func (g *Gatherer) Tick(now time.Time) []Step {
	steps := g.repeatReleases(now)
	if g.phase >= gathered {
		return steps
	}
	if now.After(g.gang.Deadline) {
		return append(steps, g.finish(DeadlinePassed, now)...)
	}
	inRound := g.phase == awaitingMember || g.phase == retryingMember
	if inRound && !now.Before(g.roundEnd) {
		return append(steps, g.failRound(now)...)
	}
	if now.Before(g.wake) {
		return steps
	}
	switch g.phase {
	case backingOff:
		g.phase = awaitingTurn
		g.wake = now.Add(g.opts.AnswerTimeout)
		return append(steps, AcquireTurn{Pool: g.gang.Pool, Gang: g.gang.Request})
	case awaitingTurn:
		return append(steps, g.HandleTurnAnswer(false, 0, now)...)
	case awaitingMember:
		return append(steps, g.failRound(now)...) // the answer is lost
	default:
		return append(steps, g.requestMember(now)...)
	}
}

// NextTick returns when Tick has something to do, or zero if never again.
func (g *Gatherer) NextTick() time.Time {
	var next time.Time
	if g.phase < gathered {
		next = g.wake
	}
	for _, at := range g.unconfirmed {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// HandleTurnAnswer handles the answer to AcquireTurn. If ok is false, the turn is
// requested again after wait.
func (g *Gatherer) HandleTurnAnswer(ok bool, wait time.Duration, now time.Time) []Step {
	if g.phase != awaitingTurn {
		return nil
	}
	if !ok {
		g.phase = backingOff
		g.wake = now.Add(g.jitter(max(wait, g.opts.BackoffMin)))
		return nil
	}
	g.round++
	g.next = 0
	g.roundEnd = now.Add(g.opts.RoundLimit)
	return g.requestMember(now)
}

func (g *Gatherer) requestMember(now time.Time) []Step {
	g.phase = awaitingMember
	g.wake = now.Add(g.opts.AnswerTimeout)
	m := g.gang.Members[g.next]
	return []Step{ReserveMember{Request: ReserveRequest{
		Engine:   m.Engine,
		ID:       g.ReservationID(),
		Request:  g.gang.Request,
		Holder:   g.gang.Holder,
		Tokens:   m.Tokens,
		GangSize: len(g.gang.Members),
		Until:    g.gang.Until,
	}}}
}

// Granted handles a member's grant.
func (g *Gatherer) Granted(req ReserveRequest, now time.Time) []Step {
	if !g.isCurrent(req) {
		return g.lateGrant(req, now)
	}
	g.next++
	if g.next < len(g.gang.Members) {
		return g.requestMember(now)
	}
	g.phase = gathered
	return []Step{ReleaseTurn{Pool: g.gang.Pool, Gang: g.gang.Request}, Gathered{ID: req.ID}}
}

// lateGrant releases a member that was granted after its round had ended.
func (g *Gatherer) lateGrant(req ReserveRequest, now time.Time) []Step {
	kept := g.phase == gathered || g.phase == awaitingMember || g.phase == retryingMember
	if kept && req.ID == g.ReservationID() {
		return nil // a duplicate answer
	}
	return g.requestRelease(req.Engine, req.ID, now)
}

// Denied handles a member's denial; lost means that the answer was lost, so the
// member may be reserved.
func (g *Gatherer) Denied(d Deny, lost bool, now time.Time) []Step {
	if !g.isCurrent(d.Request) {
		return nil
	}
	if lost {
		return g.failRound(now)
	}
	switch d.Reason {
	case NoMemory, KeptForGang, NotReady, InProgress:
		again := now.Add(max(d.RetryAfter, g.opts.BackoffMin))
		if again.After(g.roundEnd) {
			return g.failRound(now)
		}
		g.phase = retryingMember
		g.wake = again
		return nil
	case TooLarge, StaleHolder:
		return g.finish(d.Reason, now)
	default:
		return g.failRound(now)
	}
}

// Released handles a confirmed release.
func (g *Gatherer) Released(engine, id string) {
	delete(g.unconfirmed, memberRef{engine, id})
}

// Abort ends the Gatherer and releases everything, even after it has succeeded.
func (g *Gatherer) Abort(now time.Time) []Step {
	if g.phase == gaveUp {
		return nil
	}
	return g.finish(Aborted, now)
}

func (g *Gatherer) isCurrent(req ReserveRequest) bool {
	return g.phase == awaitingMember && req.ID == g.ReservationID() && req.Engine == g.gang.Members[g.next].Engine
}

// failRound releases all members and backs off. Memory kept free for a denied
// member stays kept for the next round.
func (g *Gatherer) failRound(now time.Time) []Step {
	asked := g.next
	if g.phase == awaitingMember {
		asked++
	}
	steps := g.releaseMembers(asked, now)
	g.phase = backingOff
	shift := min(g.round, 16) - 1
	g.wake = now.Add(g.jitter(min(g.opts.BackoffMin<<shift, g.opts.BackoffMax)))
	return steps
}

func (g *Gatherer) finish(reason Reason, now time.Time) []Step {
	steps := g.releaseMembers(min(g.next+1, len(g.gang.Members)), now)
	g.phase = gaveUp
	return append(steps, GaveUp{Reason: reason})
}

// releaseMembers releases the first count members and the turn. Releasing a
// denied member ends the hold on memory for it, if any.
func (g *Gatherer) releaseMembers(count int, now time.Time) []Step {
	var steps []Step
	if g.phase == awaitingMember || g.phase == retryingMember || g.phase == gathered {
		for i := count - 1; i >= 0; i-- {
			steps = append(steps, g.requestRelease(g.gang.Members[i].Engine, g.ReservationID(), now)...)
		}
	}
	return append(steps, ReleaseTurn{Pool: g.gang.Pool, Gang: g.gang.Request})
}

func (g *Gatherer) requestRelease(engine, id string, now time.Time) []Step {
	g.unconfirmed[memberRef{engine, id}] = now.Add(g.opts.RetryEvery)
	return []Step{ReleaseMember{Engine: engine, ID: id}}
}

func (g *Gatherer) repeatReleases(now time.Time) []Step {
	var due []memberRef
	for ref, at := range g.unconfirmed {
		if !now.Before(at) {
			due = append(due, ref)
		}
	}
	slices.SortFunc(due, func(a, b memberRef) int {
		return strings.Compare(a.engine+" "+a.id, b.engine+" "+b.id)
	})
	var steps []Step
	for _, ref := range due {
		steps = append(steps, g.requestRelease(ref.engine, ref.id, now)...)
	}
	return steps
}

// jitter returns a random duration from 0.5 d to 1.5 d.
func (g *Gatherer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.rnd.Int64N(int64(d)+1))
}
