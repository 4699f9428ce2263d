package upstream

import (
	"context"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
)

// Phase is the progress of an attempt on its engine.
type Phase string

// Phases of an attempt.
const (
	PhaseUnknown  Phase = "" // the engine does not know the attempt
	PhaseQueued   Phase = Phase(engineapi.RunningPhaseQueued)
	PhasePrefill  Phase = Phase(engineapi.RunningPhasePrefill)
	PhaseDecode   Phase = Phase(engineapi.RunningPhaseDecode)
	PhaseOrphaned Phase = Phase(engineapi.RunningPhaseOrphaned)
)

// AttemptStatus is an engine's report on one attempt.
type AttemptStatus struct {
	Phase       Phase
	Incarnation string // of the engine, shortened as in load reports
}

// Probe reads the phase of an attempt from its engine on a new connection. An error
// means that the engine cannot be reached now or refused the call.
func (c *Client) Probe(ctx context.Context, address, requestID string, attempt int) (AttemptStatus, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	books, err := c.Books(ctx, address)
	if err != nil {
		return AttemptStatus{}, err
	}
	standing := AttemptStatus{Incarnation: placement.ShortIncarnation(books.Incarnation)}
	for _, r := range books.Running {
		if r.RequestID == requestID && r.Attempt == attempt {
			standing.Phase = Phase(r.Phase)
		}
	}
	return standing, nil
}

// Books reads, on a new connection, everything that holds memory on an engine.
func (c *Client) Books(ctx context.Context, address string) (*engineapi.Books, error) {
	ec, err := c.dispatchClient(address)
	if err != nil {
		return nil, err
	}
	res, err := ec.GetBooks(ctx)
	if err != nil {
		return nil, classify(err)
	}
	switch r := res.(type) {
	case *engineapi.Books:
		return r, nil
	case *engineapi.RefusalStatusCode:
		return nil, refusedFrom(r)
	}
	return nil, unexpectedAnswer(res)
}
