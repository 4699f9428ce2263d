package claim

import (
	"time"
)

// Defaults of Options.
const (
	DefaultKeyLife = 10 * time.Minute
	DefaultMaxSkew = time.Minute
)

// Options configures a Replay. All hosts of a site must use the same values; a
// claim made with another key life never becomes holder.
type Options struct {
	// KeyLife is how long a key is protected after its claim. Default 10 min.
	KeyLife time.Duration
	// MaxSkew is the largest tolerated difference between a caller's or host's
	// clock and the log's. Default 1 min.
	MaxSkew time.Duration
}

func (o Options) withDefaults() Options {
	if o.KeyLife <= 0 {
		o.KeyLife = DefaultKeyLife
	}
	if o.MaxSkew <= 0 {
		o.MaxSkew = DefaultMaxSkew
	}
	return o
}

// Window returns how long an entry is kept after the last claim of its key, and
// thus how far back a verdict depends on the log. It is the key life plus the
// skew, so that a time-stamped key cannot outlive its entry.
func (o Options) Window() time.Duration {
	o = o.withDefaults()
	return o.KeyLife + o.MaxSkew
}

// Input is one record of the stream.
type Input struct {
	Offset int64
	At     time.Time // by the log's clock
	Data   []byte
}

// scopedKey is a customer's key; equal keys of two customers are unrelated.
type scopedKey struct {
	customer, key string
}

// seenClaim is the verdict on one claim ID.
type seenClaim struct {
	id      ID
	offset  int64
	verdict Verdict
}

// entry is what is known about one key.
type entry struct {
	holder    Claim
	offset    int64 // of the holder, 0 if the holder is not known for certain
	released  bool
	lastClaim time.Time // of the last claim, whatever its verdict
	seen      []seenClaim
}

type expiry struct {
	key scopedKey
	at  time.Time
}

// Replay is the state of one partition after a prefix of its stream was applied.
type Replay struct {
	o        Options
	next     int64
	clock    time.Time // highest record time so far
	certain  time.Time // claims recorded before it may have earlier claims of their key that were not seen
	era      int64     // of the log; above zero the log has lost records, so earlier claims may be missing
	eraStart time.Time // log time since which the log is known to be in the era; zero if unknown
	entries  map[scopedKey]*entry
	byOffset map[int64]scopedKey // holders that were not superseded
	queue    []expiry            // in order of time
	stats    Stats
}

// Stats counts exceptional records of a replay.
type Stats struct {
	Undecodable     int64 // records that were ignored
	Restarts        int64 // gaps in the offsets, at which earlier state was dropped
	TimeRegressions int64 // records with a time before the previous record's
}

// NewReplay returns the state before the first record of a stream whose log has never lost records.
func NewReplay(o Options) *Replay { return NewReplayIn(o, 0) }

// NewReplayIn returns the state before the first record of a stream whose log is in the given era.
// Records from before the era may be lost, so verdicts are uncertain until a Mark shows that the
// era began longer ago than the window.
func NewReplayIn(o Options, era int64) *Replay {
	r := &Replay{o: o.withDefaults(), next: 1, era: era}
	r.clear()
	return r
}

func (r *Replay) clear() {
	r.entries = make(map[scopedKey]*entry)
	r.byOffset = make(map[int64]scopedKey)
	r.queue = nil
}

// Next returns the offset of the next record to apply.
func (r *Replay) Next() int64 { return r.next }

// Clock returns the highest record time seen, zero before the first record.
func (r *Replay) Clock() time.Time { return r.clock }

// CertainFrom returns the log time after which verdicts are certain; zero if the
// stream was read from its first record.
func (r *Replay) CertainFrom() time.Time { return r.certain }

// Era returns the era of the log that is replayed.
func (r *Replay) Era() int64 { return r.era }

// EraStart returns the log time since which the log is known to be in its era; zero in the first
// era and until a Mark shows it.
func (r *Replay) EraStart() time.Time { return r.eraStart }

