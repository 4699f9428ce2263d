package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/cost"
	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/notice"
	"github.com/buckthorndock/buckthorndock/internal/core/reach"
	"github.com/buckthorndock/buckthorndock/internal/core/retry"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/core/speed"
	"github.com/buckthorndock/buckthorndock/internal/paths"
	"github.com/buckthorndock/buckthorndock/internal/suspects"
)

// script is a Sender that answers the attempts of a test with its steps in turn.
type script struct {
	mu           sync.Mutex
	steps        []func(ctx context.Context, a Attempt) (*Answer, error)
	sent         []Attempt
	leases       map[string]bool
	reserveCalls int
	identities   map[string]Identity // of the servers that answer, by the name of the upstream at the address
	closes       []string            // names of the upstreams whose connections are closed without an answer

	unused      bool // the reports show no lease in use
	reports     int  // calls of Report
	unreachable int  // number of initial Report calls that fail
	noLeases    bool // the reports list no lease
	born        int64
	noRenewals  bool // reservations after the first fail
}

func (s *script) Send(ctx context.Context, a Attempt) (*Answer, error) {
	s.mu.Lock()
	n := len(s.sent)
	s.sent = append(s.sent, a)
	s.mu.Unlock()
	if n >= len(s.steps) {
		return nil, &Failure{End: retry.NotWritten, Err: merry.New("the script has no more steps")}
	}
	return s.steps[n](ctx, a)
}

func (s *script) Reserve(_ context.Context, on booking.Part, _ time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserveCalls++
	if s.noRenewals && s.leases[on.Lease] {
		return merry.New("scripted")
	}
	s.leases[on.Lease] = true
	return nil
}

func (s *script) Release(_ context.Context, on booking.Part) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, on.Lease)
	return nil
}

func (s *script) Report(_ context.Context, on booking.Part) (Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
	if s.unreachable >= s.reports {
		return Report{}, merry.New("scripted")
	}
	r := Report{Born: s.born, Leases: map[string]bool{}}
	if !s.noLeases {
		r.Leases[on.Lease] = !s.unused
	}
	return r, nil
}

func (s *script) Identify(_ context.Context, u fleet.Upstream, _ bool) (Identity, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, known := s.identities[u.Name]; known {
		return id, nil
	}
	if slices.Contains(s.closes, u.Name) {
		return Identity{}, ErrClosed
	}
	return Identity{}, merry.New("scripted")
}

func (s *script) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.leases)
}

func fail(end retry.End) func(context.Context, Attempt) (*Answer, error) {
	return func(context.Context, Attempt) (*Answer, error) {
		return nil, &Failure{End: end, Err: merry.New("scripted")}
	}
}

// hang does not answer until the attempt is cancelled.
func hang(ctx context.Context, _ Attempt) (*Answer, error) {
	<-ctx.Done()
	return nil, &Failure{End: retry.Broken, Err: ctx.Err()}
}

func answer(status int, body string) func(context.Context, Attempt) (*Answer, error) {
	return answerFrom(status, strings.NewReader(body))
}

func answerFrom(status int, body io.Reader) func(context.Context, Attempt) (*Answer, error) {
	return func(context.Context, Attempt) (*Answer, error) {
		return &Answer{
			Head:  Head{Status: status, Header: http.Header{"X-From": {"upstream"}}, Length: -1},
			Body:  body,
			Close: func() {},
		}, nil
	}
}

// brokenReader is a body that ends with an error after some text.
type brokenReader struct{ io.Reader }

func brokenBody(text string) io.Reader { return brokenReader{strings.NewReader(text)} }

func (b brokenReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// recordingSink is a Sink that records the answer.
type recordingSink struct {
	status int
	length int64 // that the head tells; -1: none
	body   strings.Builder
	heads  int
}

func (r *recordingSink) Head(h Head) error {
	r.status, r.length = h.Status, h.Length
	r.heads++
	return nil
}

func (r *recordingSink) Body(p []byte, _ bool) error {
	r.body.Write(p)
	return nil
}

// fakePlanner returns the plans of a test in turn, and then the last one repeatedly.
type fakePlanner struct {
	mu           sync.Mutex
	plans        []booking.Plan
	asks         []booking.Request
	open         map[string]bool
	onAsk        func(n int)
	turns        map[string]time.Duration // waits for turns at upstreams; zero if missing
	grantedTurns []string                 // upstreams at which turns were granted
	turnRequests int
	// onAdmit is called when a turn at an upstream is requested.
	onAdmit func(upstream string)
	fakeSlots
	samples []speed.Sample // observed speeds of engines
}

func (f *fakePlanner) Place(_ context.Context, a booking.Request) booking.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.asks)
	f.asks = append(f.asks, a)
	if f.onAsk != nil {
		f.onAsk(n)
	}
	p := f.plans[min(n, len(f.plans)-1)]
	if p.Verdict == booking.Booked {
		f.open[a.ID] = true // the book contains booked attempts only
	}
	return p
}

func (f *fakePlanner) FirstEvent(string) {}

func (f *fakePlanner) ObserveSpeed(upstream string, expected, observed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.samples = append(f.samples, speed.Sample{Upstream: upstream, Expected: expected, Observed: observed})
}

