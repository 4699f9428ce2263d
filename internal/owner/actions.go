package owner

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

type fields = logrus.Fields

// executeInBackground carries out actions whose results no caller waits for. It
// skips an action, and counts it, when too many calls are under way.
func (s *Service) executeInBackground(ctx context.Context, acts []ledger.Action) {
	for _, a := range acts {
		if b, ok := a.(ledger.ReadBooks); ok {
			s.requestBooks(b.Engine)
			continue
		}
		if !s.backgroundCalls.TryGo(func() error { s.execute(ctx, []ledger.Action{a}); return nil }) {
			// The ledger repeats each release or cancel that is not confirmed.
			metricDeferred.Inc()
		}
	}
}

// execute carries out actions one after another, including those that follow from
// their results, and returns the ledger's verdicts, which are meant for fronts.
func (s *Service) execute(ctx context.Context, acts []ledger.Action) (verdicts []ledger.Action) {
	for len(acts) > 0 {
		a := acts[0]
		acts = acts[1:]
		switch a := a.(type) {
		case ledger.ReserveOn:
			acts = append(acts, s.reserveOn(ctx, a)...)
		case ledger.ReleaseOn:
			acts = append(acts, s.endOn(ctx, a.Engine, a.ID, a.Cause)...)
		case ledger.CancelOn:
			acts = append(acts, s.endOn(ctx, a.Engine, a.ID, a.Cause)...)
		case ledger.ReadBooks:
			s.requestBooks(a.Engine)
		default:
			verdicts = append(verdicts, a)
		}
	}
	return verdicts
}

func (s *Service) reserveOn(ctx context.Context, a ledger.ReserveOn) []ledger.Action {
	result := s.callReserve(ctx, a.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.HandleReserveAnswer(a.Request, result, s.opts.Clock())
}

func (s *Service) callReserve(ctx context.Context, req ledger.ReserveRequest) ledger.Result {
	address, ok := s.address(req.Engine)
	if !ok {
		return ledger.Refused // never sent
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	err := s.opts.Engines.Reserve(ctx, address, req)
	var refused *RefusedError
	switch {
	case err == nil:
		return ledger.Held
	case errors.As(err, &refused):
		return ledger.Refused
	default:
		s.opts.Log.WithFields(fields{"engine": req.Engine, "id": req.ID}).WithError(err).Warn("reserve_answer_lost")
		return ledger.Lost
	}
}

func (s *Service) endOn(ctx context.Context, engine string, id ledger.ID, cause ledger.Cause) []ledger.Action {
	address, ok := s.address(engine)
	if !ok {
		return nil
	}
	err := endHolding(ctx, s.opts.Engines, s.opts.CallTimeout, address, id)
	s.logEnd(engine, id, cause, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.HandleEndAnswer(engine, id, err == nil, s.opts.Clock())
}

func (s *Service) logEnd(engine string, id ledger.ID, cause ledger.Cause, err error) {
	metricEnds(cause).Inc()
	entry := s.opts.Log.WithFields(fields{
		"engine":  engine,
		"kind":    id.Kind.String(),
		"id":      id.Name,
		"attempt": id.Attempt,
		"cause":   string(cause),
	})
	if err != nil {
		entry.WithError(err).Warn("holding_ended")
		return
	}
	if cause == ledger.CauseReleased {
		entry.Debug("holding_ended")
		return
	}
	entry.Info("holding_ended")
}

// requestBooks makes the poller of an owned engine read its books soon.
func (s *Service) requestBooks(engine string) {
	s.mu.Lock()
	p := s.owned[engine]
	s.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.booksRequested <- struct{}{}:
	default:
	}
}
