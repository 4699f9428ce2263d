package owner

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
	"github.com/buckthorndock/buckthorndock/internal/standin"
)

const (
	waitLimit = 30 * time.Second
	pollEvery = 5 * time.Millisecond
	memory    = 10_000 // tokens of an engine
	model     = "m"
)

// site is a group of stand-in engines, and of hosts that call each other in memory.
type site struct {
	t        *testing.T
	engines  []Engine
	standins []*standin.Engine
	http     *HTTPEngines
	logger   *logrus.Logger

	mu        sync.Mutex
	hosts     []*testHost
	allOwnAll bool // each host acts as the owner of every engine
}

// testHost is one daemon with its owner and its front.
type testHost struct {
	site    *site
	name    string
	service *Service
	holder  *Holder
	rpc     *RPC
	cancel  context.CancelFunc
	done    sync.WaitGroup
	alive   bool
	digest  []byte // the last one that its service published
	ctx     context.Context
}

func newSite(t *testing.T, engines, hosts int) *site {
	s := &site{t: t, logger: logrus.New()}
	s.logger.SetOutput(io.Discard)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	s.http = NewHTTPEngines(&http.Client{Transport: transport}, time.Now)
	for i := range engines {
		s.addEngine(fmt.Sprintf("e%d", i))
	}
	for i := range hosts {
		s.addHost(fmt.Sprintf("h%d", i), "1")
	}
	return s
}

func (s *site) addEngine(name string) {
	e := standin.NewEngine(standin.EngineOptions{
		Name: name, Models: []string{model}, MemoryTokens: memory, PrefillTPS: 1e6,
		DecodeStep: 50 * time.Millisecond, BlockTokens: 16, LoadTime: 10 * time.Millisecond, ChecksFencing: true,
	})
	server, err := standin.Start(e)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Close)
	s.engines = append(s.engines, Engine{Name: name, Address: server.Address, Pool: "p"})
	s.standins = append(s.standins, e)
}

func (s *site) addHost(name, incarnation string) *testHost {
	h := &testHost{site: s, name: name, alive: true}
	h.service = New(Options{
		Engines:      s.http,
		Ownership:    h,
		Catalog:      func() []Engine { return s.engines },
		Publisher:    h,
		Log:          s.logger,
		Ledger:       ledger.Options{UnclaimedTimeout: 1500 * time.Millisecond, SilentTimeout: 3 * time.Second, StreamTimeout: 4 * time.Second, RetryEvery: 50 * time.Millisecond},
		LoadEvery:    50 * time.Millisecond,
		PublishEvery: 50 * time.Millisecond,
		BooksEvery:   50 * time.Millisecond,
		TickEvery:    20 * time.Millisecond,
	})
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.rpc = h.service.RPC(h.ctx)
	h.holder = NewHolder(HolderOptions{
		Self: ledger.Holder{Host: name, Incarnation: incarnation}, Engines: s.http, Peers: h, Ownership: h,
		Local: h.rpc, Log: s.logger, RenewEvery: 100 * time.Millisecond, RetryMin: 20 * time.Millisecond,
	})
	h.done.Go(func() { _ = h.service.Run(h.ctx) })
	h.done.Go(func() { _ = h.holder.Run(h.ctx) })
	s.t.Cleanup(h.kill)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, h)
	return h
}

// kill stops a host at once; what it holds on engines stays held.
func (h *testHost) kill() {
	h.site.mu.Lock()
	h.alive = false
	h.site.mu.Unlock()
	h.cancel()
	h.done.Wait()
}

// Owner implements Ownership: keys are assigned to live hosts round-robin by their
// last byte.
func (h *testHost) Owner(key string) (host, address string, self bool) {
	s := h.site
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allOwnAll {
		return h.name, h.name, true
	}
	var live []string
	for _, o := range s.hosts {
		if o.alive {
			live = append(live, o.name)
		}
	}
	if len(live) == 0 {
		return "", "", false
	}
	owner := live[int(key[len(key)-1])%len(live)]
	return owner, owner, owner == h.name
}

// Publish implements Publisher.
func (h *testHost) Publish(_ string, data []byte) {
	h.site.mu.Lock()
	defer h.site.mu.Unlock()
	h.digest = data
}

