package order

import (
	"testing"
	"time"
)

// TestLeaseClaimedAfterALogRestoreHasAHigherFence guards against a claim after a restore of the log
// from an older copy, at a reused offset: it must not be ignored as already applied, and its fencing
// number must not be lower than one that engines have seen.
func TestLeaseClaimedAfterALogRestoreHasAHigherFence(t *testing.T) {
	claim := func(offset int64, at time.Time, host string) Entry {
		rec := Record{Kind: ClaimRecord, Pool: pool, ID: host, Holder: Holder{Host: host, Incarnation: "1"}}
		data, err := rec.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return Entry{Offset: offset, At: at, Data: data}
	}
	r := NewReplay(DefaultLease)
	if err := r.Apply(claim(9, epoch, "a")); err != nil {
		t.Fatal(err)
	}
	before, _ := r.Lease(pool)
	if err := r.Apply(claim(5, epoch.Add(2*DefaultLease), "b")); err != nil { // the restored log ended at 4
		t.Fatal(err)
	}
	after, _ := r.Lease(pool)
	if after.Holder.Host != "b" || after.Fence <= before.Fence {
		t.Errorf("%s holds under %d after %s under %d", after.Holder.Host, after.Fence, before.Holder.Host, before.Fence)
	}
}
