package daemon

import (
	"bytes"
	"context"
	"encoding/gob"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
)

// workSection carries the work offered to a front, by length of the prompt, to the
// other fronts of its failure domain. All divide the engines by the sum, so that no
// front sends long prompts to the engines that another reserves for short ones.
const workSection = "work"

// workInterval is the time between two digests of the offered work. The work decays
// over tens of seconds, so an age of a few seconds does not matter; max is less than
// half of the time for which a digest counts.
var workInterval = shareInterval{min: 2 * time.Second, perHost: 100 * time.Millisecond, max: 6 * time.Second}

// shareWork exchanges the offered work with the peers.
func (p *process) shareWork(ctx context.Context) error {
	seen := map[incarnationKey]uint64{} // version last read
	for {
		p.publishWork()
		p.applyPeerWork(seen)
		select {
		case <-time.After(p.domainInterval(workInterval)):
		case <-ctx.Done():
			return nil
		}
	}
}

// publishWork publishes the work offered to this front and logs errors.
func (p *process) publishWork() {
	data, err := encodeWork(p.router.OfferedWork())
	if err == nil {
		err = p.node.Publish(workSection, data)
	}
	if err != nil {
		p.log.WithError(err).WithField("section", workSection).Error("section_not_published")
	}
}

// applyPeerWork passes the domain's digests that are newer than those in seen to the
// router, and updates seen.
func (p *process) applyPeerWork(seen map[incarnationKey]uint64) {
	for _, section := range p.node.Sections(workSection) {
		key := incarnationKey{section.Host, section.Incarnation}
		if section.Domain != p.cfg.Domain || section.Host == p.cfg.Host || seen[key] == section.Version {
			continue
		}
		seen[key] = section.Version
		work, err := decodeWork(section.Data)
		if err != nil {
			p.log.WithError(err).WithField("from", section.Host).Warn("work_undecodable")
			continue
		}
		p.router.ApplyPeerWork(section.Host, work)
	}
}

var errInvalidWork = merry.New("work digest does not have all bands of each pool")

// encodeWork encodes the pools' names and then all bands, rounded: gob describes a
// struct or map in each message, and writes a number of few bits in few bytes.
func encodeWork(pools map[string]placement.Work) ([]byte, error) {
	names := slices.Sorted(maps.Keys(pools))
	bands := make([]float64, 0, len(names)*placement.NumBands)
	for _, name := range names {
		for _, work := range pools[name] {
			bands = append(bands, roundWork(work))
		}
	}
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	err := enc.Encode(names)
	if err == nil {
		err = enc.Encode(bands)
	}
	return b.Bytes(), merry.Prepend(err, "encode offered work")
}

// roundWork rounds to five binary digits, an error of at most 3%: sign, exponent and
// digits fit in two bytes.
func roundWork(work float64) float64 {
	const digits = 5
	fraction, exponent := math.Frexp(work)
	return math.Ldexp(math.Round(math.Ldexp(fraction, digits)), exponent-digits)
}

// decodeWork decodes the offered work by pool.
func decodeWork(data []byte) (map[string]placement.Work, error) {
	var names []string
	var bands []float64
	dec := gob.NewDecoder(bytes.NewReader(data))
	err := dec.Decode(&names)
	if err == nil {
		err = dec.Decode(&bands)
	}
	if err != nil {
		return nil, merry.Prepend(err, "decode offered work")
	}
	if len(bands) != len(names)*placement.NumBands {
		return nil, errInvalidWork
	}
	pools := make(map[string]placement.Work, len(names))
	for i, name := range names {
		pools[name] = placement.Work(bands[i*placement.NumBands : (i+1)*placement.NumBands])
	}
	return pools, nil
}
