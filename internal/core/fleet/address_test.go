package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func get(t *testing.T, l *List, id string) Upstream {
	t.Helper()
	u, listed := l.Snapshot().Get(id)
	if !listed {
		t.Fatalf("%s is not listed", id)
	}
	return u
}

// TestLateEntryOfTheDeadDoesNotCostTheLiving is the pattern of servers that are cut off
// and start anew behind the cut, at their address and under a new name: the last heartbeat
// of the dead one arrives after its successor's first, and then it lapses.
func TestLateEntryOfTheDeadDoesNotCostTheLiving(t *testing.T) {
	l := newList()
	l.Apply([]Change{up("dead", 5)}, start)
	l.Apply([]Change{at("dead:1", up("lives", 1))}, start.Add(100*time.Millisecond))
	l.Apply([]Change{up("dead", 6)}, start.Add(200*time.Millisecond))
	if got := l.listed(); got != "dead lives" {
		t.Fatalf("with both entries %q", got)
	}
	l.Apply([]Change{{Name: "dead"}}, start.Add(300*time.Millisecond))
	if u := get(t, l, "lives"); u.Displaced || u.Rivals != nil {
		t.Errorf("alone it is %+v", u)
	}
}

// TestTheOneListedLaterGetsTheWork holds also where the entry of the other one lapses and
// comes again.
func TestTheOneListedLaterGetsTheWork(t *testing.T) {
	for name, changes := range map[string][]Change{
		"a late heartbeat":               {up("a", 5), at("a:1", up("b", 1)), up("a", 6)},
		"gone and back":                  {up("a", 5), at("a:1", up("b", 1)), {Name: "a"}, up("a", 6)},
		"the other is listed once more":  {up("a", 5), at("a:1", up("b", 1)), {Name: "b"}, at("a:1", up("b", 2))},
		"a start is told by one of them": {up("a", 5), at("a:1", life("b", 10, 1))},
	} {
		l := newList()
		l.Apply(changes, start)
		var displaced []string
		for _, u := range l.Snapshot().Upstreams {
			if u.Displaced {
				displaced = append(displaced, u.ID)
			}
		}
		if strings.Join(displaced, " ") != "a" {
			t.Errorf("%s: displaced are %q", name, displaced)
		}
	}
}

func TestAnswersDecideWhoHasAnAddress(t *testing.T) {
	for name, c := range map[string]struct {
		asked  string
		itself bool
		want   string
	}{
		"the one listed later answers": {"b", true, "b"},
		"the other one answers":        {"a", true, "a"},
		"another than the later":       {"b", false, "a"},
		"another than the earlier":     {"a", false, "b"},
	} {
		l := newList()
		l.Apply([]Change{up("a", 5), at("a:1", up("b", 1))}, start)
		if !l.RecordResponder(get(t, l, c.asked), c.itself) {
			t.Errorf("%s: nothing new", name)
		}
		if got := l.listed(); got != c.want {
			t.Errorf("%s: listed %q", name, got)
		}
		other := map[string]string{"a": "b", "b": "a"}[c.want]
		if got := l.Snapshot().Superseded; !slices.Equal(got, []string{other}) {
			t.Errorf("%s: superseded %q", name, got)
		}
		l.Apply([]Change{{Name: c.want}}, start.Add(time.Second))
		if got := l.listed(); got != other {
			t.Errorf("%s: when it went, listed %q", name, got)
		}
	}
}

// TestAnswerSaysNothingOfServersThatCameLater has an answer to what was sent before a
// successor was listed.
func TestAnswerSaysNothingOfServersThatCameLater(t *testing.T) {
	l := newList()
	l.Apply([]Change{up("a", 5), at("a:1", up("b", 1))}, start)
	asked := get(t, l, "b")
	l.Apply([]Change{at("a:1", up("c", 1))}, start.Add(time.Second))
	l.RecordResponder(asked, true)
	if got := l.listed(); got != "b c" {
		t.Errorf("listed %q", got)
	}
	if l.RecordResponder(Upstream{ID: "c"}, false) {
		t.Error("an upstream without rivals is tried again, whatever it answered")
	}
}

func TestToldStartsDecideForGood(t *testing.T) {
	l := newList()
	l.Apply([]Change{life("a", 10, 5), at("a:1", life("b", 20, 1))}, start)
	l.Apply([]Change{{Name: "b"}, life("a", 10, 6)}, start.Add(time.Second))
	if got := l.listed(); got != "" {
		t.Errorf("listed %q", got)
	}
	if got := l.Snapshot().Superseded; !slices.Equal(got, []string{"a@10"}) {
		t.Errorf("superseded %q", got)
	}
}

// record is one drawn record of the store: of one of six servers, of which each pair
// shares an address and those of the first two pairs tell their starts.
type record struct {
	Server  int
	Life    int64
	Beat    int64
	Leaving bool
	Removed bool
	Whole   bool // a read of all entries follows
}

const (
	drawnServers = 6
	tellingOnes  = 4
)

func (r record) name() string    { return string(rune('a' + r.Server)) }
func (r record) address() string { return string(rune('A' + r.Server/2)) }

// born returns the told start: lives of two servers at an address never start together.
func (r record) born() int64 {
	if r.Server >= tellingOnes {
		return 0
	}
	return 10*r.Life + int64(r.Server) + 1
}

func (r record) change() Change {
	if r.Removed {
		return Change{Name: r.name()}
	}
	c := at(r.address(), life(r.name(), r.born(), r.Beat))
	c.Upstream.Leaving = r.Leaving
	return c
}

