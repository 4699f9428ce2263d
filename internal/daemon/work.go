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

// workSection carries the work that a front was offered, by length of the prompt,
// to the other fronts of its failure domain. All divide the engines by the sum,
// so that no front sends long prompts to the engines that another keeps for short
// ones.
const workSection = "work"

// workInterval is the time between two digests of the offered work. The work is faded
// over tens of seconds, so that a few seconds of age do not matter; the most is
// under half of the time for which a digest counts.
var workInterval = shareInterval{min: 2 * time.Second, perHost: 100 * time.Millisecond, max: 6 * time.Second}

// shareWork exchanges the offered work with the peers.
func (p *process) shareWork(ctx context.Context) error {
	seen := map[incarnationKey]uint64{} // version last taken
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

func (p *process) publishWork() {
	data, err := encodeWork(p.router.OfferedWork())
	if err == nil {
		err = p.node.Publish(workSection, data)
	}
	if err != nil {
		p.log.WithError(err).WithField("section", workSection).Error("section_not_published")
	}
}

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

var errInvalidWork = merry.New("work is not one list of bands for each pool")

// encodeWork writes the pools' names and then all bands, rounded: gob describes a
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

// roundWork keeps five binary digits, an error of 3% at the most: sign, exponent
// and these fit two bytes.
func roundWork(work float64) float64 {
	const digits = 5
	fraction, exponent := math.Frexp(work)
	return math.Ldexp(math.Round(math.Ldexp(fraction, digits)), exponent-digits)
}

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
