package front

import (
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndock/buckthorndock/internal/api/callerapi"
	"github.com/buckthorndock/buckthorndock/internal/claims"
	"github.com/buckthorndock/buckthorndock/internal/core/claim"
	"github.com/buckthorndock/buckthorndock/internal/core/placement"
	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

// maxRequestedDeadline is the longest deadline that a caller may request; a longer
// one is refused as a mistake.
const maxRequestedDeadline = 30 * 24 * time.Hour

// Block size and maximum number of the prefix hashes of one prompt.
const (
	prefixBlockBytes = 2048
	maxPrefixBlocks  = 64
)

// callParams holds the request headers that all operations share.
type callParams struct {
	key        callerapi.OptString
	repeatable callerapi.OptBool
	deadlineMs callerapi.OptInt64
	priority   callerapi.OptPriority
}

// job is one request with its state in the front.
type job struct {
	req      *request.Request
	customer *settings.CustomerView
	routing  settings.Routing
	pool     *settings.PoolView

	prompt string // of a generation
	body   []byte // of a service call
	sink   sink   // of a generation

	answer *answerSize // counts what is held of the answer

	gatePlacement       *placement.Decision  // place found during admission, recorded with the router
	deliveredTokens     int                  // tokens delivered to the caller
	relayedText         strings.Builder      // text delivered from the answer of another run
	permit              *claim.Permit        // to dispatch once; nil when the request is repeatable
	recording           *claims.AnswerWriter // stores the answer for repeats of the key; nil without a key
	neededWithoutCaller func() bool          // reports whether the answer is needed even if the caller disconnects; set with recording
}

// work returns what the job makes an upstream do.
func (j *job) work() quarantine.Work {
	return quarantine.Work{Fingerprint: j.req.Fingerprint, Parts: j.req.PromptParts}
}

// callDefaults holds the defaults of one request, from the settings or the operation.
type callDefaults struct {
	deadline   time.Duration
	priority   request.Priority
	repeatable bool
}

// newRequest returns a request with the fields that generations and service calls
// have in common.
func newRequest(id string, c *settings.CustomerView, p callParams, def callDefaults, now time.Time) (*request.Request, *request.Refusal) {
	deadline, refusal := effectiveDeadline(p.deadlineMs, def.deadline, c.Requests.MaxDeadline())
	if refusal != nil {
		return nil, refusal
	}
	return &request.Request{
		ID:         id,
		Customer:   c.Name,
		Path:       c.Path,
		Priority:   effectivePriority(p.priority, def.priority, c.Requests.MaxPriority()),
		Arrived:    now,
		Deadline:   now.Add(deadline),
		Repeatable: p.repeatable.Or(true) && def.repeatable,
		Key:        p.key.Or(""),
	}, nil
}

func effectiveDeadline(requested callerapi.OptInt64, def, longest time.Duration) (time.Duration, *request.Refusal) {
	ms, ok := requested.Get()
	if !ok {
		return min(def, longest), nil
	}
	if ms <= 0 || ms > int64(maxRequestedDeadline/time.Millisecond) {
		return 0, request.Refuse(request.CodeBadRequest, 0, "X-Deadline-Ms: %d is not between 1 and %d", ms, maxRequestedDeadline/time.Millisecond)
	}
	return min(time.Duration(ms)*time.Millisecond, longest), nil
}

func effectivePriority(requested callerapi.OptPriority, def, mostUrgent request.Priority) request.Priority {
	p := def
	if name, ok := requested.Get(); ok {
		p, _ = request.ParsePriority(string(name))
	}
	return max(p, mostUrgent)
}

// fingerprint returns a hash of a request's contents: equal for repeats of a request,
// different for other requests.
func fingerprint(customer, target, operation, body string, maxTokens int) uint64 {
	d := xxhash.New()
	for _, part := range []string{customer, target, operation, body} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write([]byte{byte(maxTokens), byte(maxTokens >> 8), byte(maxTokens >> 16), byte(maxTokens >> 24)})
	return d.Sum64()
}

// newGeneration builds the job of a completion or chat.
func (s *Server) newGeneration(id string, c *settings.CustomerView, p callParams, model string, text prompt, maxTokens callerapi.OptInt) (*job, *request.Refusal) {
	snap := s.opts.Settings.Current()
	m, err := snap.Model(c, model)
	if err != nil {
		return nil, asRefusal(err)
	}
	def := callDefaults{deadline: c.Requests.Deadline(), priority: c.Requests.DefaultPriority(), repeatable: true}
	req, refusal := newRequest(id, c, p, def, time.Now())
	if refusal != nil {
		return nil, refusal
	}
	req.Kind = request.Generate
	req.Target = model
	req.MaxTokens = maxTokens.Or(c.Requests.MaxTokens)
	req.PromptTokens = text.tokens
	if req.PromptTokens == 0 {
		perByte := s.opts.Router.TokensPerByte(model, 1/m.BytesPerToken)
		req.PromptTokens = max(1, int(math.Ceil(float64(len(text.text))*perByte)))
	}
	req.Prefix = placement.PrefixBlocks(text.text, prefixBlockBytes, maxPrefixBlocks)
	req.Fingerprint = fingerprint(c.Name, model, "", text.text, req.MaxTokens)
	req.PromptParts = promptParts(text.text)
	return &job{req: req, customer: c, routing: m.Routing, pool: m.Pool, prompt: text.text, answer: newAnswerSize(s.opts.AnswerMemory)}, nil
}

// newCall builds the job of a service call.
func (s *Server) newCall(id string, c *settings.CustomerView, p callParams, service, operation string, body []byte) (*job, *request.Refusal) {
	snap := s.opts.Settings.Current()
	op, err := snap.Operation(c, service, operation)
	if err != nil {
		return nil, asRefusal(err)
	}
	def := callDefaults{deadline: op.Deadline(), priority: c.Requests.DefaultPriority(), repeatable: op.Repeatable}
	if def.deadline == 0 {
		def.deadline = c.Requests.Deadline()
	}
	if priority, ok := request.ParsePriority(op.Priority); ok {
		def.priority = priority
	}
	req, refusal := newRequest(id, c, p, def, time.Now())
	if refusal != nil {
		return nil, refusal
	}
	req.Kind = request.Call
	req.Target = service
	req.Operation = operation
	req.Fingerprint = fingerprint(c.Name, service, operation, string(body), 0)
	return &job{req: req, customer: c, routing: op.Service.Routing, pool: op.Service.Pool, body: body, answer: newAnswerSize(s.opts.AnswerMemory)}, nil
}

// asRefusal returns err as a refusal. An error of another type becomes
// request.CodeInternal.
func asRefusal(err error) *request.Refusal {
	if r, ok := err.(*request.Refusal); ok {
		return r
	}
	return request.Refuse(request.CodeInternal, retryElsewhere, "internal error")
}
