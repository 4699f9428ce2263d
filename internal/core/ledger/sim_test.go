package ledger

import (
	"fmt"
	"math/rand/v2"
	"time"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeEngine keeps books as an engine does.
type fakeEngine struct {
	name    string
	total   int64
	refuses bool // refuses what does not fit
	starts  int
	books   map[ID]Item
}

func newFakeEngine(name string, total int64, refuses bool) *fakeEngine {
	return &fakeEngine{name: name, total: total, refuses: refuses, books: map[ID]Item{}}
}

func (f *fakeEngine) used() int64 {
	var sum int64
	for _, it := range f.books {
		sum += it.Tokens
	}
	return sum
}

func (f *fakeEngine) reserve(a ReserveRequest) Result {
	id := ID{Kind: Reservation, Name: a.ID}
	if _, ok := f.books[id]; ok {
		return Held
	}
	if f.refuses && f.used()+a.Tokens > f.total {
		return Refused
	}
	f.books[id] = Item{ID: id, Holder: a.Holder, Tokens: a.Tokens}
	return Held
}

func (f *fakeEngine) read(now time.Time) Books {
	b := Books{Engine: f.name, Incarnation: fmt.Sprint(f.starts), Total: f.total, ReadStarted: now}
	for _, it := range f.books {
		b.Items = append(b.Items, it)
	}
	return b
}

// front is a host that asks for reservations and renews what it was granted.
type front struct {
	host  string
	start int
	seq   uint64
	held  map[string]string // reservation id to engine
}

func (f *front) holder() Holder { return Holder{Host: f.host, Incarnation: fmt.Sprint(f.start)} }

func (f *front) renewal(engines map[string]bool) Renewal {
	f.seq++
	r := Renewal{Holder: f.holder(), Seq: f.seq}
	for id, e := range f.held {
		if engines[e] {
			r.Held = append(r.Held, Claim{Engine: e, ID: ID{Kind: Reservation, Name: id}})
		}
	}
	return r
}

// world simulates ledgers, engines and fronts. Answers of engines arrive in any
// order, and some are lost.
type world struct {
	rnd      *rand.Rand
	now      time.Time
	engines  map[string]*fakeEngine
	names    []string
	owners   []*Ledger
	fronts   []*front
	lossy    bool
	inFlight []func() // undelivered messages
	serial   int
	granted  int
	denied   map[Reason]int
	ended    func(Ended) // called on confirmed ends; may be nil
}

func newWorld(seed uint64, engines, owners, fronts int, refuses bool) *world {
	w := &world{
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		now:     epoch,
		engines: map[string]*fakeEngine{},
		denied:  map[Reason]int{},
		lossy:   true,
	}
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		w.names = append(w.names, name)
		w.engines[name] = newFakeEngine(name, 1000, refuses)
	}
	for range owners {
		w.owners = append(w.owners, New(Options{}))
	}
	for i := range fronts {
		w.fronts = append(w.fronts, &front{host: fmt.Sprintf("h%d", i), held: map[string]string{}})
	}
	return w
}

// carryOut carries out a ledger's actions.
func (w *world) carryOut(l *Ledger, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case ReserveOn:
			w.reserveOn(l, a.Request)
		case ReleaseOn:
			w.endOn(l, a.Engine, a.ID)
		case CancelOn:
			w.endOn(l, a.Engine, a.ID)
		case ReadBooks:
			w.readBooks(l, a.Engine)
		case Grant:
			w.granted++
			w.recordGrant(a.Request)
		case Deny:
			w.denied[a.Reason]++
		case Ended:
			if w.ended != nil {
				w.ended(a)
			}
		}
	}
}

func (w *world) recordGrant(a ReserveRequest) {
	for _, f := range w.fronts {
		if f.holder() == a.Holder {
			f.held[a.ID] = a.Engine
		}
	}
}

func (w *world) lost() bool { return w.lossy && w.rnd.IntN(5) == 0 }

func (w *world) reserveOn(l *Ledger, a ReserveRequest) {
	w.send(func() {
		result := Lost
		if !w.lost() {
			result = w.engines[a.Engine].reserve(a)
		}
		if w.lost() {
			result = Lost
		}
		w.send(func() { w.carryOut(l, l.HandleReserveAnswer(a, result, w.now)) })
	})
}

func (w *world) endOn(l *Ledger, engine string, id ID) {
	w.send(func() {
		if w.lost() {
			return
		}
		delete(w.engines[engine].books, id)
		if w.lost() {
			return
		}
		w.send(func() { w.carryOut(l, l.HandleEndAnswer(engine, id, true, w.now)) })
	})
}

func (w *world) readBooks(l *Ledger, engine string) {
	readStart := w.now
	w.send(func() {
		b := w.engines[engine].read(readStart)
		w.send(func() { w.carryOut(l, l.ApplyBooks(b, w.now)) })
	})
}

func (w *world) send(f func()) { w.inFlight = append(w.inFlight, f) }

// deliver delivers one message, chosen at random.
func (w *world) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.rnd.IntN(len(w.inFlight))
	f := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	f()
}

// step makes one random event happen.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(1+w.rnd.IntN(200)) * time.Millisecond)
	l := w.owners[w.rnd.IntN(len(w.owners))]
	f := w.fronts[w.rnd.IntN(len(w.fronts))]
	name := w.names[w.rnd.IntN(len(w.names))]
	switch w.rnd.IntN(12) {
	case 0, 1, 2:
		w.serial++
		req := ReserveRequest{Engine: name, ID: fmt.Sprintf("r%d", w.serial), Holder: f.holder(), Tokens: 1 + w.rnd.Int64N(600)}
		w.carryOut(l, l.Reserve(req, w.now))
	case 3:
		w.releaseOne(l, f)
	case 4:
		w.renew(l, f)
	case 5:
		w.carryOut(l, l.Tick(w.now))
	case 6:
		w.readBooks(l, name)
	case 7:
		w.restartSome(f, name)
	default:
		w.deliver()
	}
}

func (w *world) releaseOne(l *Ledger, f *front) {
	for id, e := range f.held {
		delete(f.held, id)
		w.carryOut(l, l.Release(e, ID{Kind: Reservation, Name: id}, f.holder(), w.now))
		return
	}
}

func (w *world) renew(l *Ledger, f *front) {
	reply, acts := l.Renew(f.renewal(toSet(l.Owned())), w.now)
	for _, c := range reply.Gone {
		delete(f.held, c.ID.Name)
	}
	w.carryOut(l, acts)
}

// restartSome restarts a front or an engine now and then.
func (w *world) restartSome(f *front, engine string) {
	switch w.rnd.IntN(8) {
	case 0:
		f.start++
		f.seq = 0
		clear(f.held)
	case 1:
		e := w.engines[engine]
		e.starts++
		clear(e.books)
	}
}

// drain lets all holdings end: the fronts claim nothing any more.
func (w *world) drain() {
	w.lossy = false
	for _, f := range w.fronts {
		clear(f.held)
	}
	for range 150 {
		w.now = w.now.Add(time.Second)
		for _, l := range w.owners {
			for _, n := range l.Owned() {
				w.readBooks(l, n)
			}
			w.carryOut(l, l.Tick(w.now))
		}
		for len(w.inFlight) > 0 {
			w.deliver()
		}
	}
}

func toSet(names []string) map[string]bool {
	set := map[string]bool{}
	for _, n := range names {
		set[n] = true
	}
	return set
}
