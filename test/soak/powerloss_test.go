package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// unpowered are the IPs of hosts without power, as a daemon of the test sees them: a new connection to
// one of them gets no answer. Those that are open are silent because the process there is stopped.
type unpowered struct {
	mu  sync.Mutex
	ips []string
}

func (u *unpowered) set(ips []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ips = ips
}

func (u *unpowered) has(ip string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Contains(u.ips, ip)
}

// dial opens a connection over the network, unless the host has no power.
func (u *unpowered) dial(ctx context.Context, address string) (net.Conn, error) {
	if ip, _, err := net.SplitHostPort(address); err == nil && u.has(ip) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded}
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Times of a day of power losses.
const (
	lossInterval   = 12 * time.Second
	lossShare      = 0.6 // of the daemons
	lossDomains    = 3   // failure domains
	lossBegin      = 6 * time.Second
	minOff         = 3 * time.Second
	maxOff         = 6 * time.Second
	routeDelay     = 100 * time.Millisecond // from a loss to an added and a dropped route
	revokeDelay    = 300 * time.Millisecond // from a loss to a revoked key
	removalDelay   = 3 * time.Second        // from a server's word that it leaves to its end
	leavingServers = 2
	calmAfter      = 3 * time.Second // after the start of a daemon
	lossCallers    = 2               // at each daemon
	lossPause      = 100 * time.Millisecond
	lossPatience   = 5 * time.Second // of a caller whose daemon has lost power
	smallSite      = 8               // daemons up to which changes must be in force within defaultWithin
	largeWithin    = 3 * time.Second // the bound of larger sites
)

// lossDay is a day on which many daemons lose power at once, several times, each beside servers that
// leave, changed routes and a revoked key.
type lossDay struct {
	*rig
	losses int
	rng    *rand.Rand

	lossMu  sync.Mutex
	off     map[*daemon]bool
	outages map[string][]outage // by daemon
}

// outage is a period in which a daemon has no power or has just started.
type outage struct{ from, to time.Time }

func newLossDay(t *testing.T, seed uint64, daemons, losses int) *lossDay {
	p := scenario{
		seed: seed, daemons: daemons, servers: max(4, daemons/3), domains: lossDomains, daemonDomains: lossDomains, direct: true, powerLoss: true,
		logPrefix: fmt.Sprintf("loss%d-", seed),
	}
	if daemons > smallSite {
		p.within = largeWithin
	}
	return &lossDay{rig: newRig(t, p), losses: losses, rng: rand.New(rand.NewPCG(seed, 13)), off: map[*daemon]bool{}, outages: map[string][]outage{}}
}

// recordStored records the acknowledgement of a put.
func (h *history) recordStored(r report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stored[r.ID] = time.Unix(0, r.At)
}

func settingsName(version int) string  { return fmt.Sprintf("settings %d", version) }
func leavingName(server string) string { return "leaving " + server }

// addedRoute returns the name of the route that versions n and n+1 of the settings have.
func addedRoute(n int) string { return fmt.Sprintf("added-%d", n) }

// publish writes the next version of the settings. It allows the keys, and has the added routes, of
// itself and of the one before.
func (l *lossDay) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.history.recordSettings(l.version)
	routes := ""
	for n := l.version - 1; n <= l.version; n++ {
		routes += fmt.Sprintf(`{"name":%[1]q,"host":"h","path_prefix":"/%[1]s/","kind":"idempotent","timeout_ms":4000,"service":"shop","max_attempts":2},`, addedRoute(n))
	}
	text := strings.Replace(standin.SettingsText(l.version, maxAttempts, customers(l.version)...), `"routes":[`, `"routes":[`+routes, 1)
	l.sendCommand(l.store, command{Op: "put", Name: settingsName(l.version), Stream: standin.Settings, Key: standin.SettingsKey, Value: text})
}

// losePower stops daemons without a sign to the others and starts them again cold.
func (l *lossDay) losePower(lost []*daemon, lasts time.Duration) {
	from := time.Now()
	l.setOff(lost, true)
	for _, d := range lost {
		d.proc.signal(syscall.SIGSTOP)
	}
	time.Sleep(lasts)
	for _, d := range lost {
		d.proc.kill()
		l.startDaemon(d)
	}
	l.setOff(lost, false)
	l.lossMu.Lock()
	defer l.lossMu.Unlock()
	for _, d := range lost {
		l.outages[d.name] = append(l.outages[d.name], outage{from, time.Now().Add(calmAfter)})
	}
}

