package schedule

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
)

// Run tells the keeper what is new until the context ends.
func (s *Service) Run(ctx context.Context) error {
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-alive.C:
			s.forgetSilent(time.Now())
			s.askSilent(ctx)
			s.flush(ctx, true)
		case <-s.wake:
			time.Sleep(flushEvery)
			s.flush(ctx, false)
		}
	}
}

// flush sends what is new. With always it also sends a sign of life, where the keeper has
// attempts of this daemon: what all send that have none would grow with the daemons.
func (s *Service) flush(ctx context.Context, always bool) {
	s.mu.Lock()
	keeper, remote := s.choose(time.Now())
	if !remote {
		s.news = nil
		s.mu.Unlock()
		return
	}
	if s.restore {
		open, limits := s.openNow(time.Now()), s.limitsNow(time.Now())
		s.restore, s.restoring, s.news = false, true, nil
		s.mu.Unlock()
		err := s.call(ctx, keeper, "Restore", notifyWait, &RestoreRequest{From: s.self(), Open: open, Limits: limits}, &RestoreReply{})
		s.mu.Lock()
		s.restoring = false
		s.mu.Unlock()
		s.afterFlush(ctx, err, false)
		return
	}
	news, open := s.news, len(s.open)
	s.news = nil
	s.mu.Unlock()
	if len(news) == 0 && (!always || open == 0) {
		return
	}
	var reply NotifyReply
	err := s.call(ctx, keeper, "Notify", notifyWait, &NotifyRequest{From: s.self(), Events: news}, &reply)
	s.afterFlush(ctx, err, reply.Unknown)
}

func (s *Service) afterFlush(ctx context.Context, err error, unknown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		keeper, remote, _ := s.keeperNow()
		if remote {
			s.lost(ctx, keeper, err, time.Now())
		}
		return
	}
	s.restore = s.restore || unknown
}

// openNow returns the own open attempts. The caller holds the lock.
func (s *Service) openNow(now time.Time) []booking.OpenAttempt {
	open := make([]booking.OpenAttempt, 0, len(s.open))
	for id, o := range s.open {
		told := *o
		told.Age = now.Sub(s.began[id])
		open = append(open, told)
	}
	return open
}

// forgetSilent drops the attempts of daemons that have not been heard for long: they
// have gone, or tell another keeper.
func (s *Service) forgetSilent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Expire(now)
	for host, l := range s.heard {
		silent := now.Sub(l.at)
		switch {
		case silent > forgetAfter && s.book.Has(host):
			s.log.WithField("from", host).Info("book_of_host_dropped")
			s.book.DropHost(host)
			delete(s.heard, host)
		case silent > lifeKept:
			delete(s.heard, host)
		}
	}
}
