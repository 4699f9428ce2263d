package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/fleet"
	"github.com/buckthorndock/buckthorndock/internal/keyed"
)

// applyEvacuations applies the operators' records of which failure domains are evacuated, that
// is, get no new requests.
func (p *process) applyEvacuations(b keyed.Batch) {
	var records []fleet.EvacuationRecord
	var unreadable []string
	for _, r := range b.Records {
		domain, ok := p.provider.EvacuationDomain(r.Key)
		if !ok {
			continue
		}
		if r.Value != nil {
			if err := p.provider.CheckEvacuation(domain, r.Value); err != nil {
				p.log.WithError(err).WithFields(logrus.Fields{"key": r.Key, "offset": r.Offset}).Error("evacuation_unreadable")
				unreadable = append(unreadable, domain)
				continue
			}
		}
		records = append(records, fleet.EvacuationRecord{Domain: domain, Begin: r.Value != nil})
	}
	p.mu.Lock()
	begun, ended := p.evacuations.Apply(records, b.Whole, unreadable)
	p.mu.Unlock()
	for _, domain := range begun {
		p.applyEvacuation(domain, true, b.At)
	}
	for _, domain := range ended {
		p.applyEvacuation(domain, false, b.At)
	}
}

// applyEvacuation begins or ends the evacuation of a failure domain. readAt is when its record was
// read.
func (p *process) applyEvacuation(domain string, begin bool, readAt time.Time) {
	upstreams := 0
	for _, u := range p.list.Load().Upstreams {
		if u.Domain == domain {
			upstreams++
		}
	}
	log := p.log.WithFields(logrus.Fields{
		"domain": domain, "upstreams": upstreams, "read_age_ms": time.Since(readAt).Milliseconds(),
	})
	switch {
	case !begin:
		log.Info("evacuation_ended")
	case upstreams == 0:
		log.Warn("evacuation_of_unknown_domain") // upstreams of it may be listed later
	default:
		log.Info("evacuation_begun")
	}
	p.changeList(func(l *fleet.List) bool {
		l.SetEvacuated(domain, begin, p.coldFor, time.Now())
		return true
	})
}
