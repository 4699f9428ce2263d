package keyed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

// simulation is a stream whose store is restored from older copies at random, with daemons that
// read it and each other. Each write has a number, which its value contains; writers write again
// what was lost.
type simulation struct {
	rng          *rand.Rand
	store        *fakeStore
	daemons      []*eraDaemon
	number       int
	newestNumber map[string]int  // number of the newest write, or removal, by key
	listed       map[string]bool // keys that were not removed
	lost         []string        // keys to be written again
	violations   []string
}

// Keys of the stream. Values of rankedKey are ordered by rank, those of others by offset.
const rankedKey = "config"

var simulationKeys = []string{rankedKey, "a", "b", "c"}

// eraDaemon is one incarnation of a daemon.
type eraDaemon struct {
	w            *simulation
	host         string
	release      int // daemons of the former release neither send nor read eras
	follower     *Follower
	seen         map[string]int // number of the newest value that was applied
	cutFromStore bool
	cutFromPeers bool
}

const (
	formerRelease = iota
	thisRelease
)

// valueNumber returns the number of the write of a value.
func valueNumber(value []byte) int {
	_, text, _ := strings.Cut(string(value), "#")
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return n
}

// rankOfValue is the RankOf of the simulation.
func rankOfValue(key string, value []byte) (rank Rank, ok bool) {
	return Rank{Count: int64(valueNumber(value))}, key == rankedKey
}

func newSimulation(seed uint64, former int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), store: &fakeStore{era: 1}, newestNumber: map[string]int{}, listed: map[string]bool{}}
	w.write(rankedKey)
	for i := range 5 {
		release := thisRelease
		if i < former {
			release = formerRelease
		}
		w.daemons = append(w.daemons, w.newDaemon(fmt.Sprintf("d%d", i), release))
	}
	return w
}

