package booking

import (
	"slices"
	"time"
)

// Bounds of the parts of a long prompt.
const (
	// mostParts is the first engine and the helpers that its wire takes.
	mostParts = 17
	// longestPart bounds a part on an engine that nobody writes on, so that it is
	// soon free for others. Half a pause of the answers that long prompts get.
	longestPart = 400 * time.Millisecond
	// onTimeShare of the time left is aimed at, for engines may be slower than
	// their figures.
	onTimeShare = 0.8
	// sendLead is how much before the engines are free the request is sent, for the
	// way there.
	sendLead = 5 * time.Millisecond
)

// choice is one way to read a long prompt.
type choice struct {
	loads  []load // the engines, the first receives the request
	begin  time.Time
	read   time.Duration // of a part
	reason Reason
}

func (c *choice) end() time.Time { return c.begin.Add(c.read) }

// planLong looks at the engines whose writers bear long parts, then at all in
// parts that each bears, and takes the first way that is in time, else the
// fastest.
func (t *task) planLong(read time.Duration) Plan {
	limit := t.now.Add(time.Duration(onTimeShare * float64(t.ask.Objective)))
	var best *choice
	for _, c := range t.choices(read) {
		if !c.end().Add(t.pass(&c.loads[0])).After(limit) {
			best = c
			break
		}
		if best == nil || c.end().Before(best.end()) {
			best = c
		}
	}
	if best == nil {
		return Plan{Verdict: t.noRoom()}
	}
	first := best.end().Sub(t.now) + t.pass(&best.loads[0])
	if first > t.ask.Left {
		return Plan{Verdict: TooLate, First: first}
	}
	if best.end().After(limit) {
		best.reason = ReasonLate
	}
	return Plan{
		Reason: best.reason,
		Parts:  t.parts(best),
		Wait:   max(best.begin.Sub(t.now)-sendLead, 0),
		First:  first,
		Read:   best.read,
	}
}

// choices returns the ways worth comparing, the least disturbing first.
func (t *task) choices(read time.Duration) []*choice {
	var all []*choice
	clear := t.bearing(longestPart)
	if c := t.fewest(clear, read, longestPart, ReasonClear); c != nil {
		all = append(all, c)
	}
	// Parts that the tightest writers bear, on every engine.
	short := t.book.shortRead(t.ask.Service)
	if c := t.fewest(t.bearing(short), read, short, ReasonSplit); c != nil {
		all = append(all, c)
	}
	// As fast as it goes, on clear engines and then on all.
	if c := t.fastest(clear, read, ReasonClear); c != nil {
		all = append(all, c)
	}
	if c := t.fastest(slices.Clone(t.loads), read, ReasonSplit); c != nil {
		all = append(all, c)
	}
	return all
}

// bearing returns the engines whose writers bear a part of the length, those that
// are free first in front.
func (t *task) bearing(part time.Duration) []load {
	var kept []load
	for _, l := range t.loads {
		if l.bears >= part && l.helping < l.engine.figures.Slots {
			kept = append(kept, l)
		}
	}
	sortByFree(kept)
	return kept
}

// fewest takes as few engines as keep a part under the bound.
func (t *task) fewest(from []load, read, bound time.Duration, reason Reason) *choice {
	n := int((read + bound - 1) / bound)
	if n > len(from) || n > mostParts {
		return nil
	}
	for ; n <= min(len(from), mostParts); n++ {
		if c := t.choose(from[:n], read, reason); c != nil {
			return c
		}
	}
	return nil
}

// fastest takes the number of engines with which the prompt is read first.
func (t *task) fastest(from []load, read time.Duration, reason Reason) *choice {
	sortByFree(from)
	var best *choice
	for n := 1; n <= min(len(from), mostParts); n++ {
		c := t.choose(from[:n], read, reason)
		if c != nil && (best == nil || c.end().Before(best.end())) {
			best = c
		}
	}
	return best
}

// choose returns the choice of just these engines, nil when their memory does not
// hold the prompt. The engine with the fewest writers receives it.
func (t *task) choose(from []load, read time.Duration, reason Reason) *choice {
	loads := slices.Clone(from)
	c := &choice{loads: loads, begin: t.now, read: read / time.Duration(len(loads)), reason: reason}
	for _, l := range loads {
		if l.free.After(c.begin) {
			c.begin = l.free
		}
	}
	first := -1
	for i := range loads {
		if loads[i].writers >= loads[i].engine.figures.Slots || !t.holds(&loads[i], len(loads)) {
			continue
		}
		if first < 0 || loads[i].writers < loads[first].writers {
			first = i
		}
	}
	if first < 0 || !t.sharesFit(loads) {
		return nil
	}
	loads[0], loads[first] = loads[first], loads[0]
	return c
}

// spread reports whether the prompt needs the memory of several engines.
func (t *task) spread() bool {
	return t.ask.need() > int64(memoryShare*float64(t.service.Figures.Memory))
}

// share returns the tokens of each engine when the memory is spread over n.
func (t *task) share(n int) int64 {
	return (t.ask.need() + int64(n) - 1) / int64(n)
}

// holds reports whether an engine has the memory to be the first of n.
func (t *task) holds(l *load, n int) bool {
	if t.spread() {
		return l.room() >= t.share(n)
	}
	return l.room() >= t.ask.need()
}

func (t *task) sharesFit(loads []load) bool {
	if !t.spread() {
		return true
	}
	share := t.share(len(loads))
	for i := range loads {
		if loads[i].room() < share {
			return false
		}
	}
	return true
}

func (t *task) parts(c *choice) []Part {
	parts := make([]Part, len(c.loads))
	for i := range c.loads {
		var reserve int64
		if t.spread() && i > 0 {
			reserve = t.share(len(c.loads))
		}
		parts[i] = part(&c.loads[i], reserve)
	}
	return parts
}

// noRoom tells a prompt that no engines ever hold from one that has to wait for
// memory or slots.
func (t *task) noRoom() Verdict {
	most := int64(min(len(t.loads), mostParts)) * int64(memoryShare*float64(t.service.Figures.Memory))
	if t.ask.need() > most {
		return TooLarge
	}
	return Full
}