// setOff records which daemons have no power and tells all others.
func (l *lossDay) setOff(daemons []*daemon, off bool) {
	l.lossMu.Lock()
	defer l.lossMu.Unlock()
	for _, d := range daemons {
		l.off[d] = off
	}
	var ips []string
	for d, off := range l.off {
		if ip, _, err := net.SplitHostPort(d.front); off && err == nil {
			ips = append(ips, ip)
		}
	}
	for _, d := range l.daemons {
		l.sendCommand(d.proc, command{Op: "unpowered", List: ips})
	}
}

func (l *lossDay) isOff(d *daemon) bool {
	l.lossMu.Lock()
	defer l.lossMu.Unlock()
	return l.off[d]
}

// leave has a server leave by the word of its entry, and starts its successor later.
func (l *lossDay) leave(s *server) {
	l.mu.Lock()
	id := s.id()
	s.leaving = true
	s.seq++
	l.sendCommand(l.store, command{Op: "put", Name: leavingName(id), Stream: standin.Servers, Key: id, Value: s.entry().Text()})
	l.mu.Unlock()
	time.Sleep(removalDelay)
	s.proc.kill()
	l.startServer(s)
}

// play runs the losses.
func (l *lossDay) play() {
	var all sync.WaitGroup
	start := time.Now().Add(lossBegin)
	for n := range l.losses {
		time.Sleep(time.Until(start.Add(time.Duration(n) * lossInterval)))
		var lost []*daemon
		for _, i := range l.rng.Perm(len(l.daemons))[:int(math.Ceil(lossShare*float64(len(l.daemons))))] {
			lost = append(lost, l.daemons[i])
		}
		lasts := minOff + time.Duration(l.rng.Int64N(int64(maxOff-minOff)))
		all.Go(func() { l.losePower(lost, lasts) })
		for _, i := range l.rng.Perm(len(l.servers))[:leavingServers] {
			all.Go(func() { l.leave(l.servers[i]) })
		}
		time.Sleep(routeDelay)
		l.publish()
		time.Sleep(revokeDelay - routeDelay)
		l.publish()
	}
	all.Wait()
	time.Sleep(lossInterval / 2)
}

// call sends requests to one daemon over kept connections until the context ends: with the newest key
// and route, with those that were removed, plain ones, and streams, some of them long.
func (l *lossDay) call(ctx context.Context, c *caller) {
	c.client.Timeout = lossPatience
	for ctx.Err() == nil {
		if l.isOff(c.d) {
			time.Sleep(lossPause)
			continue
		}
		version := l.history.newestVersion()
		switch n := c.rng.IntN(10); {
		case n < 2:
			c.send(addedRoute(version), "", version)
		case n < 4:
			c.send(addedRoute(version-c.rng.IntN(4)), "", version-1)
		case n < 6:
			c.send(kindOnce, c.workQuery(), version-c.rng.IntN(4))
		case n < 8:
			c.send(kindAgain, c.workQuery(), version)
		default:
			c.send(kindStream, "stream=1&"+c.workQuery(), version)
		}
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(lossPause)))
	}
}

// calm reports whether a daemon had power, and had long started, throughout a span of time.
func (l *lossDay) calm(daemon string, from, to time.Time) bool {
	return !slices.ContainsFunc(l.outages[daemon], func(o outage) bool { return o.from.Before(to) && o.to.After(from) })
}

// allowedBy reports whether some, and whether all, versions of the settings from first to last allow
// the key of version k; the same holds for its route.
func allowedBy(k, first, last int) (some, all bool) {
	all = true
	for n := first; n <= last; n++ {
		allows := k == n || k == n-1
		some, all = some || allows, all && allows
	}
	return some, all
}

// versionsFor returns the oldest and the newest version of the settings that may be in force for a
// request.
func (l *lossDay) versionsFor(o outcome) (oldest, newest int) {
	for n := 1; n <= l.version; n++ {
		if at, ok := l.history.stored[settingsName(n)]; ok && at.Add(l.within).Before(o.sent) {
			oldest = n
		}
		if l.history.written[n].Before(o.done) {
			newest = n
		}
	}
	return oldest, newest
}

