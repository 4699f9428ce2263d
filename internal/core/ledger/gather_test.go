package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// gangWorld adds fronts that gather gangs to a world. Each engine has its own
// owner.
type gangWorld struct {
	*world
	turns          []*Turns // of two hosts that both manage the pool's turn
	gatherers      []*Gatherer
	ids            []string // reservation id of each gathered gang, else empty
	endsAt         []time.Time
	gaveUp         []bool
	forgetReleases bool // mutant: a release counts as confirmed once it was sent
}

func newGangWorld(seed uint64, gangs int, lossy bool) *gangWorld {
	w := &gangWorld{world: newWorld(seed, 4, 4, 0, true)}
	w.lossy = lossy
	for i, n := range w.names {
		w.carryOut(w.owners[i], w.owners[i].Own(n))
	}
	w.turns = []*Turns{NewTurns(4 * time.Second), NewTurns(4 * time.Second)}
	for i := range gangs {
		gang := Gang{
			Request:  fmt.Sprintf("g%d", i),
			Pool:     "p",
			Holder:   Holder{Host: fmt.Sprintf("h%d", i), Incarnation: "1"},
			Deadline: epoch.Add(10 * time.Minute),
		}
		for _, m := range w.rnd.Perm(4)[:2+w.rnd.IntN(3)] {
			gang.Members = append(gang.Members, Member{Engine: w.names[m], Tokens: 600})
		}
		w.gatherers = append(w.gatherers, NewGatherer(GatherOptions{}, gang, rand.New(rand.NewPCG(seed, uint64(i)))))
	}
	w.ids = make([]string, gangs)
	w.endsAt = make([]time.Time, gangs)
	w.gaveUp = make([]bool, gangs)
	w.ended = func(e Ended) {
		for _, g := range w.gatherers {
			w.reply(func() { g.Released(e.Engine, e.ID.Name) })
		}
	}
	return w
}

func (w *gangWorld) owner(engine string) *Ledger {
	for i, n := range w.names {
		if n == engine {
			return w.owners[i]
		}
	}
	return nil
}

func (w *gangWorld) performSteps(i int, steps []Step) {
	g := w.gatherers[i]
	for _, s := range steps {
		switch s := s.(type) {
		case AcquireTurn:
			w.send(func() {
				wait, ok := w.turns[w.rnd.IntN(2)].Acquire(s.Pool, s.Gang, w.now)
				w.reply(func() { w.performSteps(i, g.HandleTurnAnswer(ok, wait, w.now)) })
			})
		case ReleaseTurn:
			w.send(func() { w.turns[0].Release(s.Pool, s.Gang); w.turns[1].Release(s.Pool, s.Gang) })
		case ReserveMember:
			l := w.owner(s.Request.Engine)
			w.send(func() { w.answer(i, l, l.Reserve(s.Request, w.now)) })
		case ReleaseMember:
			w.releaseMember(i, s)
		case Gathered:
			w.ids[i] = s.ID
			w.endsAt[i] = w.now.Add(3 * time.Second)
		case GaveUp:
			w.gaveUp[i] = true
		}
	}
}

func (w *gangWorld) releaseMember(i int, s ReleaseMember) {
	l := w.owner(s.Engine)
	if w.forgetReleases {
		w.gatherers[i].Released(s.Engine, s.ID)
	}
	w.send(func() {
		if w.lost() {
			return
		}
		id := ID{Kind: Reservation, Name: s.ID}
		w.answer(i, l, l.Release(s.Engine, id, w.gatherers[i].gang.Holder, w.now))
	})
}

// reply delivers an answer to a front, or loses it.
func (w *gangWorld) reply(f func()) {
	if !w.lost() {
		w.send(f)
	}
}

// answer carries out an owner's actions; grants and denials are sent to the front.
func (w *gangWorld) answer(i int, l *Ledger, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Grant:
			w.reply(func() { w.performSteps(i, w.gatherers[i].Granted(a.Request, w.now)) })
		case Deny:
			w.reply(func() { w.performSteps(i, w.gatherers[i].Denied(a, false, w.now)) })
		case ReserveOn:
			w.send(func() {
				result := w.engines[a.Request.Engine].reserve(a.Request)
				w.send(func() { w.answer(i, l, l.HandleReserveAnswer(a.Request, result, w.now)) })
			})
		default:
			w.carryOut(l, []Action{a})
		}
	}
}

