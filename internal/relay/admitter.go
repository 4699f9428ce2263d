package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/buckthorndock/buckthorndock/internal/core/quarantine"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
	"github.com/buckthorndock/buckthorndock/internal/shutdown"
)

// Call is a request as the caller binding has read it, before anything was decided.
type Call struct {
	ID           string
	Key          string // API key of the customer, empty if there is none
	Method       string
	URI          string // path and query as sent
	Path         string // the URI without its query, as sent
	Proto        string // HTTP version, as HTTP/1.1
	Host         string
	Header       http.Header // headers to forward to the upstream
	PromptTokens int         // length of the prompt
	MaxTokens    int         // limit on the answer
	PromptParts  []uint64    // hashes of the parts of the prompt that other calls may share
	LastEvent    string
	Timeout      time.Duration // how long the caller waits; zero if it does not say
	Arrived      time.Time
}

// Admitter decides whether a call is admitted as a request, and builds that request.
type Admitter struct {
	relay *Relay
	table atomic.Pointer[route.Table]
	log   *logrus.Entry

	inFlight         atomic.Int64
	admitted         atomic.Int64
	shutdownDeadline atomic.Pointer[time.Time] // nil while the daemon is not shutting down

	startedAt time.Time
	readyOnce sync.Once
	ready     chan struct{} // closed when the daemon can serve

	demandOnce sync.Once
	demanded   chan struct{} // closed when a call waits for ready
}

// NewAdmitter returns an Admitter that refuses all calls until it has a routing table.
func NewAdmitter(r *Relay, log *logrus.Entry) *Admitter {
	return &Admitter{relay: r, log: log, startedAt: time.Now(), ready: make(chan struct{}), demanded: make(chan struct{})}
}

// Limits on how long calls wait for a daemon that has just started. It knows settings and
// upstreams 20 ms after its start if the store answers, and soon after from another daemon.
// Callers that arrive earlier are still served in time, whereas a refusal would send them to
// other daemons that have started at the same time.
const (
	maxStartWait = 250 * time.Millisecond // per call
	startPeriod  = time.Second            // after the start; a start that takes longer is not waited for
)

// MarkReady records that the daemon can serve. It may be called several times.
func (d *Admitter) MarkReady() { d.readyOnce.Do(func() { close(d.ready) }) }

// Demanded returns a channel that is closed when a call has come before the daemon could
// serve.
func (d *Admitter) Demanded() <-chan struct{} { return d.demanded }

// AwaitReady waits until a daemon that has just started can serve, for maxStartWait at most.
func (d *Admitter) AwaitReady(ctx context.Context) {
	select {
	case <-d.ready:
		return
	default:
		d.demandOnce.Do(func() { close(d.demanded) })
	}
	left := min(maxStartWait, startPeriod-time.Since(d.startedAt))
	if left <= 0 {
		return
	}
	select {
	case <-d.ready:
	case <-time.After(left):
	case <-ctx.Done():
	}
}

// SetTable installs a newer routing table. It returns false if t is not newer than the
// current one.
func (d *Admitter) SetTable(t *route.Table) bool {
	for {
		before := d.table.Load()
		if before != nil && t.Version() <= before.Version() {
			return false
		}
		if d.table.CompareAndSwap(before, t) {
			return true
		}
	}
}

// Table returns the routing table in use, nil if there is none yet.
func (d *Admitter) Table() *route.Table { return d.table.Load() }

// SetShutdownDeadline makes the Admitter refuse calls that may not end before the given
// time, so that every admitted request can be finished. Shorter calls are still served,
// because a balancer that has no better choice keeps sending them. The zero time refuses all
// calls.
func (d *Admitter) SetShutdownDeadline(at time.Time) { d.shutdownDeadline.Store(&at) }

// Admitted returns how many calls have been admitted.
func (d *Admitter) Admitted() int64 { return d.admitted.Load() }

// Shutdown tells when this daemon ends.
func (d *Admitter) Shutdown() *shutdown.Control { return d.relay.opts.Shutdown }

// InFlight returns the number of requests in progress.
func (d *Admitter) InFlight() int { return int(d.inFlight.Load()) }

// retryAfterStart is the time after which callers may retry at a daemon that has just
// started: it is expected to be ready by then.
const retryAfterStart = 300 * time.Millisecond

// Admit checks a call against the routing table. It returns the request, without its body,
// or a refusal, which it logs.
func (d *Admitter) Admit(c *Call) (*Request, *request.Refusal) {
	req, refusal := d.admit(c)
	if refusal != nil {
		d.log.WithFields(logrus.Fields{
			"request": c.ID, "host": c.Host, "path": c.Path, "code": string(refusal.Code), "why": refusal.Message,
		}).Info("request_refused")
		d.relay.tally.recordRefusal(req, refusal, time.Now())
		return nil, jitterRetryAfter(refusal)
	}
	return req, nil
}

