package order

import "time"

// Lease is the present order lease of a pool.
type Lease struct {
	Pool     string
	Holder   Holder
	Fence    int64     // offset of the claim
	Until    time.Time // by the log's clock
	Dropped  bool      // given up by its holder
	Claim    string    // id of the claim record; empty when that was trimmed
	Last     string    // id of the last record that counted
	Previous Holder    // whose lease ended before; zero: none known
}

// Replay gives the records of one stream their meaning, in offset order.
type Replay struct {
	lease   time.Duration
	pools   map[string]*Lease
	next    int64
	clock   time.Time // the latest record time
	refused int
}

// NewReplay returns a replay with the length of a lease, which must be the same
// on all hosts.
func NewReplay(lease time.Duration) *Replay {
	return &Replay{lease: lease, pools: map[string]*Lease{}}
}

// Next returns the offset to read from.
func (r *Replay) Next() int64 { return max(r.next, 1) }

// Refused returns the number of records that could not be decoded.
func (r *Replay) Refused() int { return r.refused }

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

// Apply takes the next entry in. Entries before Next are ignored. An entry that
// cannot be decoded is counted and changes nothing, on every host alike.
func (r *Replay) Apply(e Entry) error {
	if e.Offset < r.next {
		return nil
	}
	r.next = e.Offset + 1
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
		r.claim(rec, e.Offset)
	case RenewRecord:
		r.renew(rec)
	default:
		r.drop(rec)
	}
	return nil
}

// claim takes a free lease, or the claimer's own with a new fencing number.
func (r *Replay) claim(rec Record, offset int64) {
	old := r.pools[rec.Pool]
	if old == nil {
		old = &Lease{}
	} else if old.Claim == rec.ID {
		return // appended twice
	} else if !old.free(r.clock) && old.Holder != rec.Holder {
		return
	}
	l := &Lease{
		Pool:     rec.Pool,
		Holder:   rec.Holder,
		Fence:    offset,
		Until:    r.clock.Add(r.lease),
		Claim:    rec.ID,
		Last:     rec.ID,
		Previous: old.Holder,
	}
	r.pools[rec.Pool] = l
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
			Last:   rec.ID,
		}
		return
	}
	if l.is(rec) && !l.free(r.clock) {
		l.Until = r.clock.Add(r.lease)
		l.Last = rec.ID
	}
}

func (r *Replay) drop(rec Record) {
	if l := r.pools[rec.Pool]; l != nil && l.is(rec) {
		l.Dropped = true
		l.Last = rec.ID
	}
}

func (l *Lease) is(rec Record) bool {
	return l.Holder == rec.Holder && l.Fence == rec.Fence
}
