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

// LeaseManager claims and renews one pool's order lease for one host. All times
// are by the host's own clock.
type LeaseManager struct {
	opts          Options
	self          Holder
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

// NewLeaseManager returns the LeaseManager of a host for a pool's lease. newID
// must return ids that are never reused.
func NewLeaseManager(opts Options, self Holder, pool string, checksFencing bool, longestOrder time.Duration, newID func() string) *LeaseManager {
	return &LeaseManager{
		opts:          opts.WithDefaults(),
		self:          self,
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
func (m *LeaseManager) Step(r *Replay, want bool, now time.Time) *Record {
	l, known := r.Lease(m.pool)
	isHolder := known && l.Holder == m.self && !l.Dropped
	if isHolder {
		m.readBack(l, now)
	} else {
		m.fence = 0
		m.watchOther(l, now)
	}
	m.expire(now)
	if now.Sub(m.lastSent) < m.opts.ReadBackTimeout && len(m.sent) > 0 {
		return nil
	}
	switch {
	case isHolder && !want:
		m.validUntil = time.Time{} // the record may reach the log at any time
		return m.newRecord(DropRecord, l.Fence, now)
	case isHolder && now.Before(m.validUntil):
		if now.Sub(m.lastSent) < m.opts.RenewInterval {
			return nil
		}
		return m.newRecord(RenewRecord, l.Fence, now)
	case want && (!known || isHolder || l.Dropped || now.Sub(m.otherSeen) >= m.opts.Lease):
		if !m.lastSent.IsZero() && now.Sub(m.lastSent) < m.opts.ReadBackTimeout {
			return nil
		}
		return m.newRecord(ClaimRecord, r.HighestFence(m.pool), now)
	}
	return nil
}

// watchOther records when another holder's last record was first read: at the
// latest its lease has expired the length of a lease later.
func (m *LeaseManager) watchOther(l Lease, now time.Time) {
	if l.LastID != m.otherLastID {
		m.otherLastID = l.LastID
		m.otherSeen = now
	}
}

// readBack applies the host's own lease as read back. Orders are allowed until
// Margin before its end, measured from just before its last record was sent.
func (m *LeaseManager) readBack(l Lease, now time.Time) {
	if m.fence != l.Fence {
		m.fence = l.Fence
		m.validUntil = time.Time{}
		if !m.checksFencing && l.Previous != m.self {
			m.notBefore = now.Add(m.opts.Lease + m.longestOrder)
		}
	}
	at, ok := m.sent[l.LastID]
	if !ok {
		return
	}
	delete(m.sent, l.LastID)
	if v := at.Add(m.opts.Lease - m.opts.Margin); v.After(m.validUntil) {
		m.validUntil = v
	}
}

func (m *LeaseManager) expire(now time.Time) {
	for id, at := range m.sent {
		if now.Sub(at) > m.opts.Lease {
			delete(m.sent, id)
		}
	}
}

func (m *LeaseManager) newRecord(kind RecordKind, fence int64, now time.Time) *Record {
	rec := &Record{Kind: kind, ID: m.newID(), Pool: m.pool, Holder: m.self, Fence: fence}
	m.sent[rec.ID] = now
	m.lastSent = now
	return rec
}

// MarkLogUnavailable records that the log does not answer: no orders may be given
// until a record is read back again.
func (m *LeaseManager) MarkLogUnavailable() {
	m.validUntil = time.Time{}
}

// MayOrder returns the fencing number for orders; ok is false if none may be given
// now. It must be called before each order.
func (m *LeaseManager) MayOrder(now time.Time) (fence int64, ok bool) {
	if m.fence == 0 || now.Before(m.notBefore) || !now.Before(m.validUntil) {
		return 0, false
	}
	return m.fence, true
}