// admit is Admit without the log line. The request comes with a refusal too if its route is known.
func (d *Admitter) admit(c *Call) (*Request, *request.Refusal) {
	t := d.table.Load()
	if t == nil {
		return nil, request.Refuse(request.CodeNotReady, retryAfterStart, "no settings yet")
	}
	r := t.Match(c.Host, c.Path)
	if r == nil {
		return nil, request.Refuse(request.CodeUnknownTarget, 0, "no route matches")
	}
	customer := t.CustomerOf(c.Key)
	if customer == nil && t.NeedsKey(r) {
		return nil, request.Refuse(request.CodeUnauthorized, 0, "the key is unknown")
	}
	req := d.newRequest(c, t, r, customer)
	if by := d.shutdownDeadline.Load(); by != nil && req.expectedEnd().After(*by) {
		return req, leavingRefusal()
	}
	d.admitted.Add(1)
	return req, nil
}

func (d *Admitter) newRequest(c *Call, t *route.Table, r *route.Route, customer *route.Customer) *Request {
	service := t.Service(r.Pick(rand.Float64()))
	req := &Request{
		ID:           c.ID,
		Route:        r,
		Service:      service,
		Version:      t.Version(),
		Priority:     r.Priority,
		Method:       c.Method,
		URI:          c.URI,
		Proto:        c.Proto,
		Host:         c.Host,
		Header:       c.Header,
		PromptTokens: c.PromptTokens,
		MaxTokens:    c.MaxTokens,
		LastEvent:    c.LastEvent,
		Work:         quarantine.Work{Parts: c.PromptParts},
		Arrived:      c.Arrived,
		Deadline:     c.Arrived.Add(r.Timeout),
	}
	if customer != nil {
		req.Customer = customer.Name
		if customer.Priority != nil {
			req.Priority = *customer.Priority
		}
	}
	if c.Timeout > 0 && c.Timeout < r.Timeout {
		req.Deadline = c.Arrived.Add(c.Timeout)
	}
	if service.Engine != nil && req.PromptTokens == 0 {
		req.PromptTokens, req.MaxTokens = service.Engine.UsualPrompt, service.Engine.UsualAnswer
	}
	return req
}

// Body is the body of a call.
type Body struct {
	io.Reader
	Length int64 // in bytes; -1 if the caller did not give it
	// Interrupt makes a read that waits for the caller fail, now and later.
	Interrupt func()
}

// ReadBody reads the body of an admitted request into req. It refuses the request if the daemon shuts
// down, or its deadline passes, before the whole body has arrived. The returned function releases the body's memory and must
// be called when the request has ended.
func (d *Admitter) ReadBody(req *Request, body Body) (free func(), refusal *request.Refusal) {
	limit := d.Table().Limits().BodyBytes
	stop := d.relay.opts.Shutdown.AfterSending(body.Interrupt)
	late := time.AfterFunc(time.Until(req.Deadline), body.Interrupt)
	data, free, err := d.relay.opts.BodyMemory.ReadBody(body, limit)
	interrupted := !stop()
	expired := !late.Stop()
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		// A caller that is still sending when its connection is closed would not see the answer.
		_, _ = io.CopyN(io.Discard, body, limit)
		refusal = request.Refuse(request.CodeTooLarge, 0, "the body exceeds %d bytes", limit)
	case errors.Is(err, ErrBodiesFull):
		refusal = request.Refuse(request.CodeQueueFull, retryAfterFailure, "no memory is left for the body")
	case interrupted:
		refusal = leavingRefusal()
	case expired && err != nil:
		refusal = request.Refuse(request.CodeDeadline, 0, "the body did not arrive in time")
	case err != nil:
		refusal = request.Refuse(request.CodeBadRequest, 0, "the body cannot be read")
	}
	req.Body = data
	d.relay.tally.recordRefusal(req, refusal, time.Now())
	return free, refusal
}

// Serve carries an admitted request with its body to its end; see Relay.Run.
func (d *Admitter) Serve(ctx context.Context, req *Request, sink Sink) *request.Refusal {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	req.Work.Fingerprint = fingerprint(req)
	return d.relay.Run(ctx, req, sink)
}

// fingerprint identifies the work of a request: customer, method, URI and body. The same
// work sent again has the same fingerprint.
func fingerprint(req *Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{req.Customer, "\x00", req.Method, "\x00", req.URI, "\x00"} {
		_, _ = h.WriteString(part) // never fails
	}
	_, _ = h.Write(req.Body) // never fails
	return h.Sum64()
}
