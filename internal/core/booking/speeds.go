package booking

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/speed"
)

// Some engines take longer than their figures say. The book multiplies the times of such an
// engine by the factor that package speed derives from the requests served there.

// Figured has the times of a plan as the figures alone say, without the factors of the engines. The
// times observed are compared with them; a comparison with the plan's own times would find each
// engine as fast as planned as soon as its factor is in the plan. It is zero if the times depend on
// other engines or on long prompts, and cannot be compared.
type Figured struct {
	First time.Duration // from sending the request to its first event
	Pass  time.Duration // between two events
}

// speedsInterval is the minimum time between two computations of all factors: they change with
// samples that cover seconds.
const speedsInterval = 250 * time.Millisecond

// speeds holds what is known of the engines' speeds.
type speeds struct {
	tracker  *speed.Tracker
	computed time.Time
}

func newSpeeds() *speeds { return &speeds{tracker: speed.New(speed.Options{})} }

// ObserveSpeed takes in the time of a request at an engine. It returns false and ignores the sample
// if its times are not above zero or the engine is not listed: its incarnation may have ended.
func (b *Book) ObserveSpeed(id string, expected, observed time.Duration, now time.Time) bool {
	e := b.engines[id]
	if e == nil {
		return false
	}
	return b.speeds.tracker.Observe(speed.Sample{Upstream: id, Service: e.up.Service, Expected: expected, Observed: observed}, now)
}

// Speeds returns the speeds of the engines with samples.
func (b *Book) Speeds(now time.Time) []speed.Speed { return b.speeds.tracker.Speeds(now) }

// refreshSpeeds sets the factors of all engines, at most once per speedsInterval.
func (b *Book) refreshSpeeds(now time.Time) {
	if b.speeds.tracker.Len() == 0 || now.Sub(b.speeds.computed) < speedsInterval {
		return
	}
	b.speeds.computed = now
	factors := map[string]float64{}
	for _, s := range b.speeds.tracker.Speeds(now) {
		factors[s.Upstream] = s.Factor
	}
	for id, e := range b.engines {
		factor, known := factors[id]
		if !known {
			factor = speed.Neutral
		}
		e.setFactor(factor)
	}
}

func (e *engine) setFactor(factor float64) {
	if e.factor == factor {
		return
	}
	e.factor = factor
	e.invalidate()
}

// scale returns how long the engine takes for what takes a time by its figures.
func (e *engine) scale(figured time.Duration) time.Duration {
	if e.factor == speed.Neutral {
		return figured
	}
	return time.Duration(e.factor * float64(figured))
}

// figuredPass returns the time of a pass by the figures.
func (e *engine) figuredPass(decodes int, context int64) time.Duration {
	return time.Duration(e.figures.Stride) * e.figures.StepTime(decodes, context)
}

// figuredPass returns the time of a pass with the request by the figures.
func (t *placement) figuredPass(l *load) time.Duration {
	return l.engine.figuredPass(len(l.decodes)+1, l.context+t.req.need())
}

// figuredShort returns the times of a short prompt by the figures.
func (t *placement) figuredShort(l *load, prefill time.Duration) Figured {
	if l.turnWait > 0 || !l.comparable() {
		return Figured{}
	}
	ahead := time.Duration(float64(l.shortPrefill) / l.engine.factor)
	pass := t.figuredPass(l)
	return Figured{First: ahead + prefill + pass + l.passInProgress(), Pass: pass}
}

// figuredLong returns the times of a long prompt by the figures.
func (t *placement) figuredLong(c *choice) Figured {
	on := &c.loads[0]
	if len(c.loads) > 1 || c.start.After(t.now) || !on.comparable() {
		return Figured{}
	}
	pass := t.figuredPass(on)
	return Figured{First: c.part + pass + on.passInProgress(), Pass: pass}
}

// comparable reports whether the times on an engine can be compared with its figures: no long prompt
// is booked or decodes there. The context of one that several engines have prefilled is spread over
// them, so its passes are shorter than by the figures of one engine.
func (l *load) comparable() bool { return l.longDecodes+l.helperParts == 0 }

// passInProgress returns the mean time until the pass of the present decodes ends, by the figures.
func (l *load) passInProgress() time.Duration {
	if len(l.decodes) == 0 {
		return 0
	}
	return l.engine.figuredPass(len(l.decodes), l.context) / 2
}

// slowness is the cost, for a short prompt, of an engine whose factor is not neutral: the time that
// it needs more than its figures say, and what it makes late by being slow.
func (t *placement) slowness(l *load, prefill time.Duration) float64 {
	if l.engine.factor == speed.Neutral {
		return 0
	}
	own := l.engine.scale(prefill)
	cost := millis(own - prefill + t.passTime(l) - t.figuredPass(l))
	if l.engine.factor < speed.Neutral {
		return cost
	}
	if t.req.Gap > 0 && t.passTime(l)+pauseMargin > t.req.Gap {
		cost += lateCost
	}
	if !l.toleratesPause(own) {
		cost += lateCost
	}
	return cost
}

// shortestPrefill returns the time of a part, given that by the figures, on the fastest engine.
func (t *placement) shortestPrefill(part time.Duration) time.Duration {
	shortest := part
	for i := range t.loads {
		own := t.loads[i].engine.scale(part)
		if i == 0 || own < shortest {
			shortest = own
		}
	}
	return shortest
}

// HasEngine reports whether an engine is listed.
func (b *Book) HasEngine(id string) bool { return b.engines[id] != nil }
