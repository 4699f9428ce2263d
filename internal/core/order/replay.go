package order

import "time"

// Lease is the current order lease of a pool.
type Lease struct {
	Pool     string
	Holder   Holder
	Fence    int64     // offset of the claim, or higher after a restore of the log; see Replay
	Until    time.Time // by the log's clock
	Dropped  bool      // given up by its holder
	ClaimID  string    // id of the claim record; empty if that was trimmed
	LastID   string    // id of the last record that changed the lease
	Previous Holder    // holder of the lease before; zero if unknown
}

// Replay derives the leases of one stream from its records, applied in offset order.
//
// A log that is restored from an older copy reuses offsets. Its leases are those of the records that
// it has: a host that held one by a lost record stops. The fencing numbers of lost claims are kept,
// because engines have seen them: a later claim gets a number above all known ones. A claim record
// contains the highest number that its writer knows, so that all hosts compute the same one.
type Replay struct {
	lease               time.Duration
	pools               map[string]*Lease
	fencesBeforeRestore map[string]int64 // highest of each pool before the log was restored
	clockBeforeRestore  time.Time        // latest record time before the log was restored
	next                int64            // offset to read from
	applied             int64            // offset after the last applied record
	clock               time.Time        // latest record time
	undecodable         int
}

// NewReplay returns an empty Replay. The length of a lease must be the same on all
// hosts.
func NewReplay(lease time.Duration) *Replay {
	return &Replay{lease: lease, pools: map[string]*Lease{}, fencesBeforeRestore: map[string]int64{}}
}

// Next returns the offset to read from.
func (r *Replay) Next() int64 { return max(r.next, 1) }

// HandleLogRestored records that the log was restored from an older copy: it is replayed from its
// start.
func (r *Replay) HandleLogRestored() {
	for pool, l := range r.pools {
		r.fencesBeforeRestore[pool] = max(r.fencesBeforeRestore[pool], l.Fence)
	}
	if r.clock.After(r.clockBeforeRestore) {
		r.clockBeforeRestore = r.clock
	}
	clear(r.pools)
	r.next, r.applied, r.clock = 0, 0, time.Time{}
}

// Undecodable returns the number of records that could not be decoded.
func (r *Replay) Undecodable() int { return r.undecodable }

// Lease returns a pool's lease; ok is false if no record names the pool.
func (r *Replay) Lease(pool string) (l Lease, ok bool) {
	p := r.pools[pool]
	if p == nil {
		return Lease{}, false
	}
	return *p, true
}

func (l *Lease) free(at time.Time) bool {
	return l.Dropped || !at.Before(l.Until)
}

// Apply applies the next entry. An entry at an offset that was applied before is ignored, unless it
// is newer than all applied ones: then the log was restored. An entry that cannot be decoded is
// counted and changes nothing, which is the same on all hosts.
func (r *Replay) Apply(e Entry) error {
	r.next = e.Offset + 1
	if e.Offset < r.applied && !e.At.After(r.clock) {
		return nil
	}
	r.applied = e.Offset + 1
	if e.At.After(r.clock) {
		r.clock = e.At
	}
	rec, err := Decode(e.Data)
	if err != nil {
		r.undecodable++
		return err
	}
	switch rec.Kind {
	case ClaimRecord:
		r.claim(rec, r.fence(rec, e))
	case RenewRecord:
		r.renew(rec)
	default:
		r.drop(rec)
	}
	return nil
}

// fence returns the fencing number of a claim: its offset, unless the log was ever restored.
func (r *Replay) fence(rec Record, e Entry) int64 {
	fence := max(e.Offset, rec.Fence+1)
	if old := r.pools[rec.Pool]; old != nil {
		fence = max(fence, old.Fence+1)
	}
	if known := r.fencesBeforeRestore[rec.Pool]; known > 0 && e.At.After(r.clockBeforeRestore) {
		fence = max(fence, known+1)
	}
	return fence
}

// HighestFence returns the highest known fencing number of a pool.
func (r *Replay) HighestFence(pool string) int64 {
	if l := r.pools[pool]; l != nil {
		return max(l.Fence, r.fencesBeforeRestore[pool])
	}
	return r.fencesBeforeRestore[pool]
}

// claim takes a free lease, or the claimer's own with a new fencing number.
func (r *Replay) claim(rec Record, fence int64) {
	old := r.pools[rec.Pool]
	if old == nil {
		old = &Lease{}
	} else if old.ClaimID == rec.ID {
		return // the record was appended twice
	} else if !old.free(r.clock) && old.Holder != rec.Holder {
		return
	}
	l := &Lease{
		Pool:     rec.Pool,
		Holder:   rec.Holder,
		Fence:    fence,
		Until:    r.clock.Add(r.lease),
		ClaimID:  rec.ID,
		LastID:   rec.ID,
		Previous: r.previous(old),
	}
	r.pools[rec.Pool] = l
}

// previous returns the holder of the lease before a claim. If that lease is from before a restore of
// the log, it returns none: lost records may have given the lease to another.
func (r *Replay) previous(old *Lease) Holder {
	last := old.Until.Add(-r.lease)
	if !r.clockBeforeRestore.IsZero() && !last.After(r.clockBeforeRestore) {
		return Holder{}
	}
	return old.Holder
}

// renew extends a lease that has not expired. A renewal with a higher fencing
// number than the known lease belongs to a claim that was trimmed from the log;
// its writer has read the claim back, so the renewal counts.
func (r *Replay) renew(rec Record) {
	l := r.pools[rec.Pool]
	if l == nil || rec.Fence > l.Fence {
		r.pools[rec.Pool] = &Lease{
			Pool:   rec.Pool,
			Holder: rec.Holder,
			Fence:  rec.Fence,
			Until:  r.clock.Add(r.lease),
			LastID: rec.ID,
		}
		return
	}
	if l.Holder == rec.Holder && !l.free(r.clock) { // whatever fencing number its writer used
		l.Until = r.clock.Add(r.lease)
		l.LastID = rec.ID
	}
}

func (r *Replay) drop(rec Record) {
	if l := r.pools[rec.Pool]; l != nil && l.matches(rec) {
		l.Dropped = true
		l.LastID = rec.ID
	}
}

func (l *Lease) matches(rec Record) bool {
	return l.Holder == rec.Holder && l.Fence == rec.Fence
}
