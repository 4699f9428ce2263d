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

	"github.com/buckthorndock/buckthorndock/internal/core/request"
	"github.com/buckthorndock/buckthorndock/internal/core/route"
)

// Call is a request as an entry binding has read it, before anything was decided.
type Call struct {
	ID           string
	Key          string // of the customer, empty without one
	Method       string
	URI          string // path and query as sent
	Path         string // the URI without its query, as sent
	Host         string
	Header       http.Header // those that are meant for the upstream
	PromptTokens int         // tokens
	MaxTokens    int         // tokens at the most
	LastEvent    string
	Timeout      time.Duration // how long the caller waits; zero: it does not say
	Arrived      time.Time
}

// Admitter decides whether a call becomes a request, and which.
type Admitter struct {
	relay *Relay
	table atomic.Pointer[route.Table]
	log   *logrus.Entry

	inFlight atomic.Int64
	admitted atomic.Int64
	leaveBy  atomic.Pointer[time.Time] // nil: it stays

	begun time.Time
	opens sync.Once
	open  chan struct{} // closed when the daemon can serve

	wants  sync.Once
	wanted chan struct{} // closed when a call waits for it
}

// NewAdmitter returns a Door that refuses all until it has a table.
func NewAdmitter(r *Relay, log *logrus.Entry) *Admitter {
	return &Admitter{relay: r, log: log, begun: time.Now(), open: make(chan struct{}), wanted: make(chan struct{})}
}

// Bounds of the wait at a daemon that has just started. It knows settings and upstreams
// 20 ms after its start if the store answers, and soon another daemon; callers that
// meet it before then are served in time, where a refusal would send them to others that
// have started with it.
const (
	startHold = 250 * time.Millisecond // of one call
	startSpan = time.Second            // since the start; what takes longer takes long
)

// MarkReady tells that the daemon can serve.
func (d *Admitter) MarkReady() { d.opens.Do(func() { close(d.open) }) }

// Demanded returns a channel that is closed when a call has come before the daemon could serve.
func (d *Admitter) Demanded() <-chan struct{} { return d.wanted }

// AwaitReady waits a moment until a daemon that has just started can serve.
func (d *Admitter) AwaitReady(ctx context.Context) {
	select {
	case <-d.open:
		return
	default:
		d.wants.Do(func() { close(d.wanted) })
	}
	left := min(startHold, startSpan-time.Since(d.begun))
	if left <= 0 {
		return
	}
	select {
	case <-d.open:
	case <-time.After(left):
	case <-ctx.Done():
	}
}

// SetTable replaces the table by a newer one. It returns false for one that is not newer.
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

// Table returns the table in use, nil before there is one.
func (d *Admitter) Table() *route.Table { return d.table.Load() }

// SetShutdownDeadline makes the Door refuse the calls that may not have ended by a time: all that is
// admitted is to be finished. Others are served on, for a balancer without a better choice
// still sends them.
func (d *Admitter) SetShutdownDeadline(at time.Time) { d.leaveBy.Store(&at) }

// Admitted returns how many calls have become requests.
func (d *Admitter) Admitted() int64 { return d.admitted.Load() }

// InFlight returns the number of requests in progress.
func (d *Admitter) InFlight() int { return int(d.inFlight.Load()) }

// notReadyAfter is when a daemon that has just started is expected to be ready.
const notReadyAfter = 300 * time.Millisecond

// Admit checks a call against the table and returns the request, its body still to
// be filled in.
func (d *Admitter) Admit(c *Call) (*Request, *request.Refusal) {
	req, refusal := d.admit(c)
	if refusal != nil {
		d.log.WithFields(logrus.Fields{
			"request": c.ID, "host": c.Host, "path": c.Path, "code": string(refusal.Code), "why": refusal.Message,
		}).Info("request_refused")
	}
	return req, spread(refusal)
}

func (d *Admitter) admit(c *Call) (*Request, *request.Refusal) {
	t := d.table.Load()
	if t == nil {
		return nil, request.Refuse(request.CodeNotReady, notReadyAfter, "no settings yet")
	}
	r := t.Match(c.Host, c.Path)
	if r == nil {
		return nil, request.Refuse(request.CodeUnknownTarget, 0, "no route matches")
	}
	customer := t.CustomerOf(c.Key)
	if customer == nil && t.NeedsKey(r) {
		return nil, request.Refuse(request.CodeUnauthorized, 0, "the key is unknown")
	}
	req := d.build(c, t, r, customer)
	if by := d.leaveBy.Load(); by != nil && req.endsBy().After(*by) {
		return nil, request.Refuse(request.CodeLeaving, retryAfterLeaving, "this daemon shuts down")
	}
	d.admitted.Add(1)
	return req, nil
}

func (d *Admitter) build(c *Call, t *route.Table, r *route.Route, customer *route.Customer) *Request {
	service := t.Service(r.Pick(rand.Float64()))
	req := &Request{
		ID:           c.ID,
		Route:        r,
		Service:      service,
		Version:      t.Version(),
		Priority:     r.Priority,
		Method:       c.Method,
		URI:          c.URI,
		Host:         c.Host,
		Header:       c.Header,
		PromptTokens: c.PromptTokens,
		MaxTokens:    c.MaxTokens,
		LastEvent:    c.LastEvent,
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

// ReadBody takes in the body of an admitted request, whose length is -1 where it is not told.
// The function that it returns is called when the request has ended.
func (d *Admitter) ReadBody(req *Request, body io.Reader, length int64) (free func(), refusal *request.Refusal) {
	limit := d.Table().Limits().BodyBytes
	data, free, err := d.relay.opts.BodyMemory.Read(body, length, limit)
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		// A caller that still sends when its connection is closed does not see the answer.
		_, _ = io.CopyN(io.Discard, body, limit)
		refusal = request.Refuse(request.CodeTooLarge, 0, "the body is over %d bytes", limit)
	case errors.Is(err, ErrBodiesFull):
		refusal = request.Refuse(request.CodeQueueFull, retryAfterFailure, "no memory is left for the body")
	case err != nil:
		refusal = request.Refuse(request.CodeBadRequest, 0, "the body cannot be read")
	}
	req.Body = data
	return free, refusal
}

// Serve takes an admitted request with its body to its end; see Relay.Run.
func (d *Admitter) Serve(ctx context.Context, req *Request, sink Sink) *request.Refusal {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	req.Fingerprint = fingerprint(req)
	return d.relay.Run(ctx, req, sink)
}

// fingerprint names the work of a request, whoever sends it again and when.
func fingerprint(req *Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{req.Customer, "\x00", req.Method, "\x00", req.URI, "\x00"} {
		_, _ = h.WriteString(part) // a hash takes all
	}
	_, _ = h.Write(req.Body) // a hash takes all
	return h.Sum64()
}
