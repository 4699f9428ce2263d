package claims

import (
	"context"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/platform"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

const (
	// remoteTries is how many other hosts are asked before the own combiner.
	remoteTries = 2
	// awayRetry is when a caller may come back to an unreachable log; the front
	// spreads it.
	awayRetry = 2 * time.Second
	// callMargin is the part of a call's time kept for the way back.
	callMargin = 10
)

// Service is one host's side of the claims: for its own front, and as combiner
// and holder for the other hosts. Run must be running while it is used.
type Service struct {
	o         Options
	peers     Peers
	base      context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
	combiners [claim.Partitions]*combiner
	answers   *Answers
	givenUp   *givenUp
	releaser  *releaser
}

// New returns a service on a log. The log's retention must be at least
// Options.MinRetention.
func New(o Options, log platform.Log, peers Peers) *Service {
	o = o.withDefaults()
	s := &Service{o: o, peers: peers, answers: newAnswers(o.Answers, o.Replay.Window(), o.Now)}
	s.base, s.stop = context.WithCancel(context.Background())
	for i := range s.combiners {
		s.combiners[i] = newCombiner(o, log, s.base, &s.wg, i)
	}
	s.givenUp = newGivenUp(o.Replay.Window(), o.Now)
	s.releaser = newReleaser(s)
	return s
}

// Run writes releases and marks until the context ends, and then stops the
// combiners. Releases not written by then are lost, which costs no safety: the
// keys stay held until their life ends.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.releaser.run(ctx) })
	wg.Go(func() { s.keepMarks(ctx) })
	wg.Wait()
	s.stop()
	s.wg.Wait()
	return nil
}

// keepMarks appends a mark now and then to the partitions that this host is the
// first combiner of, so that an idle stream always shows how old it is.
func (s *Service) keepMarks(ctx context.Context) {
	for wait.For(ctx, s.o.MarkEvery) {
		s.answers.sweep()
		s.givenUp.sweep()
		for i, c := range s.combiners {
			refs := s.peers.Combiners(i)
			if len(refs) == 0 || refs[0].Host != s.o.Host {
				continue
			}
			if err := c.markNow(ctx); err != nil {
				s.o.Log.WithError(err).WithField("stream", c.stream).Warn("claim_mark_failed")
			}
		}
	}
}

func (s *Service) combiner(customer, key string) *combiner {
	return s.combiners[claim.Partition(customer, key)]
}

// Acquire asks for the right to run the request of a key. The error is a
// *request.Refusal: nothing was sent and nothing will be. A holder elsewhere is
// not an error, see Result; when Await then says that it was released, Acquire
// may be called again and supersedes it.
func (s *Service) Acquire(ctx context.Context, a AcquireRequest) (Result, error) {
	if err := a.check(); err != nil {
		return Result{}, err
	}
	now := s.o.Now()
	// A dispatch must come well before the key's entry ends, however the clocks
	// of the hosts and the log differ.
	notAfter := earlier(a.NotAfter, now.Add(s.o.Replay.KeyLife/2))
	cl := claim.Claim{
		Customer:    a.Customer,
		Key:         a.Key,
		ID:          claim.ID(uuid.New()),
		Host:        s.o.Host,
		Incarnation: s.o.Incarnation,
		Fingerprint: a.Fingerprint,
		NotAfterMs:  notAfter.UnixMilli(),
		LifeMs:      s.o.Replay.KeyLife.Milliseconds(),
	}
	permit := claim.NewPermit(notAfter)
	verdictCame := s.answers.expect(a.Customer, a.Key)
	defer verdictCame()
	ctx, cancel := context.WithTimeout(ctx, min(notAfter.Sub(now), s.o.VerdictTimeout))
	defer cancel()
	reply, open := s.ask(ctx, cl)
	countVerdict(reply.State)
	s.logVerdict(cl, reply)
	if reply.State == StateHolds && permit.Grant(reply.Offset) {
		key := answerKey{a.Customer, a.Key, reply.Offset}
		return Result{Offset: reply.Offset, Permit: permit, Answer: s.answers.begin(key), record: cl}, nil
	}
	permit.Kill()
	if open {
		s.givenUp.add(cl.ID)
		s.releaser.add(cl, s.o.Now())
	}
	if reply.State == StateHeld {
		return Result{Offset: reply.Holder.Offset, Holder: reply.Holder, record: cl}, nil
	}
	return Result{}, refusal(reply, a.NotAfter.Sub(now))
}

