package retry

import "time"

// Defaults of a Budget.
const (
	DefaultRatio  = 0.1
	DefaultWindow = 10 * time.Second
	DefaultFloor  = 3
)

// numSlots divides the window; an event is forgotten between 1-1/numSlots and 1
// windows after it.
const numSlots = 10

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	Ratio  float64       // retries as a share of recent successes; DefaultRatio when zero, none when negative
	Window time.Duration // what counts as recent; DefaultWindow when zero
	Floor  int           // retries a window without any success; DefaultFloor when zero, none when negative
}

type slot struct {
	earned  int
	retries int
}

// Budget allows retries as a share of recent successes. It is not safe for
// concurrent use.
type Budget struct {
	opts  BudgetOptions
	slots [numSlots]slot
	sum   slot
	begin time.Time // start of slot 0: the first event
	tick  int64     // number of the newest slot
}

// NewBudget returns a Budget without any success yet.
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

// SetRatio changes the share, as the settings do; a negative one allows none.
func (b *Budget) SetRatio(ratio float64) { b.opts.Ratio = max(ratio, 0) }

// SetFloor changes the retries a window without any event earned, as a daemon does
// whose part of a site's budget follows the number of daemons.
func (b *Budget) SetFloor(floor int) { b.opts.Floor = max(floor, 0) }

// Deposit counts one event of those that retries are a share of: a complete answer,
// or a request where the site's bound is a share of requests.
func (b *Budget) Deposit(now time.Time) {
	b.advance(now)
	b.slots[b.index()].earned++
	b.sum.earned++
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

// TryOptionalRetry takes one retry of the half that is not kept for failures; it returns false when
// only that is left.
func (b *Budget) TryOptionalRetry(now time.Time) bool {
	b.advance(now)
	if b.Left() <= b.allowed()/2 {
		return false
	}
	return b.TryRetry(now)
}

// Left returns how many retries the budget still allows, as of the last event.
func (b *Budget) Left() int {
	return max(b.allowed()-b.sum.retries, 0)
}

// allowed returns the retries of the window.
func (b *Budget) allowed() int { return b.opts.Floor + int(b.opts.Ratio*float64(b.sum.earned)) }

func (b *Budget) index() int { return int(b.tick % numSlots) }

// advance forgets the slots that have left the window. A clock that goes back
// changes nothing.
func (b *Budget) advance(now time.Time) {
	if b.begin.IsZero() {
		b.begin = now
	}
	tick := int64(now.Sub(b.begin) / (b.opts.Window / numSlots))
	for n := min(tick-b.tick, numSlots); n > 0; n-- {
		s := &b.slots[(tick-n+1)%numSlots]
		b.sum.earned -= s.earned
		b.sum.retries -= s.retries
		*s = slot{}
	}
	b.tick = max(b.tick, tick)
}
