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

// world is a stream whose store goes back to older copies, with daemons that read it and each
// other. Each write has a number, which its value names; writers write again what was lost.
type world struct {
	rng     *rand.Rand
	store   *fakeStore
	daemons []*eraDaemon
	number  int
	truth   map[string]int // newest write of a key; a removal is one too
	present map[string]bool
	lost    []string // keys to be written again
	broken  []string
}

// Keys of the world. Values of rankedKey are compared by what they say, of others by their places.
const rankedKey = "config"

var worldKeys = []string{rankedKey, "a", "b", "c"}

// eraDaemon is one incarnation of a daemon.
type eraDaemon struct {
	w        *world
	host     string
	release  int // former daemons tell and read no era
	follower *Follower
	seen     map[string]int // number of the newest value that was applied
	cut      bool           // from the store
	alone    bool           // from the other daemons
}

const (
	formerRelease = iota
	thisRelease
)

// valueNumber returns the number of a value of the world.
func valueNumber(value []byte) int {
	_, text, _ := strings.Cut(string(value), "#")
	n, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return n
}

func rankWorld(key string, value []byte) (rank Rank, ok bool) {
	return Rank{Count: int64(valueNumber(value))}, key == rankedKey
}

func newWorld(seed uint64, former int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0)), store: &fakeStore{era: 1}, truth: map[string]int{}, present: map[string]bool{}}
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

func (w *world) newDaemon(host string, release int) *eraDaemon {
	d := &eraDaemon{w: w, host: host, release: release, seen: map[string]int{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := Options{
		Store: d, Stream: "s", Timeout: time.Second, MaxAge: time.Hour, Feed: NewFeed(host, d), PeerTimeout: time.Second,
		RewriteTime: time.Hour, DoubtTime: time.Hour, Apply: d.apply, Log: logrus.NewEntry(log),
	}
	o.IsSignificant = func(before, after []byte) bool { return !bytes.Equal(before, after) }
	if release == thisRelease {
		o.RankOf = rankWorld
	}
	o.Feed.random = rand.NewPCG(w.rng.Uint64(), 0)
	d.follower = New(o)
	return d
}

// write writes the next value of a key, or removes it.
func (w *world) write(key string) {
	w.number++
	w.truth[key] = w.number
	w.present[key] = key == rankedKey || w.rng.IntN(3) > 0
	w.append(key)
}

// append appends the newest value of a key.
func (w *world) append(key string) {
	if !w.present[key] {
		w.store.put(key, "")
		return
	}
	w.store.put(key, fmt.Sprintf("%s#%d", key, w.truth[key]))
}

// restore goes back to an older copy; what it lacks is to be written again.
func (w *world) restore() {
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
func (w *world) rewrite() {
	if len(w.lost) == 0 {
		return
	}
	key := w.lost[0]
	w.lost = w.lost[1:]
	w.append(key)
}

// step does one thing at random.
func (w *world) step() {
	d := w.daemons[w.rng.IntN(len(w.daemons))]
	switch w.rng.IntN(14) {
	case 0, 1, 2:
		w.write(worldKeys[w.rng.IntN(len(worldKeys))])
	case 3:
		w.restore()
	case 4, 5:
		w.rewrite()
	case 6:
		d.cut = !d.cut
	case 7:
		d.alone = !d.alone
	case 8:
		if w.rng.IntN(3) == 0 { // the daemon starts again
			i := slices.Index(w.daemons, d)
			w.daemons[i] = w.newDaemon(d.host, d.release)
		}
	default:
		d.read()
	}
}

// read has a daemon read once, and again at once where it is to.
func (d *eraDaemon) read() {
	if again(d.follower.read(context.Background())) {
		d.follower.restart()
		_ = d.follower.read(context.Background()) // may fail, as the store or the peers do
	}
}

// readStore has a daemon read the store, as if it were drawn for it.
func (d *eraDaemon) readStore() {
	if again(d.follower.readStore(context.Background())) {
		d.follower.restart()
		_ = d.follower.readStore(context.Background())
	}
}

// calm ends all troubles, has everything written again and read by all.
func (w *world) calm() {
	for len(w.lost) > 0 {
		w.rewrite()
	}
	for _, d := range w.daemons {
		d.cut, d.alone = false, false
	}
	for range 4 {
		for _, d := range w.daemons {
			d.read()
			d.readStore()
		}
	}
}

// settle lets the time pass in which lost values are written again.
func (w *world) settle() {
	for _, d := range w.daemons {
		d.follower.copied.doubts.since = time.Now().Add(-2 * time.Hour)
		d.readStore()
	}
}

// check notes the daemons of this release that do not know the truth of some keys.
func (w *world) check(when string, keys ...string) {
	for _, d := range w.daemons {
		if d.release == formerRelease {
			continue
		}
		for _, key := range keys {
			r, known := d.follower.copied.records[key]
			switch {
			case !w.present[key] && known && r.Value != nil:
				w.broken = append(w.broken, fmt.Sprintf("%s: %s has %s, which was removed", when, d.host, r.Value))
			case w.present[key] && (r.Value == nil || valueNumber(r.Value) != w.truth[key]):
				w.broken = append(w.broken, fmt.Sprintf("%s: %s has %q of %s, not %d", when, d.host, r.Value, key, w.truth[key]))
			}
		}
	}
}

// apply checks that what an incarnation is told goes forward. Places that were learned from daemons
// of the former release alone say nothing: there, only values that tell their rank do.
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
			d.w.broken = append(d.w.broken, fmt.Sprintf("%s: %s after %d", d.host, r.Value, d.seen[key]))
		}
		if key == rankedKey || d.follower.copied.era != platform.NoEra {
			d.seen[key] = max(d.seen[key], n)
		}
	}
}

// Newest and Since implement platform.Keyed.
func (d *eraDaemon) Newest(ctx context.Context, stream string) (platform.KeyedPage, error) {
	if d.cut {
		return platform.KeyedPage{}, platform.ErrBusy
	}
	page, err := d.w.store.Newest(ctx, stream)
	return d.dated(page), err
}

func (d *eraDaemon) Since(ctx context.Context, stream string, from int64, wait time.Duration) (platform.KeyedPage, error) {
	if d.cut {
		return platform.KeyedPage{}, platform.ErrBusy
	}
	page, err := d.w.store.Since(ctx, stream, from, wait)
	return d.dated(page), err
}

func (d *eraDaemon) Put(context.Context, string, string, []byte) error { return nil }

func (d *eraDaemon) dated(page platform.KeyedPage) platform.KeyedPage {
	if d.release == formerRelease {
		page.Era = platform.NoEra
	}
	return page
}

// Rank, Members, Near and Call implement Peers.
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
	if d.alone || other.alone {
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
	return eraless(answer)
}

// eraless takes the eras off packed records, as a daemon of the former release has them.
func eraless(answer *SinceReply) error {
	records, err := unpack(answer.Packed)
	if err != nil || len(records) == 0 {
		return err
	}
	c := newCopied(nil)
	for i := range records {
		records[i].Era = platform.NoEra
	}
	c.recent = records
	var p packed
	answer.Packed, err = p.get(&c, 0)
	return err
}

// playWorld plays a world and returns what was broken.
func playWorld(seed uint64, steps, former int) []string {
	w := newWorld(seed, former)
	for range steps {
		w.step()
	}
	w.calm()
	w.check("before the doubts end", rankedKey)
	w.settle()
	w.check("in the end", slices.Sorted(maps.Keys(w.truth))...)
	return w.broken
}
