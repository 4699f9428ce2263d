package conntable

import (
	"container/list"
	"time"
)

// FreeHeadMemory is the memory of a connection's head, in bytes, that is not counted: ordinary heads
// take less.
const FreeHeadMemory = 12 << 10

// Reason tells why a connection is let go.
type Reason string

// The reasons.
const (
	HeadTimeout Reason = "head_timeout"  // its head took longer than the limit
	HeadTooLong Reason = "head_too_long" // its head has more bytes than the limit
	HeadMemory  Reason = "head_memory"   // the heads take all memory allowed, and this one is the longest unfinished
	Room        Reason = "room"          // a new connection takes its place
	Full        Reason = "full"          // it is new, and none gives way to it
	IdleTimeout Reason = "idle"          // no request came within the limit
)

// Limits bound what one client may do. They are read at every step, so that they may change.
type Limits struct {
	HeadBytes   int           // of one head, beside requestLineSlack
	HeadTimeout time.Duration // from its first byte, or the connection's start, to its end
	IdleTimeout time.Duration // between two requests
}

// requestLineSlack is allowed beside Limits.HeadBytes, in bytes: limits on headers need not count the
// request line.
const requestLineSlack = 4 << 10

// Eviction names a connection to be closed. The table has forgotten it, unless its head is too long:
// then it may be answered first, and counts until Remove.
type Eviction struct {
	Conn      *Conn
	Reason    Reason
	HeadBytes int           // of its unfinished head
	HeadLines int           // of its unfinished head
	Age       time.Duration // since its head began, or since it became idle
}

// Table holds the connections of a process. It is not safe for concurrent use.
type Table struct {
	capacity int64 // bytes that heads may take, beside what is not counted
	held     int64
	reading  *list.List // of *Conn with an unfinished head, the longest unfinished first
	groups   []*Group
}

// New returns an empty table. capacity is the memory in bytes that heads may take.
func New(capacity int64) *Table { return &Table{capacity: capacity, reading: list.New()} }

// Held returns the memory in bytes that is counted for heads.
func (t *Table) Held() int64 { return t.held }

// Group is the connections of one listener.
type Group struct {
	table   *Table
	maxOpen int
	limits  func() Limits
	open    int
	reading *list.List // of *Conn with an unfinished head, the longest unfinished first
	idle    *list.List // of *Conn, the longest idle first
	pushing *list.List // of *Conn that send more while their request is in progress
}

// AddGroup adds a listener. maxOpen is the number of its connections at most.
func (t *Table) AddGroup(maxOpen int, limits func() Limits) *Group {
	g := &Group{table: t, maxOpen: maxOpen, limits: limits, reading: list.New(), idle: list.New(), pushing: list.New()}
	t.groups = append(t.groups, g)
	return g
}

// Open returns the number of connections.
func (g *Group) Open() int { return g.open }

// Idle returns the number of connections between two requests.
func (g *Group) Idle() int { return g.idle.Len() }

type state uint8

const (
	reading  state = iota // the next head is not complete; a new connection has not sent any of it
	complete              // the head has arrived
	serving               // the request is in progress
	idle
	gone
)

// Conn is a connection in the table.
type Conn struct {
	// Data is for the owner of the connection.
	Data any

	group *Group
	state state
	since time.Time // of the present state
	head  scanner
	ahead int // lines of the next head that may have been read with the present request
	held  int64
	body  bool // the body of the request in progress has not ended

	place   *list.Element // in the group's list of its state
	inTable *list.Element // in Table.reading
}

// patience is how long a new connection may take for its first head before it gives way to a new one
// in preference to idle connections, whose clients come back.
const patience = 500 * time.Millisecond

// Add adds a new connection. If there are too many, another one is let go: one whose head has been
// unfinished for patience, else the longest idle, else the longest unfinished, else one that sends on
// behind its request in progress. If there is none of these, the new one is turned away: conn is nil.
func (g *Group) Add(now time.Time) (conn *Conn, evicted []Eviction) {
	if g.open >= g.maxOpen {
		victim := g.replaceable(now)
		if victim == nil {
			return nil, nil
		}
		evicted = append(evicted, victim.evict(Room, now))
	}
	c := &Conn{group: g}
	g.open++
	c.enter(reading, now)
	return c, evicted
}

// replaceable returns the connection that gives way to a new one, nil if there is none.
func (g *Group) replaceable(now time.Time) *Conn {
	oldest, longestIdle := front(g.reading), front(g.idle)
	if oldest != nil && (longestIdle == nil || now.Sub(oldest.since) > patience) {
		return oldest
	}
	if longestIdle != nil {
		return longestIdle
	}
	return front(g.pushing)
}

