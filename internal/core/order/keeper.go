package order

import (
	"cmp"
	"time"
)

// Options configures the times of order leases. Zero fields take the defaults.
type Options struct {
	Lease           time.Duration // length of a lease by the log's clock, the same on all hosts; 30 s
	RenewInterval   time.Duration // interval of renewals; 10 s
	Margin          time.Duration // a holder stops this long before its lease ends; 3 s
	ReadBackTimeout time.Duration // a record not read back within this is written again; 5 s
}

// Defaults of Options.
const (
	DefaultLease           = 30 * time.Second
	DefaultRenewInterval   = 10 * time.Second
	DefaultMargin          = 3 * time.Second
	DefaultReadBackTimeout = 5 * time.Second
)

// WithDefaults returns the options with zero fields set to their defaults.
func (o Options) WithDefaults() Options {
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.RenewInterval = cmp.Or(o.RenewInterval, DefaultRenewInterval)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.ReadBackTimeout = cmp.Or(o.ReadBackTimeout, DefaultReadBackTimeout)
	return o
}

// Keeper claims and renews one pool's order lease for one host. All times are by
// the host's own clock.
type Keeper struct {
	opts          Options
	me            Holder
	pool          string
	checksFencing bool          // the pool's engines check fencing
	longestOrder  time.Duration // longest time until an order has taken effect
	newID         func() string
	sent          map[string]time.Time // records not read back yet, with the time before their append
	lastSent      time.Time            // when the last record was sent
	otherLastID   string               // last record id of another holder's lease
	otherSeen     time.Time            // when otherLastID was first read
	fence         int64
	validUntil    time.Time // orders may be given before it
	notBefore     time.Time // orders may be given from it on
}

// NewKeeper returns the Keeper of a host for a pool's lease. newID must return
// ids that are never reused.
func NewKeeper(opts Options, me Holder, pool string, checksFencing bool, longestOrder time.Duration, newID func() string) *Keeper {
	return &Keeper{
		opts:          opts.WithDefaults(),
		me:            me,
		pool:          pool,
		checksFencing: checksFencing,
		longestOrder:  longestOrder,
		newID:         newID,
		sent:          map[string]time.Time{},
	}
}

// Step returns the record to append so that the host gets, keeps or drops the
// lease as wanted, or nil. The lease is measured from now, so the record must be
// sent at once or not at all. The replay must have caught up with the log.
func (k *Keeper) Step(r *Replay, want bool, now time.Time) *Record {
	l, known := r.Lease(k.pool)
	mine := known && l.Holder == k.me && !l.Dropped
	if mine {
		k.readBack(l, now)
	} else {
		k.fence = 0
		k.watchOther(l, now)
	}
	k.expire(now)
	if now.Sub(k.lastSent) < k.opts.ReadBackTimeout && len(k.sent) > 0 {
		return nil
	}
	switch {
	case mine && !want:
		k.validUntil = time.Time{} // the record may reach the log at any time
		return k.newRecord(DropRecord, l.Fence, now)
	case mine && now.Before(k.validUntil):
		if now.Sub(k.lastSent) < k.opts.RenewInterval {
			return nil
		}
		return k.newRecord(RenewRecord, l.Fence, now)
	case want && (!known || mine || l.Dropped || now.Sub(k.otherSeen) >= k.opts.Lease):
		if !k.lastSent.IsZero() && now.Sub(k.lastSent) < k.opts.ReadBackTimeout {
			return nil
		}
		return k.newRecord(ClaimRecord, r.HighestFence(k.pool), now)
	}
	return nil
}

// watchOther records when another holder's last record was first read: at the
// latest its lease has expired the length of a lease later.
func (k *Keeper) watchOther(l Lease, now time.Time) {
	if l.LastID != k.otherLastID {
		k.otherLastID = l.LastID
		k.otherSeen = now
	}
}

// readBack applies the host's own lease as read back. Orders are allowed until it
// ends, measured from just before its last record was sent.
func (k *Keeper) readBack(l Lease, now time.Time) {
	if k.fence != l.Fence {
		k.fence = l.Fence
		k.validUntil = time.Time{}
		if !k.checksFencing && l.Previous != k.me {
			k.notBefore = now.Add(k.opts.Lease + k.longestOrder)
		}
	}
	at, ok := k.sent[l.LastID]
	if !ok {
		return
	}
	delete(k.sent, l.LastID)
	if v := at.Add(k.opts.Lease - k.opts.Margin); v.After(k.validUntil) {
		k.validUntil = v
	}
}

func (k *Keeper) expire(now time.Time) {
	for id, at := range k.sent {
		if now.Sub(at) > k.opts.Lease {
			delete(k.sent, id)
		}
	}
}

func (k *Keeper) newRecord(kind RecordKind, fence int64, now time.Time) *Record {
	rec := &Record{Kind: kind, ID: k.newID(), Pool: k.pool, Holder: k.me, Fence: fence}
	k.sent[rec.ID] = now
	k.lastSent = now
	return rec
}

// MarkLogUnavailable records that the log does not answer: no orders may be given
// until a record is read back again.
func (k *Keeper) MarkLogUnavailable() {
	k.validUntil = time.Time{}
}

// MayOrder returns the fencing number for orders; ok is false if none may be given
// now. It must be called before each order.
func (k *Keeper) MayOrder(now time.Time) (fence int64, ok bool) {
	if k.fence == 0 || now.Before(k.notBefore) || !now.Before(k.validUntil) {
		return 0, false
	}
	return k.fence, true
}
