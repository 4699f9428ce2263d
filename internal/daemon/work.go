package daemon

import (
	"bytes"
	"context"
	"encoding/gob"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/buckthorndock/buckthorndock/internal/core/placement"
)

// workSection carries the work that a front was offered, by length of the prompt,
// to the other fronts of its failure domain. All divide the engines by the sum,
// so that no front sends long prompts to the engines that another keeps for short
// ones.
const workSection = "work"

// workEvery is the time between two digests of the offered work. The work is faded
// over tens of seconds, so that a few seconds of age do not matter.
const workEvery = 2 * time.Second

// offeredWork is what the section carries: the work of each pool.
type offeredWork struct {
	Pools map[string]placement.Work
}

// shareWork exchanges the offered work with the peers.
func (p *process) shareWork(ctx context.Context) error {
	ticker := time.NewTicker(workEvery)
	defer ticker.Stop()
	seen := map[digestKey]uint64{} // version last taken
	for {
		p.publishWork()
		p.takeWork(seen)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *process) publishWork() {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(offeredWork{Pools: p.router.OfferedWork()})
	if err == nil {
		err = p.node.Publish(workSection, b.Bytes())
	}
	if err != nil {
		p.log.WithError(err).WithField("section", workSection).Error("section_not_published")
	}
}

func (p *process) takeWork(seen map[digestKey]uint64) {
	for _, section := range p.node.Sections(workSection) {
		key := digestKey{section.Host, section.Incarnation}
		if section.Domain != p.cfg.Domain || section.Host == p.cfg.Host || seen[key] == section.Version {
			continue
		}
		seen[key] = section.Version
		work, err := decodeWork(section.Data)
		if err != nil {
			p.log.WithError(err).WithField("from", section.Host).Warn("work_undecodable")
			continue
		}
		p.router.PeerWork(section.Host, work.Pools)
	}
}

func decodeWork(data []byte) (offeredWork, error) {
	var w offeredWork
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&w)
	return w, merry.Prepend(err, "decode offered work")
}
