package claim

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/google/uuid"
)

const (
	modelHosts = 3
	modelKeys  = 4 // half of them opaque, half UUIDv7
	modelLife  = DefaultKeyLife
)

// mutant names a fault built into the model's hosts.
type mutant int

const (
	sound mutant = iota
	skipsReadBack
	dispatchesAfterRelease
	ignoresEras
)

// try is one request of a host.
type try struct {
	claim   Claim
	permit  *Permit
	claimed time.Time // by the log, when it was last appended
}

// modelHost is a front and a combiner; both are lost when it is replaced.
type modelHost struct {
	name        string
	incarnation uint64
	replay      *Replay
	tries       []*try
}

// dispatch is one run of a key as the upstream sees it.
type dispatch struct {
	claimed   time.Time // log time of the claim
	permitted time.Time
}

// world is the log, the hosts and the upstream's witness.
type world struct {
	now       time.Time
	firstKept int64
	log       []Input // log[i] has offset i+1
	hosts     [modelHosts]*modelHost
	keys      [modelKeys]string
	runs      map[string][]dispatch
	asked     map[string]bool
	lastID    uint64
	mutant    mutant
	era       int64
	restores  bool // the log may go back to an older copy
}

func newWorld(m mutant) *world {
	w := &world{
		now:       time.UnixMilli(1_800_000_000_000),
		firstKept: 1,
		runs:      map[string][]dispatch{},
		asked:     map[string]bool{},
		mutant:    m,
	}
	w.keys = [modelKeys]string{"opaque-1", "opaque-2", uuidV7(w.now), uuidV7(w.now.Add(2 * modelLife))}
	for i := range w.hosts {
		w.replace(i)
	}
	return w
}

func uuidV7(at time.Time) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: 1}
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(id[:6], ms[2:])
	return id.String()
}

// replace puts an empty host in the place of another; it reads from the first
// kept record on.
func (w *world) replace(i int) {
	old := w.hosts[i]
	h := &modelHost{name: string(rune('a' + i)), incarnation: 1, replay: NewReplay(Options{})}
	if old != nil {
		h.incarnation = old.incarnation + 1
	}
	w.hosts[i] = h
}

func (w *world) append(r Record) {
	data, err := Encode(r)
	if err != nil {
		panic(err)
	}
	w.log = append(w.log, Input{Offset: int64(len(w.log)) + 1, At: w.now, Data: data})
}

func (w *world) read(h *modelHost, limit int) {
	if h.replay.Era() != w.era && w.mutant != ignoresEras {
		h.replay = NewReplayIn(Options{}, w.era)
	}
	from := max(h.replay.Next(), w.firstKept)
	for o := from; o <= int64(len(w.log)) && limit > 0; o++ {
		h.replay.Apply(w.log[o-1])
		limit--
	}
}

// ask starts a request at a host. Whether it is appended, and how often, is up
// to later steps; the claim supersedes a released holder that combiner c knows.
func (w *world) ask(h, c *modelHost, key string) *try {
	w.lastID++
	t := &try{permit: NewPermit(w.now.Add(modelLife / 2))}
	t.claim = Claim{
		Customer:    "customer",
		Key:         key,
		Host:        h.name,
		Incarnation: h.incarnation,
		NotAfterMs:  t.permit.NotAfter().UnixMilli(),
		LifeMs:      modelLife.Milliseconds(),
	}
	binary.BigEndian.PutUint64(t.claim.ID[:], w.lastID)
	st := c.replay.Lookup("customer", key, w.now)
	if st.State == KeyReleased {
		t.claim.Supersedes = st.Holder.Offset
	}
	h.tries = append(h.tries, t)
	w.asked[key] = true
	return t
}

// verdict lets a front learn from combiner c what became of a try.
func (w *world) verdict(t *try, c *modelHost) {
	if w.mutant == skipsReadBack {
		t.permit.Grant(int64(len(w.log)))
		return
	}
	d, ok := c.replay.Decided(t.claim.Customer, t.claim.Key, t.claim.ID)
	switch {
	case !ok:
		return
	case d.Verdict == Holds:
		t.permit.Grant(d.Offset)
	default:
		t.permit.Kill()
	}
}

// permit takes the atomic step before the first byte; send comes any time later.
func (w *world) permit(t *try) {
	if w.mutant == dispatchesAfterRelease && t.permit.State() == Released {
		t.permit.state.Store(uint32(Claimed))
	}
	if !t.permit.Dispatch(w.now) {
		return
	}
	claimed := t.claimed
	if o := t.permit.Offset(); !w.restores && o > 0 && o <= int64(len(w.log)) {
		claimed = w.log[o-1].At
	}
	w.runs[t.claim.Key] = append(w.runs[t.claim.Key], dispatch{claimed, w.now})
}

