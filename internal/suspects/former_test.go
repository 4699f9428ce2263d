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

// formerDigest is evidence as daemons of the release before spread it.
type formerDigest struct {
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

// TestDaemonsOfTheReleaseBeforeAreHeardAndHear guards against evidence that one release cannot
// read of the other while both run: deaths, what runs, and what is refused because of trials.
func TestDaemonsOfTheReleaseBeforeAreHeardAndHear(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tr, now := New("new", logrus.NewEntry(log)), time.Now()
	former := formerDigest{Host: "old", Holds: []quarantine.Hold{{Engine: "e9", Fingerprint: culprit, Standing: quarantine.Isolate}}}
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
		t.Errorf("heard of %d deaths", got)
	}
	if _, ok := tr.TryStart("e8", culprit, nil, now); ok {
		t.Error("started beside the copy of a daemon of the release before")
	}
	tr.ForgetHost("old")
	tr.core.Started("e2", 103)
	run := tr.core.StartedOnTrial("e2", culprit)
	tr.EngineDied("e2", "2", now.Add(-time.Minute))
	tr.End(run, false)
	trial := quarantine.Trial{ID: "new/1", Fingerprint: culprit, Outcome: quarantine.TrialRan, Age: time.Minute}
	tr.core.Merge(quarantine.Digest{Trials: []quarantine.Trial{trial}}, now)
	data, _, err = tr.Digest(now)
	if err != nil {
		t.Fatal(err)
	}
	var told formerDigest
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&told); err != nil {
		t.Fatal(err)
	}
	if len(told.Records) != 2 || len(told.Refused) != 1 || told.Refused[0].Fingerprint != culprit {
		t.Errorf("told %+v", told)
	}
}