// check returns the promises that calm daemons broke, judged by the store's acknowledgements.
func (l *lossDay) check() []finding {
	h := l.history
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []finding
	add := func(check, format string, args ...any) {
		found = append(found, finding{check, fmt.Sprintf(format, args...)})
	}
	for _, o := range h.outcomes {
		h.checkRuns(o, add)
		if !l.calm(o.daemon, o.sent, o.done) {
			continue
		}
		l.checkSettingsOf(o, add)
		for _, r := range h.runs[o.id] {
			if left, ok := h.stored[leavingName(r.server)]; ok && r.at.After(left.Add(l.within)) {
				add("nothing new for a server that leaves", "%s (%s) reached %s %s after the store's acknowledgement", o.id, o.kind, r.server, r.at.Sub(left))
			}
		}
	}
	return found
}

func (l *lossDay) checkSettingsOf(o outcome, add findingFunc) {
	oldest, newest := l.versionsFor(o)
	someKey, allKey := allowedBy(o.key, oldest, newest)
	someRoute, allRoute := true, true
	var n int
	if _, err := fmt.Sscanf(o.kind, "added-%d", &n); err == nil {
		someRoute, allRoute = allowedBy(n, oldest, newest)
	}
	refused := o.status == http.StatusUnauthorized || o.status == http.StatusNotFound
	ran := len(l.history.runs[o.id]) > 0
	switch {
	case refused && allKey && allRoute:
		add("settings are in force in time", "%s (%s) got %d with the key of %d, which versions %d to %d allow", o.id, o.kind, o.status, o.key, oldest, newest)
	case ran && !(someKey && someRoute):
		add("settings are in force in time", "%s (%s) ran with the key of %d, which versions %d to %d do not allow", o.id, o.kind, o.key, oldest, newest)
	}
}

// summary tells what the day was, and how close to the bounds it came.
func (l *lossDay) summary() string {
	h := l.history
	h.mu.Lock()
	defer h.mu.Unlock()
	calm, late, stale := 0, time.Duration(0), time.Duration(0)
	byStatus := map[int]int{}
	for _, o := range h.outcomes {
		if !l.calm(o.daemon, o.sent, o.done) {
			continue
		}
		calm++
		byStatus[o.status]++
		if at, ok := h.stored[settingsName(o.key)]; ok && o.status == http.StatusUnauthorized && o.key >= l.versionAt(o.sent)-1 {
			stale = max(stale, o.sent.Sub(at))
		}
		for _, r := range h.runs[o.id] {
			if left, ok := h.stored[leavingName(r.server)]; ok && r.at.After(left) {
				late = max(late, r.at.Sub(left))
			}
		}
	}
	return fmt.Sprintf("%d requests, %d at calm daemons (by status %v); after a server's word the last request reached it %s later, after a key was added it was last refused %s later, both allowed for %s",
		len(h.outcomes), calm, byStatus, late.Round(time.Millisecond), stale.Round(time.Millisecond), l.within)
}

// versionAt returns the newest version of the settings that the store had acknowledged at a time.
func (l *lossDay) versionAt(at time.Time) int {
	newest := 0
	for n := 1; n <= l.version; n++ {
		if stored, ok := l.history.stored[settingsName(n)]; ok && stored.Before(at) {
			newest = n
		}
	}
	return newest
}

// TestPowerLoss guards against daemons that act on old settings or on an old list of servers while most
// others have lost power (review/2): real processes, whose hosts answer nothing on open and on new
// connections, and start cold.
func TestPowerLoss(t *testing.T) {
	t.Parallel()
	for i := range *flagSeeds {
		seed := *flagSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l := newLossDay(t, seed, *flagLossDaemons, *flagLosses)
			if !l.eventually(recoveryWait, l.allListen) {
				t.Fatal("the daemons do not listen")
			}
			l.publish()
			l.publish()
			time.Sleep(l.within)
			ctx, cancel := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			for _, d := range l.daemons {
				for n := range lossCallers {
					callers.Go(func() { l.call(ctx, l.newCaller(d, n, seed)) })
				}
			}
			l.play()
			cancel()
			callers.Wait()
			t.Logf("seed %d, %d daemons, %d losses: %s", seed, len(l.daemons), l.losses, l.summary())
			for _, f := range l.check() {
				t.Errorf("seed %d: %s", seed, f)
			}
		})
	}
}
