package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/edge"
	"github.com/buckthorndock/buckthorndock/internal/netfault"
	"github.com/buckthorndock/buckthorndock/platform"
)

// partition is a period in which some daemons reached no server.
type partition struct {
	daemons  []string
	from, to time.Time
}

// Bounds of what partitioned daemons serve, from partitionDelay after the last change of which
// daemons are: first tries there are served at least minServedRatio as often as those at the others.
const (
	partitionDelay = 3 * time.Second
	minServedRatio = 2.0 / 3
	// toleratedFailures, and toleratedShare of all first tries, may fail whatever the ratio is.
	toleratedFailures = 10
	toleratedShare    = 1.0 / 50
)

// Times of partitions. Most last long enough for the bounds to apply.
const (
	partitionInterval = 5 * time.Second
	minPartition      = time.Second
	maxPartition      = 8 * time.Second
)

var partitionFaults = []netfault.Fault{netfault.Hang, netfault.Reset, netfault.Refuse}

// drawPartitions returns partitions of one to all but one of the daemons.
func drawPartitions(seed uint64, length time.Duration, daemons int) []disruption {
	return drawEach(seed, 10, partitionInterval, length, func(rng *rand.Rand) disruption {
		return disruption{
			kind: partitionDaemons, target: rng.IntN(daemons), count: 1 + rng.IntN(daemons-1),
			param:    string(partitionFaults[rng.IntN(len(partitionFaults))]),
			duration: minPartition + time.Duration(rng.Int64N(int64(maxPartition-minPartition))),
		}
	})
}

// partitioned returns the daemons that a disruption partitions, in the order of the rig.
func (r *rig) partitioned(dis disruption) []*daemon {
	var some []*daemon
	for i, d := range r.daemons {
		if (i-dis.target+len(r.daemons))%len(r.daemons) < dis.count {
			some = append(some, d)
		}
	}
	return some
}

func daemonNames(daemons []*daemon) []string {
	var names []string
	for _, d := range daemons {
		names = append(names, d.name)
	}
	return names
}

// partition has the connections of some daemons to servers fail for the duration of a disruption.
func (r *rig) partition(dis disruption) {
	some := r.partitioned(dis)
	p := partition{from: time.Now(), daemons: daemonNames(some)}
	r.setPaths(some, netfault.Fault(dis.param))
	time.Sleep(dis.duration)
	p.to = time.Now()
	r.setPaths(some, netfault.None)
	r.history.addPartition(p)
}

// setPaths sets the fault of the connections of some daemons to servers.
func (r *rig) setPaths(daemons []*daemon, f netfault.Fault) {
	for _, d := range daemons {
		r.sendCommand(d.proc, command{Op: "fault", Fault: string(f)})
	}
}

func (h *history) addPartition(p partition) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitions = append(h.partitions, p)
}

// tally counts requests.
type tally struct{ served, all int }

func (t *tally) add(o outcome) {
	t.all++
	if o.status == http.StatusOK && o.failed == nil {
		t.served++
	}
}

// stablePartitions returns the periods in which the same daemons were partitioned. Those of
// h.partitions may overlap, and a daemon of one is none of the others of another.
func (h *history) stablePartitions() []partition {
	var changes []time.Time
	for _, p := range h.partitions {
		changes = append(changes, p.from, p.to)
	}
	slices.SortFunc(changes, time.Time.Compare)
	var stable []partition
	for i := 1; i < len(changes); i++ {
		s := partition{from: changes[i-1], to: changes[i]}
		for _, p := range h.partitions {
			if !p.from.After(s.from) && !p.to.Before(s.to) {
				s.daemons = append(s.daemons, p.daemons...)
			}
		}
		if len(s.daemons) > 0 {
			stable = append(stable, s)
		}
	}
	return stable
}

// checkPartitions checks that partitioned daemons serve their callers much as the others do, where
// nothing else is at fault. Where all are partitioned, there is nothing to compare.
func (h *history) checkPartitions(add findingFunc) {
	for _, p := range h.stablePartitions() {
		from := p.from.Add(partitionDelay)
		if h.disruptedBy(from, p.to, func(s *span) bool { return s.kind != partitionDaemons }) {
			continue
		}
		var there, elsewhere tally
		for _, o := range h.outcomes {
			if o.abandoned || o.sent.Before(from) || o.done.After(p.to) {
				continue
			}
			if slices.Contains(p.daemons, o.daemon) {
				there.add(o)
			} else {
				elsewhere.add(o)
			}
		}
		failed := there.all - there.served + elsewhere.all - elsewhere.served
		tolerated := toleratedFailures + toleratedShare*float64(there.all+elsewhere.all)
		if float64(failed) > tolerated && float64(there.served*elsewhere.all) < minServedRatio*float64(elsewhere.served*there.all) {
			add("partitioned daemons serve through others", "%v served %d of %d, the others %d of %d", p.daemons, there.served, there.all, elsewhere.served, elsewhere.all)
		}
	}
}

