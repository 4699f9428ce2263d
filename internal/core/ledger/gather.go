package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/option"
)

// Member is one engine of a gang.
type Member struct {
	Engine string
	Tokens int64
}

// GatherOptions bounds a Gather. Zero fields take the defaults.
type GatherOptions struct {
	RoundLimit    time.Duration // longest time that members are held while others are awaited; 2 s
	AnswerTimeout time.Duration // an answer that takes longer is lost; 1 s
	RetryEvery    time.Duration // between two releases of the same member; 500 ms
	BackoffMin    time.Duration // first wait after a failed round, doubled each time; 100 ms
	BackoffMax    time.Duration // 3 s
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

// Gang is what a Gather collects.
type Gang struct {
	Request  string // id of the request
	Pool     string
	Holder   Holder
	Members  []Member
	Until    time.Time // expected end of the work, zero when not known
	Deadline time.Time // no new round is begun after it
}

// Step is what the driver of a Gather has to do. It is one of the types below.
type Step interface{ step() }

// AcquireTurn asks the host that keeps the pool's turn; the result goes to Turn.
type AcquireTurn struct{ Pool, Gang string }

// ReleaseTurn gives the turn back; its answer is not awaited.
type ReleaseTurn struct{ Pool, Gang string }

// ReserveMember asks an engine's owner for a member; the result goes to Answer.
type ReserveMember struct{ Request ReserveRequest }

// ReleaseMember has an engine's owner release a member; a confirmation goes to
// Released.
type ReleaseMember struct{ Engine, ID string }

// Gathered says that all members are held under the reservation id.
type Gathered struct{ ID string }

// GaveUp says that the gang was not gathered in time, or never can be. Releases
// may still be owed: see Over.
type GaveUp struct{ Reason Reason }

func (AcquireTurn) step()   {}
func (ReleaseTurn) step()   {}
func (ReserveMember) step() {}
func (ReleaseMember) step() {}
func (Gathered) step()      {}
func (GaveUp) step()        {}

// DeadlinePassed is the reason of a GaveUp that ran out of time; Aborted that of
// one whose caller has gone.
const (
	DeadlinePassed Reason = "deadline_passed"
	Aborted        Reason = "aborted"
)

type phase uint8

const (
	backingOff phase = iota // wakes to ask for the turn
	wantTurn                // AskTurn is unanswered
	asking                  // AskMember of members[next] is unanswered
	waiting                 // members[next] was denied; it is asked again at wake
	gathered
	gaveUp
)

type memberRef struct{ engine, id string }

// Gatherer collects one gang, all or none. The front that needs the gang drives
// it. Members are asked one after another in the order of the engines' names,
// the same for every gang of the site, so two gangs never wait for each other in
// a circle. What was asked for in a failed round is owed: it is released again
// and again until its owner confirms, also when the answer to the ask was lost.
type Gatherer struct {
	opts     GatherOptions
	gang     Gang
	rnd      *rand.Rand
	phase    phase
	round    int
	next     int       // index of the member asked for
	wake     time.Time // when Tick has something to do in this phase
	roundEnd time.Time
	owed     map[memberRef]time.Time // unconfirmed releases, by time of the next try
}

// NewGatherer returns a Gather that begins at the first Tick.
func NewGatherer(opts GatherOptions, gang Gang, rnd *rand.Rand) *Gatherer {
	gang.Members = slices.Clone(gang.Members)
	slices.SortFunc(gang.Members, func(a, b Member) int { return strings.Compare(a.Engine, b.Engine) })
	return &Gatherer{
		opts: opts.withDefaults(),
		gang: gang,
		rnd:  rnd,
		owed: map[memberRef]time.Time{},
	}
}

// ReservationID returns the id of the present round's reservations.
func (g *Gatherer) ReservationID() string {
	return fmt.Sprintf("%s/%d", g.gang.Request, g.round)
}

// Done tells that the Gather has ended and owes no release.
func (g *Gatherer) Done() bool {
	return g.phase >= gathered && len(g.owed) == 0
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
	inRound := g.phase == asking || g.phase == waiting
	if inRound && !now.Before(g.roundEnd) {
		return append(steps, g.failRound(now)...)
	}
	if now.Before(g.wake) {
		return steps
	}
	switch g.phase {
	case backingOff:
		g.phase = wantTurn
		g.wake = now.Add(g.opts.AnswerTimeout)
		return append(steps, AcquireTurn{Pool: g.gang.Pool, Gang: g.gang.Request})
	case wantTurn:
		return append(steps, g.HandleTurnAnswer(false, 0, now)...)
	case asking:
		return append(steps, g.failRound(now)...) // the answer is lost
	default:
		return append(steps, g.askNext(now)...)
	}
}

// NextTick returns when Tick has something to do; zero: never again.
func (g *Gatherer) NextTick() time.Time {
	var next time.Time
	if g.phase < gathered {
		next = g.wake
	}
	for _, at := range g.owed {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// HandleTurnAnswer handles the answer to AskTurn.
func (g *Gatherer) HandleTurnAnswer(ok bool, wait time.Duration, now time.Time) []Step {
	if g.phase != wantTurn {
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
	return g.askNext(now)
}

func (g *Gatherer) askNext(now time.Time) []Step {
	g.phase = asking
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
func (g *Gatherer) Granted(ask ReserveRequest, now time.Time) []Step {
	if !g.current(ask) {
		return g.lateGrant(ask, now)
	}
	g.next++
	if g.next < len(g.gang.Members) {
		return g.askNext(now)
	}
	g.phase = gathered
	return []Step{ReleaseTurn{Pool: g.gang.Pool, Gang: g.gang.Request}, Gathered{ID: ask.ID}}
}

// lateGrant releases what was granted after its round had ended.
func (g *Gatherer) lateGrant(ask ReserveRequest, now time.Time) []Step {
	kept := g.phase == gathered || g.phase == asking || g.phase == waiting
	if kept && ask.ID == g.ReservationID() {
		return nil // a doubled answer
	}
	return g.owe(ask.Engine, ask.ID, now)
}

// Denied handles a member's denial; lost says that the answer was lost, so that
// the member may be held.
func (g *Gatherer) Denied(d Deny, lost bool, now time.Time) []Step {
	if !g.current(d.Request) {
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
		g.phase = waiting
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
	delete(g.owed, memberRef{engine, id})
}

// Abort ends the Gather and gives everything back, also after it has succeeded.
func (g *Gatherer) Abort(now time.Time) []Step {
	if g.phase == gaveUp {
		return nil
	}
	return g.finish(Aborted, now)
}

func (g *Gatherer) current(ask ReserveRequest) bool {
	return g.phase == asking && ask.ID == g.ReservationID() && ask.Engine == g.gang.Members[g.next].Engine
}

// failRound gives everything back and backs off. Room kept for a denied member
// stays kept for the next round.
func (g *Gatherer) failRound(now time.Time) []Step {
	asked := g.next
	if g.phase == asking {
		asked++
	}
	steps := g.giveBack(asked, now)
	g.phase = backingOff
	shift := min(g.round, 16) - 1
	g.wake = now.Add(g.jitter(min(g.opts.BackoffMin<<shift, g.opts.BackoffMax)))
	return steps
}

func (g *Gatherer) finish(reason Reason, now time.Time) []Step {
	steps := g.giveBack(min(g.next+1, len(g.gang.Members)), now)
	g.phase = gaveUp
	return append(steps, GaveUp{Reason: reason})
}

// giveBack releases the first count members. One that was denied loses the room
// kept for it, if any.
func (g *Gatherer) giveBack(count int, now time.Time) []Step {
	var steps []Step
	if g.phase == asking || g.phase == waiting || g.phase == gathered {
		for i := count - 1; i >= 0; i-- {
			steps = append(steps, g.owe(g.gang.Members[i].Engine, g.ReservationID(), now)...)
		}
	}
	return append(steps, ReleaseTurn{Pool: g.gang.Pool, Gang: g.gang.Request})
}

func (g *Gatherer) owe(engine, id string, now time.Time) []Step {
	g.owed[memberRef{engine, id}] = now.Add(g.opts.RetryEvery)
	return []Step{ReleaseMember{Engine: engine, ID: id}}
}

func (g *Gatherer) repeatReleases(now time.Time) []Step {
	var due []memberRef
	for ref, at := range g.owed {
		if !now.Before(at) {
			due = append(due, ref)
		}
	}
	slices.SortFunc(due, func(a, b memberRef) int {
		return strings.Compare(a.engine+" "+a.id, b.engine+" "+b.id)
	})
	var steps []Step
	for _, ref := range due {
		steps = append(steps, g.owe(ref.engine, ref.id, now)...)
	}
	return steps
}

// jitter spreads a wait over its half to its one and a half.
func (g *Gatherer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.rnd.Int64N(int64(d)+1))
}
