package booking

import (
	"math"
	"slices"
)

// outcomes is what some calls earned.
type outcomes struct {
	n, inTime, late, refused, lost int
	owed, earned                   float64
}

func (t *outcomes) add(c *call) {
	t.n++
	t.owed += c.worth * c.kind.worth
	switch {
	case c.refused:
		t.refused++
	case c.got < c.events:
		t.lost++
	case c.first-c.arrived <= c.kind.objective && c.pause <= c.kind.gap:
		t.inTime++
		t.earned += c.worth * c.kind.worth
	default:
		t.late++
		t.earned += c.worth * c.kind.late
	}
}

func (t *outcomes) share() float64 { return t.earned / math.Max(t.owed, 1e-9) }

// result tells how a played load was served.
type result struct {
	all, largest outcomes // largest: the longest tenth of the longest kind
	kinds        []outcomes
	paused       int // in time by their first event, late by a pause
}

func (m *model) result() result {
	r := result{kinds: make([]outcomes, len(kinds))}
	longest := &kinds[len(kinds)-1]
	var prompts []int
	for _, c := range m.all {
		if c.kind == longest {
			prompts = append(prompts, c.prompt)
		}
	}
	slices.Sort(prompts)
	bound := prompts[len(prompts)*9/10]
	for _, c := range m.all {
		r.all.add(c)
		for i := range kinds {
			if c.kind == &kinds[i] {
				r.kinds[i].add(c)
			}
		}
		if c.kind == longest && c.prompt >= bound {
			r.largest.add(c)
		}
		if c.got > 0 && c.first-c.arrived <= c.kind.objective && c.pause > c.kind.gap {
			r.paused++
		}
	}
	return r
}
