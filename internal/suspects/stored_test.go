package suspects

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"reflect"
	"testing"
	"time"
)

// storedText is a record of the store as an earlier release wrote it, with every field set.
const storedText = "" +
	"377f030101046b65707401ff8000010301075772697474656e01ff8200010845766964656e636501ff8a000105547269616c01ff8c0000" +
	"0010ff810501010454696d6501ff8200000028ff89020101195b5d71756172616e74696e652e5265636f726444696765737401ff8a0001" +
	"ff8400004cff830301010c5265636f726444696765737401ff840001050102494401ff8600010341676501040001044f70656e01ff8800" +
	"0107436c656172656401ff88000105547269656401ff8800000031ff85030101085265636f7264494401ff860001020106456e67696e65" +
	"010c00010b496e6361726e6174696f6e010c00000016ff87020101085b5d75696e74363401ff88000106000050ff8b0301010554726961" +
	"6c01ff8c00010601024944010c00010b46696e6765727072696e740106000104486f7374010c0001044c69666501040001034167650104" +
	"0001074f7574636f6d6501060000004aff80010f010000000edce5e80000000000ffff01010101026531010269310001fb1bf08eb00001" +
	"01010101020101030001010274310105010568616c2d61010801fc7735940001010000"

// storedRecord has the fields of such a record by the names that it was written with.
type storedRecord struct {
	Written  time.Time
	Evidence []struct {
		ID                   struct{ Engine, Incarnation string }
		Age                  time.Duration
		Open, Cleared, Tried []uint64
	}
	Trial *struct {
		ID          string
		Host        string
		Life        time.Duration
		Fingerprint uint64
		Outcome     uint8
		Age         time.Duration
	}
}

// TestStoredRecordsOfEarlierReleasesKeepTheirFields guards against a renamed field of the store's
// records: gob ignores fields that the reader does not have, so that evidence of an earlier release
// would be read as empty without an error. Both directions are checked.
func TestStoredRecordsOfEarlierReleasesKeepTheirFields(t *testing.T) {
	data, err := hex.DecodeString(storedText)
	if err != nil {
		t.Fatal(err)
	}
	var today storedValue
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&today); err != nil {
		t.Fatal(err)
	}
	again, err := encode(today)
	if err != nil {
		t.Fatal(err)
	}
	var want, got storedRecord
	for _, d := range []struct {
		data []byte
		into *storedRecord
	}{{data, &want}, {again, &got}} {
		if err := gob.NewDecoder(bytes.NewReader(d.data)).Decode(d.into); err != nil {
			t.Fatal(err)
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v came back as %+v", want, got)
	}
	if got.Written.IsZero() || len(got.Evidence) != 1 || got.Trial == nil {
		t.Fatalf("the record lacks a part: %+v", got)
	}
	e, tr := got.Evidence[0], got.Trial
	if e.ID.Engine == "" || e.ID.Incarnation == "" || e.Age == 0 || len(e.Open) == 0 || len(e.Cleared) == 0 || len(e.Tried) == 0 {
		t.Errorf("the evidence lacks a field: %+v", e)
	}
	if tr.ID == "" || tr.Host == "" || tr.Life == 0 || tr.Fingerprint == 0 || tr.Outcome == 0 || tr.Age == 0 {
		t.Errorf("the trial lacks a field: %+v", *tr)
	}
}
