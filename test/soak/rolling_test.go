package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/platform/standin"
)

var (
	flagRollingDaemons = flag.Int("rolling-daemons", 6, "number of daemons in TestRollingRestartsLoseNothing")
	flagRollingWaves   = flag.Int("rolling-waves", 1, "number of waves of restarts in TestRollingRestartsLoseNothing")
	flagRollingGrace   = flag.Float64("rolling-grace", 8, "grace of its daemons in seconds")
)

// Times and shares of a day on which daemons are restarted in turn while engines leave.
const (
	rollingShare   = 0.45 // of the daemons in a wave
	rollingGap     = 1300 * time.Millisecond
	rollingRest    = 2 * time.Second // after a wave, beyond the grace
	rollingStart   = 2 * time.Second
	rollingCallers = 8 // at each daemon
	settingsEvery  = 1500 * time.Millisecond
	reloadEvery    = 900 * time.Millisecond
	scaleInEvery   = 1700 * time.Millisecond
)

// rollingPatience is what callers allow for a request.
const rollingPatience = 15 * time.Second

// rollingCall is what a request asks for.
type rollingCall struct {
	kind, query    string
	prompt, answer int // tokens of a stream
}

// rollingStreams are streams of an engine that keeps its figures, from the most frequent to the rarest.
var rollingStreams = []rollingCall{
	{kindStream, "stream=1&figures=1", 1000, 800},
	{kindStream, "stream=1&figures=1", 5000, 1600},
	{kindStream, "stream=1&figures=1", 45_000, 960},
	{kindStream, "stream=1&figures=1", 210_000, 780},
}

func (c *caller) drawRollingCall() rollingCall {
	switch n := c.rng.IntN(20); {
	case n < 2:
		return rollingCall{kind: kindOnce, query: c.workQuery()}
	case n < 4:
		return rollingCall{kind: kindAgain, query: c.workQuery()}
	}
	return rollingStreams[min(int(c.rng.ExpFloat64()), len(rollingStreams)-1)]
}

// roll sends requests, one after the other, until the context ends.
func (c *caller) roll(ctx context.Context) {
	for ctx.Err() == nil {
		if o := c.sendRolling(c.drawRollingCall()); o.status != http.StatusOK || o.failed != nil {
			time.Sleep(queuePause)
		}
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(callerPause)))
	}
}

// maxBodyPause is the longest pause in the middle of a body; halfBodyShare is the part of the requests
// with such a body.
const (
	maxBodyPause  = 2 * time.Second
	halfBodyShare = 1.0 / 8
)

// halfBody is a body whose second half comes after a pause. It is safe for concurrent use.
type halfBody struct {
	mu     sync.Mutex
	left   io.Reader
	second string // its second half, until that is read
	pause  time.Duration
	sentAt time.Time // when all was read; zero before
}

func (c *caller) newHalfBody(text string) *halfBody {
	half := len(text) / 2
	return &halfBody{left: strings.NewReader(text[:half]), second: text[half:], pause: time.Duration(c.rng.Int64N(int64(maxBodyPause)))}
}

// Read implements io.Reader.
func (b *halfBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := b.left.Read(p)
	if err == io.EOF && b.second != "" {
		time.Sleep(b.pause)
		b.left, b.second = strings.NewReader(b.second), ""
		n, err = b.left.Read(p)
	}
	if err == io.EOF {
		b.sentAt = time.Now()
	}
	return n, err
}

// sent returns when the last byte was sent, zero if not all was.
func (b *halfBody) sent() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sentAt
}

// sendRolling sends one request, some with a pause inside its body, and records and returns its outcome. A
// request that fails before its last byte is sent counts as abandoned.
func (c *caller) sendRolling(call rollingCall) outcome {
	c.count++
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	text := strings.Repeat(id, 1+c.rng.IntN(300))
	var body io.Reader = strings.NewReader(text)
	var half *halfBody
	if c.rng.Float64() < halfBodyShare {
		half = c.newHalfBody(text)
		body = half
	}
	key := c.rig.history.newestVersion() - 1
	o := c.newOutcome(id, call.kind, key)
	res, err := c.client.Do(c.rollingRequest(call, id, key, body, len(text)))
	if err == nil {
		err = o.readAnswer(res, text)
	}
	o.failed, o.done = err, time.Now()
	if half != nil {
		o.lastByte = half.sent()
		o.abandoned = o.lastByte.IsZero() && err != nil
	}
	c.rig.history.addOutcome(o)
	return o
}

