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

// attempt is one request that a host tries to dispatch.
type attempt struct {
	claim   Claim
	permit  *Permit
	claimed time.Time // by the log, when it was last appended
}

// modelHost is a host with a front and a combiner, whose state is lost when the
// host is replaced.
type modelHost struct {
	name        string
	incarnation uint64
	replay      *Replay
	attempts    []*attempt
}

// dispatch is one run of a key at the upstream.
type dispatch struct {
	claimed   time.Time // log time of the claim
	permitted time.Time
}

// world simulates the log, the hosts and an upstream that records dispatches.
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
	restores  bool // the log may be restored from an older copy
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
		w.replaceHost(i)
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

// replaceHost replaces a host by one with empty state, which reads from the first
// kept record on.
func (w *world) replaceHost(i int) {
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

// ask starts a request at a host. Later steps decide whether and how often its
// claim is appended. The claim supersedes a released holder that combiner c knows.
func (w *world) ask(h, c *modelHost, key string) *attempt {
	w.lastID++
	t := &attempt{permit: NewPermit(w.now.Add(modelLife / 2))}
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
	h.attempts = append(h.attempts, t)
	w.asked[key] = true
	return t
}

// readVerdict applies the verdict that combiner c knows to an attempt.
func (w *world) readVerdict(t *attempt, c *modelHost) {
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

// tryDispatch makes the permit's transition before the first byte; the bytes may be
// sent any time later.
func (w *world) tryDispatch(t *attempt) {
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

// release gives an attempt up and writes the record if lost is false.
func (w *world) release(h *modelHost, t *attempt, lost bool) {
	if !t.permit.Release() || lost || t.permit.Offset() == 0 {
		return
	}
	w.append(Record{Release: &Release{Offset: t.permit.Offset(), ID: t.claim.ID, Host: h.name, Incarnation: h.incarnation}})
}

// wantedState is the permit state, by step, in which the step has an effect.
var wantedState = [20]PermitState{13: Claimed, 14: Claimed, 15: Claimed, 16: Claimed, 17: Claimed, 18: Dead}

// pickAttempt mostly returns an attempt in the wanted state and sometimes any, so
// that steps are also taken out of order. It returns nil if there is no attempt.
func pickAttempt(attempts []*attempt, arg uint32, want PermitState) *attempt {
	if len(attempts) == 0 {
		return nil
	}
	first := int(arg) % len(attempts)
	if arg%7 == 0 {
		return attempts[first]
	}
	for i := range attempts {
		if t := attempts[(first+i)%len(attempts)]; t.permit.State() == want {
			return t
		}
	}
	return attempts[first]
}

// step takes the step that n selects, which may be a fault.
func (w *world) step(n uint32) {
	op, arg := n%20, n/20
	if w.restores && arg%16 == 0 {
		w.restoreLog(int(arg / 16 % 8))
		return
	}
	h := w.hosts[arg%modelHosts]
	arg /= modelHosts
	c := w.hosts[arg%modelHosts]
	arg /= modelHosts
	t := pickAttempt(h.attempts, arg, wantedState[op])
	switch {
	case op < 3:
		t = w.ask(h, c, w.keys[arg%modelKeys])
		arg /= modelKeys
		if arg%4 == 3 { // a combiner with a wrong view of the holder
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
		w.replaceHost(slices.Index(w.hosts[:], h))
	case op == 10 && arg%4 == 1:
		w.firstKept = min(w.firstKept+int64(arg/4%6), int64(len(w.log))+1)
	case t == nil:
	case op == 11: // the claim is appended late, or again
		w.appendClaim(t, arg)
	case op < 13:
		for _, t := range h.attempts {
			w.readVerdict(t, c)
		}
	case op < 17:
		w.tryDispatch(t)
	case op < 19:
		w.release(h, t, arg%4 == 3)
	default:
		t.permit.Kill()
	}
}

// mark appends a host's mark, with the era that the host knows.
func (w *world) mark(h *modelHost) {
	m := Mark{Host: h.name, Era: h.replay.Era()}
	if !h.replay.EraStart().IsZero() {
		m.SinceMs = h.replay.EraStart().UnixMilli()
	}
	w.append(Record{Mark: &m})
}

// restoreLog restores the log from a copy that lacks the last few records.
func (w *world) restoreLog(lost int) {
	w.log = slices.Clone(w.log[:max(len(w.log)-lost, int(w.firstKept)-1, 0)])
	w.era++
}

// appendClaim appends an attempt's claim not at all, once or twice. Whether the
// host gets the answer makes no difference, since only reading back counts.
func (w *world) appendClaim(t *attempt, arg uint32) {
	for range []int{0, 1, 1, 1, 2}[arg%5] {
		t.claimed = w.now
		w.append(Record{Claim: &t.claim})
	}
}

// atMostOnePerKey reports whether no key ran twice. A time-stamped key may never run
// again, an opaque one only by a claim that was recorded after the first run and
// more than the key life after the first claim.
func (w *world) atMostOnePerKey() bool {
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
