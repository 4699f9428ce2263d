package suspects

import (
	"bytes"
	"encoding/gob"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
)

// previousDigest is the digest of daemons of the previous release.
type previousDigest struct {
	Host    string
	Records []struct {
		ID            quarantine.RecordID
		Age           time.Duration
		Open, Cleared []uint64
	}
	Refused []struct {
		Fingerprint uint64
		Left        time.Duration
	}
	Holds []quarantine.Hold
}

// TestPreviousReleaseExchangesEvidence guards against evidence that one release cannot read from the
// other while both run: deaths, holds, and refusals that follow from trials.
func TestPreviousReleaseExchangesEvidence(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tr, now := New("new", logrus.NewEntry(log)), time.Now()
	former := previousDigest{Host: "old", Holds: []quarantine.Hold{{Engine: "e9", Fingerprint: culprit, Standing: quarantine.Isolate}}}
	former.Records = append(former.Records, struct {
		ID            quarantine.RecordID
		Age           time.Duration
		Open, Cleared []uint64
	}{quarantine.RecordID{Engine: "e1", Incarnation: "1"}, time.Minute, []uint64{culprit, 101}, []uint64{102}})
	data, err := encode(former)
	if err != nil {
		t.Fatal(err)
	}
	if err := tr.Merge(data, now); err != nil {
		t.Fatal(err)
	}
	if got := tr.core.Deaths(culprit); got != 1 {
		t.Errorf("%d deaths after the merge", got)
	}
	if _, ok := tr.TryStart("e8", workOf(culprit), nil, now); ok {
		t.Error("started while a daemon of the previous release runs a copy")
	}
	tr.ForgetHost("old")
	tr.core.Started("e2", workOf(103))
	run := tr.core.StartedOnTrial("e2", workOf(culprit))
	tr.EngineDied("e2", "2", now.Add(-time.Minute))
	tr.End(run, false)
	trial := quarantine.Trial{ID: "new/1", Fingerprint: culprit, Outcome: quarantine.TrialRan, Age: time.Minute}
	tr.core.Merge(quarantine.Digest{Trials: []quarantine.Trial{trial}}, now)
	data, _, err = tr.Digest(now)
	if err != nil {
		t.Fatal(err)
	}
	var decoded previousDigest
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	if len(decoded.Records) != 2 || len(decoded.Refused) != 1 || decoded.Refused[0].Fingerprint != culprit {
		t.Errorf("the previous release decodes %+v", decoded)
	}
}