// check returns a *request.Refusal of an ask that no record could hold.
func (a AcquireRequest) check() error {
	switch {
	case a.Key == "" || len(a.Key) > claim.MaxKeyBytes:
		return request.Refuse(request.CodeBadRequest, 0, "idempotency key has %d bytes, want 1 to %d", len(a.Key), claim.MaxKeyBytes)
	case a.Customer == "" || len(a.Customer) > claim.MaxNameBytes:
		return request.Refuse(request.CodeBadRequest, 0, "customer has %d bytes, want 1 to %d", len(a.Customer), claim.MaxNameBytes)
	case !utf8.ValidString(a.Key) || !utf8.ValidString(a.Customer):
		return request.Refuse(request.CodeBadRequest, 0, "customer or idempotency key is not UTF-8")
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *Service) logVerdict(cl claim.Claim, r AcquireReply) {
	s.o.Log.WithField("customer", cl.Customer).
		WithField("claim", cl.ID.String()).
		WithField("state", r.State.String()).
		WithField("offset", r.Offset).
		WithField("holder", r.Holder.Host).
		Info("event=claim")
}

// ask goes through the combiners until one gives a verdict, the own one last.
// open is true when the claim may hold in the log without this front knowing.
func (s *Service) ask(ctx context.Context, cl claim.Claim) (reply AcquireReply, open bool) {
	reply = AcquireReply{State: StateLogUnavailable}
	for _, ref := range s.route(claim.Partition(cl.Customer, cl.Key)) {
		if ctx.Err() != nil {
			break
		}
		r, err := s.askOne(ctx, ref, cl)
		if err != nil || r.State == StateUndecided {
			open = true
			continue
		}
		switch {
		case r.State == StateUncertain && r.Offset > 0:
			return r, true // another replay may have seen enough to let it hold
		case r.State == StateUncertain || r.State == StateBusy:
			reply = r
		case r.State != StateLogUnavailable:
			// An ask that got no answer may still be appended, unless this
			// verdict is that of its record.
			return r, open && r.Offset == 0
		}
	}
	return reply, open
}

// route lists who is asked, this host's own combiner always among them.
func (s *Service) route(partition int) []PeerRef {
	var refs []PeerRef
	for _, ref := range s.peers.Combiners(partition) {
		if ref.Host == s.o.Host || len(refs) == remoteTries {
			break
		}
		refs = append(refs, ref)
	}
	return append(refs, PeerRef{Host: s.o.Host})
}

func (s *Service) askOne(ctx context.Context, ref PeerRef, cl claim.Claim) (AcquireReply, error) {
	if ref.Host == s.o.Host {
		return s.combiner(cl.Customer, cl.Key).acquire(ctx, cl), nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.o.CallTimeout)
	defer cancel()
	var reply AcquireReply
	if err := s.peers.Call(ctx, ref.Address, ServiceName+".Acquire", AcquireArgs{Claim: cl, Wait: callWait(ctx)}, &reply); err != nil {
		return AcquireReply{}, err
	}
	return reply, nil
}

// callWait leaves the answer of a call time to come back.
func callWait(ctx context.Context) time.Duration {
	end, _ := ctx.Deadline()
	left := time.Until(end)
	return left - left/callMargin
}

func refusal(r AcquireReply, remaining time.Duration) *request.Refusal {
	switch r.State {
	case StateConflict:
		return request.Refuse(request.CodeKeyConflict, 0, "the idempotency key was used for another request")
	case StateExpired:
		return request.Refuse(request.CodeKeyExpired, 0, "the idempotency key's time is outside the key life")
	case StateLate:
		return request.Refuse(request.CodeDeadline, 0, "the claim was recorded after the deadline")
	case StateUncertain:
		return request.Refuse(request.CodeKeyUnavailable, max(r.RetryAfter, awayRetry), "earlier uses of the idempotency key cannot be ruled out")
	case StateInvalid:
		return request.Refuse(request.CodeInternal, 0, "the claim cannot be encoded")
	case StateBusy:
		return request.Refuse(request.CodeKeyUnavailable, awayRetry, "too many idempotency keys are remembered")
	}
	if remaining <= 0 {
		return request.Refuse(request.CodeDeadline, 0, "the deadline has passed")
	}
	return request.Refuse(request.CodeKeyUnavailable, awayRetry, "the claim log does not answer")
}

// readOwn returns what is there of a run of this host.
func (s *Service) readOwn(ctx context.Context, key answerKey, id claim.ID, from int) Chunk {
	chunk := s.answers.read(ctx, key, from)
	if chunk.State == AnswerMissing && s.givenUp.has(id) {
		return Chunk{State: AnswerReleased}
	}
	return chunk
}

// Release gives up a key that this host holds and has not dispatched; another
// ask may then take it. It reports false when the request was dispatched.
func (s *Service) Release(r Result) bool {
	if r.Permit == nil || !r.Permit.Release() {
		return false
	}
	r.Answer.Finish(Ending{State: AnswerReleased})
	s.releaser.add(r.record, s.o.Now())
	return true
}
