package claim

import (
	"time"
)

// Defaults of Options.
const (
	DefaultKeyLife = 10 * time.Minute
	DefaultMaxSkew = time.Minute
)

// Options of a replay. They must be the same on all hosts of a site; a claim
// made under another key life is never taken for a holder.
type Options struct {
	// KeyLife is how long a key is protected after its claim. Default 10 min.
	KeyLife time.Duration
	// MaxSkew is the largest difference between a caller's or host's clock and
	// the log's that is put up with. Default 1 min.
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

// Window is how far back a verdict looks: an entry is remembered for this long
// after the last claim of its key. It exceeds the key life by the skew, so that
// a time-stamped key cannot outlive its entry.
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

// scopedKey is a key within its customer: customers never meet.
type scopedKey struct {
	customer, key string
}

// seen is the verdict on one claim ID.
type seen struct {
	id      ID
	offset  int64
	verdict Verdict
}

// entry is what is known of one key.
type entry struct {
	holder   Claim
	offset   int64 // of the holder, 0 when the holder is not known for certain
	released bool
	last     time.Time // of the last claim of any outcome
	seen     []seen
}

type expiry struct {
	key scopedKey
	at  time.Time
}

// Replay is the state of one partition after a prefix of its stream.
type Replay struct {
	o        Options
	next     int64
	clock    time.Time // highest record time so far
	certain  time.Time // claims recorded before it may have unseen forerunners
	era      int64     // of the log; over zero: it has lost records, so claims may have unseen forerunners
	began    time.Time // log time from which on the era is known to have lasted; zero: not known
	entries  map[scopedKey]*entry
	byOffset map[int64]scopedKey // holders that were not superseded
	queue    []expiry            // in order of time
	stats    Stats
}

// Stats counts what a replay met.
type Stats struct {
	Undecodable     int64 // records that were ignored
	Restarts        int64 // holes in the offsets: earlier state was dropped
	TimeRegressions int64 // records with a time before their forerunner's
}

// NewReplay returns the state before the first record of a stream whose log has never lost any.
func NewReplay(o Options) *Replay { return NewReplayIn(o, 0) }

// NewReplayIn returns the state before the first record of a stream in an era of its log. What
// was recorded before the era may be lost, so verdicts are uncertain until a Mark has shown
// since when the era has lasted, and that is older than the window.
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

// Next returns the offset that Apply wants next.
func (r *Replay) Next() int64 { return r.next }

// Clock returns the highest record time seen, zero before the first record.
func (r *Replay) Clock() time.Time { return r.clock }

// CertainFrom returns the log time from which on verdicts are certain; zero
// when the stream was read from its first record.
func (r *Replay) CertainFrom() time.Time { return r.certain }

// Era returns the log's era that the replay is of.
func (r *Replay) Era() int64 { return r.era }

// EraStart returns the log time from which on the era is known to have lasted; zero while no Mark
// has shown any, and in the first era.
func (r *Replay) EraStart() time.Time { return r.began }

// IsCertain reports whether the verdicts on claims that are recorded now are certain.
func (r *Replay) IsCertain() bool { return r.sure(r.clock) }

// Len returns the number of keys remembered.
func (r *Replay) Len() int { return len(r.entries) }

// Stats returns the counts so far.
func (r *Replay) Stats() Stats { return r.stats }

// Apply takes the next record. Offsets already applied are ignored. A hole in
// the offsets means that records were trimmed unread: all earlier state is
// dropped and verdicts stay uncertain until the hole is older than the window.
// The event has Kind EventNone when the record decides nothing.
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

// applyMark learns since when the log is in its era.
func (r *Replay) applyMark(at time.Time, m Mark) {
	if r.era == 0 || m.Era != r.era || !r.began.IsZero() {
		return
	}
	if since := time.UnixMilli(m.SinceMs); m.SinceMs > 0 && since.Before(at) {
		at = since
	}
	r.began = at
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

// advance moves the clock, which never goes back, and drops the entries whose
// window has passed.
func (r *Replay) advance(at time.Time) {
	if at.Before(r.clock) {
		r.stats.TimeRegressions++
		return
	}
	r.clock = at
	for len(r.queue) > 0 && r.past(r.queue[0].at, r.clock) {
		r.drop(r.queue[0])
		r.queue = r.queue[1:]
	}
}

func (r *Replay) drop(x expiry) {
	e := r.entries[x.key]
	if e == nil || !e.last.Equal(x.at) {
		return // claimed again since; a later expiry stands in the queue
	}
	delete(r.byOffset, e.offset)
	delete(r.entries, x.key)
}

// sure reports whether every claim that still counts at a log time was seen.
// The record at the edge may share its time with one that was trimmed.
func (r *Replay) sure(now time.Time) bool {
	if r.era != 0 && r.began.IsZero() {
		return false
	}
	return r.certain.IsZero() || now.After(r.certain)
}

func (r *Replay) past(last, now time.Time) bool {
	return now.Sub(last) > r.o.Window()
}

// isOf reports whether a release names a claim: where the log has given offsets out again, its
// offset alone does not.
func (r *Replay) isOf(rel Release, holder Claim) bool {
	return rel.ID == holder.ID || rel.ID == ID{} && r.era == 0
}

func (r *Replay) applyRelease(rel Release) Event {
	key, ok := r.byOffset[rel.Offset]
	if !ok {
		return Event{}
	}
	e := r.entries[key]
	if e.holder.Host != rel.Host || e.holder.Incarnation != rel.Incarnation || !r.isOf(rel, e.holder) {
		return Event{}
	}
	e.released = true
	return Event{Kind: EventReleased, Claim: e.holder, Offset: e.offset}
}
