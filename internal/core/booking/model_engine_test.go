package booking

import (
	"slices"
	"time"
)

// share is a part of a prompt on an engine.
type share struct {
	call *call
	left time.Duration // reading time
	help bool
}

// unit is one engine.
type unit struct {
	id      string
	waiting []*share
	writers []*call
	reading []*share      // of the pass
	busy    time.Duration // until when the pass lasts; zero: none is under way
	writing bool          // the pass has writers
	joiners []*call       // write from the next pass on
}

// runPass begins a pass if an engine has work and none is under way.
func (m *model) runPass(e *unit) {
	if e.busy > m.now || len(e.writers)+len(e.waiting)+len(e.joiners) == 0 {
		return
	}
	e.writers = append(e.writers, e.joiners...)
	e.joiners = nil
	took := e.read(m.figures.Slots)
	e.writing = len(e.writers) > 0
	if e.writing {
		took += m.writingTime(e)
	}
	e.busy = m.now + took
}

// read chooses what the pass reads and returns how long that takes. What helps others is read
// first; prompts of the engine's own need a slot, and those that are read whole here write in
// the same pass.
func (e *unit) read(slots int) time.Duration {
	slices.SortStableFunc(e.waiting, func(a, b *share) int {
		switch {
		case a.help == b.help:
			return 0
		case a.help:
			return -1
		}
		return 1
	})
	bound := quantum
	if len(e.writers) > 0 {
		bound = time.Hour // a pass with writers has steps enough for all that waits
	}
	var took time.Duration
	slots -= len(e.writers)
	for _, s := range e.waiting {
		if took >= bound {
			break
		}
		if !s.help {
			if slots <= 0 {
				continue
			}
			slots--
		}
		part := min(s.left, bound-took)
		s.left -= part
		took += part
		if s.left <= 0 {
			e.reading = append(e.reading, s)
		}
	}
	for _, s := range e.reading {
		if !s.help && len(s.call.plan.Parts) == 1 {
			e.writers = append(e.writers, s.call)
		}
	}
	return took
}

// writingTime returns how long the steps of a pass take. The context of a prompt that several
// engines have read is spread over them.
func (m *model) writingTime(e *unit) time.Duration {
	context := 0
	for _, c := range e.writers {
		context += (c.prompt + c.got*m.figures.Stride) / len(c.plan.Parts)
	}
	return time.Duration(m.figures.Stride) * m.figures.StepTime(len(e.writers), int64(context))
}

// endPass emits events and takes parts out that are read.
func (m *model) endPass(e *unit) {
	if e.busy == 0 || e.busy > m.now {
		return
	}
	e.busy = 0
	for _, s := range e.reading {
		e.waiting = slices.DeleteFunc(e.waiting, func(x *share) bool { return x == s })
		if len(s.call.plan.Parts) > 1 {
			m.partRead(s.call)
		}
	}
	e.reading = e.reading[:0]
	if !e.writing {
		return
	}
	e.writers = slices.DeleteFunc(e.writers, func(c *call) bool {
		m.event(c)
		return c.state == ended
	})
}

func (m *model) partRead(c *call) {
	c.unread--
	if c.unread == 0 && c.state != ended {
		e := m.units[c.plan.Parts[0].Upstream]
		e.joiners = append(e.joiners, c)
	}
}

func (m *model) event(c *call) {
	if c.state == ended {
		return
	}
	if c.got == 0 {
		c.first = m.now
		m.book.RecordFirstEvent(c.ask.ID)
	} else {
		c.pause = max(c.pause, m.now-c.latest)
		if c.moves > 0 {
			m.book.RecordFirstEvent(c.ask.ID)
		}
	}
	c.got++
	c.latest = m.now
	if c.got >= c.events {
		c.state = ended
		m.book.End(c.ask.ID)
	}
}
