package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/cli/caller"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/wait"
)

// RunOptions say where a schedule is sent.
type RunOptions struct {
	Addresses []string // IP:port of the daemons; requests go to them in turn
	Seed      uint64   // of the prompts
	// Verify says whether an answer belongs to its prompt and has the tokens
	// asked for. Nil accepts every answer.
	Verify func(prompt string, answerTokens int, answer string) bool
	// VerifyService does the same for a service's answer to a body.
	VerifyService func(body, answer string) bool
	// Progress is told of each request that ended; nil without interest.
	Progress func()
}

// Record is the end of one request: of its last attempt when the client came
// back after a Retry-After.
type Record struct {
	Arrival        *Arrival
	Started        time.Duration // from the start of the run
	Ended          time.Duration
	Outcome        request.Outcome
	Code           request.Code
	RequestID      string
	Mismatch       bool // complete, and not the answer to its own prompt
	FirstToken     time.Duration
	Total          time.Duration // from the arrival to the end, waits included
	Gaps           []time.Duration
	RetryAfter     time.Duration // of the first refusal, zero without one
	RetriedAt      time.Duration // when the client came back, zero when it did not
	RefusalLatency time.Duration // how long the first refusal took, zero without one
}

// Late says that the answer was whole, but after its deadline.
func (r *Record) Late() bool {
	return r.Outcome == request.Complete && r.Total > r.Arrival.Deadline
}

// Good says that the answer was whole, the right one and in time.
func (r *Record) Good() bool {
	return r.Outcome == request.Complete && !r.Mismatch && !r.Late()
}

// runner sends one schedule.
type runner struct {
	opts    RunOptions
	client  *caller.Client
	prompts *promptSource
	start   time.Time
}

// Run sends the arrivals at their times, whatever the answers, and returns their
// records in the order of the arrivals once all have ended. When the context ends
// no more are sent, and the records are those of the arrivals that were sent.
func Run(ctx context.Context, arrivals []Arrival, opts RunOptions) []Record {
	r := &runner{opts: opts, client: caller.NewClient(), prompts: newPromptSource(opts.Seed), start: time.Now()}
	records := make([]Record, len(arrivals))
	sent := 0
	var wg sync.WaitGroup
	for i := range arrivals {
		if !wait.For(ctx, time.Until(r.start.Add(arrivals[i].At))) {
			break
		}
		sent++
		wg.Go(func() {
			records[i] = r.send(ctx, &arrivals[i])
			if opts.Progress != nil {
				opts.Progress()
			}
		})
	}
	wg.Wait()
	return records[:sent]
}

// send sends one request. A client that is refused comes back once, after the
// Retry-After it was given.
func (r *runner) send(ctx context.Context, a *Arrival) Record {
	call, check := r.call(a)
	rec := Record{Arrival: a, Started: time.Since(r.start)}
	res := r.client.Do(ctx, call, nil)
	if res.Outcome == request.NotRun && res.RetryAfter > 0 {
		rec.RetryAfter, rec.RefusalLatency = res.RetryAfter, res.Total
		if wait.For(ctx, res.RetryAfter) {
			rec.RetriedAt = time.Since(r.start)
			call.Address = r.opts.Addresses[(a.Seq+1)%len(r.opts.Addresses)]
			res = r.client.Do(ctx, call, nil)
		}
	}
	rec.Ended = time.Since(r.start)
	rec.Outcome, rec.Code, rec.RequestID = res.Outcome, res.Code, res.RequestID
	rec.FirstToken, rec.Gaps = res.FirstToken, res.Gaps
	rec.Total = rec.Ended - rec.Started
	rec.Mismatch = res.Outcome == request.Complete && !check(res.Answer)
	return rec
}

// call returns the call of an arrival and the check of its answer.
func (r *runner) call(a *Arrival) (caller.Call, func(answer string) bool) {
	c := caller.Call{
		Address:       r.opts.Addresses[a.Seq%len(r.opts.Addresses)],
		Token:         a.Customer.Token,
		Deadline:      a.Deadline,
		Priority:      a.Class.Priority,
		NotRepeatable: a.Class.NotRepeatable,
	}
	if a.Class.Keyed {
		c.Key = fmt.Sprintf("bench-%d-%016x", r.start.UnixNano(), a.Unique)
	}
	if a.Class.Service != "" {
		body := fmt.Sprintf(`{"ref":"%016x"}`, a.Unique)
		c.Service = &caller.ServiceCall{Name: a.Class.Service, Operation: a.Class.Operation, Body: json.RawMessage(body)}
		return c, func(answer string) bool {
			return r.opts.VerifyService == nil || r.opts.VerifyService(body, answer)
		}
	}
	prompt := r.prompts.prompt(a)
	c.Completion = &caller.Completion{Model: a.Class.Model, Prompt: prompt, MaxTokens: a.AnswerTokens, Stream: true}
	return c, func(answer string) bool {
		return r.opts.Verify == nil || r.opts.Verify(prompt, a.AnswerTokens, answer)
	}
}
