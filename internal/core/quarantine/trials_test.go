package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
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
	h.Tracker = New(Options{Host: h.name, SettleAfter: settleTime, For: time.Hour})
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
		} else if h.whole && !h.away && h.JudgeTrial("", w.fingerprint, now) == TrialGranted && len(h.asks) == 0 {
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
		case !late && !h.HasRead(a.id):
			h.asks = append(h.asks, a)
		case late, h.JudgeTrial(a.id, a.work.fingerprint, s.at(s.now)) != TrialGranted,
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
		h.Died(name, name, s.at(s.now))
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

// tell sends the host's digest to the others.
func (s *site) tell(host int, h *siteHost) {
	d := h.Digest(s.at(s.now))
	if h.former {
		d.Trials = nil
		for i := range d.Records {
			d.Records[i].Tried = nil
		}
	}
	for k, other := range s.hosts {
		if k == host || s.apart || h.cutFrom[k] || s.lossy && s.rng.IntN(4) == 0 {
			continue
		}
		told := d
		if other.former {
			told.Trials, told.Refused = nil, slices.Clone(d.Refused)
			for i := range told.Refused {
				told.Refused[i].Derived = false
			}
		}
		s.messages = append(s.messages, message{k, s.soon(), told})
	}
}

// writeEvidence writes what the host has seen itself, when that has changed.
func (s *site) writeEvidence(h *siteHost) {
	now := s.at(s.now)
	said := fmt.Sprint(h.Own(now, false))
	if h.former || !h.whole || h.away || said == h.told || said == "[]" {
		return
	}
	h.told = said
	s.put(h, stored{key: h.name, evidence: h.Own(now, true)})
}

func (s *site) deliver() {
	s.writes = slices.DeleteFunc(s.writes, func(w write) bool {
		if w.due > s.now {
			return false
		}
		s.store = append(s.store, w.record)
		return true
	})
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool {
		if m.due > s.now {
			return false
		}
		s.hosts[m.to].Merge(m.digest, s.at(s.now))
		return true
	})
}

// readStore reads on, or, for a host that has just started, the newest record of each key.
func (s *site) readStore(h *siteHost) {
	if h.former || h.away || s.now < h.nextRead {
		return
	}
	h.nextRead = s.soon()
	records := s.store[h.read:]
	if !h.whole {
		newest := map[string]int{}
		for i, r := range s.store {
			newest[r.key] = i
		}
		records = nil
		for _, i := range slices.Sorted(maps.Values(newest)) {
			records = append(records, s.store[i])
		}
	}
	now := s.at(s.now)
	for _, r := range records {
		switch {
		case r.trial != nil:
			h.ReadTrial(*r.trial, now)
		case r.key == h.name && !h.whole:
			h.Adopt(r.evidence, now)
		default:
			h.Merge(Digest{Records: r.evidence}, now)
		}
	}
	h.read, h.whole = len(s.store), true
}

// late returns how often a work was sent by hosts in touch when all of these had to know it.
func (s *site) late(w *work) int {
	deaths := s.deaths[w.fingerprint]
	if len(deaths) < deathsKnown {
		return 0
	}
	late := 0
	for _, a := range w.arrivals {
		if a.inTouch && a.tick > deaths[deathsKnown-1]+knownTicks {
			late++
		}
	}
	return late
}

// play plays the site and returns what it breaks.
func (s *site) play(culprits, innocents, leavers int) []string {
	for i := range culprits {
		s.works = append(s.works, &work{fingerprint: uint64(1 + i), culprit: true})
	}
	n := culprits
	for s.now < siteTicks {
		for range s.rng.IntN(2*(innocents+leavers)/siteTicks + 1) {
			n++
			s.works = append(s.works, &work{fingerprint: uint64(1 + n), leaves: s.rng.IntN(innocents+leavers) < leavers})
		}
		s.step()
	}
	s.heal()
	for end := s.now + calmTicks; s.now < end && !s.allServed(); {
		s.step()
	}
	return s.broken()
}

func (s *site) allServed() bool {
	return !slices.ContainsFunc(s.works, func(w *work) bool { return !w.culprit && !w.done })
}

func (s *site) broken() []string {
	var broken []string
	for _, w := range s.works {
		former := slices.ContainsFunc(s.hosts, func(h *siteHost) bool { return h.former })
		if late := s.late(w); w.culprit && late > mostLate && !former {
			broken = append(broken, fmt.Sprintf("culprit %d reached engines %d times late, %d ended", w.fingerprint, late, len(s.deaths[w.fingerprint])))
		}
		if slices.Contains(s.together, w.fingerprint) {
			broken = append(broken, fmt.Sprintf("%d ran under two trials at once", w.fingerprint))
		}
		if !w.culprit && !w.done {
			broken = append(broken, fmt.Sprintf("innocent %d is not served: %s", w.fingerprint, s.hosts[0].Standing(w.fingerprint, s.at(s.now))))
		}
	}
	return broken
}

