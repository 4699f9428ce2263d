package order

import "time"

// Lease is the present order lease of a pool.
type Lease struct {
	Pool     string
	Holder   Holder
	Fence    int64     // offset of the claim, or more where the log went back; see Replay
	Until    time.Time // by the log's clock
	Dropped  bool      // given up by its holder
	ClaimID  string    // id of the claim record; empty when that was trimmed
	LastID   string    // id of the last record that counted
	Previous Holder    // whose lease ended before; zero: none known
}

// Replay gives the records of one stream their meaning, in offset order.
//
// A log that comes back from an older copy gives offsets out again. Its leases are those of the
// records that it has: who held one by a lost record stops. The fencing numbers of lost claims are
// remembered, for engines have seen them: a claim that is written later gets a number above all
// known ones. It tells the highest that its writer knows, so that hosts count alike.
type Replay struct {
	lease   time.Duration
	pools   map[string]*Lease
	fences  map[string]int64 // highest of each pool before the log went back
	back    time.Time        // the latest record time then
	next    int64            // to read from
	known   int64            // offset after the last record that was taken in
	clock   time.Time        // the latest record time
	refused int
}

// NewReplay returns a replay with the length of a lease, which must be the same
// on all hosts.
func NewReplay(lease time.Duration) *Replay {
	return &Replay{lease: lease, pools: map[string]*Lease{}, fences: map[string]int64{}}
}

// Next returns the offset to read from.
func (r *Replay) Next() int64 { return max(r.next, 1) }

// HandleLogRestored says that the log has come back from an older copy: it is replayed from its start.
func (r *Replay) HandleLogRestored() {
	for pool, l := range r.pools {
		r.fences[pool] = max(r.fences[pool], l.Fence)
	}
	if r.clock.After(r.back) {
		r.back = r.clock
	}
	clear(r.pools)
	r.next, r.known, r.clock = 0, 0, time.Time{}
}

// Undecodable returns the number of records that could not be decoded.
func (r *Replay) Undecodable() int { return r.refused }

// Lease returns a pool's lease; ok is false when no record names the pool.
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

// Apply takes the next entry in. One at an offset that was taken in before is ignored, unless it
// was written after all that is known: the log went back. An entry that cannot be decoded is
// counted and changes nothing, on every host alike.
func (r *Replay) Apply(e Entry) error {
	r.next = e.Offset + 1
	if e.Offset < r.known && !e.At.After(r.clock) {
		return nil
	}
	r.known = e.Offset + 1
	if e.At.After(r.clock) {
		r.clock = e.At
	}
	rec, err := Decode(e.Data)
	if err != nil {
		r.refused++
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

// fence returns the fencing number of a claim: its offset, where the log has never gone back.
func (r *Replay) fence(rec Record, e Entry) int64 {
	fence := max(e.Offset, rec.Fence+1)
	if old := r.pools[rec.Pool]; old != nil {
		fence = max(fence, old.Fence+1)
	}
	if known := r.fences[rec.Pool]; known > 0 && e.At.After(r.back) {
		fence = max(fence, known+1)
	}
	return fence
}

// HighestFence returns the highest fencing number known of a pool.
func (r *Replay) HighestFence(pool string) int64 {
	if l := r.pools[pool]; l != nil {
		return max(l.Fence, r.fences[pool])
	}
	return r.fences[pool]
}

// claim takes a free lease, or the claimer's own with a new fencing number.
func (r *Replay) claim(rec Record, fence int64) {
	old := r.pools[rec.Pool]
	if old == nil {
		old = &Lease{}
	} else if old.ClaimID == rec.ID {
		return // appended twice
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

// previous returns whose lease ended before a claim. After one of before the log went back there
// may have been another, by lost records.
func (r *Replay) previous(old *Lease) Holder {
	last := old.Until.Add(-r.lease)
	if !r.back.IsZero() && !last.After(r.back) {
		return Holder{}
	}
	return old.Holder
}

// renew prolongs a lease that has not lapsed. A renewal with a higher fencing
// number than the known lease stems from a claim that was trimmed from the log;
// its writer has read it back, so it counts.
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
	if l.Holder == rec.Holder && !l.free(r.clock) { // whatever number its writer counts by
		l.Until = r.clock.Add(r.lease)
		l.LastID = rec.ID
	}
}

func (r *Replay) drop(rec Record) {
	if l := r.pools[rec.Pool]; l != nil && l.is(rec) {
		l.Dropped = true
		l.LastID = rec.ID
	}
}

func (l *Lease) is(rec Record) bool {
	return l.Holder == rec.Holder && l.Fence == rec.Fence
}
