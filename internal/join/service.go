package join

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/claims"
)

// ServiceName is the name under which RPC is to be registered.
const ServiceName = "Join"

// Times of calls to other hosts.
const (
	homeTimeout = 300 * time.Millisecond // to ask a key's home; the request waits for it
	readWait    = 5 * time.Second        // longest wait of one call for more of an answer
	readTimeout = readWait + time.Second
	keepAnswer  = time.Minute // an ended answer, for those who are still reading
)

// Peers is what this package needs of the other daemons.
type Peers interface {
	// Owner returns the live host of this failure domain that comes first for a
	// key; host is empty when there is none.
	Owner(key string) (host, address string, self bool)
	// Address returns the peer address of a live host.
	Address(host string) (address string, ok bool)
	// Call calls a net/rpc method, as ServiceName + ".Enter".
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options of a Service.
type Options struct {
	Host        string
	Incarnation uint64
	Peers       Peers
	Answers     claims.AnswerOptions // Age is a minute by default
	Now         func() time.Time     // time.Now by default
}

// Service is one host's side: for its own requests, as home of keys, and for
// those who read the answers of its runs.
type Service struct {
	o       Options
	home    *home
	answers *claims.Answers

	mu   sync.Mutex
	open map[string]*Ticket // own runs by ID
}

// New returns a Service.
func New(o Options) *Service {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Service{
		o:       o,
		home:    newHome(o.Now),
		answers: claims.NewAnswers(o.Answers, keepAnswer, o.Now),
		open:    map[string]*Ticket{},
	}
}

// Ticket is a request's place: it runs itself, or joins Other.
type Ticket struct {
	Other  *Run                 // the run to join, nil when there is none
	Answer *claims.AnswerWriter // keeps the own answer for those who join; nil with Other

	s      *Service
	run    Run
	joined atomic.Bool
}

// HasReaders reports whether somebody else has read the answer.
func (t *Ticket) HasReaders() bool { return t.joined.Load() }

// Enter asks the key's home for a run in flight. The run with the ID instead, if
// any, was of no use. Of r, Host and Incarnation are filled in.
func (s *Service) Enter(ctx context.Context, r Run, instead string) *Ticket {
	r.Host, r.Incarnation = s.o.Host, s.o.Incarnation
	t := &Ticket{s: s, run: r, Answer: s.answers.Begin(r.Customer, r.ID, 0)}
	s.mu.Lock()
	s.open[r.ID] = t
	s.mu.Unlock()
	// All is ready for readers before the home can name this run.
	other, ok := s.askHome(ctx, r, instead)
	if ok {
		t.close(claims.Ending{State: claims.AnswerReleased})
		return &Ticket{Other: &other, s: s, run: r}
	}
	return t
}

func (s *Service) askHome(ctx context.Context, r Run, instead string) (Run, bool) {
	host, address, self := s.o.Peers.Owner(homeKey(r))
	if self {
		return s.home.enter(r, instead)
	}
	if host == "" {
		return Run{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	var reply EnterReply
	if err := s.o.Peers.Call(ctx, address, ServiceName+".Enter", EnterArgs{Run: r, Instead: instead}, &reply); err != nil {
		return Run{}, false
	}
	return reply.Other, reply.Join
}

func homeKey(r Run) string { return "join/" + r.Customer + "/" + r.Key }

// Finish ends an own run.
func (t *Ticket) Finish(e claims.Ending) {
	t.close(e)
	host, address, self := t.s.o.Peers.Owner(homeKey(t.run))
	switch {
	case self:
		t.s.home.leave(t.run)
	case host != "":
		go t.tellHome(address)
	}
}

func (t *Ticket) close(e claims.Ending) {
	t.Answer.Finish(e)
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	delete(t.s.open, t.run.ID)
}

// tellHome may fail: the run is forgotten at its deadline then.
func (t *Ticket) tellHome(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), homeTimeout)
	defer cancel()
	var reply LeaveReply
	_ = t.s.o.Peers.Call(ctx, address, ServiceName+".Leave", LeaveArgs{Run: t.run}, &reply)
}

// Relay passes the answer of a run on and returns how it ended, as
// claims.Service.Await does.
func (s *Service) Relay(ctx context.Context, r Run, w io.Writer) (claims.Ending, error) {
	return claims.Relay(ctx, w, func(from int) claims.Chunk {
		chunk, err := s.read(ctx, r, from)
		if err != nil {
			return claims.Chunk{State: claims.AnswerUnreachable}
		}
		return chunk
	})
}

var errNoAddress = merry.Sentinel("the host of the run is not known")

func (s *Service) read(ctx context.Context, r Run, from int) (claims.Chunk, error) {
	if r.Host == s.o.Host && r.Incarnation == s.o.Incarnation {
		return s.readOwn(ctx, r, from), nil
	}
	address, ok := s.o.Peers.Address(r.Host)
	if !ok {
		return claims.Chunk{}, errNoAddress
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var chunk claims.Chunk
	if err := s.o.Peers.Call(ctx, address, ServiceName+".Read", ReadArgs{Run: r, From: from}, &chunk); err != nil {
		return claims.Chunk{}, err
	}
	return chunk, nil
}

func (s *Service) readOwn(ctx context.Context, r Run, from int) claims.Chunk {
	s.mu.Lock()
	if t := s.open[r.ID]; t != nil {
		t.joined.Store(true)
	}
	s.mu.Unlock()
	return s.answers.Read(ctx, r.Customer, r.ID, 0, from)
}
