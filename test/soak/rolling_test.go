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

// rollingPrompts are lengths of prompts and of answers in tokens, from the most frequent to the rarest.
var rollingPrompts = []struct{ prompt, answer int }{{1000, 800}, {5000, 1600}, {45_000, 960}, {210_000, 780}}

// rollingPatience is what callers allow for a request.
const rollingPatience = 15 * time.Second

// roll sends requests until the context ends: most are streams of an engine that keeps its figures.
func (c *caller) roll(ctx context.Context) {
	for ctx.Err() == nil {
		version := c.rig.history.newestVersion() - 1
		switch n := c.rng.IntN(20); {
		case n < 2:
			c.sendRolling(kindOnce, 0, 0, c.workQuery(), version)
		case n < 4:
			c.sendRolling(kindAgain, 0, 0, c.workQuery(), version)
		default:
			k := min(int(c.rng.ExpFloat64()), len(rollingPrompts)-1)
			p := rollingPrompts[k]
			c.sendRolling(kindStream, p.prompt, p.answer, "stream=1&figures=1", version)
		}
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(callerPause)))
	}
}

// halfBody is a body whose second half comes after a pause.
type halfBody struct {
	io.Reader // of what is left
	rest      string
	pause     time.Duration
	sent      func() // called when the whole body has been read
}

// Read implements io.Reader.
func (b *halfBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != io.EOF || n > 0 {
		return n, nil
	}
	if b.rest == "" {
		b.sent()
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.Reader, b.rest = strings.NewReader(b.rest), ""
	return b.Read(p)
}

// maxBodyPause is the longest pause in the middle of a body.
const maxBodyPause = 2 * time.Second

// sendRolling sends one request, some with a pause inside its body. The outcome's time of sending is that
// of its last byte. One that fails before that counts as abandoned.
func (c *caller) sendRolling(kind string, prompt, answer int, query string, keyOf int) {
	c.count++
	id := fmt.Sprintf("%s-%d", c.name, c.count)
	body := strings.Repeat(id, 1+c.rng.IntN(300))
	o := c.newOutcome(id, kind, keyOf)
	var mu sync.Mutex
	last := o.sent // when the last byte was sent
	reader := io.Reader(strings.NewReader(body))
	if c.rng.IntN(8) == 0 {
		last = time.Time{}
		reader = &halfBody{
			Reader: strings.NewReader(body[:len(body)/2]), rest: body[len(body)/2:], pause: time.Duration(c.rng.Int64N(int64(maxBodyPause))),
			sent: func() {
				mu.Lock()
				defer mu.Unlock()
				last = time.Now()
			},
		}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.d.address+"/"+kind+"/x?"+query, reader)
	if err != nil {
		panic(err)
	}
	req.ContentLength = int64(len(body))
	req.Host = "h"
	call := standin.Call{ID: id, Key: customerKey(c.customer, keyOf), Timeout: rollingPatience, PromptTokens: prompt, MaxTokens: answer, PromptPart: c.rng.Uint32()}
	call.SetHeaders(req.Header)
	res, err := c.client.Do(req)
	if err == nil {
		o.status, o.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
		var text []byte
		text, err = io.ReadAll(res.Body)
		res.Body.Close()
		o.own = standin.HasProof(res.Header) && string(text) == expectedBody(kind, id, body)
	}
	o.failed, o.done = err, time.Now()
	mu.Lock()
	if last.IsZero() {
		o.abandoned = err != nil
	} else {
		o.sent = last
	}
	mu.Unlock()
	c.rig.history.addOutcome(o)
	if err != nil || o.status != http.StatusOK {
		time.Sleep(queuePause)
	}
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
	t.Logf("seed %d, %d daemons, %d disruptions, %d cut at servers as allowed: %s", seed, daemons, len(p.plan), r.history.cutAtServers(), r.history.summary())
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