func (w *simulation) newDaemon(host string, release int) *eraDaemon {
	d := &eraDaemon{w: w, host: host, release: release, seen: map[string]int{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := Options{
		Store: d, Stream: "s", Timeout: time.Second, Within: 2 * time.Hour, Feed: NewFeed(host, d), PeerTimeout: time.Second,
		RewriteTime: time.Hour, DoubtTime: time.Hour, Apply: d.apply, Log: logrus.NewEntry(log),
	}
	o.IsSignificant = func(before, after []byte) bool { return !bytes.Equal(before, after) }
	if release == thisRelease {
		o.RankOf = rankOfValue
	}
	o.Feed.random = rand.NewPCG(w.rng.Uint64(), 0)
	d.follower = New(o)
	return d
}

// write writes the next value of a key, or removes it.
func (w *simulation) write(key string) {
	w.number++
	w.newestNumber[key] = w.number
	w.listed[key] = key == rankedKey || w.rng.IntN(3) > 0
	w.append(key)
}

// append appends the newest value of a key.
func (w *simulation) append(key string) {
	if !w.listed[key] {
		w.store.put(key, "")
		return
	}
	w.store.put(key, fmt.Sprintf("%s#%d", key, w.newestNumber[key]))
}

// restore restores the store from an older copy and notes the lost keys, to be written again.
func (w *simulation) restore() {
	length := len(w.store.records)
	kept := length - w.rng.IntN(min(length, 6))
	for _, r := range w.store.records[kept:] {
		if !slices.Contains(w.lost, r.Key) {
			w.lost = append(w.lost, r.Key)
		}
	}
	w.store.restore(kept)
}

// rewrite writes one of the lost values again.
func (w *simulation) rewrite() {
	if len(w.lost) == 0 {
		return
	}
	key := w.lost[0]
	w.lost = w.lost[1:]
	w.append(key)
}

// step performs one random action.
func (w *simulation) step() {
	d := w.daemons[w.rng.IntN(len(w.daemons))]
	switch w.rng.IntN(14) {
	case 0, 1, 2:
		w.write(simulationKeys[w.rng.IntN(len(simulationKeys))])
	case 3:
		w.restore()
	case 4, 5:
		w.rewrite()
	case 6:
		d.cutFromStore = !d.cutFromStore
	case 7:
		d.cutFromPeers = !d.cutFromPeers
	case 8:
		if w.rng.IntN(3) == 0 { // the daemon starts again
			i := slices.Index(w.daemons, d)
			w.daemons[i] = w.newDaemon(d.host, d.release)
		}
	default:
		d.read()
	}
}

// read lets a daemon read once, and a second time if it must read all keys.
func (d *eraDaemon) read() {
	if needsFullRead(d.follower.read(context.Background())) {
		d.follower.requestFullRead()
		_ = d.follower.read(context.Background()) // fails if the store or the peers do
	}
}

// readStore lets a daemon read the store, as if it had been drawn for that.
func (d *eraDaemon) readStore() {
	if needsFullRead(d.follower.readStore(context.Background())) {
		d.follower.requestFullRead()
		_ = d.follower.readStore(context.Background())
	}
}

// recoverAll ends all faults, writes all lost values again and lets all daemons read.
func (w *simulation) recoverAll() {
	for len(w.lost) > 0 {
		w.rewrite()
	}
	for _, d := range w.daemons {
		d.cutFromStore, d.cutFromPeers = false, false
	}
	for range 4 {
		for _, d := range w.daemons {
			d.read()
			d.readStore()
		}
	}
}

// settle lets the times pass after which missing and doubtful keys are decided.
func (w *simulation) settle() {
	for _, d := range w.daemons {
		d.follower.state.unresolved.eraSeen = time.Now().Add(-2 * time.Hour)
		d.readStore()
	}
}

// check records the daemons of this release that do not have the newest write of the keys.
func (w *simulation) check(when string, keys ...string) {
	for _, d := range w.daemons {
		if d.release == formerRelease {
			continue
		}
		for _, key := range keys {
			r, known := d.follower.state.records[key]
			switch {
			case !w.listed[key] && known && r.Value != nil:
				w.violations = append(w.violations, fmt.Sprintf("%s: %s has %s, which was removed", when, d.host, r.Value))
			case w.listed[key] && (r.Value == nil || valueNumber(r.Value) != w.newestNumber[key]):
				w.violations = append(w.violations, fmt.Sprintf("%s: %s has %q of %s, not %d", when, d.host, r.Value, key, w.newestNumber[key]))
			}
		}
	}
}

// apply checks that the values which an incarnation receives never get older. Offsets that come
// from daemons of the former release do not order values: there, only ranked values are checked.
func (d *eraDaemon) apply(b Batch) {
	newest := map[string]platform.KeyedRecord{}
	for _, r := range b.Records {
		newest[r.Key] = r
	}
	for key, r := range newest {
		if r.Value == nil {
			continue
		}
		n := valueNumber(r.Value)
		if n < d.seen[key] && d.release == thisRelease {
			d.w.violations = append(d.w.violations, fmt.Sprintf("%s: %s after %d", d.host, r.Value, d.seen[key]))
		}
		if key == rankedKey || d.follower.state.era != platform.NoEra {
			d.seen[key] = max(d.seen[key], n)
		}
	}
}

// Newest implements platform.Keyed.
func (d *eraDaemon) Newest(ctx context.Context, stream string) (platform.KeyedPage, error) {
	if d.cutFromStore {
		return platform.KeyedPage{}, platform.ErrBusy
	}
	page, err := d.w.store.Newest(ctx, stream)
	return d.stripEra(page), err
}

// Since implements platform.Keyed.
func (d *eraDaemon) Since(ctx context.Context, stream string, from int64, wait time.Duration) (platform.KeyedPage, error) {
	if d.cutFromStore {
		return platform.KeyedPage{}, platform.ErrBusy
	}
	page, err := d.w.store.Since(ctx, stream, from, wait)
	return d.stripEra(page), err
}

func (d *eraDaemon) Put(context.Context, string, string, []byte) error { return nil }

// stripEra removes the era from a page read by a daemon of the former release.
func (d *eraDaemon) stripEra(page platform.KeyedPage) platform.KeyedPage {
	if d.release == formerRelease {
		page.Era = platform.NoEra
	}
	return page
}

// Rank, Members, SameDomain and Call implement Peers.
func (d *eraDaemon) Rank(string, int) []membership.Member { return d.Members() }

func (d *eraDaemon) Members() []membership.Member {
	var list []membership.Member
	for _, other := range d.w.daemons {
		list = append(list, membership.Member{Identity: membership.Identity{Host: other.host, Address: other.host}, State: membership.Live})
	}
	return list
}

func (d *eraDaemon) SameDomain(string) bool { return true }

func (d *eraDaemon) Call(_ context.Context, address, _ string, args, reply any) error {
	i := slices.IndexFunc(d.w.daemons, func(other *eraDaemon) bool { return other.host == address })
	other := d.w.daemons[i]
	if d.cutFromPeers || other.cutFromPeers {
		return platform.ErrBusy
	}
	req, answer := *args.(*SinceRequest), reply.(*SinceReply)
	if d.release == formerRelease {
		req.Era = platform.NoEra
	}
	err := other.follower.opts.Feed.RPC().Since(&req, answer)
	if d.release == thisRelease && other.release == thisRelease || err != nil {
		return err
	}
	answer.Version, answer.Era, answer.EraAge, answer.EraCertain = 0, platform.NoEra, 0, 0
	return stripEras(answer)
}

// stripEras removes the eras from packed records, as a daemon of the former release has none.
func stripEras(answer *SinceReply) error {
	records, err := unpack(answer.Packed)
	if err != nil || len(records) == 0 {
		return err
	}
	c := newStreamState(nil)
	for i := range records {
		records[i].Era = platform.NoEra
	}
	c.recent = records
	var p replyCache
	answer.Packed, err = p.get(&c, 0)
	return err
}

// runSimulation runs a simulation of random steps and returns the violations found.
func runSimulation(seed uint64, steps, former int) []string {
	w := newSimulation(seed, former)
	for range steps {
		w.step()
	}
	w.recoverAll()
	w.check("before missing and doubtful keys are decided", rankedKey)
	w.settle()
	w.check("in the end", slices.Sorted(maps.Keys(w.newestNumber))...)
	return w.violations
}
