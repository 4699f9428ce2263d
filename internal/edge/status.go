package edge

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/booking"
	"github.com/buckthorndock/buckthorndock/internal/core/speed"
	"github.com/buckthorndock/buckthorndock/internal/edge/status"
)

// serveStatus answers with the status of this daemon as JSON.
func (p *process) serveStatus(w http.ResponseWriter, _ *http.Request) {
	body, err := json.MarshalIndent(p.status(time.Now()), "", "  ")
	if err != nil {
		p.log.WithError(err).Error("status_encode_failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // the operator may have disconnected
}

// status returns what this daemon knows. It holds one lock at a time, and the schedule's only to
// count the slots in use.
func (p *process) status(now time.Time) *status.Status {
	schedule := p.schedule.State()
	s := &status.Status{
		Host:             p.cfg.Host,
		Domain:           p.cfg.Domain,
		Region:           p.cfg.Region,
		State:            p.state(),
		UptimeS:          now.Sub(p.started).Round(time.Millisecond).Seconds(),
		Keeper:           schedule.Keeper,
		KeepsBook:        schedule.KeepsBook,
		Independent:      schedule.Uncoordinated,
		BookAttempts:     schedule.Attempts,
		RequestsInFlight: p.admitter.InFlight(),
		Services:         serviceRows(schedule.Services),
		Demand:           status.NewDemand(p.schedule.Demand(now)),
	}
	for _, w := range p.relay.Waiting() {
		s.Waiting = append(s.Waiting, status.Waiting{Service: w.Service, Rank: w.Rank, Requests: w.Requests})
	}
	for _, r := range p.relay.Refusals(now) {
		s.Refusals = append(s.Refusals, status.Refusal{Service: r.Service, Code: string(r.Code), Rank: r.Rank, Last60S: r.Count})
	}
	s.AddSections(p, now)
	return s
}

// state returns the state of this daemon in its status.
func (p *process) state() string {
	switch {
	case p.leaving.Load():
		return status.StateLeaving
	case p.serving.Load():
		return status.StateReady
	}
	return status.StateStarting
}

func serviceRows(usage []booking.ServiceUsage) []status.Service {
	rows := make([]status.Service, 0, len(usage))
	for _, u := range usage {
		rows = append(rows, status.Service{
			Service:   u.Service,
			Engines:   u.Engines,
			Slots:     u.Slots,
			SlotsUsed: u.SlotsUsed,
			SlotsFree: u.SlotsFree,
		})
	}
	slices.SortFunc(rows, func(a, b status.Service) int { return strings.Compare(a.Service, b.Service) })
	return rows
}

// CustomerShares implements status.Sections.
func (p *process) CustomerShares(time.Time) []status.Customer {
	var rows []status.Customer
	for _, service := range p.schedule.Accounts() {
		for _, share := range service.Shares {
			rows = append(rows, status.Customer{
				Service:     service.Service,
				Customer:    share.Customer,
				UseMs:       millis(share.Use),
				FairShareMs: millis(share.Share),
				Waiting:     share.Waiting,
			})
		}
	}
	return rows
}

// PlainServers implements status.Sections.
func (p *process) PlainServers(time.Time) []status.PlainServer {
	usage, ok := p.schedule.SlotUsage()
	if !ok {
		return nil
	}
	waiting := map[string]int{}
	for _, w := range usage.Waiting {
		waiting[w.Service] += w.Waiting
	}
	rows := make([]status.PlainServer, 0, len(usage.Servers))
	for _, u := range usage.Servers {
		rows = append(rows, status.PlainServer{
			Upstream: u.Server,
			Service:  u.Service,
			Slots:    u.Slots,
			Leased:   u.Leased,
			Waiting:  waiting[u.Service],
		})
	}
	return rows
}

// UpstreamSpeeds implements status.Sections.
func (p *process) UpstreamSpeeds(time.Time) []status.Upstream {
	var rows []status.Upstream
	for _, s := range slices.Concat(p.schedule.Speeds(), p.balancer.Speeds()) {
		if s.Factor != speed.Neutral {
			rows = append(rows, status.Upstream{Upstream: s.Upstream, Service: s.Service, Factor: s.Factor})
		}
	}
	return rows
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