// release gives a try up and writes the record when lost is false.
func (w *world) release(h *modelHost, t *try, lost bool) {
	if !t.permit.Release() || lost || t.permit.Offset() == 0 {
		return
	}
	w.append(Record{Release: &Release{Offset: t.permit.Offset(), ID: t.claim.ID, Host: h.name, Incarnation: h.incarnation}})
}

// wanted is the state in which a step does something; any other is tried too.
var wanted = [20]PermitState{13: Claimed, 14: Claimed, 15: Claimed, 16: Claimed, 17: Claimed, 18: Dead}

// pick mostly returns a try in the wanted state, now and then any, so that steps
// out of turn are taken as well. It returns nil without a try.
func pick(tries []*try, arg uint32, want PermitState) *try {
	if len(tries) == 0 {
		return nil
	}
	first := int(arg) % len(tries)
	if arg%7 == 0 {
		return tries[first]
	}
	for i := range tries {
		if t := tries[(first+i)%len(tries)]; t.permit.State() == want {
			return t
		}
	}
	return tries[first]
}

// step takes one step that the number picks, faults included.
func (w *world) step(n uint32) {
	op, arg := n%20, n/20
	if w.restores && arg%16 == 0 {
		w.restore(int(arg / 16 % 8))
		return
	}
	h := w.hosts[arg%modelHosts]
	arg /= modelHosts
	c := w.hosts[arg%modelHosts]
	arg /= modelHosts
	t := pick(h.tries, arg, wanted[op])
	switch {
	case op < 3:
		t = w.ask(h, c, w.keys[arg%modelKeys])
		arg /= modelKeys
		if arg%4 == 3 { // a combiner that is wrong about the holder
			t.claim.Supersedes = max(0, int64(len(w.log))-int64(arg/4%8))
		}
		w.appendClaim(t, arg)
	case op < 5:
		w.read(c, 1+int(arg%8))
	case op < 8:
		w.read(c, len(w.log))
	case op == 8 && arg%2 == 0:
		w.mark(h)
	case op == 8:
		w.log = append(w.log, Input{Offset: int64(len(w.log)) + 1, At: w.now, Data: []byte("garbage")})
	case op == 9:
		w.now = w.now.Add([]time.Duration{0, time.Second, time.Second, time.Minute, 4 * time.Minute, modelLife}[arg%6])
	case op == 10 && arg%4 == 0:
		w.replace(slices.Index(w.hosts[:], h))
	case op == 10 && arg%4 == 1:
		w.firstKept = min(w.firstKept+int64(arg/4%6), int64(len(w.log))+1)
	case t == nil:
	case op == 11: // the try is appended late, or once more
		w.appendClaim(t, arg)
	case op < 13:
		for _, t := range h.tries {
			w.verdict(t, c)
		}
	case op < 17:
		w.permit(t)
	case op < 19:
		w.release(h, t, arg%4 == 3)
	default:
		t.permit.Kill()
	}
}

// mark has a host show the log's time, and the era as it has read it.
func (w *world) mark(h *modelHost) {
	m := Mark{Host: h.name, Era: h.replay.Era()}
	if !h.replay.EraStart().IsZero() {
		m.SinceMs = h.replay.EraStart().UnixMilli()
	}
	w.append(Record{Mark: &m})
}

// restore has the log come back from a copy that lacks the last few records.
func (w *world) restore(lost int) {
	w.log = slices.Clone(w.log[:max(len(w.log)-lost, int(w.firstKept)-1, 0)])
	w.era++
}

// appendClaim appends a try: not at all, once, or twice. Whether the answer
// reaches the host makes no difference, since only reading back counts.
func (w *world) appendClaim(t *try, arg uint32) {
	for range []int{0, 1, 1, 1, 2}[arg%5] {
		t.claimed = w.now
		w.append(Record{Claim: &t.claim})
	}
}

// once reports whether no key ran twice: a time-stamped key never again, an
// opaque one only for a claim that is later than the first run and than the key
// life after the first claim.
func (w *world) once() bool {
	for key, runs := range w.runs {
		_, stamped := KeyTime(key)
		for i, second := range runs {
			for _, first := range runs[:i] {
				if stamped || !second.claimed.After(first.claimed.Add(modelLife)) || !second.claimed.After(first.permitted) {
					return false
				}
			}
		}
	}
	return true
}