// TestSiteKeepsWhatEndsEnginesFromThemAndServesTheOthers guards against a request that each host
// tries once more, whatever becomes of the evidence: late, lost, out of order, forgotten by hosts
// that start again, kept from hosts that are cut from each other or from the store; and against
// requests that are refused because others beside them end engines, or leave and are never seen
// again.
func TestSiteKeepsWhatEndsEnginesFromThemAndServesTheOthers(t *testing.T) {
	for _, c := range []struct {
		name                                          string
		hosts, engines, former, culprits, innos, leav int
		lossy, apart                                  bool
	}{
		{"few others", 6, 8, 0, 1, 30, 30, true, false},
		{"leavers", 6, 8, 0, 1, 60, 600, false, false},
		{"leavers, messages lost", 6, 8, 0, 1, 60, 600, true, false},
		{"two culprits", 6, 8, 0, 2, 300, 600, true, false},
		{"crowded", 8, 4, 0, 1, 60, 600, true, false},
		{"apart", 6, 8, 0, 1, 60, 600, false, true},
		{"a host of the release before", 6, 8, 1, 1, 60, 600, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			params := gopter.DefaultTestParametersWithSeed(52)
			params.MinSuccessfulTests = 40
			props := gopter.NewProperties(params)
			worst := 0
			props.Property("few late, all innocents served", prop.ForAll(func(seed uint64) string {
				s := newSite(seed, c.hosts, c.engines, c.former)
				s.lossy, s.apart = c.lossy, c.apart
				broken := s.play(c.culprits, c.innos, c.leav)
				for _, w := range s.works {
					worst = max(worst, s.late(w))
				}
				return strings.Join(broken, "; ")
			}, gen.UInt64()))
			props.TestingRun(t)
			t.Logf("most times late: %d", worst)
		})
	}
}

// tried has a fingerprint die on an engine under a trial that has been read.
func tried(tr *Tracker, id string, fingerprint uint64, now time.Time, beside ...uint64) {
	tr.ReadTrial(Trial{ID: id, Fingerprint: fingerprint, Life: time.Second}, now)
	for _, f := range beside {
		tr.Started(id, f)
	}
	tr.StartedOnTrial(id, fingerprint)
	tr.Died(id, id, now)
	tr.ReadTrial(Trial{ID: id, Fingerprint: fingerprint, Life: time.Second, Outcome: TrialRan}, now)
}

// suspect returns a tracker with a fingerprint that died twice beside two others, and when that
// has settled.
func suspect(fingerprint uint64) (*Tracker, time.Time) {
	tr := New(Options{})
	crashAll(tr, "a", "1", start, fingerprint, 90, 92)
	crashAll(tr, "b", "1", start, fingerprint, 91, 93)
	return tr, start.Add(DefaultSettleAfter)
}

// TestDeathUnderTrialProvesUntilWhatDiedBesideItDiesAgain guards against a proof that waits for
// others who are never seen again, and against one that holds when another cause shows.
func TestDeathUnderTrialProvesUntilWhatDiedBesideItDiesAgain(t *testing.T) {
	tr, now := suspect(1)
	tried(tr, "c", 1, now, 95)
	if got := tr.Standing(1, now); got != Held {
		t.Errorf("before the death has settled: %s", got)
	}
	now = now.Add(DefaultSettleAfter)
	if got, left := tr.Standing(1, now), tr.RefusedFor(1, now); got != Refused || left != DefaultFor-DefaultSettleAfter {
		t.Errorf("%s for %v", got, left)
	}
	crashAll(tr, "d", "1", now, 95)
	if got := tr.Standing(1, now); got != Isolate {
		t.Errorf("when the other one has died again: %s", got)
	}
}

