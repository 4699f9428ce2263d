package schedule

import (
	"context"
	"errors"
	"maps"
	"net/rpc"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/buckthorndock/buckthorndock/internal/core/membership"
)

// The daemons that do not know of a scarcity send their calls without asking, and would take the
// slots of those that do. So the keeper reports it in its answers, and to the daemons that it has
// not answered lately by ReportScarce.

const (
	// reportInterval is the time between two reports of a scarcity to a daemon. It is shorter than
	// the time for which one of them counts.
	reportInterval = time.Second
	// maxReports is the number of reports sent at once. With placeTimeout for each, a fleet of a
	// thousand daemons of which most are silent is told within reportInterval.
	maxReports = 64
)

// ScarceRequest reports the services that are scarce.
type ScarceRequest struct {
	From     sender
	Services []string
}

// ScarceReply answers a ScarceRequest.
type ScarceReply struct{}

// ReportScarce takes in the keeper's report of the services that are scarce.
func (r *RPC) ReportScarce(req *ScarceRequest, _ *ScarceReply) error {
	s := r.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordScarce(req.Services, time.Now())
	return nil
}

// SlotsScarce reports whether a service is scarce for this daemon, so that it asks for a slot
// before it sends a call.
func (s *Service) SlotsScarce(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.keeper == "" {
		s.recordScarce(s.slots.ledger.ScarceServices(now), now)
	}
	return s.slots.scarcity.Scarce(service, now)
}

// beginScarcity records that a service is scarce; full is the server that has turned a call away,
// or empty if the keeper reports the scarcity. The caller holds the lock.
func (s *Service) beginScarcity(service, full string, now time.Time) {
	if !s.slots.scarcity.Begin(service, now) {
		return
	}
	s.log.WithFields(logrus.Fields{"service": service, "full": full, "keeper": s.keeper}).Info("service_scarce")
	s.requestFlush() // the keeper is to report it to the others at once
}

// recordScarce takes in the scarce services that the keeper reports. The caller holds the lock.
func (s *Service) recordScarce(services []string, now time.Time) {
	for _, service := range services {
		s.beginScarcity(service, "", now)
	}
}

// scarceFor returns the scarce services for an answer to a daemon. The caller holds the lock.
func (s *Service) scarceFor(host string, now time.Time) []string {
	scarce := s.slots.ledger.ScarceServices(now)
	if len(scarce) > 0 {
		s.slots.reportedAt[host] = now
	}
	return scarce
}

// reportScarce reports the scarce services to the daemons that do not know of them, if this one is
// the keeper.
func (s *Service) reportScarce(ctx context.Context) {
	s.mu.Lock()
	now := time.Now()
	services := s.slots.ledger.ScarceServices(now)
	var to []membership.Member
	if s.keeper == "" && !s.uncoordinated && len(services) > 0 {
		to = s.unaware(now)
	}
	s.mu.Unlock()
	if len(to) > 0 {
		go s.sendScarce(ctx, to, &ScarceRequest{From: s.self(), Services: services})
	}
}

// unaware returns the other daemons to which no scarcity was reported lately, and records that it
// is. The caller holds the lock.
func (s *Service) unaware(now time.Time) []membership.Member {
	maps.DeleteFunc(s.slots.reportedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= reportInterval })
	var list []membership.Member
	for _, m := range s.opts.Peers.Rank(keeperKey, allMembers) {
		_, told := s.slots.reportedAt[m.Host]
		if told || m.Host == s.opts.Host || s.lacksSlots(m.Host, now) || s.behindCut(m.Host) {
			continue
		}
		s.slots.reportedAt[m.Host] = now
		list = append(list, m)
	}
	return list
}

func (s *Service) sendScarce(ctx context.Context, to []membership.Member, req *ScarceRequest) {
	var g errgroup.Group
	g.SetLimit(maxReports)
	for _, m := range to {
		g.Go(func() error {
			err := s.call(ctx, m, "ReportScarce", placeTimeout, req, &ScarceReply{})
			s.recordReport(m.Host, err)
			return nil
		})
	}
	_ = g.Wait() // errors are recorded above
}

// recordReport records how a daemon took a report. One that does not know the method is of an
// earlier release; one that was not reached chooses servers by its own calls.
func (s *Service) recordReport(host string, err error) {
	if err == nil {
		return
	}
	var answered rpc.ServerError
	if !errors.As(err, &answered) {
		s.log.WithError(err).WithField("to", host).Debug("scarcity_not_reported")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLacksSlots(host, err, time.Now())
}
