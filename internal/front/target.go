package front

import (
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/deaths"
	"github.com/buckthorndock/buckthorndock/internal/owner"
	"github.com/buckthorndock/buckthorndock/internal/upstream"
)

// target is the engine or gang to which an attempt is sent.
type target struct {
	decision  placement.Decision
	placement placement.Placement

	run         quarantine.Run         // identifies the attempt in the quarantine
	begun       bool                   // its answer has begun, as the quarantine counts it
	incarnation string                 // of the engine when it was chosen, empty when unknown
	reservation string                 // id of the reserved memory, empty when none
	gang        []placement.GangMember // the receiver first; nil for one engine
}

func newTarget(j *job, attempt int, d placement.Decision) *target {
	return &target{decision: d, placement: newPlacement(j, attempt, d)}
}

// newPlacement returns the placement of an attempt, as recorded with the router.
func newPlacement(j *job, attempt int, d placement.Decision) placement.Placement {
	return placement.Placement{
		ID:        placement.ID{Request: j.req.ID, Attempt: attempt},
		Upstream:  d.Chosen.Name,
		Model:     j.req.Target,
		Priority:  d.EnginePriority,
		Tokens:    j.req.PromptTokens,
		MaxTokens: j.req.MaxTokens,
		Cached:    d.Chosen.Estimate.Cached,
		Prefix:    j.req.Prefix,
		Deadline:  j.req.Deadline,
	}
}

func (t *target) name() string    { return t.decision.Chosen.Name }
func (t *target) address() string { return t.decision.Chosen.Address }

// toCheck returns the engine as the checks of deaths identify it.
func (t *target) toCheck() deaths.Upstream {
	return deaths.Upstream{ID: t.name(), Address: t.address(), Domain: t.decision.Chosen.Domain}
}

// restarted reports whether the engine has restarted since the attempt was sent.
func (t *target) restarted(now upstream.AttemptStatus) bool {
	return t.incarnation != "" && now.Incarnation != t.incarnation
}

// names returns the names of all engines of the target.
func (t *target) names() []string {
	if len(t.gang) == 0 {
		return []string{t.name()}
	}
	names := make([]string, len(t.gang))
	for i, m := range t.gang {
		names[i] = m.Name
	}
	return names
}

// engine returns the engine as the owner.Holder identifies it.
func (t *target) engine(j *job) owner.Engine {
	return owner.Engine{Name: t.name(), Address: t.address(), Pool: j.pool.Name}
}

// engineRequest returns the request to send to the engine.
func (g *generation) engineRequest(t *target) *upstream.GenerateRequest {
	req := g.job.req
	er := &upstream.GenerateRequest{
		RequestID:    req.ID,
		Attempt:      g.attempt,
		Model:        req.Target,
		Prompt:       g.job.prompt,
		PromptTokens: req.PromptTokens,
		PrefixBlocks: placement.HexBlocks(req.Prefix),
		MaxTokens:    req.MaxTokens,
		Priority:     int(t.decision.EnginePriority),
		ResumeFrom:   g.asm.NextIndex(),
		DeadlineMs:   engineapi.NewOptInt64(time.Until(req.Deadline).Milliseconds()),
		Holder:       engineapi.Holder{Host: g.s.opts.Host, Incarnation: g.s.opts.Incarnation},
	}
	if g.text.Len() > 0 {
		er.AnswerSoFar = engineapi.NewOptString(g.text.String())
	}
	for _, m := range t.gang {
		er.Gang = append(er.Gang, m.Address)
	}
	if t.reservation != "" {
		er.ReservationID = engineapi.NewOptString(t.reservation)
	}
	return er
}
