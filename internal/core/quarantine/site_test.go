package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the modelled site, in ticks.
const (
	tick       = 250 * time.Millisecond
	settleTime = 3 * time.Second
	knownTicks = int(settleTime / tick) // from the third death until all hosts in touch know of it
	slowest    = 3                      // a write, a read or a message takes so many at the most
	runTicks   = 5                      // of a request, at the most
	trialLife  = 14                     // of a trial, with all that it waits for
	siteTicks  = 240
	calmTicks  = 400 // in which all innocents have to be served once nothing is harmed any more
)

// Bounds that the site has to keep.
const (
	deathsKnown = 3
	mostLate    = 3
)

// stored is one record of the modelled store.
type stored struct {
	key      string
	evidence []RecordDigest
	trial    *Trial
	written  int
}

// message is a digest on its way.
type message struct {
	to, due int
	digest  Digest
}

// write is a record on its way to the store.
type write struct {
	due    int
	record stored
}

// work is a request that comes again and again.
type work struct {
	fingerprint uint64
	culprit     bool
	leaves      bool // its caller leaves before its end, and is not seen again
	done        bool
	arrivals    []arrival
}

// pause is the mean number of ticks between two comings.
func (w *work) pause() int {
	if w.culprit {
		return 8
	}
	return 2
}

// arrival is a sending to an engine.
type arrival struct {
	tick    int
	inTouch bool
}

// running is a request on an engine.
type running struct {
	work         *work
	host, engine int
	life         int // of the host
	run          Run
	trial        string
	ends         int
}

// asked is a trial whose host waits to read it.
type asked struct {
	work  *work
	id    string
	since int
}

// siteHost is one daemon of the model.
type siteHost struct {
	*Tracker
	name     string
	life     int
	former   bool // of the release before: it knows no trials and no store
	read     int  // records of the store
	whole    bool // it has read the store since its start
	nextRead int
	told     string // its evidence as the store has it
	asks     []asked
	trials   int
	cutFrom  map[int]bool // hosts
	away     bool         // it does not reach the store
	touched  int          // tick since when it reaches the store, and lives
}

// site is a modelled site.
type site struct {
	rng      *rand.Rand
	now      int
	hosts    []*siteHost
	store    []stored
	writes   []write
	messages []message
	lives    []int // of the engines
	runs     []*running
	works    []*work
	deaths   map[uint64][]int // by fingerprint: ticks at which engines ended under it
	lossy    bool
	apart    bool // no host hears another one
	calm     bool
	together []uint64 // fingerprints that ran under two trials at once
}