// Call implements Peers. Arguments are encoded with gob, as in net/rpc.
func (h *testHost) Call(_ context.Context, address, method string, args, reply any) error {
	s := h.site
	s.mu.Lock()
	i := slices.IndexFunc(s.hosts, func(o *testHost) bool { return o.name == address && o.alive })
	s.mu.Unlock()
	if i < 0 {
		return merry.Errorf("%s does not answer", address)
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(args); err != nil {
		return err
	}
	return s.hosts[i].rpc.dispatchGob(method, &b, reply)
}

// dispatchGob decodes the arguments of a call and dispatches it.
func (r *RPC) dispatchGob(method string, b *bytes.Buffer, reply any) error {
	decode := gob.NewDecoder(b).Decode
	var err error
	switch method {
	case methodReserve:
		var a ledger.ReserveRequest
		if err = decode(&a); err == nil {
			err = r.dispatch(method, a, reply)
		}
	case methodRelease:
		var a ReleaseArgs
		if err = decode(&a); err == nil {
			err = r.dispatch(method, a, reply)
		}
	case methodRenew:
		var a ledger.Renewal
		if err = decode(&a); err == nil {
			err = r.dispatch(method, a, reply)
		}
	case methodTurn:
		var a TurnArgs
		if err = decode(&a); err == nil {
			err = r.dispatch(method, a, reply)
		}
	}
	return err
}

// eventually waits until ok returns true, for waitLimit.
func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			s.t.Fatalf("not in time: %s; books: %+v", what, s.books())
		}
	}
}

func (s *site) books() []ledger.Books {
	var all []ledger.Books
	for _, e := range s.engines {
		b, err := s.http.Books(context.Background(), e.Address)
		if err != nil {
			s.t.Fatal(err)
		}
		all = append(all, b)
	}
	return all
}

// countHoldings returns the number of holdings of a kind on all engines; kind 0
// counts all kinds.
func (s *site) countHoldings(kind ledger.Kind) int {
	n := 0
	for _, b := range s.books() {
		for _, it := range b.Items {
			if kind == 0 || it.Kind == kind {
				n++
			}
		}
	}
	return n
}

// waitForEmptyBooks waits until no engine lists any holding, and logs how long it
// took.
func (s *site) waitForEmptyBooks() {
	defer func(at time.Time) { s.t.Logf("zero after %v", time.Since(at)) }(time.Now())
	s.t.Helper()
	s.eventually("books return to zero", func() bool { return s.countHoldings(0) == 0 })
}

// reserve requests a reservation until it is granted.
func (s *site) reserve(h *testHost, e Engine, id string, tokens int64) {
	s.t.Helper()
	req := ledger.ReserveRequest{Engine: e.Name, ID: id, Request: id, Tokens: tokens}
	s.eventually("grant of "+id, func() bool {
		reply, err := h.holder.Reserve(context.Background(), e, req)
		return err == nil && reply.Granted
	})
}

// startStream starts a long stream and leaves it open; the returned function closes
// its connection.
func (s *site) startStream(h *testHost, e Engine, id string) (cut func()) {
	s.t.Helper()
	h.holder.Track(e, ledger.ID{Kind: ledger.Running, Name: id, Attempt: 1})
	req := &engineapi.GenerateRequest{
		RequestID: id, Attempt: 1, Model: model, Prompt: "x", PromptTokens: 100, MaxTokens: 9000,
		Holder: engineapi.Holder(h.holder.opts.Self),
	}
	stream := s.post(e, req)
	closeBody := sync.OnceFunc(func() { _ = stream.Close() })
	s.t.Cleanup(closeBody)
	s.eventually(id+" runs", func() bool {
		return slices.ContainsFunc(s.books(), func(b ledger.Books) bool {
			return slices.ContainsFunc(b.Items, func(i ledger.Item) bool { return i.Name == id })
		})
	})
	return closeBody
}

func (s *site) post(e Engine, req *engineapi.GenerateRequest) io.ReadCloser {
	s.t.Helper()
	body, err := req.MarshalJSON()
	if err != nil {
		s.t.Fatal(err)
	}
	res, err := http.Post("http://"+e.Address+"/v1/generate", "application/json", bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	return res.Body
}

func (s *site) setFault(engine int, path string, kind standin.FaultKind, count int) {
	s.t.Helper()
	f := standin.Fault{Kind: kind, On: true, Count: count, Path: path}
	if err := s.standins[engine].SetFault(f); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) gang(id string, tokens int64) ledger.Gang {
	g := ledger.Gang{Request: id, Pool: "p", Deadline: time.Now().Add(waitLimit)}
	for _, e := range s.engines {
		g.Members = append(g.Members, ledger.Member{Engine: e.Name, Tokens: tokens})
	}
	return g
}

func isOwnedBy(h *testHost, engine string) bool {
	owner, _, _ := h.Owner(engine)
	return strings.EqualFold(owner, h.name)
}
