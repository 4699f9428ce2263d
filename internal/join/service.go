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

const (
	homeTimeout  = 300 * time.Millisecond // of a call to a key's home; the request waits for it
	readWait     = 5 * time.Second        // longest wait of one call for more of an answer
	readTimeout  = readWait + time.Second
	answerMaxAge = time.Minute // of an ended answer, for requests that still read it
)

// Peers gives access to the other daemons.
type Peers interface {
	// Owner returns the live host of this failure domain that is first for a key by
	// rendezvous hashing, and whether it is this host; host is empty when there is
	// none.
	Owner(key string) (host, address string, self bool)
	// Address returns the peer address of a live host.
	Address(host string) (address string, ok bool)
	// Call calls a net/rpc method, for example ServiceName + ".Enter".
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Options configure a Service.
type Options struct {
	Host        string
	Incarnation uint64
	Peers       Peers
	Answers     claims.AnswerOptions // MaxAge is a minute by default
	Now         func() time.Time     // time.Now by default
}

// Service joins this host's requests to runs in flight, keeps the registry of the
// keys whose home is this host, and serves the answers of its own runs to others.
type Service struct {
	o        Options
	registry *runRegistry
	answers  *claims.Answers

	mu      sync.Mutex
	tickets map[string]*Ticket // this host's runs in flight, by ID
}

// New returns a Service without runs.
func New(o Options) *Service {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Service{
		o:        o,
		registry: newRunRegistry(o.Now),
		answers:  claims.NewAnswers(o.Answers, answerMaxAge, o.Now),
		tickets:  map[string]*Ticket{},
	}
}

// Ticket is the result of Enter: the request joins Other or is run by this host.
type Ticket struct {
	Other  *Run                 // the run to join, nil when there is none
	Answer *claims.AnswerWriter // stores this run's answer for requests that join it; nil with Other

	s          *Service
	run        Run
	hasReaders atomic.Bool
}

// HasReaders reports whether another request has joined this run and read from its
// answer while it was in flight.
func (t *Ticket) HasReaders() bool { return t.hasReaders.Load() }

// Enter looks up the run in flight of r's key at the key's home, or registers r
// there. The run with the ID replacedID, if not empty, could not be joined, and r
// takes its place. Enter fills in r.Host and r.Incarnation.
func (s *Service) Enter(ctx context.Context, r Run, replacedID string) *Ticket {
	r.Host, r.Incarnation = s.o.Host, s.o.Incarnation
	t := &Ticket{s: s, run: r, Answer: s.answers.Begin(r.Customer, r.ID, 0)}
	s.mu.Lock()
	s.tickets[r.ID] = t
	s.mu.Unlock()
	// Readers must be able to find the run as soon as the home can return it.
	other, ok := s.enterAtHome(ctx, r, replacedID)
	if ok {
		t.close(claims.Ending{State: claims.AnswerReleased})
		return &Ticket{Other: &other, s: s, run: r}
	}
	return t
}

// enterAtHome returns the run that r can join. It returns false if there is none or
// the home cannot be reached.
func (s *Service) enterAtHome(ctx context.Context, r Run, replacedID string) (Run, bool) {
	host, address, self := s.o.Peers.Owner(homeKey(r))
	if self {
		return s.registry.enter(r, replacedID)
	}
	if host == "" {
		return Run{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	var reply EnterReply
	if err := s.o.Peers.Call(ctx, address, ServiceName+".Enter", EnterArgs{Run: r, Instead: replacedID}, &reply); err != nil {
		return Run{}, false
	}
	return reply.Other, reply.Join
}

func homeKey(r Run) string { return "join/" + r.Customer + "/" + r.Key }

// Finish ends a run of this host and reports its end to the key's home.
func (t *Ticket) Finish(e claims.Ending) {
	t.close(e)
	host, address, self := t.s.o.Peers.Owner(homeKey(t.run))
	switch {
	case self:
		t.s.registry.leave(t.run)
	case host != "":
		go t.leaveAtHome(address)
	}
}

// close ends the answer and removes the run from those in flight.
func (t *Ticket) close(e claims.Ending) {
	t.Answer.Finish(e)
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	delete(t.s.tickets, t.run.ID)
}

// leaveAtHome reports the run's end to the host at address. If the call fails, the
// home drops the run at Run.Until.
func (t *Ticket) leaveAtHome(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), homeTimeout)
	defer cancel()
	var reply LeaveReply
	_ = t.s.o.Peers.Call(ctx, address, ServiceName+".Leave", LeaveArgs{Run: t.run}, &reply)
}

// Relay writes the answer of a run to w and returns how it ended, as
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

var errNoAddress = merry.Sentinel("no address known for the host of the run")

// read returns the chunk of a run's answer that starts at byte from.
func (s *Service) read(ctx context.Context, r Run, from int) (claims.Chunk, error) {
	if r.Host == s.o.Host && r.Incarnation == s.o.Incarnation {
		return s.readLocal(ctx, r, from), nil
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

// readLocal returns the next chunk of the answer of one of this host's runs, and
// records that the run has a reader.
func (s *Service) readLocal(ctx context.Context, r Run, from int) claims.Chunk {
	s.mu.Lock()
	if t := s.tickets[r.ID]; t != nil {
		t.hasReaders.Store(true)
	}
	s.mu.Unlock()
	return s.answers.Read(ctx, r.Customer, r.ID, 0, from)
}