// TestTrialsAreFew guards against a request that is tried on while nothing proves it: two trials
// in which it may have run, three sendings in all.
func TestTrialsAreFew(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcomes []TrialOutcome
		want     TrialVerdict
	}{
		{"one ran", []TrialOutcome{TrialRan}, TrialGranted},
		{"two ran", []TrialOutcome{TrialRan, TrialRan}, TrialSpent},
		{"none was sent", []TrialOutcome{TrialNotSent, TrialNotSent, TrialNotSent}, TrialGranted},
		{"two were declined", []TrialOutcome{TrialDeclined, TrialDeclined}, TrialGranted},
		{"three were sent", []TrialOutcome{TrialDeclined, TrialRan, TrialDeclined}, TrialSpent},
		{"one completed since", []TrialOutcome{TrialRan, TrialRan, TrialCompleted}, TrialGranted},
		{"one runs", []TrialOutcome{TrialOpen}, TrialBusy},
	} {
		tr, now := suspect(1)
		for i, o := range c.outcomes {
			tr.ReadTrial(Trial{ID: fmt.Sprint(i), Fingerprint: 1, Life: time.Second, Outcome: o}, now)
		}
		if got := tr.JudgeTrial("", 1, now); got != c.want {
			t.Errorf("%s: %s", c.name, got)
		}
	}
}

// TestTrialThatDiedBesideAnotherCauseCountsOnceMore guards against an innocent whose trials end
// beside those of others that end engines.
func TestTrialThatDiedBesideAnotherCauseCountsOnceMore(t *testing.T) {
	tr, now := suspect(1)
	for _, engine := range []string{"x", "y", "z"} {
		crashAll(tr, engine, "1", now, 95)
	}
	tried(tr, "c", 1, now, 95)
	tried(tr, "d", 1, now, 95)
	if got := tr.JudgeTrial("", 1, now); got != TrialGranted {
		t.Errorf("after two: %s", got)
	}
	tried(tr, "e", 1, now, 95)
	if got := tr.JudgeTrial("", 1, now); got != TrialSpent {
		t.Errorf("after three: %s", got)
	}
}

// TestFirstTrialOfTheStoresOrderRuns guards against two hosts that both find that none runs.
func TestFirstTrialOfTheStoresOrderRuns(t *testing.T) {
	tr, now := suspect(1)
	for _, id := range []string{"first", "second"} {
		tr.ReadTrial(Trial{ID: id, Fingerprint: 1, Life: time.Second}, now)
	}
	if got := tr.JudgeTrial("first", 1, now); got != TrialGranted {
		t.Errorf("the first: %s", got)
	}
	if got := tr.JudgeTrial("second", 1, now); got != TrialBusy {
		t.Errorf("the second: %s", got)
	}
	if got := tr.JudgeTrial("second", 1, now.Add(time.Second)); got != TrialGranted {
		t.Errorf("the second, when the first one's time is over: %s", got)
	}
}

// TestRunThatBrokeIsEvidenceWhenItsEngineIsGone guards against deaths that are told only later, and
// against evidence on an engine that has served since.
func TestRunThatBrokeIsEvidenceWhenItsEngineIsGone(t *testing.T) {
	tr := New(Options{})
	tr.Broke(tr.Started("a", 1), start)
	tr.Broke(tr.Started("b", 2), start)
	tr.Lives("b")
	tr.Broke(tr.Started("c", 3), start)
	tr.Broke(tr.Started("d", 4), start)
	tr.End(tr.Started("e", 4), true)
	for _, engine := range []string{"a", "b", "d"} {
		tr.Died(engine, "1", start.Add(time.Second))
	}
	tr.Died("c", "1", start.Add(brokenFor))
	for fingerprint, want := range map[uint64]Standing{1: Suspect, 2: Clear, 3: Clear, 4: Clear} {
		if got := tr.Standing(fingerprint, start); got != want {
			t.Errorf("%d: %s", fingerprint, got)
		}
	}
}

// TestRefusalThatFollowsFromTrialsReachesHostsOfTheReleaseBefore: they know no trials, and hold to
// what they are told is refused; others go by the trials.
func TestRefusalThatFollowsFromTrialsReachesHostsOfTheReleaseBefore(t *testing.T) {
	tr, now := suspect(1)
	tried(tr, "c", 1, now, 95)
	now = now.Add(DefaultSettleAfter)
	told := tr.Version()
	if tr.Standing(1, now) != Refused || tr.Version() == told {
		t.Error("the refusal is no news")
	}
	d := tr.Digest(now)
	if len(d.Refused) != 1 || d.Refused[0].Fingerprint != 1 || !d.Refused[0].Derived {
		t.Fatalf("told %+v", d.Refused)
	}
	other := New(Options{Host: "other"})
	other.Merge(Digest{Host: "h", Refused: d.Refused}, now)
	if got := other.Standing(1, now); got != Clear {
		t.Errorf("without the evidence: %s", got)
	}
	other.Merge(d, now)
	if got := other.Standing(1, now); got != Refused {
		t.Errorf("with the evidence: %s", got)
	}
}
