package retry

import "time"

// Defaults of a Budget.
const (
	DefaultRatio  = 0.1
	DefaultWindow = 10 * time.Second
	DefaultFloor  = 3
)

// numSlots is the number of slots in a window. An event expires between 1-1/numSlots
// and 1 windows after it.
const numSlots = 10

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	Ratio  float64       // retries as a share of recent successes; DefaultRatio when zero, none when negative
	Window time.Duration // how long successes and retries count; DefaultWindow when zero
	Floor  int           // retries per window without any success; DefaultFloor when zero, none when negative
}

type slot struct {
	deposits int
	retries  int
}

// Budget limits retries to a share of recent successes plus a floor. It is not safe
// for concurrent use.
type Budget struct {
	opts  BudgetOptions
	slots [numSlots]slot
	sum   slot
	begin time.Time // start of slot 0: the first event
	tick  int64     // number of the newest slot
}

// NewBudget returns a Budget without any recorded success.
func NewBudget(o BudgetOptions) *Budget {
	if o.Ratio == 0 {
		o.Ratio = DefaultRatio
	}
	if o.Window < numSlots {
		o.Window = DefaultWindow
	}
	if o.Floor == 0 {
		o.Floor = DefaultFloor
	}
	o.Ratio = max(o.Ratio, 0)
	o.Floor = max(o.Floor, 0)
	return &Budget{opts: o}
}

// SetRatio changes BudgetOptions.Ratio, the share of recent successes; a negative one
// counts as zero.
func (b *Budget) SetRatio(ratio float64) { b.opts.Ratio = max(ratio, 0) }

// SetFloor changes BudgetOptions.Floor; a negative one counts as zero. A daemon calls it
// when the number of daemons that share a site's budget changes.
func (b *Budget) SetFloor(floor int) { b.opts.Floor = max(floor, 0) }

// Deposit counts one event of the kind that retries are a share of: a complete answer,
// or a request where the site limits retries to a share of requests.
func (b *Budget) Deposit(now time.Time) {
	b.advance(now)
	b.slots[b.index()].deposits++
	b.sum.deposits++
}

// TryRetry takes one retry from the budget; it returns false when none is left.
func (b *Budget) TryRetry(now time.Time) bool {
	b.advance(now)
	if b.Left() < 1 {
		return false
	}
	b.slots[b.index()].retries++
	b.sum.retries++
	return true
}

// TryOptionalRetry takes one retry from the budget unless half of it or less is left: that half
// is reserved for failures. It returns false when no retry was taken.
func (b *Budget) TryOptionalRetry(now time.Time) bool {
	b.advance(now)
	if b.Left() <= b.allowed()/2 {
		return false
	}
	return b.TryRetry(now)
}

// Left returns the number of retries that the budget still allows, as of the last event.
func (b *Budget) Left() int {
	return max(b.allowed()-b.sum.retries, 0)
}

// allowed returns the number of retries allowed in the current window.
func (b *Budget) allowed() int { return b.opts.Floor + int(b.opts.Ratio*float64(b.sum.deposits)) }

func (b *Budget) index() int { return int(b.tick % numSlots) }

// advance clears the slots that have left the window. A clock that goes back
// changes nothing.
func (b *Budget) advance(now time.Time) {
	if b.begin.IsZero() {
		b.begin = now
	}
	tick := int64(now.Sub(b.begin) / (b.opts.Window / numSlots))
	for n := min(tick-b.tick, numSlots); n > 0; n-- {
		s := &b.slots[(tick-n+1)%numSlots]
		b.sum.deposits -= s.deposits
		b.sum.retries -= s.retries
		*s = slot{}
	}
	b.tick = max(b.tick, tick)
}
