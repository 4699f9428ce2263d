package owner

import (
	"context"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/core/ledger"
)

// endHolding asks an engine to end a holding: it cancels a running attempt and
// releases a reservation or an export. No error means that the holding is gone.
func endHolding(ctx context.Context, engines Engines, timeout time.Duration, address string, id ledger.ID) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if id.Kind == ledger.Running {
		return engines.Cancel(ctx, address, id.Name, id.Attempt)
	}
	return engines.Release(ctx, address, id.Name)
}
