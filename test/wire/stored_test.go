package wire

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"reflect"
	"slices"
	"testing"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/core/order"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
	"github.com/buckthorndock/buckthorndock/internal/owner"
)

// The tests below guard against a record of the platform's log, or a digest of columns, that this
// release writes otherwise than earlier ones: each text was written by an earlier release, and has
// to be what is written today and to be read as the same values.

func TestClaimRecordsStayAsStored(t *testing.T) {
	id := claim.ID{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	for _, c := range []struct {
		record claim.Record
		text   string
	}{
		{claim.Record{Claim: &claim.Claim{
			Customer: "phones", Key: "order-77", ID: id, Host: "hal-a", Incarnation: 17, Fingerprint: 18,
			NotAfterMs: 19, LifeMs: 20, Supersedes: 21,
		}}, `{"c":{"u":"phones","k":"order-77","i":"AQIDBAUGBwgJCgsMDQ4PEA","h":"hal-a","n":17,"f":18,"t":19,"l":20,"s":21}}`},
		{claim.Record{Release: &claim.Release{Offset: 21, ID: id, Host: "hal-a", Incarnation: 17}},
			`{"r":{"o":21,"i":"AQIDBAUGBwgJCgsMDQ4PEA","h":"hal-a","n":17}}`},
		{claim.Record{Mark: &claim.Mark{Host: "hal-a", Era: 22, SinceMs: 23}},
			`{"m":{"h":"hal-a","e":22,"s":23}}`},
	} {
		data, err := claim.Encode(c.record)
		if err != nil || string(data) != c.text {
			t.Errorf("written as %s, %v; want %s", data, err, c.text)
		}
		got, err := claim.Decode([]byte(c.text))
		if err != nil || !reflect.DeepEqual(got, c.record) {
			t.Errorf("%s read as %+v, %v", c.text, got, err)
		}
	}
}

func TestOrderRecordsStayAsStored(t *testing.T) {
	record := order.Record{Kind: order.RenewRecord, ID: "r1", Pool: "large", Holder: order.Holder{Host: "hal-a", Incarnation: "17"}, Fence: 18}
	const text = `{"kind":"renew","id":"r1","pool":"large","holder":{"host":"hal-a","incarnation":"17"},"fence":18}`
	data, err := record.Encode()
	if err != nil || string(data) != text {
		t.Errorf("written as %s, %v", data, err)
	}
	if got, err := order.Decode([]byte(text)); err != nil || got != record {
		t.Errorf("read as %+v, %v", got, err)
	}
}

func TestSettingsChangesStayAsStored(t *testing.T) {
	yaml := "requests:\n  deadline_ms: 5000\n"
	change := settings.Change{ID: "c1", Author: "kim", CheckedOffset: 17, Edits: []settings.Edit{{Path: "/frigolijst", Base: 18, YAML: &yaml}, {Path: "/kuopio", Base: 19}}}
	const text = `{"format":1,"id":"c1","author":"kim","seen":17,"edits":[{"path":"/frigolijst","base":18,"yaml":"requests:\n  deadline_ms: 5000\n"},{"path":"/kuopio","base":19}]}`
	data, err := change.Encode()
	if err != nil || string(data) != text {
		t.Errorf("written as %s, %v", data, err)
	}
	if got, err := settings.DecodeChange([]byte(text)); err != nil || !reflect.DeepEqual(*got, change) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// TestOwnerDigestKeepsItsColumns compares the columns, since gob numbers the types of a process in
// the order of their first use.
func TestOwnerDigestKeepsItsColumns(t *testing.T) {
	digest := owner.Digest{Engines: []owner.EngineDigest{{
		Name: "e1", Models: "m1 m2", Role: "long", IncarnationHash: 1, Seq: 2, AgeMs: 3, StepUs: 4, Prefill: 5, Decode: 6, Queued: 7, QueuedTokens: 8,
		Running: 9, Total: 10, Used: 11, Block: 12, Leaving: true, ReservedMs: 13, ReservedTokens: 14, FirstCacheSeq: 15, Cache: []uint64{16, 17},
	}}}
	golden, err := hex.DecodeString("16ffb3020101085b5d737472696e6701ffb400010c000012ffb40003026531056d31206d32046c6f6e67" +
		"0efe0131020102fe0132000104000018fe013200130406080a0c0e10121416181a1c1e0202042022")
	if err != nil {
		t.Fatal(err)
	}
	data, err := digest.Encode()
	if err != nil {
		t.Fatal(err)
	}
	texts, numbers := digestColumns(t, data)
	wantTexts, wantNumbers := digestColumns(t, golden)
	if !slices.Equal(texts, wantTexts) || !slices.Equal(numbers, wantNumbers) {
		t.Errorf("written as %q %v, want %q %v", texts, numbers, wantTexts, wantNumbers)
	}
	if got, err := owner.DecodeDigest(golden); err != nil || !reflect.DeepEqual(got, digest) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

func digestColumns(t *testing.T, data []byte) (texts []string, numbers []int64) {
	t.Helper()
	dec := gob.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&texts); err != nil {
		t.Fatal(err)
	}
	if err := dec.Decode(&numbers); err != nil {
		t.Fatal(err)
	}
	return texts, numbers
}
