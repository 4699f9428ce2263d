package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the simulated site; ints are in ticks.
const (
	tick          = 250 * time.Millisecond
	settleTime    = 3 * time.Second
	spreadTicks   = int(settleTime / tick) // from the last of knownDeaths deaths until all connected hosts know of it
	maxDelayTicks = 3                      // longest time of a write, a read or a message
	runTicks      = 5                      // longest run time of a request
	trialLife     = 14                     // of a trial, waiting time included
	siteTicks     = 240
	recoveryTicks = 400 // after the last fault, in which all innocents have to be served
)

// Limits that the site has to keep.
const (
	knownDeaths  = 3 // deaths of a culprit after which its sends count as late
	maxLateSends = 3 // late sends allowed for each culprit
)

// stored is one record of the simulated store.
type stored struct {
	key      string
	evidence []RecordDigest
	trial    *Trial
	written  int
}

// message is a digest in transit.
type message struct {
	to, due int
	digest  Digest
}

// write is a record in transit to the store.
type write struct {
	due    int
	record stored
}

// work is a request that is sent repeatedly until it is done; a culprit forever, unless it is one of
// many with a crashing part.
type work struct {
	fingerprint  uint64
	parts        []uint64
	crashingPart uint64 // one of parts; 0: none
	culprit      bool
	callerLeaves bool // its caller aborts it before its end and does not return
	done         bool
	arrivals     []arrival
}

func (w *work) work() Work { return Work{Fingerprint: w.fingerprint, Parts: w.parts} }

// cause returns the fingerprint or part that crashes engines.
func (w *work) cause() uint64 { return cmp.Or(w.crashingPart, w.fingerprint) }

// meanInterval returns the mean number of ticks between two sends.
func (w *work) meanInterval() int {
	if w.culprit {
		return 8
	}
	return 2
}

// arrival is a send to an engine.
type arrival struct {
	tick      int
	connected bool // of the host, at that time
}

// running is a request on an engine.
type running struct {
	work         *work
	host, engine int
	incarnation  int // the host's
	run          Run
	trial        string
	ends         int
}

// pendingTrial is a trial that its host has written and waits to read.
type pendingTrial struct {
	work  *work
	id    string
	since int
}

// siteHost is one simulated daemon.
type siteHost struct {
	*Tracker
	name             string
	incarnation      int
	oldRelease       bool // of the previous release, without trials and store
	read             int  // number of records read from the store
	loaded           bool // it has read the store since its start
	nextRead         int
	writtenEvidence  string // as last written to the store
	pendingTrials    []pendingTrial
	trials           int
	cutFrom          map[int]bool // by host: no messages pass between the two
	storeUnreachable bool         // the store is unreachable from it
	connectedSince   int          // last tick at which it started, or lost or regained the store
}

// site is a simulated site.
type site struct {
	rng              *rand.Rand
	now              int
	hosts            []*siteHost
	store            []stored
	writes           []write
	messages         []message
	incarnations     []int // of each engine
	runs             []*running
	works            []*work
	deaths           map[uint64][]int // by cause: ticks at which it crashed engines
	lossy            bool             // messages and writes may be lost or late
	noGossip         bool             // no digests are delivered
	healed           bool
	concurrentTrials []uint64 // fingerprints that ran under two trials at once
}