func (c *caller) rollingRequest(call rollingCall, id string, key int, body io.Reader, length int) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.d.address+"/"+call.kind+"/x?"+call.query, body)
	if err != nil {
		panic(err)
	}
	req.ContentLength, req.Host = int64(length), "h"
	standin.Call{
		ID: id, Key: customerKey(c.customer, key), Timeout: rollingPatience,
		PromptTokens: call.prompt, MaxTokens: call.answer, PromptPart: c.rng.Uint32(),
	}.SetHeaders(req.Header)
	return req
}

// drawRolling returns waves in which a share of the daemons is restarted, one after the other, beside
// engines that leave, new settings and reloads.
func drawRolling(seed uint64, waves, daemons, servers int, grace time.Duration) (plan []disruption, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 16))
	length = rollingStart
	for range waves {
		order := rng.Perm(daemons)[:max(1, int(rollingShare*float64(daemons)+0.5))]
		for i, target := range order {
			param := ""
			if rng.IntN(3) == 0 {
				param = signalStorm
			}
			plan = append(plan, disruption{at: length + time.Duration(i)*rollingGap, kind: stopDaemon, param: param, target: target, duration: minDuration})
		}
		length += time.Duration(len(order))*rollingGap + grace + rollingRest
	}
	for at := time.Duration(0); at < length; at += settingsEvery {
		plan = append(plan, disruption{at: at, kind: newSettings})
	}
	for at := reloadEvery; at < length; at += reloadEvery {
		plan = append(plan, disruption{at: at, kind: reloadDaemon, target: rng.IntN(daemons), duration: minDuration})
	}
	for at := time.Duration(0); at < length; at += scaleInEvery {
		plan = append(plan, disruption{at: at, kind: rollServer, target: rng.IntN(2 * servers)})
	}
	return plan, length
}

// TestRollingRestartsLoseNothing guards against requests that a planned restart loses (review/4, its day
// with real processes): daemons are stopped and started in turn while engines are scarce and leave, settings
// change, bodies come in halves, and callers keep their connections.
func TestRollingRestartsLoseNothing(t *testing.T) {
	t.Parallel()
	for i := range *flagSeeds {
		seed := *flagSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRolling(t, seed) })
	}
}

func runRolling(t *testing.T, seed uint64) {
	daemons := *flagRollingDaemons
	p := scenario{
		seed: seed, daemons: daemons, servers: max(3, daemons/3), domains: numDomains, daemonDomains: numDomains,
		grace: time.Duration(*flagRollingGrace * float64(time.Second)), logPrefix: fmt.Sprintf("rolling%d-", seed),
	}
	p.plan, p.length = drawRolling(seed, *flagRollingWaves, daemons, p.servers, p.grace)
	p.sortPlan()
	r := newRig(t, p)
	r.history.graceIsShort = true // servers may be at work when it ends; checkLost says when
	r.history.patience = rollingPatience
	if !r.eventually(recoveryWait, r.allListen) || !r.eventually(recoveryWait, func() bool { return r.allServe(seed) }) {
		t.Fatal("the site does not serve before any disruption")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers, disruptions sync.WaitGroup
	for _, d := range r.daemons {
		for n := range rollingCallers {
			callers.Go(func() { r.newCaller(d, n, seed).roll(ctx) })
		}
	}
	end := time.Now().Add(p.length)
	r.runDisruptions(p.plan, &disruptions)
	time.Sleep(time.Until(end))
	disruptions.Wait()
	cancel()
	callers.Wait()
	t.Logf("seed %d, %d daemons, %d disruptions, %d streams cut: %s", seed, daemons, len(p.plan), r.history.cutAtServers(), r.history.summary())
	found := r.history.checkAll()
	r.history.checkLost(rollingPatience, p.grace, func(check, format string, args ...any) {
		found = append(found, finding{check, fmt.Sprintf(format, args...)})
	})
	reportFindings(t, p, found)
}

// cutAtServers counts the streams that had begun and broke off.
func (h *history) cutAtServers() int {
	n := 0
	for _, o := range h.outcomes {
		if o.status == http.StatusOK && errors.Is(o.failed, io.ErrUnexpectedEOF) {
			n++
		}
	}
	return n
}
