package daemon

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/speedlog"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// speedReportInterval is the time between two reports of the speeds of plain servers.
const speedReportInterval = time.Second

// reportSpeeds shows operators the changes of the plain servers' speeds until the context ends.
func (p *process) reportSpeeds(ctx context.Context) error {
	log := speedlog.New(p.log)
	wait.Every(ctx, speedReportInterval, func(time.Time) {
		log.Report(p.router.Speeds(), func(id string) bool {
			_, known := p.router.State(id)
			return known
		})
	})
	return nil
}
