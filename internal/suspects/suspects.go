// Package suspects makes the quarantine core safe for concurrent use, spreads its evidence among
// the daemons, keeps it in a store, and obtains trials for requests through that store.
package suspects

import (
	"bytes"
	"encoding/gob"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// Section is the name of the membership section that carries evidence.
const Section = "suspects"

// maxDigestBytes limits the size of a digest that Merge decodes.
const maxDigestBytes = 1 << 20

// Tracker holds the evidence of one daemon and its trials. It is safe for concurrent use.
type Tracker struct {
	host string
	log  *logrus.Entry

	evidenceChanged chan struct{} // there may be new evidence to share

	startedAt      int64         // start of this process, Unix time in ns
	readRequested  chan struct{} // a read of the store is needed without delay
	writeRequested chan struct{} // there is something to write to the store
	urgentWrite    chan struct{} // there is something to write without delay

	mu               sync.Mutex
	core             *quarantine.Tracker
	store            Store                // nil: evidence is not stored
	storeLoaded      bool                 // the store was read at least once
	storeUnreachable bool                 // the last read failed; used by the read loop only
	readDone         chan struct{}        // closed and replaced after each read of the store
	writtenEvidence  []byte               // encoded own evidence as last written to the store
	staleKeys        []string             // keys to remove from the store
	trials           map[string]*ownTrial // of this process, by ID
	trialCount       int
	provedParts      [][]uint64 // as last logged
}

// New returns a Tracker without evidence.
func New(host string, log *logrus.Entry) *Tracker {
	return &Tracker{
		host:            host,
		log:             log,
		evidenceChanged: make(chan struct{}, 1),
		startedAt:       time.Now().UnixNano(),
		readRequested:   make(chan struct{}, 1),
		writeRequested:  make(chan struct{}, 1),
		urgentWrite:     make(chan struct{}, 1),
		core:            quarantine.New(quarantine.Options{Host: host}),
		readDone:        make(chan struct{}),
		trials:          map[string]*ownTrial{},
	}
}

// signalEvidence signals Share that there may be new evidence.
func (t *Tracker) signalEvidence() { notify(t.evidenceChanged) }

// ApplySettings applies the site-wide quarantine settings, those of the root domain.
func (t *Tracker) ApplySettings(snap *settings.Snapshot) {
	routing := snap.RoutingAt(settings.Root)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetOptions(quarantine.Options{
		Host:           t.host,
		CrashThreshold: routing.QuarantineCrashes,
		QuarantineTime: routing.QuarantineTime(),
	})
}

// Refusal returns the refusal of a quarantined request, nil when the request is not quarantined.
func (t *Tracker) Refusal(w quarantine.Work, now time.Time) *request.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.core.RefusedFor(w, now)
	if left == 0 {
		return nil
	}
	return request.Refuse(request.CodeQuarantined, left, "this request, or others with a part of its prompt, have crashed the engines that ran them")
}

// Blocked returns those of the engines on which a request must not start now.
func (t *Tracker) Blocked(engines []string, w quarantine.Work, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var blocked []string
	for _, e := range engines {
		if !t.core.MayPlace(e, w, now) {
			blocked = append(blocked, e)
		}
	}
	return blocked
}

// TryStart records that a request starts on an engine, unless it must not start
// there now. If it returns true, End must be called with the Run. The check and the
// record are one atomic step, so that two suspects never both find the same engine
// free. With a store, a request that needs a trial starts only under one.
func (t *Tracker) TryStart(engine string, w quarantine.Work, trial *Trial, now time.Time) (quarantine.Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.core.MayPlace(engine, w, now) {
		return 0, false
	}
	standing := t.core.Standing(w, now)
	if trial == nil && t.store != nil && t.core.NeedsTrial(w, now) {
		return 0, false
	}
	if standing != quarantine.Clear {
		t.log.WithFields(logrus.Fields{
			"work": formatHash(w.Fingerprint), "parts": formatHashes(w.Parts), "standing": standing.String(),
			"deaths": t.core.Deaths(w.Fingerprint), "upstream": engine,
		}).Info("suspect_started")
	}
	if trial != nil {
		return t.core.StartedOnTrial(engine, w), true
	}
	return t.core.Started(engine, w), true
}

// formatHash returns a fingerprint, or the hash of a part, in hexadecimal, for logs.
func formatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

// maxLoggedHashes limits the number of hashes in one log field.
const maxLoggedHashes = 16

