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
	// maxRemoteCombiners is the number of other hosts' combiners that are called
	// before this host's own.
	maxRemoteCombiners = 2
	// logRetry is the Retry-After of refusals for a log that does not answer; the
	// front spreads it.
	logRetry = 2 * time.Second
	// callMarginDivisor sets the part of a call's time that is left for the reply to
	// travel: one tenth.
	callMarginDivisor = 10
)

// Service acquires claims for this host's front, and serves the other hosts as
// combiner and holder. Run must be running while it is used.
type Service struct {
	o         Options
	peers     Peers
	base      context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
	combiners [claim.Partitions]*combiner
	answers   *Answers
	abandoned *abandonedClaims
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
	s.abandoned = newAbandonedClaims(o.Replay.Window(), o.Now)
	s.releaser = newReleaser(s)
	return s
}

// Run writes releases and marks until the context ends, and then stops the
// combiners. Releases not written by then are lost, which is safe: the keys stay
// held until their life ends.
func (s *Service) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.releaser.run(ctx) })
	wg.Go(func() { s.appendMarks(ctx) })
	wg.Wait()
	s.stop()
	s.wg.Wait()
	return nil
}

// appendMarks appends a mark every MarkEvery to the partitions whose first combiner
// is this host, so that an idle stream always has a recent record that shows the
// log's time.
func (s *Service) appendMarks(ctx context.Context) {
	for wait.For(ctx, s.o.MarkEvery) {
		s.answers.sweep()
		s.abandoned.sweep()
		for i, c := range s.combiners {
			refs := s.peers.Combiners(i)
			if len(refs) == 0 || refs[0].Host != s.o.Host {
				continue
			}
			if err := c.refreshMark(ctx); err != nil {
				s.o.Log.WithError(err).WithField("stream", c.stream).Warn("claim_mark_failed")
			}
		}
	}
}

// combiner returns this host's combiner for the partition of a key.
func (s *Service) combiner(customer, key string) *combiner {
	return s.combiners[claim.Partition(customer, key)]
}

// Acquire claims the right to run the request of a key. The error is a
// *request.Refusal: the request was not dispatched and will not be. A key that
// another claim holds is not an error, see Result; when Await then returns
// AnswerReleased, Acquire may be called again and supersedes that claim.
func (s *Service) Acquire(ctx context.Context, a AcquireRequest) (Result, error) {
	if err := a.validate(); err != nil {
		return Result{}, err
	}
	now := s.o.Now()
	// The dispatch must happen well before the log's entry of the key expires, even
	// if the clocks of the hosts and the log differ.
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
	verdictDone := s.answers.expectVerdict(a.Customer, a.Key)
	defer verdictDone()
	ctx, cancel := context.WithTimeout(ctx, min(notAfter.Sub(now), s.o.VerdictTimeout))
	defer cancel()
	reply, open := s.requestVerdict(ctx, cl)
	countVerdict(reply.State)
	s.logVerdict(cl, reply)
	if reply.State == StateHolds && permit.Grant(reply.Offset) {
		key := answerKey{a.Customer, a.Key, reply.Offset}
		return Result{Offset: reply.Offset, Permit: permit, Answer: s.answers.begin(key), record: cl}, nil
	}
	permit.Kill()
	if open {
		s.abandoned.add(cl.ID)
		s.releaser.add(cl, s.o.Now())
	}
	if reply.State == StateHeld {
		return Result{Offset: reply.Holder.Offset, Holder: reply.Holder, record: cl}, nil
	}
	return Result{}, refusal(reply, a.NotAfter.Sub(now))
}

// validate returns a *request.Refusal if the key or customer does not fit a record.
func (a AcquireRequest) validate() error {
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

// requestVerdict calls the combiners in turn, this host's own last, until one
// returns a verdict. open is true when the claim may come to hold its key in the
// log although the reply does not say so.
func (s *Service) requestVerdict(ctx context.Context, cl claim.Claim) (reply AcquireReply, open bool) {
	reply = AcquireReply{State: StateLogUnavailable}
	for _, ref := range s.combinersFor(claim.Partition(cl.Customer, cl.Key)) {
		if ctx.Err() != nil {
			break
		}
		r, err := s.requestVerdictFrom(ctx, ref, cl)
		if err != nil || r.State == StateUndecided {
			open = true
			continue
		}
		switch {
		case r.State == StateUncertain && r.Offset > 0:
			return r, true // another combiner's replay may have enough records to find that it holds
		case r.State == StateUncertain || r.State == StateBusy:
			reply = r
		case r.State != StateLogUnavailable:
			// A claim sent to a combiner that did not reply may still be appended,
			// unless this verdict is that of its record.
			return r, open && r.Offset == 0
		}
	}
	return reply, open
}

// combinersFor lists the combiners to call for a partition in order, this host's own
// last.
func (s *Service) combinersFor(partition int) []PeerRef {
	var refs []PeerRef
	for _, ref := range s.peers.Combiners(partition) {
		if ref.Host == s.o.Host || len(refs) == maxRemoteCombiners {
			break
		}
		refs = append(refs, ref)
	}
	return append(refs, PeerRef{Host: s.o.Host})
}

// requestVerdictFrom requests the verdict on a claim from one combiner.
func (s *Service) requestVerdictFrom(ctx context.Context, ref PeerRef, cl claim.Claim) (AcquireReply, error) {
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

// callWait returns how long the called host may take, which leaves the reply time
// to travel before the context's deadline.
func callWait(ctx context.Context) time.Duration {
	end, _ := ctx.Deadline()
	left := time.Until(end)
	return left - left/callMarginDivisor
}

// refusal returns the refusal for a reply that neither holds the key nor names a
// holder; remaining is the time to the request's deadline.
func refusal(r AcquireReply, remaining time.Duration) *request.Refusal {
	switch r.State {
	case StateConflict:
		return request.Refuse(request.CodeKeyConflict, 0, "the idempotency key was used for another request")
	case StateExpired:
		return request.Refuse(request.CodeKeyExpired, 0, "the idempotency key's time is outside the key life")
	case StateLate:
		return request.Refuse(request.CodeDeadline, 0, "the claim was recorded after the deadline")
	case StateUncertain:
		return request.Refuse(request.CodeKeyUnavailable, max(r.RetryAfter, logRetry), "earlier uses of the idempotency key cannot be ruled out")
	case StateInvalid:
		return request.Refuse(request.CodeInternal, 0, "the claim cannot be encoded")
	case StateBusy:
		return request.Refuse(request.CodeKeyUnavailable, logRetry, "too many idempotency keys are remembered")
	}
	if remaining <= 0 {
		return request.Refuse(request.CodeDeadline, 0, "the deadline has passed")
	}
	return request.Refuse(request.CodeKeyUnavailable, logRetry, "the claim log does not answer")
}

// readLocal returns the next chunk of the answer of one of this host's runs.
func (s *Service) readLocal(ctx context.Context, key answerKey, id claim.ID, from int) Chunk {
	chunk := s.answers.read(ctx, key, from)
	if chunk.State == AnswerMissing && s.abandoned.contains(id) {
		return Chunk{State: AnswerReleased}
	}
	return chunk
}

// Release releases a key that this host holds and whose request was not dispatched,
// so that it can be claimed again. It reports false if this host does not hold the
// key, dispatched the request or released the key before.
func (s *Service) Release(r Result) bool {
	if r.Permit == nil || !r.Permit.Release() {
		return false
	}
	r.Answer.Finish(Ending{State: AnswerReleased})
	s.releaser.add(r.record, s.o.Now())
	return true
}
