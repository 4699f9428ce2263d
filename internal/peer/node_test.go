package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
	"github.com/buckthorndock/buckthorndock/internal/platform"
)

const (
	testKey   = "a key for tests, long enough"
	testLimit = 30 * time.Second // longest wait for a condition
)

func testOptions(host, domain string) Options {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Options{
		Host: host, Domain: domain, Region: "r", Incarnation: 1, Listen: "127.0.0.1:0", Key: testKey,
		Interval: 20 * time.Millisecond, TestFaults: true, Logger: logrus.NewEntry(log),
		BackoffMin: 10 * time.Millisecond, BackoffMax: 50 * time.Millisecond,
		Membership: membership.Config{
			HeartbeatInterval: 40 * time.Millisecond, SuspectAfter: 600 * time.Millisecond, DeadAfter: 1200 * time.Millisecond,
			RemoteFactor: 2, RemoteQuantum: 2, ProbeInterval: 100 * time.Millisecond, GatewayInterval: 60 * time.Millisecond,
		},
	}
}

func newNode(t *testing.T, o Options) *Node {
	t.Helper()
	n, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// start runs a node until the test ends or the returned function is called.
func start(t *testing.T, n *Node) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func startSite(t *testing.T, domains ...string) []*Node {
	t.Helper()
	var nodes []*Node
	for i, d := range domains {
		o := testOptions(fmt.Sprintf("h%02d", i), d)
		if i > 0 {
			o.Seeds = []string{nodes[0].Addr()}
		}
		n := newNode(t, o)
		nodes = append(nodes, n)
		start(t, n)
	}
	return nodes
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("did not happen: %s", what)
}

// inState returns the number of members of a domain that a node sees in a state.
func inState(n *Node, domain string, state membership.State) int {
	count := 0
	for _, m := range n.Members() {
		if m.Domain == domain && m.State == state {
			count++
		}
	}
	return count
}

// allSee returns a condition: each node sees count members of a domain in a state.
func allSee(nodes []*Node, domain string, state membership.State, count int) func() bool {
	return func() bool {
		for _, n := range nodes {
			if inState(n, domain, state) != count {
				return false
			}
		}
		return true
	}
}

// echo is a service for tests.
type echo struct {
	calls atomic.Int32
	hold  chan struct{} // Wait returns when it is closed
}

func (e *echo) Say(word string, reply *string) error {
	e.calls.Add(1)
	if word == "" {
		return errors.New("nothing said")
	}
	*reply = word
	return nil
}

func (e *echo) Wait(_ string, reply *string) error {
	<-e.hold
	*reply = "late"
	return nil
}

// startEcho runs a node that serves an echo, registered as "Echo".
func startEcho(t *testing.T, o Options) (*Node, *echo) {
	t.Helper()
	e := &echo{hold: make(chan struct{})}
	n := newNode(t, o)
	if err := n.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	start(t, n)
	return n, e
}

// callEcho calls Echo.Say at an address and checks the reply.
func callEcho(n *Node, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	var reply string
	err := n.Call(ctx, address, "Echo.Say", "x", &reply)
	if err == nil && reply != "x" {
		return errors.New("wrong reply " + reply)
	}
	return err
}

func TestSiteConvergesAndSpreadsSections(t *testing.T) {
	nodes := startSite(t, "a", "a", "a", "b", "b", "b", "c", "c")
	for domain, count := range map[string]int{"a": 3, "b": 3, "c": 2} {
		eventually(t, "all live in "+domain, allSee(nodes, domain, membership.Live, count))
	}
	if err := nodes[0].Publish("local", []byte("n")); err != nil {
		t.Fatal(err)
	}
	if err := nodes[0].PublishWide("wide", []byte("f")); err != nil {
		t.Fatal(err)
	}
	for _, n := range nodes {
		eventually(t, "wide section at "+n.Self().Host, func() bool { return len(n.Sections("wide")) == 1 })
	}
	for _, n := range nodes[1:3] {
		eventually(t, "section at "+n.Self().Host, func() bool { return len(n.Sections("local")) == 1 })
	}
	if got := nodes[1].Sections("local")[0]; string(got.Data) != "n" || got.Host != "h00" || got.Domain != "a" {
		t.Errorf("section is %+v", got)
	}
	for _, n := range nodes[3:] {
		if len(n.Sections("local")) != 0 {
			t.Errorf("%s has a section of another domain", n.Self().Host)
		}
	}
	owner, _ := nodes[0].Owner("engine-7")
	for _, n := range nodes {
		if o, ok := n.Owner("engine-7"); !ok || o.Host != owner.Host {
			t.Errorf("%s has owner %s, want %s", n.Self().Host, o.Host, owner.Host)
		}
	}
}

func TestLeaveSpreadsToAllDomains(t *testing.T) {
	nodes := startSite(t, "a", "a", "a", "b", "b")
	eventually(t, "all live in a", allSee(nodes, "a", membership.Live, 3))
	eventually(t, "all live in b", allSee(nodes, "b", membership.Live, 2))
	if err := nodes[1].Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "leave known", allSee(nodes, "a", membership.Leaving, 1))
	if got := nodes[1].Self().State; got != membership.Leaving {
		t.Errorf("the leaving host sees itself %s", got)
	}
	for _, m := range nodes[0].LocalRank("key", 9) {
		if m.Host == "h01" {
			t.Error("a leaving host is ranked")
		}
	}
}

