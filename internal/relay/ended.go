package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/core/reach"
)

// endEvidence is how the end of an upstream's incarnation was found, for logs.
type endEvidence string

const (
	anotherAnswered    endEvidence = "another_answered"    // another server has its address
	otherStart         endEvidence = "other_start"         // the server at its address reports another start
	connectionsRefused endEvidence = "connections_refused" // at its address, and not at its neighbours'
	connectionsClosed  endEvidence = "connections_closed"  // the same, without any answer
)

// identifyTimeout bounds the question who runs at an address. A server answers it within a round
// trip.
const identifyTimeout = 250 * time.Millisecond

// hasEnded asks who runs at an upstream's address. It reports whether the upstream's incarnation
// has ended.
func (r *Relay) hasEnded(ctx context.Context, u fleet.Upstream, isEngine bool) bool {
	id, err := r.identify(ctx, u, isEngine)
	switch {
	case err != nil:
		return r.isClosed(ctx, u, isEngine, err)
	case id.Other:
		return r.upstreamReplaced(u, anotherAnswered, id.Name)
	case id.Born != 0 && u.Born != 0 && id.Born != u.Born:
		return r.upstreamReplaced(u, otherStart, u.Name)
	}
	return false
}

func (r *Relay) identify(ctx context.Context, u fleet.Upstream, isEngine bool) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	return r.opts.Sender.Identify(ctx, u, isEngine)
}

// isClosed reports whether connections to an upstream are closed before an answer, as by a proxy
// whose server has exited, while a neighbour answers over the same direct path. first is the error
// of the first such connection; another one is made after the neighbour's answer.
func (r *Relay) isClosed(ctx context.Context, u fleet.Upstream, isEngine bool, first error) bool {
	if !errors.Is(first, ErrClosed) || !r.neighbourAnswers(ctx, u) {
		return false
	}
	_, err := r.identify(ctx, u, isEngine)
	if !errors.Is(err, ErrClosed) {
		return false
	}
	r.endLog.add(u, connectionsClosed, "")
	return true
}

// neighbourAnswers reports whether another upstream of the failure domain answers, and the path to
// the domain is direct.
func (r *Relay) neighbourAnswers(ctx context.Context, u fleet.Upstream) bool {
	for _, other := range r.probeTargets(u.Domain) {
		if other.Address == u.Address {
			continue
		}
		if _, err := r.identify(ctx, other, false); err == nil {
			return r.opts.Paths.State(u.Domain) == reach.Direct
		}
	}
	return false
}

// upstreamReplaced records that the incarnation of an upstream has ended, because an answer at its
// address has come from another one, its successor. It reports whether this is a proof: an upstream
// that has moved, or shares its address with others by now, may live.
func (r *Relay) upstreamReplaced(u fleet.Upstream, evidence endEvidence, successor string) bool {
	now, listed := r.opts.Upstreams().Get(u.ID)
	if !listed || now.Address != u.Address || len(now.Rivals) > 0 {
		return false
	}
	r.endLog.add(u, evidence, successor)
	r.cancelAttemptsOn(u)
	r.UpstreamDelisted(u)
	if evidence == anotherAnswered {
		r.opts.OnReplaced(u) // a server that restarts under its name is still used
	}
	return true
}

// Bounds of the lines about ended incarnations: a site may restart all servers at once.
const (
	endLogBurst    = 20
	endLogInterval = 500 * time.Millisecond // between two lines after a burst
	// endLogRepeat is the least time between two lines about one incarnation: each request that
	// broke off there finds its end.
	endLogRepeat = 10 * time.Second
)

// endLog logs the ends of incarnations, in a bounded number of lines. It is safe for concurrent use.
type endLog struct {
	log     *logrus.Entry
	limiter *rate.Limiter

	mu       sync.Mutex
	logged   map[string]time.Time // when the last line about an incarnation was due, by ID
	unlogged int                  // lines left out since the last one
}

func newEndLog(log *logrus.Entry) *endLog {
	return &endLog{log: log, limiter: rate.NewLimiter(rate.Every(endLogInterval), endLogBurst), logged: map[string]time.Time{}}
}

// add logs the end of an incarnation. successor is the name of the server that has its address;
// empty if that is unknown.
func (l *endLog) add(u fleet.Upstream, evidence endEvidence, successor string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.logged {
		if now.Sub(at) >= endLogRepeat {
			delete(l.logged, id)
		}
	}
	if _, recent := l.logged[u.ID]; recent {
		return
	}
	l.logged[u.ID] = now
	if !l.limiter.AllowN(now, 1) {
		l.unlogged++
		return
	}
	l.log.WithFields(logrus.Fields{
		"upstream": u.ID, "service": u.Service, "address": u.Address, "domain": u.Domain,
		"evidence": string(evidence), "successor": successor, "unlogged": l.unlogged,
	}).Warn("incarnation_ended")
	l.unlogged = 0
}