func front(l *list.List) *Conn {
	if e := l.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// Received tells that bytes of the connection were read, and returns the connections to let go, which
// may include this one.
func (c *Conn) Received(p []byte, now time.Time) []Eviction {
	switch c.state {
	case gone:
		return nil
	case serving:
		c.ahead = linesAhead(c.ahead, p)
		if !c.body && c.place == nil {
			c.place = c.group.pushing.PushBack(c)
		}
		return nil
	case idle, complete: // if complete, the head goes on where it seemed to have ended
		c.enter(reading, now)
	}
	done := c.head.scan(p)
	evicted := c.charge(now)
	switch {
	case c.state == gone:
	case c.head.bytes > c.group.limits().HeadBytes+requestLineSlack:
		evicted = append(evicted, c.eviction(HeadTooLong, now))
	case done:
		c.enter(complete, now)
	}
	return evicted
}

// charge counts the memory of the present head. The longest unfinished heads give way to it; it does
// so itself if it is the longest, or if requests in progress take all memory.
func (c *Conn) charge(now time.Time) (evicted []Eviction) {
	t := c.group.table
	more := max(c.head.memory()-FreeHeadMemory, 0) - c.held
	if more <= 0 {
		return nil
	}
	c.held += more
	t.held += more
	for t.held > t.capacity {
		victim := t.longestCounted()
		evicted = append(evicted, victim.evict(HeadMemory, now))
		if victim == c {
			break
		}
	}
	return evicted
}

// longestCounted returns the connection whose head has been unfinished for longest among those that
// memory is counted for. The caller has just counted some for one.
func (t *Table) longestCounted() *Conn {
	for e := t.reading.Front(); ; e = e.Next() {
		if c := e.Value.(*Conn); c.held > 0 {
			return c
		}
	}
}

// Serve tells that the head is complete and its request is being served. hasBody tells that a body follows.
func (c *Conn) Serve(hasBody bool, now time.Time) {
	if c.state != gone {
		c.enter(serving, now)
		c.body = hasBody
	}
}

// EndBody tells that the body of the request in progress has ended. What is received until Finish
// belongs to no request in progress.
func (c *Conn) EndBody() { c.body = false }

// Finish tells that the request has been answered and the connection waits for the next one.
func (c *Conn) Finish(now time.Time) {
	if c.state == gone {
		return
	}
	c.release()
	c.head = scanner{lines: c.ahead}
	c.ahead = 0
	c.enter(idle, now)
}

// Remove tells that the connection has ended or is no longer an HTTP connection.
func (c *Conn) Remove() {
	if c.state == gone {
		return
	}
	c.release()
	c.leave()
	c.state = gone
	c.group.open--
}

// Expired removes the connections whose time is over and returns them.
func (t *Table) Expired(now time.Time) (evicted []Eviction) {
	for _, g := range t.groups {
		l := g.limits()
		for c := front(g.reading); c != nil && now.Sub(c.since) >= l.HeadTimeout; c = front(g.reading) {
			evicted = append(evicted, c.evict(HeadTimeout, now))
		}
		for c := front(g.idle); c != nil && now.Sub(c.since) >= l.IdleTimeout; c = front(g.idle) {
			evicted = append(evicted, c.evict(IdleTimeout, now))
		}
	}
	return evicted
}

// NextExpiry returns when the next connection expires under the present limits; ok is false if none does.
func (t *Table) NextExpiry() (at time.Time, ok bool) {
	consider := func(c *Conn, limit time.Duration) {
		if c == nil {
			return
		}
		if end := c.since.Add(limit); !ok || end.Before(at) {
			at, ok = end, true
		}
	}
	for _, g := range t.groups {
		l := g.limits()
		consider(front(g.reading), l.HeadTimeout)
		consider(front(g.idle), l.IdleTimeout)
	}
	return at, ok
}

// evict removes the connection.
func (c *Conn) evict(why Reason, now time.Time) Eviction {
	e := c.eviction(why, now)
	c.Remove()
	return e
}

func (c *Conn) eviction(why Reason, now time.Time) Eviction {
	return Eviction{Conn: c, Reason: why, HeadBytes: c.head.bytes, HeadLines: c.head.lines, Age: now.Sub(c.since)}
}

// enter changes the state.
func (c *Conn) enter(s state, now time.Time) {
	c.leave()
	c.state, c.since = s, now
	switch s {
	case reading:
		c.place = c.group.reading.PushBack(c)
		c.inTable = c.group.table.reading.PushBack(c)
	case idle:
		c.place = c.group.idle.PushBack(c)
	}
}

// leave removes the connection from the lists.
func (c *Conn) leave() {
	switch {
	case c.place == nil:
		return
	case c.state == reading:
		c.group.reading.Remove(c.place)
		c.group.table.reading.Remove(c.inTable)
	case c.state == idle:
		c.group.idle.Remove(c.place)
	case c.state == serving:
		c.group.pushing.Remove(c.place)
	}
	c.place, c.inTable = nil, nil
}

// release stops counting the memory of the head.
func (c *Conn) release() {
	c.group.table.held -= c.held
	c.held = 0
}