func TestCutAndHealBetweenDomains(t *testing.T) {
	nodes := startSite(t, "a", "a", "b", "b")
	a, b := nodes[:2], nodes[2:]
	eventually(t, "b live at a", allSee(a, "b", membership.Live, 2))
	eventually(t, "a live at b", allSee(b, "a", membership.Live, 2))
	for _, n := range a {
		if err := n.SetCut([]string{"b"}); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "b dead at a", allSee(a, "b", membership.Dead, 2))
	eventually(t, "a dead at b", allSee(b, "a", membership.Dead, 2))
	if !allSee(a, "a", membership.Live, 2)() || !allSee(b, "b", membership.Live, 2)() {
		t.Error("the cut reached into a domain")
	}
	if err := callEcho(nodes[0], b[0].Addr()); !errors.Is(err, ErrCut) || !NotSent(err) {
		t.Errorf("call over the cut: %v", err)
	}
	for _, n := range a {
		if err := n.SetCut(nil); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "b back at a", allSee(a, "b", membership.Live, 2))
	eventually(t, "a back at b", allSee(b, "a", membership.Live, 2))
}

func TestHostListFindsPeersAndMayFail(t *testing.T) {
	first := newNode(t, testOptions("first", "a"))
	start(t, first)
	var down atomic.Bool
	o := testOptions("second", "a")
	o.ListEvery = 20 * time.Millisecond
	o.HostList = func(context.Context) ([]platform.Host, error) {
		if down.Load() {
			return nil, errors.New("platform is down")
		}
		return []platform.Host{
			{Name: "first", Kind: platform.HostEntry, Domain: "a", Address: first.Addr(), State: platform.HostLive},
			{Name: "engine", Kind: platform.HostUpstream, Domain: "a", Address: "127.0.0.1:1", State: platform.HostLive},
		}, nil
	}
	second := newNode(t, o)
	start(t, second)
	both := []*Node{first, second}
	eventually(t, "both live", allSee(both, "a", membership.Live, 2))
	down.Store(true)
	version := second.Members()[0].Version
	eventually(t, "heartbeats go on without the list", func() bool { return second.Members()[0].Version > version+5 })
	if !allSee(both, "a", membership.Live, 2)() {
		t.Error("a list that is down changed the view")
	}
}

func TestFaultsNeedTestFaultsOption(t *testing.T) {
	o := testOptions("h", "a")
	o.TestFaults = false
	n := newNode(t, o)
	if err := n.SetCut([]string{"b"}); !errors.Is(err, ErrTestFaultsDisabled) {
		t.Errorf("SetCut: %v", err)
	}
	if err := n.SilenceConnections(); !errors.Is(err, ErrTestFaultsDisabled) {
		t.Errorf("SilenceConnections: %v", err)
	}
}

func TestBadOptions(t *testing.T) {
	for name, invalidate := range map[string]func(*Options){
		"no host":      func(o *Options) { o.Host = "" },
		"no domain":    func(o *Options) { o.Domain = "" },
		"short key":    func(o *Options) { o.Key = "short" },
		"host name":    func(o *Options) { o.Listen = "localhost:0" },
		"any address":  func(o *Options) { o.Listen = "0.0.0.0:0" },
		"seed by name": func(o *Options) { o.Seeds = []string{"peer:1"} },
		"invalid port": func(o *Options) { o.Listen = "127.0.0.1:99999" },
	} {
		o := testOptions("h", "a")
		invalidate(&o)
		if n, err := New(o); err == nil {
			n.Close()
			t.Errorf("%s: no error", name)
		}
	}
}