// run steps the world until every gang has been gathered, has run and has ended.
// It returns an error if a member is missing or something is left over.
func (w *gangWorld) run() error {
	for range 20000 {
		w.now = w.now.Add(time.Duration(w.rnd.IntN(20)) * time.Millisecond)
		for range 5 {
			w.deliver()
		}
		i := w.rnd.IntN(len(w.gatherers))
		w.performSteps(i, w.gatherers[i].Tick(w.now))
		if err := w.check(i); err != nil {
			return err
		}
		for _, l := range w.owners {
			w.carryOut(l, l.Tick(w.now))
		}
		if w.done() {
			return w.leftovers()
		}
	}
	return fmt.Errorf("not done: gave up %v, gathered %v", w.gaveUp, w.ids)
}

// check verifies that a gathered gang holds all its members, and aborts it at its
// end.
func (w *gangWorld) check(i int) error {
	if w.ids[i] == "" || w.gaveUp[i] {
		return nil
	}
	for _, m := range w.gatherers[i].gang.Members {
		if _, ok := w.engines[m.Engine].books[ID{Kind: Reservation, Name: w.ids[i]}]; !ok {
			return fmt.Errorf("gang %d runs without member %s", i, m.Engine)
		}
	}
	if w.now.After(w.endsAt[i]) {
		w.performSteps(i, w.gatherers[i].Abort(w.now))
	}
	return nil
}

func (w *gangWorld) done() bool {
	if len(w.inFlight) > 0 {
		return false
	}
	for i, g := range w.gatherers {
		if !w.gaveUp[i] || !g.Done() {
			return false
		}
	}
	return true
}

func TestGangsAreAllOrNothingAndReleaseEverything(t *testing.T) {
	props := gopter.NewProperties(parameters(60))
	for _, lossy := range []bool{false, true} {
		name := fmt.Sprintf("overlapping gangs over four owners and two turns, answers lost: %v", lossy)
		props.Property(name, prop.ForAll(func(seed uint64) string {
			w := newGangWorld(seed, 5, lossy)
			if err := w.run(); err != nil {
				return err.Error()
			}
			for i, id := range w.ids {
				if id == "" {
					return fmt.Sprintf("gang %d was never gathered", i)
				}
			}
			return ""
		}, gen.UInt64()))
	}
	props.TestingRun(t)
}

// A Gatherer that counts a release as confirmed once it was sent must leak
// memory.
func TestMutantForgettingReleasesIsCaught(t *testing.T) {
	for seed := range uint64(30) {
		w := newGangWorld(seed, 5, true)
		w.forgetReleases = true
		if w.run() != nil {
			return
		}
	}
	t.Error("a Gatherer that forgets releases passed 30 runs")
}

func TestTurnsGoInOrderAndLapse(t *testing.T) {
	turns := NewTurns(4 * time.Second)
	take := func(gang string, at time.Duration) bool {
		_, ok := turns.Acquire("p", gang, epoch.Add(at))
		return ok
	}
	if !take("a", 0) || take("b", 0) || take("c", 0) {
		t.Fatal("only the first gang to ask gets the turn")
	}
	turns.Release("p", "a")
	if take("c", time.Second) || !take("b", time.Second) {
		t.Fatal("the turn goes to the gang that asked first")
	}
	if take("c", 4*time.Second) || !take("c", 5*time.Second) {
		t.Fatal("a turn that is not released expires after its limit")
	}
}

func TestGatherAsksInOrderAndReleasesLateGrants(t *testing.T) {
	gang := Gang{Request: "g", Pool: "p", Members: []Member{{Engine: "b"}, {Engine: "a"}}, Deadline: epoch.Add(time.Hour)}
	g := NewGatherer(GatherOptions{}, gang, rand.New(rand.NewPCG(1, 1)))
	g.Tick(epoch)
	req := g.HandleTurnAnswer(true, 0, epoch)[0].(ReserveMember).Request
	if req.Engine != "a" {
		t.Fatalf("asked %s first, want a", req.Engine)
	}
	released := g.Tick(epoch.Add(DefaultAnswerTimeout)) // the answer is lost
	if released[0] != (ReleaseMember{Engine: "a", ID: req.ID}) {
		t.Fatalf("a lost answer gave %+v", released)
	}
	g.Released("a", req.ID)
	late := g.Granted(req, epoch.Add(2*DefaultAnswerTimeout))
	if len(late) != 1 || late[0] != (ReleaseMember{Engine: "a", ID: req.ID}) {
		t.Errorf("a late grant gave %+v, want its release", late)
	}
}
