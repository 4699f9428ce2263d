// Package suspects guards the quarantine core by a lock, spreads its evidence among the
// daemons, keeps it in a store, and asks that for the trials of requests.
package suspects

import (
	"bytes"
	"encoding/gob"
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

// Section is the name under which evidence is spread.
const Section = "suspects"

// maxDigestBytes bounds what Merge reads.
const maxDigestBytes = 1 << 20

// Tracker is safe for concurrent use.
type Tracker struct {
	host string
	log  *logrus.Entry

	changed chan struct{} // there may be new evidence

	born    int64         // of this life, Unix time in ns
	readNow chan struct{} // a trial waits for a read of the store
	toWrite chan struct{} // the store has something to be told
	urgent  chan struct{} // and at once

	mu        sync.Mutex
	core      *quarantine.Tracker
	store     Store                // nil: none keeps evidence
	began     bool                 // the store was read
	away      bool                 // it did not answer the last read; the reader's own
	wasRead   chan struct{}        // closed and replaced at each read of the store
	written   []byte               // own evidence as the store has it
	stale     []string             // keys to remove
	trials    map[string]*ownTrial // of this life, by id
	lastTrial int
}

// New returns a Tracker without evidence.
func New(host string, log *logrus.Entry) *Tracker {
	return &Tracker{
		host:    host,
		log:     log,
		changed: make(chan struct{}, 1),
		born:    time.Now().UnixNano(),
		readNow: make(chan struct{}, 1),
		toWrite: make(chan struct{}, 1),
		urgent:  make(chan struct{}, 1),
		core:    quarantine.New(quarantine.Options{Host: host}),
		wasRead: make(chan struct{}),
		trials:  map[string]*ownTrial{},
	}
}

// signal tells that there may be new evidence.
func (t *Tracker) signal() { wake(t.changed) }

// ApplySettings takes the site's limits of quarantine, those at the root.
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

// Refusal returns why a request must not run at all, nil when it may.
func (t *Tracker) Refusal(fingerprint uint64, now time.Time) *request.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.core.RefusedFor(fingerprint, now)
	if left == 0 {
		return nil
	}
	return request.Refuse(request.CodeQuarantined, left, "this request has crashed the engines that ran it")
}

// Blocked returns those engines on which a request must not start now.
func (t *Tracker) Blocked(engines []string, fingerprint uint64, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var blocked []string
	for _, e := range engines {
		if !t.core.MayPlace(e, fingerprint, now) {
			blocked = append(blocked, e)
		}
	}
	return blocked
}

// TryStart notes that a request begins on an engine, unless it must not start
// there now. After true, End must follow. Asking and noting are one step, so that
// two suspects never both find the same engine free. One that has been in enough deaths starts
// under a trial, where a store orders these.
func (t *Tracker) TryStart(engine string, fingerprint uint64, trial *Trial, now time.Time) (quarantine.Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.core.MayPlace(engine, fingerprint, now) {
		return 0, false
	}
	standing := t.core.Standing(fingerprint, now)
	if standing == quarantine.Isolate && t.store != nil && trial == nil {
		return 0, false
	}
	if standing != quarantine.Clear {
		t.log.WithFields(logrus.Fields{
			"work": workName(fingerprint), "standing": standing.String(),
			"deaths": t.core.Deaths(fingerprint), "upstream": engine,
		}).Info("suspect_started")
	}
	if trial != nil {
		return t.core.StartedOnTrial(engine, fingerprint), true
	}
	return t.core.Started(engine, fingerprint), true
}

// workName is a fingerprint as logs have it.
func workName(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// mostWorks bounds the works that one line names.
const mostWorks = 16

// workNames names works for a line.
func workNames(fingerprints []uint64) []string {
	names := make([]string, 0, mostWorks)
	for _, f := range fingerprints[:min(mostWorks, len(fingerprints))] {
		names = append(names, workName(f))
	}
	return names
}

// End notes that a run is over.
func (t *Tracker) End(run quarantine.Run, completed bool) {
	t.mu.Lock()
	before := t.core.Version()
	t.core.End(run, completed)
	news := t.core.Version() != before
	t.mu.Unlock()
	if news {
		t.signal()
		t.wakeWriter()
	}
}

// EndBroken notes that a run broke, maybe because its engine died; Lapsed or Lives tells.
func (t *Tracker) EndBroken(run quarantine.Run, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.EndBroken(run, now)
}

// EngineAlive notes that an engine has served a request.
func (t *Tracker) EngineAlive(engine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.EngineAlive(engine)
}

// EngineDelisted notes that the life of an engine is over by the word of others. It died of what ran
// there if a run had broken.
func (t *Tracker) EngineDelisted(engine, incarnation string, now time.Time) {
	t.mu.Lock()
	died := t.core.HasBrokenRuns(engine)
	t.mu.Unlock()
	if died {
		t.EngineDied(engine, incarnation, now)
	}
}

// EngineDied notes that an engine's process ended while it ran requests of this front.
func (t *Tracker) EngineDied(engine, incarnation string, now time.Time) {
	t.mu.Lock()
	ran := t.core.EngineDied(engine, incarnation, now)
	t.mu.Unlock()
	t.signal()
	wake(t.urgent)
	if len(ran) == 0 {
		return
	}
	metrics.GetOrCreateCounter("buckthorndock_engine_deaths_total").Inc()
	t.log.WithFields(logrus.Fields{"upstream": engine, "incarnation": incarnation, "suspects": len(ran), "works": workNames(ran)}).Warn("engine_died")
}

// Digest returns the evidence to be spread and its version.
func (t *Tracker) Digest(now time.Time) (data []byte, version uint64, err error) {
	t.mu.Lock()
	digest := t.core.Digest(now)
	version = t.core.Version()
	t.mu.Unlock()
	var b bytes.Buffer
	err = gob.NewEncoder(&b).Encode(digest)
	return b.Bytes(), version, merry.Prepend(err, "encode evidence")
}

// Version changes when there is something new to spread.
func (t *Tracker) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Version()
}

// Merge takes a peer's evidence.
func (t *Tracker) Merge(data []byte, now time.Time) error {
	if len(data) > maxDigestBytes {
		return merry.Errorf("evidence of %d bytes is too long", len(data))
	}
	var d quarantine.Digest
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&d); err != nil {
		return merry.Prepend(err, "decode evidence")
	}
	t.mu.Lock()
	before := t.core.Version()
	t.core.Merge(d, now)
	news := t.core.Version() != before
	t.mu.Unlock()
	if news {
		t.signal()
		t.log.WithFields(logrus.Fields{"from": d.Host, "deaths": len(d.Records), "refused": len(d.Refused)}).Info("evidence_heard")
	}
	return nil
}

// ForgetHost drops what a host said to run, because it is gone.
func (t *Tracker) ForgetHost(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.ForgetHost(host)
}