func newSite(seed uint64, hosts, engines, former int) *site {
	s := &site{rng: rand.New(rand.NewPCG(seed, 3)), incarnations: make([]int, engines), deaths: map[uint64][]int{}}
	for i := range hosts {
		h := &siteHost{name: fmt.Sprint("h", i), oldRelease: i < former, cutFrom: map[int]bool{}}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	return s
}

func (s *site) timeAt(tickNumber int) time.Time { return start.Add(time.Duration(tickNumber) * tick) }

func (s *site) randomDelay() int { return s.now + 1 + s.rng.IntN(maxDelayTicks) }

// start starts or restarts a host without any evidence.
func (s *site) start(h *siteHost) {
	h.Tracker = New(Options{Host: h.name, SettleAfter: settleTime, QuarantineTime: time.Hour})
	h.incarnation++
	h.read, h.loaded, h.writtenEvidence, h.pendingTrials, h.connectedSince = 0, false, "", nil, s.now
	s.runs = slices.DeleteFunc(s.runs, func(r *running) bool { return s.hosts[r.host] == h })
}

// injectFaults restarts hosts, and starts and ends partitions between them and from the store.
func (s *site) injectFaults() {
	for i, h := range s.hosts {
		if s.rng.IntN(120) == 0 {
			s.start(h)
		}
		if oneIn := map[bool]int{false: 150, true: 15}[h.storeUnreachable]; s.rng.IntN(oneIn) == 0 {
			h.storeUnreachable = !h.storeUnreachable
			h.connectedSince = s.now
		}
		if s.rng.IntN(20) == 0 {
			k := s.rng.IntN(len(s.hosts))
			cut := !h.cutFrom[k]
			h.cutFrom[k], s.hosts[k].cutFrom[i] = cut, cut
		}
	}
}

func (s *site) heal() {
	s.healed, s.lossy, s.noGossip = true, false, false
	for _, h := range s.hosts {
		clear(h.cutFrom)
		h.storeUnreachable = false
	}
}

func (s *site) connected(h *siteHost) bool {
	return !h.storeUnreachable && s.now-h.connectedSince >= spreadTicks
}

// step simulates one tick.
func (s *site) step() {
	s.now++
	if !s.healed {
		s.injectFaults()
	}
	for _, h := range s.hosts {
		s.readStore(h)
		s.startReadTrials(h)
	}
	s.sendArrivals()
	s.finishRuns()
	for i, h := range s.hosts {
		s.sendDigest(i, h)
		s.writeEvidence(h)
	}
	s.deliver()
}

// sendArrivals sends works to random hosts, culprits often to many at once.
func (s *site) sendArrivals() {
	for _, w := range s.works {
		if w.done || s.rng.IntN(w.meanInterval()) > 0 {
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
	h, now := s.hosts[host], s.timeAt(s.now)
	switch {
	case h.Standing(w.work(), now) >= Held:
	case h.oldRelease || !h.NeedsTrial(w.work(), now):
		s.place(host, w, "")
	case h.loaded && !h.storeUnreachable && h.EvaluateTrial("", w.work(), now) == TrialGranted && len(h.pendingTrials) == 0:
		s.requestTrial(h, w)
	}
}

// requestTrial writes a trial to the store. The write may arrive late.
func (s *site) requestTrial(h *siteHost, w *work) {
	h.trials++
	id := fmt.Sprintf("%s/%d/%d", h.name, h.incarnation, h.trials)
	h.pendingTrials = append(h.pendingTrials, pendingTrial{w, id, s.now})
	s.put(h, stored{key: id, trial: &Trial{ID: id, Fingerprint: w.fingerprint, Parts: h.SuspectParts(w.work()), Host: h.name, Life: trialLife * tick}})
}

// put sends a record to the store. A lost record may still arrive much later.
func (s *site) put(h *siteHost, r stored) {
	r.written = s.now
	due := s.randomDelay()
	if h.storeUnreachable || s.lossy && s.rng.IntN(6) == 0 {
		due += 2*maxDelayTicks + s.rng.IntN(4*maxDelayTicks)
	}
	s.writes = append(s.writes, write{due, r})
}

// recordOutcome merges the outcome of a trial and writes it to the store.
func (s *site) recordOutcome(h *siteHost, id string, w *work, o TrialOutcome) {
	told := Trial{ID: id, Fingerprint: w.fingerprint, Parts: w.parts, Host: h.name, Life: trialLife * tick, Outcome: o}
	h.Merge(Digest{Trials: []Trial{told}}, s.timeAt(s.now))
	s.put(h, stored{key: id, trial: &told})
}

// startReadTrials starts the pending trials that have been read and granted, and gives up the others
// that were read and those that are late.
func (s *site) startReadTrials(h *siteHost) {
	asks := h.pendingTrials
	h.pendingTrials = nil
	for _, a := range asks {
		late := s.now-a.since > trialLife-runTicks-1
		switch {
		case !late && !h.HasStoredTrial(a.id):
			h.pendingTrials = append(h.pendingTrials, a)
		case late, h.EvaluateTrial(a.id, a.work.work(), s.timeAt(s.now)) != TrialGranted,
			h.Standing(a.work.work(), s.timeAt(s.now)) >= Held,
			!s.place(slices.Index(s.hosts, h), a.work, a.id):
			s.recordOutcome(h, a.id, a.work, TrialNotSent)
		}
	}
}

// place sends a work to a random engine on which it may start, and reports whether there is one.
func (s *site) place(host int, w *work, trial string) bool {
	h := s.hosts[host]
	for _, engine := range s.rng.Perm(len(s.incarnations)) {
		name := fmt.Sprint("e", engine)
		if !h.MayPlace(s.engineID(name, engine), w.work(), s.timeAt(s.now)) {
			continue
		}
		begin := h.Started
		if trial != "" {
			begin = h.StartedOnTrial
		}
		if trial != "" && slices.ContainsFunc(s.runs, func(r *running) bool { return r.trial != "" && r.work == w && r.ends > s.now }) {
			s.concurrentTrials = append(s.concurrentTrials, w.fingerprint)
		}
		s.runs = append(s.runs, &running{
			work: w, host: host, engine: engine, incarnation: h.incarnation, trial: trial,
			run: begin(s.engineID(name, engine), w.work()), ends: s.now + 1 + s.rng.IntN(runTicks),
		})
		w.arrivals = append(w.arrivals, arrival{s.now, s.connected(h)})
		return true
	}
	return false
}

func (s *site) engineID(name string, engine int) string {
	return fmt.Sprint(name, ".", s.incarnations[engine])
}

// finishRuns ends the runs that are due: innocents complete or are aborted, culprits crash their
// engines.
func (s *site) finishRuns() {
	var dead []int
	for _, r := range s.runs {
		if r.ends > s.now || slices.Contains(dead, r.engine) {
			continue
		}
		if r.work.culprit {
			dead = append(dead, r.engine)
			s.deaths[r.work.cause()] = append(s.deaths[r.work.cause()], s.now)
			continue
		}
		r.work.done = true
		s.finishRun(r, !r.work.callerLeaves)
	}
	for _, engine := range dead {
		s.crashEngine(engine)
	}
	s.runs = slices.DeleteFunc(s.runs, func(r *running) bool { return r.ends <= s.now })
}

func (s *site) finishRun(r *running, completed bool) {
	h := s.hosts[r.host]
	if completed {
		h.Began(r.run, s.timeAt(s.now))
	}
	h.End(r.run, completed)
	if r.trial == "" {
		return
	}
	o := TrialRan
	if completed {
		o = TrialCompleted
	}
	s.recordOutcome(h, r.trial, r.work, o)
}

// crashEngine ends an engine and all runs on it, some of which their callers abandon.
func (s *site) crashEngine(engine int) {
	name := s.engineID(fmt.Sprint("e", engine), engine)
	for _, h := range s.hosts {
		h.EngineDied(name, name, s.timeAt(s.now))
	}
	for _, r := range s.runs {
		if r.engine != engine {
			continue
		}
		r.ends = s.now
		s.finishRun(r, false)
		r.work.done = r.work.done || r.work.callerLeaves
	}
	s.incarnations[engine]++
}