// TestPartitionedDaemonsAreNotComparedWithEachOther guards against findings, and against partitions
// that are not checked, where partitions overlap.
func TestPartitionedDaemonsAreNotComparedWithEachOther(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	serves := func(h *history, daemon string, status, from, to int) {
		for s := from; s < to; s++ {
			for range 20 {
				h.outcomes = append(h.outcomes, outcome{daemon: daemon, status: status, sent: at(s), done: at(s).Add(time.Second / 2)})
			}
		}
	}
	for _, c := range []struct {
		name             string
		statusWhileOther int // of d1, which is partitioned from 0 to 20, while d2 is, from 10 to 30
		daemons          []string
		want             int
	}{
		{"all daemons", http.StatusServiceUnavailable, []string{"d1", "d2"}, 0},
		{"another one reaches servers", http.StatusServiceUnavailable, []string{"d1", "d2", "d3"}, 1},
		{"another one reaches servers, and they are served through it", http.StatusOK, []string{"d1", "d2", "d3"}, 0},
	} {
		h := newHistory()
		h.partitions = []partition{{[]string{"d1"}, at(0), at(20)}, {[]string{"d2"}, at(10), at(30)}}
		for _, d := range c.daemons {
			serves(h, d, http.StatusOK, 0, 10)
			status := http.StatusOK
			if d != "d3" {
				status = c.statusWhileOther
			}
			serves(h, d, status, 10, 20)
			serves(h, d, http.StatusOK, 20, 30)
		}
		found := 0
		h.checkPartitions(func(string, string, ...any) { found++ })
		if found != c.want {
			t.Errorf("%s: %d findings, want %d", c.name, found, c.want)
		}
	}
}

// runDaemon runs a daemon as its binary does, but its connections to servers fail on command. They
// are all at the IP address ip.
func runDaemon(ip, file string) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cfg, err := edge.LoadConfig(file)
	if err != nil {
		panic(err)
	}
	network := edge.NewUpstreamDialer()
	links := netfault.New(network)
	cfg.DialUpstream = func(ctx context.Context, address string) (net.Conn, error) {
		if host, _, err := net.SplitHostPort(address); err == nil && host == ip {
			return links.Dial(ctx, address)
		}
		return network(ctx, address)
	}
	var off unpowered
	cfg.DialPeer = off.dial
	go readCommands(func(c command) {
		if c.Op == "unpowered" {
			off.set(c.List)
			return
		}
		links.Set(netfault.Fault(c.Fault))
	})
	log := logrus.New()
	log.SetOutput(os.Stdout)
	if err := edge.Run(ctx, cfg, platform.Provider{}, reloads, log.WithField("host", cfg.Host)); err != nil {
		panic(err)
	}
}

// daemonCommand returns the command that starts a daemon. In a scenario with partitions or losses of
// power it is one that obeys the test.
func (r *rig) daemonCommand(d *daemon) (cmd *exec.Cmd, in *json.Encoder) {
	if !r.partitions && !r.powerLoss {
		return exec.Command(daemonBinary, "edge", "--config", d.file), nil
	}
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleEnv+"=daemon", "SOAK_IP="+r.ip+"1", "SOAK_TO="+d.file)
	pipe, err := cmd.StdinPipe()
	if err != nil {
		r.t.Fatal(err)
	}
	return cmd, json.NewEncoder(pipe)
}

// TestSoakOfPartitions has daemons lose their paths to all servers, alone, where what their callers
// get is compared, and beside the disruptions of TestSoak.
func TestSoakOfPartitions(t *testing.T) {
	t.Parallel()
	length := time.Duration(*flagMinutes * float64(time.Minute))
	for i := range *flagSeeds {
		seed := *flagSeed + uint64(i)
		p := scenario{seed: seed, length: length, daemons: *flagDaemons, servers: *flagServers, partitions: true, recovery: recoveryWait}
		p.plan = drawPartitions(seed, length, p.daemons)
		t.Run(fmt.Sprintf("%d/alone", seed), func(t *testing.T) { reportFindings(t, p, p.run(t)) })
		p.plan = append(p.plan, drawDisruptions(seed, length, p.daemons, 2*p.servers)...)
		p.sortPlan()
		t.Run(fmt.Sprintf("%d/beside others", seed), func(t *testing.T) { reportFindings(t, p, p.run(t)) })
	}
}