func drawRecords() gopter.Gen {
	return gen.SliceOf(gopter.CombineGens(
		gen.IntRange(0, drawnServers-1), gen.Int64Range(1, 3), gen.Int64Range(1, 4),
		gen.IntRange(0, 9), gen.IntRange(0, 9), gen.IntRange(0, 9),
	).Map(func(v []any) record {
		return record{
			Server: v[0].(int), Life: v[1].(int64), Beat: v[2].(int64),
			Leaving: v[3].(int) == 0, Removed: v[4].(int) < 2, Whole: v[5].(int) == 0,
		}
	}))
}

// entriesAfter returns what a whole read gives after some records: the newest of each key.
func entriesAfter(records []record) []Change {
	newest := map[string]Change{}
	for _, r := range records {
		newest[r.name()] = r.change()
	}
	var all []Change
	for _, c := range newest {
		if c.Upstream != nil {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(x, y Change) int { return strings.Compare(x.Name, y.Name) })
	return all
}

// standing is the plain model: the servers whose entry stands after all records and whose
// address no later start was told for. Each is worked out from the whole history anew.
func standing(records []record) []string {
	var names []string
	for server := range drawnServers {
		var latest, removed int64 // start of its last life; highest beat of it before the last removal
		for _, r := range records {
			if r.Server == server && !r.Removed {
				latest = max(latest, r.born())
			}
		}
		stands, seen := false, int64(0)
		for _, r := range records {
			switch {
			case r.Server != server:
			case r.Removed:
				stands, removed = false, seen
			case r.born() == 0, r.born() == latest && r.Beat >= removed:
				stands = true
			}
			if r.Server == server && !r.Removed && r.born() == latest {
				seen = max(seen, r.Beat)
			}
		}
		superseded := slices.ContainsFunc(records, func(r record) bool {
			return !r.Removed && r.Server != server && r.Server/2 == server/2 && r.born() > latest
		})
		if stands && !superseded {
			names = append(names, record{Server: server}.name())
		}
	}
	return names
}

// TestEveryEntryThatStandsIsListed draws entries of servers that share addresses, late and
// repeated ones among them, removals, and whole reads at any point, with and without the
// store away: once records stop coming, just the servers are listed whose entry stands
// and that nothing succeeded.
func TestEveryEntryThatStandsIsListed(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(23)
	parameters.MinSuccessfulTests = 3000
	properties := gopter.NewProperties(parameters)
	properties.Property("listed as the model says", prop.ForAll(func(records []record, away bool) bool {
		l, now := newList(), start
		l.Apply(nil, now)
		if away {
			now = now.Add(10 * time.Second)
		}
		for i, r := range records {
			now = now.Add(time.Millisecond)
			l.Apply([]Change{r.change()}, now)
			if r.Whole {
				l.Replace(entriesAfter(records[:i+1]), now)
			}
		}
		l.Expire(now.Add(5 * time.Second))
		var names []string
		for _, u := range l.Snapshot().Upstreams {
			names = append(names, u.Name)
		}
		slices.Sort(names)
		return slices.Equal(names, standing(records))
	}, drawRecords(), gen.Bool()))
	properties.TestingRun(t)
}

// site is one address at which servers live one after the other. Their entries are
// written while they live and reach the list late, in any order.
type site struct {
	rng    *rand.Rand
	list   *List
	lives  int // the server that lives
	now    time.Time
	onWay  []Change // written, not yet read
	known  map[string]bool
	sent   []Upstream // not yet answered
	itself []bool
}

func serverName(i int) string { return "s" + string(rune('a'+i)) }

func (s *site) step() {
	s.now = s.now.Add(10 * time.Millisecond)
	switch s.rng.IntN(5) {
	case 0:
		if s.rng.IntN(4) == 0 {
			s.lives++
		}
		s.onWay = append(s.onWay, at("x", up(serverName(s.lives), int64(s.now.Sub(start)))))
	case 1, 2:
		s.read()
	case 3:
		if list := s.list.Snapshot().Upstreams; len(list) > 0 {
			u := list[s.rng.IntN(len(list))]
			s.sent = append(s.sent, u)
			s.itself = append(s.itself, u.Name == serverName(s.lives))
		}
	case 4:
		s.answer()
	}
}

// read takes in an entry that is on its way, or the lapse of one of a dead server.
func (s *site) read() {
	if len(s.onWay) == 0 {
		return
	}
	i := s.rng.IntN(len(s.onWay))
	c := s.onWay[i]
	s.onWay = slices.Delete(s.onWay, i, i+1)
	s.list.Apply([]Change{c}, s.now)
	s.known[c.Name] = true
	if dead := serverName(s.rng.IntN(s.lives + 1)); s.rng.IntN(3) == 0 && dead != serverName(s.lives) {
		s.list.Apply([]Change{{Name: dead}}, s.now)
	}
}

func (s *site) answer() {
	if len(s.sent) == 0 {
		return
	}
	i := s.rng.IntN(len(s.sent))
	s.list.RecordResponder(s.sent[i], s.itself[i])
	s.sent, s.itself = slices.Delete(s.sent, i, i+1), slices.Delete(s.itself, i, i+1)
}

// TestTheLivingServerIsNeverLost plays servers that follow each other at one address,
// entries and answers that come late and in any order, and lapses: at each moment the
// server that lives is listed, once its entry was read.
func TestTheLivingServerIsNeverLost(t *testing.T) {
	for seed := range uint64(400) {
		s := &site{rng: rand.New(rand.NewPCG(seed, seed)), list: newList(), now: start, known: map[string]bool{}}
		for range 150 {
			s.step()
			if name := serverName(s.lives); s.known[name] && !s.list.has(name) {
				t.Fatalf("seed %d: %s lives, listed are %q", seed, name, s.list.listed())
			}
		}
	}
}
