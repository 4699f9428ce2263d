package standin

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/buckthorndock/buckthorndock/internal/api/platformapi"
)

// DefaultPermitRate is the default of WeightsOptions.PermitRate, in permits a second.
const DefaultPermitRate = 1.0

// WeightsOptions configures a weight store.
type WeightsOptions struct {
	PermitRate float64 // permits a second; 1
	Burst      int     // permits granted at once after an idle time; 1
	Exit       func(code int)
}

// Weights is a stand-in for the platform's rate-limited weight store.
type Weights struct {
	*base
	unimplemented
	limiter *rate.Limiter
}

// NewWeights returns a weight store.
func NewWeights(o WeightsOptions) *Weights {
	if o.PermitRate <= 0 {
		o.PermitRate = DefaultPermitRate
	}
	w := &Weights{
		base:    newBase("weights", o.Exit),
		limiter: rate.NewLimiter(rate.Limit(o.PermitRate), max(1, o.Burst)),
	}
	w.api = platformServer(w)
	return w
}

// TakeWeightPermit implements platformapi.Handler. The permit counts against the
// rate even if the caller never loads.
func (w *Weights) TakeWeightPermit(_ context.Context, p platformapi.TakeWeightPermitParams) (*platformapi.WeightPermit, error) {
	w.witness.add(Run{RequestID: p.Model, Target: "permit", State: RunFinished})
	wait := w.limiter.Reserve().Delay()
	return &platformapi.WeightPermit{WaitMs: int64(wait / time.Millisecond)}, nil
}