func (f *fakePlanner) Admit(_ context.Context, l notice.Limit, within time.Duration) (time.Duration, bool) {
	if f.onAdmit != nil {
		f.onAdmit(l.Upstream)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turnRequests++
	wait := f.turns[l.Upstream]
	if wait > within {
		return wait, false
	}
	f.grantedTurns = append(f.grantedTurns, l.Upstream)
	return wait, true
}

func (f *fakePlanner) End(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, id)
}

// fakeBalancer returns the first server that is not excluded.
type fakeBalancer struct {
	servers []string
	samples *[]speed.Sample // observed speeds of servers; nil: not recorded
}

func (f fakeBalancer) ObserveSpeed(u fleet.Upstream, objective, observed time.Duration) {
	if f.samples != nil {
		*f.samples = append(*f.samples, speed.Sample{Upstream: u.ID, Expected: objective, Observed: observed})
	}
}

func (f fakeBalancer) Pick(service string, exclude []string) (fleet.Upstream, func(), bool) {
	for _, id := range f.servers {
		excluded := false
		for _, x := range exclude {
			excluded = excluded || x == id
		}
		if !excluded {
			return fleet.Upstream{ID: id, Service: service, Address: "127.0.0.1:1"}, func() {}, true
		}
	}
	return fleet.Upstream{}, nil, false
}

type fixture struct {
	relay   *Relay
	script  *script
	planner *fakePlanner
	listMu  sync.Mutex // held while a request of the test may use list
	list    *fleet.List
	dead    map[string]bool // addresses at which nobody listens
	// probe tries to connect to an address; by default it fails at those in dead.
	probe func(ctx context.Context, address string) error
}

func (f *fixture) snapshot() *fleet.Snapshot {
	f.listMu.Lock()
	defer f.listMu.Unlock()
	return f.list.Snapshot()
}

// dial opens a connection by probe.
func (f *fixture) dial(ctx context.Context, address string) (net.Conn, error) {
	if err := f.probe(ctx, address); err != nil {
		return nil, err
	}
	conn, other := net.Pipe()
	_ = other.Close()
	return conn, nil
}

// domainOf returns the failure domain of the upstream at an address.
func (f *fixture) domainOf(address string) string {
	for _, u := range f.relay.opts.Upstreams().Upstreams {
		if u.Address == address {
			return u.Domain
		}
	}
	return ""
}

func newFixture(t *testing.T, steps ...func(context.Context, Attempt) (*Answer, error)) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{
		script:  &script{steps: steps, leases: map[string]bool{}},
		planner: &fakePlanner{open: map[string]bool{}},
		list:    fleet.New(fleet.Options{OutageAfter: time.Hour, ReturnGrace: time.Second}),
		dead:    map[string]bool{},
	}
	f.probe = func(_ context.Context, address string) error {
		if f.dead[address] {
			return syscall.ECONNREFUSED
		}
		return nil
	}
	f.relay = New(Options{
		Paths: paths.New(paths.Options{
			Dial:     f.dial,
			DomainOf: f.domainOf,
			Targets:  func(domain string) []string { return f.relay.ProbeTargets(domain) },
			OnChange: func(domain string, c reach.Change) int { return f.relay.PathChanged(domain, c) },
			Log:      logrus.NewEntry(log),
		}),
		Host:       "h1",
		Sender:     f.script,
		Planner:    f.planner,
		Suspects:   suspects.New("h1", logrus.NewEntry(log)),
		Notices:    NewNotices(Listeners{OnLimit: func(notice.Limit) {}}, logrus.NewEntry(log)),
		BodyMemory: NewBodyMemory(1 << 30),
		Balancer:   fakeBalancer{servers: []string{"s1", "s2", "s3"}},
		Upstreams:  f.snapshot,
		Budget: func() BudgetOptions {
			return BudgetOptions{Ratio: 1, Window: 10 * time.Second, Slack: 100, Hosts: 1}
		},
		Log: logrus.NewEntry(log),
	})
	return f
}

func plainRequest(kind route.Kind, patience time.Duration) *Request {
	now := time.Now()
	return &Request{
		ID:       "r1",
		Route:    &route.Route{Name: "plain", Kind: kind, MaxAttempts: 2, Objective: time.Minute},
		Service:  &route.Service{Name: "shop"},
		Arrived:  now,
		Deadline: now.Add(patience),
	}
}

func streamRequest(resumable bool) *Request {
	now := time.Now()
	return &Request{
		ID: "r1",
		Route: &route.Route{
			Name: "stream", Kind: route.Stream, Resumable: resumable, MaxAttempts: 2,
			Objective: time.Minute, GapObjective: time.Minute,
		},
		Service:      &route.Service{Name: "llm", Engine: &cost.Figures{Slots: 4}},
		PromptTokens: 100,
		MaxTokens:    10,
		Arrived:      now,
		Deadline:     now.Add(time.Minute),
	}
}

func onEngine(ids ...string) booking.Plan {
	p := booking.Plan{First: time.Millisecond}
	for _, id := range ids {
		p.Parts = append(p.Parts, booking.Part{Upstream: id, Address: id + ":1"})
	}
	return p
}

func entry(u fleet.Upstream) fleet.Change { return fleet.Change{Name: u.Name, Upstream: &u} }

func (f *fixture) listEngines(ids ...string) {
	var all []fleet.Change
	for _, id := range ids {
		all = append(all, entry(fleet.Upstream{Incarnation: fleet.Incarnation{Name: id}, Service: "llm", Address: id + ":1"}))
	}
	f.list.Replace(all, time.Now())
}