// IsCertain reports whether verdicts on claims recorded now are certain.
func (r *Replay) IsCertain() bool { return r.isCertainAt(r.clock) }

// Len returns the number of keys with an entry.
func (r *Replay) Len() int { return len(r.entries) }

// Stats returns the counts so far.
func (r *Replay) Stats() Stats { return r.stats }

// Apply applies the next record. Offsets already applied are ignored. A gap in
// the offsets means that records were trimmed before they were read: all earlier
// state is dropped, and verdicts stay uncertain until the gap is older than the
// window. The event has Kind EventNone if the record decides nothing.
func (r *Replay) Apply(in Input) Event {
	if in.Offset < r.next {
		return Event{}
	}
	if in.Offset > r.next {
		r.restart(in.At)
	}
	r.next = in.Offset + 1
	r.advance(in.At)
	rec, err := Decode(in.Data)
	if err != nil {
		r.stats.Undecodable++
		return Event{}
	}
	switch {
	case rec.Claim != nil:
		return r.applyClaim(in.Offset, *rec.Claim)
	case rec.Release != nil:
		return r.applyRelease(*rec.Release)
	case rec.Mark != nil:
		r.applyMark(in.At, *rec.Mark)
	}
	return Event{}
}

// applyMark sets the start of the log's era from a mark, unless it is known already.
func (r *Replay) applyMark(at time.Time, m Mark) {
	if r.era == 0 || m.Era != r.era || !r.eraStart.IsZero() {
		return
	}
	if since := time.UnixMilli(m.SinceMs); m.SinceMs > 0 && since.Before(at) {
		at = since
	}
	r.eraStart = at
	if certain := at.Add(r.o.Window()); certain.After(r.certain) {
		r.certain = certain
	}
}

func (r *Replay) restart(at time.Time) {
	r.stats.Restarts++
	r.clear()
	if at.Before(r.clock) {
		at = r.clock
	}
	r.certain = at.Add(r.o.Window())
}

// advance moves the clock forward, never back, and drops the entries whose window
// has passed.
func (r *Replay) advance(at time.Time) {
	if at.Before(r.clock) {
		r.stats.TimeRegressions++
		return
	}
	r.clock = at
	for len(r.queue) > 0 && r.outsideWindow(r.queue[0].at, r.clock) {
		r.drop(r.queue[0])
		r.queue = r.queue[1:]
	}
}

func (r *Replay) drop(x expiry) {
	e := r.entries[x.key]
	if e == nil || !e.lastClaim.Equal(x.at) {
		return // claimed again since; a later expiry is in the queue
	}
	delete(r.byOffset, e.offset)
	delete(r.entries, x.key)
}

// isCertainAt reports whether every claim that still counts at a log time was
// seen. A record at exactly the boundary does not suffice: it may share its time
// with one that was trimmed.
func (r *Replay) isCertainAt(now time.Time) bool {
	if r.era != 0 && r.eraStart.IsZero() {
		return false
	}
	return r.certain.IsZero() || now.After(r.certain)
}

func (r *Replay) outsideWindow(last, now time.Time) bool {
	return now.Sub(last) > r.o.Window()
}

// releaseMatches reports whether a release is of the given claim. The offset alone does not identify the
// claim if the log has reused offsets.
func (r *Replay) releaseMatches(rel Release, holder Claim) bool {
	return rel.ID == holder.ID || rel.ID == ID{} && r.era == 0
}

func (r *Replay) applyRelease(rel Release) Event {
	key, ok := r.byOffset[rel.Offset]
	if !ok {
		return Event{}
	}
	e := r.entries[key]
	if e.holder.Host != rel.Host || e.holder.Incarnation != rel.Incarnation || !r.releaseMatches(rel, e.holder) {
		return Event{}
	}
	e.released = true
	return Event{Kind: EventReleased, Claim: e.holder, Offset: e.offset}
}
