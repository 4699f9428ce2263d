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

// Kinds of requests, which are the first part of their paths.
const (
	kindOnce   = "once"
	kindAgain  = "again"
	kindStream = "stream"
)

// callerDeadline is what callers state. They themselves wait for much longer, so that a
// hang shows as one.
const (
	callerDeadline = 3 * time.Second
	callerPatience = 60 * time.Second
	callerPause    = 40 * time.Millisecond // mean, between two requests of one caller
	leaveAfter     = 400 * time.Millisecond
)

// outcome is what a caller saw of one request.
type outcome struct {
	id, kind, daemon string
	incarnation      int64 // of the daemon
	key              int   // version whose key it bore
	sent, done       time.Time
	status           int
	retryAfter       string
	own              bool // the body is the server's own and whole
	failed           error
	left             bool // the caller left on purpose
}

// caller sends requests to one daemon over connections that it keeps open.
type caller struct {
	rig    *rig
	d      *daemon
	client *http.Client
	rng    *rand.Rand
	name   string
	count  int
}

func (r *rig) newCaller(d *daemon, n int, seed uint64) *caller {
	return &caller{
		rig: r, d: d, name: fmt.Sprintf("%s-%d", d.name, n),
		rng:    rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Timeout: callerPatience, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}},
	}
}

// run sends requests until the context ends; the last is waited for.
func (c *caller) run(ctx context.Context, all *sync.WaitGroup) {
	defer all.Done()
	for ctx.Err() == nil {
		version := c.rig.history.newest()
		switch n := c.rng.IntN(100); {
		case n < 6:
			c.leave()
		case n < 14: // the newest key, or one that no daemon with new settings allows
			c.send(kindOnce, "", version-2*c.rng.IntN(2))
		case n < 45:
			c.send(kindOnce, c.work(), version-1)
		case n < 70:
			c.send(kindAgain, c.work(), version-1)
		default:
			c.send(kindStream, "stream=1&"+c.work(), version-1)
		}
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(callerPause)))
	}
}

func (c *caller) work() string { return "work=" + strconv.Itoa(c.rng.IntN(60)) }

func (c *caller) request(ctx context.Context, kind, query string, keyOf int) (*http.Request, string) {
	c.count++
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	body := strings.Repeat(id, 1+c.rng.IntN(300))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.d.address+"/"+kind+"/x?"+query, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "h"
	call := standin.Call{ID: id, Key: key(keyOf), Timeout: callerDeadline}
	if kind == kindStream {
		call.PromptTokens, call.MaxTokens, call.PromptPart = 2000, 100, c.rng.Uint32()
		if c.rng.IntN(4) == 0 {
			call.PromptTokens = 200_000 // is read by several engines
		}
	}
	if strings.Contains(query, "endless") {
		call.Timeout = endlessCount * endlessPause
	}
	call.SetHeaders(req.Header)
	return req, body
}

func (c *caller) begin(id, kind string, keyOf int) outcome {
	return outcome{id: id, kind: kind, daemon: c.d.name, incarnation: c.d.starts.Load(), key: keyOf, sent: time.Now()}
}

// send sends one request and notes what came of it.
func (c *caller) send(kind, query string, keyOf int) outcome {
	req, body := c.request(context.Background(), kind, query, keyOf)
	o := c.begin(standin.ID(req.Header), kind, keyOf)
	res, err := c.client.Do(req)
	if err == nil {
		o.status, o.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
		var text []byte
		text, err = io.ReadAll(res.Body)
		res.Body.Close()
		o.own = standin.HasProof(res.Header) && string(text) == wanted(kind, o.id, body)
	}
	o.failed, o.done = err, time.Now()
	c.rig.history.add(o)
	return o
}

func wanted(kind, id, body string) string {
	if kind != kindStream {
		return ownAnswer(id, body)
	}
	var all strings.Builder
	for n := range streamEvents {
		all.WriteString(ownEvent(id, n+1))
	}
	return all.String()
}

// leave begins a long stream and goes away in its middle.
func (c *caller) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	req, _ := c.request(ctx, kindStream, "stream=endless", c.rig.history.newest()-1)
	o := c.begin(standin.ID(req.Header), kindStream, 0)
	res, err := c.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	if errors.Is(err, context.DeadlineExceeded) {
		o.left, o.done = true, time.Now()
		c.rig.history.add(o)
	}
}