func newSite(seed uint64, hosts, engines, former int) *site {
	s := &site{rng: rand.New(rand.NewPCG(seed, 3)), lives: make([]int, engines), deaths: map[uint64][]int{}}
	for i := range hosts {
		h := &siteHost{name: fmt.Sprint("h", i), former: i < former, cutFrom: map[int]bool{}}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	return s
}

func (s *site) at(tickNumber int) time.Time { return start.Add(time.Duration(tickNumber) * tick) }

func (s *site) soon() int { return s.now + 1 + s.rng.IntN(slowest) }

// start begins a life of a host, which knows nothing.
func (s *site) start(h *siteHost) {
	h.Tracker = New(Options{Host: h.name, SettleAfter: settleTime, QuarantineTime: time.Hour})
	h.life++
	h.read, h.whole, h.told, h.asks, h.touched = 0, false, "", nil, s.now
	s.runs = slices.DeleteFunc(s.runs, func(r *running) bool { return s.hosts[r.host] == h })
}

// harm cuts, heals and restarts hosts.
func (s *site) harm() {
	for i, h := range s.hosts {
		if s.rng.IntN(120) == 0 {
			s.start(h)
		}
		if oneIn := map[bool]int{false: 150, true: 15}[h.away]; s.rng.IntN(oneIn) == 0 {
			h.away = !h.away
			h.touched = s.now
		}
		if s.rng.IntN(20) == 0 {
			k := s.rng.IntN(len(s.hosts))
			cut := !h.cutFrom[k]
			h.cutFrom[k], s.hosts[k].cutFrom[i] = cut, cut
		}
	}
}

func (s *site) heal() {
	s.calm, s.lossy, s.apart = true, false, false
	for _, h := range s.hosts {
		clear(h.cutFrom)
		h.away = false
	}
}

func (s *site) inTouch(h *siteHost) bool { return !h.away && s.now-h.touched >= knownTicks }

// step plays one tick.
func (s *site) step() {
	s.now++
	if !s.calm {
		s.harm()
	}
	for _, h := range s.hosts {
		s.readStore(h)
		s.decide(h)
	}
	s.arrive()
	s.end()
	for i, h := range s.hosts {
		s.tell(i, h)
		s.writeEvidence(h)
	}
	s.deliver()
}

// arrive has works come to hosts: culprits often to many at once.
func (s *site) arrive() {
	for _, w := range s.works {
		if w.done || s.rng.IntN(w.pause()) > 0 {
			continue
		}
		copies := 1
		if w.culprit && s.rng.IntN(2) == 0 {
			copies = len(s.hosts)
		}
		for range copies {
			s.send(s.rng.IntN(len(s.hosts)), w)
		}
	}
}

func (s *site) send(host int, w *work) {
	h, now := s.hosts[host], s.at(s.now)
	switch h.Standing(w.fingerprint, now) {
	case Refused, Held:
	case Isolate:
		if h.former {
			s.place(host, w, "")
		} else if h.whole && !h.away && h.EvaluateTrial("", w.fingerprint, now) == TrialGranted && len(h.asks) == 0 {
			s.ask(h, w)
		}
	default:
		s.place(host, w, "")
	}
}

// ask writes a trial. What the host waits for may come late, or never.
func (s *site) ask(h *siteHost, w *work) {
	h.trials++
	id := fmt.Sprintf("%s/%d/%d", h.name, h.life, h.trials)
	h.asks = append(h.asks, asked{w, id, s.now})
	s.put(h, stored{key: id, trial: &Trial{ID: id, Fingerprint: w.fingerprint, Host: h.name, Life: trialLife * tick}})
}

// put sends a record to the store; one that is lost on its way may still come, much later.
func (s *site) put(h *siteHost, r stored) {
	r.written = s.now
	due := s.soon()
	if h.away || s.lossy && s.rng.IntN(6) == 0 {
		due += 2*slowest + s.rng.IntN(4*slowest)
	}
	s.writes = append(s.writes, write{due, r})
}

// outcome writes what became of a trial.
func (s *site) outcome(h *siteHost, id string, w *work, o TrialOutcome) {
	told := Trial{ID: id, Fingerprint: w.fingerprint, Host: h.name, Life: trialLife * tick, Outcome: o}
	h.Merge(Digest{Trials: []Trial{told}}, s.at(s.now))
	s.put(h, stored{key: id, trial: &told})
}

// decide takes up the trials that have been read, and gives up those that are not in time.
func (s *site) decide(h *siteHost) {
	asks := h.asks
	h.asks = nil
	for _, a := range asks {
		late := s.now-a.since > trialLife-runTicks-1
		switch {
		case !late && !h.HasStoredTrial(a.id):
			h.asks = append(h.asks, a)
		case late, h.EvaluateTrial(a.id, a.work.fingerprint, s.at(s.now)) != TrialGranted,
			h.Standing(a.work.fingerprint, s.at(s.now)) != Isolate,
			!s.place(slices.Index(s.hosts, h), a.work, a.id):
			s.outcome(h, a.id, a.work, TrialNotSent)
		}
	}
}

// place sends a work to an engine, if there is one for it.
func (s *site) place(host int, w *work, trial string) bool {
	h := s.hosts[host]
	for _, engine := range s.rng.Perm(len(s.lives)) {
		name := fmt.Sprint("e", engine)
		if !h.MayPlace(s.life(name, engine), w.fingerprint, s.at(s.now)) {
			continue
		}
		begin := h.Started
		if trial != "" {
			begin = h.StartedOnTrial
		}
		if trial != "" && slices.ContainsFunc(s.runs, func(r *running) bool { return r.trial != "" && r.work == w && r.ends > s.now }) {
			s.together = append(s.together, w.fingerprint)
		}
		s.runs = append(s.runs, &running{
			work: w, host: host, engine: engine, life: h.life, trial: trial,
			run: begin(s.life(name, engine), w.fingerprint), ends: s.now + 1 + s.rng.IntN(runTicks),
		})
		w.arrivals = append(w.arrivals, arrival{s.now, s.inTouch(h)})
		return true
	}
	return false
}

func (s *site) life(name string, engine int) string { return fmt.Sprint(name, ".", s.lives[engine]) }

// end ends what is due: innocents complete or are left, culprits end their engines.
func (s *site) end() {
	var dead []int
	for _, r := range s.runs {
		if r.ends > s.now || slices.Contains(dead, r.engine) {
			continue
		}
		if r.work.culprit {
			dead = append(dead, r.engine)
			s.deaths[r.work.fingerprint] = append(s.deaths[r.work.fingerprint], s.now)
			continue
		}
		r.work.done = true
		s.over(r, !r.work.leaves)
	}
	for _, engine := range dead {
		s.die(engine)
	}
	s.runs = slices.DeleteFunc(s.runs, func(r *running) bool { return r.ends <= s.now })
}

func (s *site) over(r *running, completed bool) {
	h := s.hosts[r.host]
	h.End(r.run, completed)
	if r.trial == "" {
		return
	}
	o := TrialRan
	if completed {
		o = TrialCompleted
	}
	s.outcome(h, r.trial, r.work, o)
}

// die ends an engine under all that runs there. Callers of some leave.
func (s *site) die(engine int) {
	name := s.life(fmt.Sprint("e", engine), engine)
	for _, h := range s.hosts {
		h.EngineDied(name, name, s.at(s.now))
	}
	for _, r := range s.runs {
		if r.engine != engine {
			continue
		}
		r.ends = s.now
		s.over(r, false)
		r.work.done = r.work.done || r.work.leaves
	}
	s.lives[engine]++
}
