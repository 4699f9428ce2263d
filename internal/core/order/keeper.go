package order

import (
	"cmp"
	"time"
)

// Options are the times of order leases. Zero fields take the defaults.
type Options struct {
	Lease           time.Duration // length of a lease by the log's clock, the same on all hosts; 30 s
	RenewInterval   time.Duration // time between two renewals; 10 s
	Margin          time.Duration // a holder stops so much before its lease ends; 3 s
	ReadBackTimeout time.Duration // a record not read back after this is written anew; 5 s
}

// Defaults of Options.
const (
	DefaultLease           = 30 * time.Second
	DefaultRenewInterval   = 10 * time.Second
	DefaultMargin          = 3 * time.Second
	DefaultReadBackTimeout = 5 * time.Second
)

// WithDefaults fills zero fields.
func (o Options) WithDefaults() Options {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.RenewInterval = cmp.Or(o.RenewInterval, DefaultRenewInterval)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.ReadBackTimeout = cmp.Or(o.ReadBackTimeout, DefaultReadBackTimeout)
	return o
}

// LeaseManager is one host's part in one pool's order lease. All times are of the
// host's own clock.
type LeaseManager struct {
	opts    Options
	me      Holder
	pool    string
	checks  bool          // the pool's engines check fencing
	longest time.Duration // longest time an order takes to act
	newID   func() string
	sent    map[string]time.Time // records not yet read back, by the time before their append
	last    time.Time            // when the last record was sent
	other   string               // last record of another holder's lease
	seen    time.Time            // when that was first read
	fence   int64
	valid   time.Time // orders may be given before it
	from    time.Time // and not before this
}

// NewLeaseManager returns the part of a host in a pool's lease. newID returns ids that
// are unique for ever.
func NewLeaseManager(opts Options, me Holder, pool string, checks bool, longest time.Duration, newID func() string) *LeaseManager {
	return &LeaseManager{
		opts:    opts.WithDefaults(),
		me:      me,
		pool:    pool,
		checks:  checks,
		longest: longest,
		newID:   newID,
		sent:    map[string]time.Time{},
	}
}

// Step compares the replay with what the host wants and returns a record to
// append, or nil. The record counts from now on, so it must not be sent if the
// caller waits first. It is for a replay that has caught up with the log.
func (k *LeaseManager) Step(r *Replay, want bool, now time.Time) *Record {
	l, known := r.Lease(k.pool)
	mine := known && l.Holder == k.me && !l.Dropped
	if mine {
		k.readBack(l, now)
	} else {
		k.fence = 0
		k.watch(l, now)
	}
	k.expire(now)
	if now.Sub(k.last) < k.opts.ReadBackTimeout && len(k.sent) > 0 {
		return nil
	}
	switch {
	case mine && !want:
		k.valid = time.Time{} // the record may come to the log at any time
		return k.write(DropRecord, l.Fence, now)
	case mine && now.Before(k.valid):
		if now.Sub(k.last) < k.opts.RenewInterval {
			return nil
		}
		return k.write(RenewRecord, l.Fence, now)
	case want && (!known || mine || l.Dropped || now.Sub(k.seen) >= k.opts.Lease):
		if !k.last.IsZero() && now.Sub(k.last) < k.opts.ReadBackTimeout {
			return nil
		}
		return k.write(ClaimRecord, r.HighestFence(k.pool), now)
	}
	return nil
}

// watch notes when another holder's last record came up: its lease has lapsed a
// lease's time later at the latest.
func (k *LeaseManager) watch(l Lease, now time.Time) {
	if l.LastID != k.other {
		k.other = l.LastID
		k.seen = now
	}
}

// readBack counts the lease from the moment before its last record was sent.
func (k *LeaseManager) readBack(l Lease, now time.Time) {
	if k.fence != l.Fence {
		k.fence = l.Fence
		k.valid = time.Time{}
		if !k.checks && l.Previous != k.me {
			k.from = now.Add(k.opts.Lease + k.longest)
		}
	}
	at, ok := k.sent[l.LastID]
	if !ok {
		return
	}
	delete(k.sent, l.LastID)
	if v := at.Add(k.opts.Lease - k.opts.Margin); v.After(k.valid) {
		k.valid = v
	}
}

func (k *LeaseManager) expire(now time.Time) {
	for id, at := range k.sent {
		if now.Sub(at) > k.opts.Lease {
			delete(k.sent, id)
		}
	}
}

func (k *LeaseManager) write(kind RecordKind, fence int64, now time.Time) *Record {
	rec := &Record{Kind: kind, ID: k.newID(), Pool: k.pool, Holder: k.me, Fence: fence}
	k.sent[rec.ID] = now
	k.last = now
	return rec
}

// MarkLogUnavailable says that the log does not answer: no orders until a record is read
// back again.
func (k *LeaseManager) MarkLogUnavailable() {
	k.valid = time.Time{}
}

// MayOrder returns the fencing number when orders may be given now. It is to be
// asked anew before each order.
func (k *LeaseManager) MayOrder(now time.Time) (fence int64, ok bool) {
	if k.fence == 0 || now.Before(k.from) || !now.Before(k.valid) {
		return 0, false
	}
	return k.fence, true
}
