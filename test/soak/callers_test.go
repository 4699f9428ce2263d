package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

// Kinds of requests, each the first part of the path.
const (
	kindOnce   = "once"   // must run at most once
	kindAgain  = "again"  // may be repeated
	kindStream = "stream" // generation at an engine, as a stream of events
)

// callerDeadline is the deadline that callers state. They wait for much longer (callerPatience), so
// that a hang is seen as one.
const (
	callerDeadline = 3 * time.Second
	callerPatience = 60 * time.Second
	callerPause    = 40 * time.Millisecond // mean, between two requests of one caller
	abandonAfter   = 400 * time.Millisecond
)

// outcome is the result of one request as its caller saw it.
type outcome struct {
	id, kind, daemon string
	incarnation      int64  // of the daemon
	key              int    // settings version whose key it used
	customer         string // of a competitor
	sent, done       time.Time
	lastByte         time.Time // when the last byte was sent; zero: with the first
	status           int
	retryAfter       string
	own              bool // the body is the server's own and whole
	failed           error
	abandoned        bool // the caller disconnected on purpose
}

// caller sends requests to one daemon over keep-alive connections.
type caller struct {
	rig    *rig
	d      *daemon
	client *http.Client
	rng    *rand.Rand
	name   string
	count  int
	// customer is that of a competitor; empty: the customer of all other callers.
	customer string
}

func (r *rig) newCaller(d *daemon, n int, seed uint64) *caller {
	return &caller{
		rig: r, d: d, name: fmt.Sprintf("%s-%d", d.name, n),
		rng:    rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Timeout: callerPatience, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}},
	}
}

// run sends requests until the context ends, and waits for the last one.
func (c *caller) run(ctx context.Context, all *sync.WaitGroup) {
	defer all.Done()
	for ctx.Err() == nil {
		version := c.rig.history.newestVersion()
		switch n := c.rng.IntN(100); {
		case n < 6:
			c.abandon()
		case n < 14: // the newest key, or one that no daemon with new settings allows
			c.send(kindOnce, "", version-2*c.rng.IntN(2))
		case n < 45:
			c.send(kindOnce, c.workQuery(), version-1)
		case n < 70:
			c.send(kindAgain, c.workQuery(), version-1)
		default:
			c.send(kindStream, "stream=1&"+c.workQuery(), version-1)
		}
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(callerPause)))
	}
}

func (c *caller) workQuery() string { return "work=" + strconv.Itoa(c.rng.IntN(60)) }

func (c *caller) request(ctx context.Context, kind, query string, keyOf int) (*http.Request, string) {
	c.count++
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	body := strings.Repeat(id, 1+c.rng.IntN(300))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.d.address+"/"+kind+"/x?"+query, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "h"
	call := standin.Call{ID: id, Key: customerKey(c.customer, keyOf), Timeout: callerDeadline}
	if kind == kindStream {
		call.PromptTokens, call.MaxTokens, call.PromptPart = 2000, 100, c.rng.Uint32()
		if c.rng.IntN(4) == 0 {
			call.PromptTokens = 200_000 // prefill is split over several engines
		}
	}
	if strings.Contains(query, "endless") {
		call.Timeout = endlessCount * endlessPause
	}
	call.SetHeaders(req.Header)
	return req, body
}

func (c *caller) newOutcome(id, kind string, keyOf int) outcome {
	return outcome{id: id, kind: kind, daemon: c.d.name, incarnation: c.d.starts.Load(), key: keyOf, customer: c.customer, sent: time.Now()}
}

// send sends one request and records and returns its outcome.
func (c *caller) send(kind, query string, keyOf int) outcome {
	req, body := c.request(context.Background(), kind, query, keyOf)
	o := c.newOutcome(standin.ID(req.Header), kind, keyOf)
	res, err := c.client.Do(req)
	if err == nil {
		err = o.readAnswer(res, body)
	}
	o.failed, o.done = err, time.Now()
	c.rig.history.addOutcome(o)
	return o
}

// readAnswer records the answer to a request with a body. It returns the error of reading it.
func (o *outcome) readAnswer(res *http.Response, body string) error {
	defer res.Body.Close()
	o.status, o.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
	text, err := io.ReadAll(res.Body)
	o.own = standin.HasProof(res.Header) && string(text) == expectedBody(o.kind, o.id, body)
	return err
}

func expectedBody(kind, id, body string) string {
	if kind != kindStream {
		return ownAnswer(id, body)
	}
	var all strings.Builder
	for n := range streamEvents {
		all.WriteString(ownEvent(id, n+1))
	}
	return all.String()
}

// abandon starts a long stream and disconnects before its end.
func (c *caller) abandon() {
	ctx, cancel := context.WithTimeout(context.Background(), abandonAfter)
	defer cancel()
	req, _ := c.request(ctx, kindStream, "stream=endless", c.rig.history.newestVersion()-1)
	o := c.newOutcome(standin.ID(req.Header), kindStream, 0)
	res, err := c.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	if errors.Is(err, context.DeadlineExceeded) {
		o.abandoned, o.done = true, time.Now()
		c.rig.history.addOutcome(o)
	}
}