// formatHashes formats up to maxLoggedHashes hashes for a log line.
func formatHashes(hashes []uint64) []string {
	names := make([]string, 0, maxLoggedHashes)
	for _, h := range hashes[:min(maxLoggedHashes, len(hashes))] {
		names = append(names, formatHash(h))
	}
	return names
}

// End records that a run is over and whether it completed.
func (t *Tracker) End(run quarantine.Run, completed bool) {
	changed := t.update(func() {
		if completed {
			t.core.Began(run, time.Now())
		}
		t.core.End(run, completed)
	})
	if changed {
		t.signalEvidence()
		t.requestWrite()
	}
}

// update changes the evidence by apply. It reports whether there is something new to share.
func (t *Tracker) update(apply func()) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.core.Version()
	apply()
	if changed = t.core.Version() != before; changed {
		t.logProvedParts()
	}
	return changed
}

// Answering records that a run is sending its answer. It reports whether the answer has begun, which
// clears the parts of its prompt; from then on it need not be called again.
func (t *Tracker) Answering(run quarantine.Run, now time.Time) (begun bool) {
	changed := t.update(func() { begun = t.core.Answering(run, now) })
	if changed {
		t.signalEvidence()
		notify(t.urgentWrite)
	}
	return begun
}

// EndBroken ends a run that broke off, possibly because its engine died. EngineDelisted or
// EngineAlive follows when that is known.
func (t *Tracker) EndBroken(run quarantine.Run, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.EndBroken(run, now)
}

// EngineAlive records that an engine has served a request and thus has not died.
func (t *Tracker) EngineAlive(engine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.EngineAlive(engine)
}

// EngineDelisted records that an incarnation of an engine has ended according to the list of engines
// or to a probe. It counts as a death if a run had broken there.
func (t *Tracker) EngineDelisted(engine, incarnation string, now time.Time) {
	if t.HasBrokenRuns(engine) {
		t.EngineDied(engine, incarnation, now)
	}
}

// HasBrokenRuns reports whether runs broke off on an engine that has not been found alive or dead
// since.
func (t *Tracker) HasBrokenRuns(engine string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.HasBrokenRuns(engine)
}

// EngineDied records that an engine's process ended while it ran requests of this daemon.
func (t *Tracker) EngineDied(engine, incarnation string, now time.Time) {
	var ran []quarantine.Work
	t.update(func() { ran = t.core.EngineDied(engine, incarnation, now) })
	t.signalEvidence()
	notify(t.urgentWrite)
	if len(ran) == 0 {
		return
	}
	metrics.GetOrCreateCounter("buckthorndock_engine_deaths_total").Inc()
	works, parts := hashesOf(ran)
	t.log.WithFields(logrus.Fields{
		"upstream": engine, "incarnation": incarnation, "suspects": len(ran), "works": formatHashes(works), "parts": formatHashes(parts),
	}).Warn("engine_died")
}

// hashesOf returns the fingerprints of works, and their parts, each once.
func hashesOf(works []quarantine.Work) (fingerprints, parts []uint64) {
	for _, w := range works {
		fingerprints = append(fingerprints, w.Fingerprint)
		parts = append(parts, w.Parts...)
	}
	slices.Sort(parts)
	return fingerprints, slices.Compact(parts)
}

// Digest returns the encoded evidence for the other daemons, and its version.
func (t *Tracker) Digest(now time.Time) (data []byte, version uint64, err error) {
	t.mu.Lock()
	digest := t.core.Digest(now)
	version = t.core.Version()
	t.mu.Unlock()
	var b bytes.Buffer
	err = gob.NewEncoder(&b).Encode(digest)
	return b.Bytes(), version, merry.Prepend(err, "encode evidence")
}

// Version returns a counter that changes when there is new evidence to share.
func (t *Tracker) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Version()
}

// Merge adds a peer's encoded evidence. It returns an error when the data is too long or cannot be
// decoded.
func (t *Tracker) Merge(data []byte, now time.Time) error {
	if len(data) > maxDigestBytes {
		return merry.Errorf("evidence of %d bytes is too long", len(data))
	}
	var d quarantine.Digest
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&d); err != nil {
		return merry.Prepend(err, "decode evidence")
	}
	if t.update(func() { t.core.Merge(d, now) }) {
		t.signalEvidence()
		t.log.WithFields(logrus.Fields{"from": d.Host, "deaths": len(d.Records), "refused": len(d.Refused)}).Info("evidence_merged")
	}
	return nil
}

// ForgetHost drops the holds of a host that is gone.
func (t *Tracker) ForgetHost(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.ForgetHost(host)
}
