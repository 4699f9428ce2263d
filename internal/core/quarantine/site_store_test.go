package quarantine

import (
	"fmt"
	"maps"
	"slices"
)

// sendDigest sends the host's digest to the others.
func (s *site) sendDigest(host int, h *siteHost) {
	d := h.Digest(s.timeAt(s.now))
	if h.oldRelease {
		d.Trials = nil
		for i := range d.Records {
			d.Records[i].Tried, d.Records[i].Works, d.Records[i].BegunParts = nil, nil, nil
		}
	}
	for k, other := range s.hosts {
		if k == host || s.noGossip || h.cutFrom[k] || s.lossy && s.rng.IntN(4) == 0 {
			continue
		}
		told := d
		if other.oldRelease {
			told.Trials, told.Refused = nil, slices.Clone(d.Refused)
			for i := range told.Refused {
				told.Refused[i].Derived = false
			}
		}
		s.messages = append(s.messages, message{k, s.randomDelay(), told})
	}
}

// writeEvidence writes the host's own records when they have changed.
func (s *site) writeEvidence(h *siteHost) {
	now := s.timeAt(s.now)
	said := fmt.Sprint(h.OwnRecords(now, false))
	if h.oldRelease || !h.loaded || h.storeUnreachable || said == h.writtenEvidence || said == "[]" {
		return
	}
	h.writtenEvidence = said
	s.put(h, stored{key: h.name, evidence: h.OwnRecords(now, true)})
}

func (s *site) deliver() {
	s.writes = slices.DeleteFunc(s.writes, func(w write) bool {
		if w.due > s.now {
			return false
		}
		s.store = append(s.store, w.record)
		return true
	})
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool {
		if m.due > s.now {
			return false
		}
		s.hosts[m.to].Merge(m.digest, s.timeAt(s.now))
		return true
	})
}

// readStore reads new records, or, for a host that has just started, the newest record of each key.
func (s *site) readStore(h *siteHost) {
	if h.oldRelease || h.storeUnreachable || s.now < h.nextRead {
		return
	}
	h.nextRead = s.randomDelay()
	records := s.store[h.read:]
	if !h.loaded {
		newest := map[string]int{}
		for i, r := range s.store {
			newest[r.key] = i
		}
		records = nil
		for _, i := range slices.Sorted(maps.Values(newest)) {
			records = append(records, s.store[i])
		}
	}
	now := s.timeAt(s.now)
	for _, r := range records {
		switch {
		case r.trial != nil:
			h.ApplyStoredTrial(*r.trial, now)
		case r.key == h.name && !h.loaded:
			h.RestoreOwnRecords(r.evidence, now)
		default:
			h.Merge(Digest{Records: r.evidence}, now)
		}
	}
	h.read, h.loaded = len(s.store), true
}
