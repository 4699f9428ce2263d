package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

// crowd collects the results of calls that run in the background of a scenario.
type crowd struct {
	wg sync.WaitGroup

	mu       sync.Mutex
	complete int
	failures []string
}

// cmdCrowd sends COUNT completions of different prompts at once and does not wait
// for them: crowd DAEMON TOKEN MODEL COUNT TOKENS.
func cmdCrowd(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 5, "crowd DAEMON TOKEN MODEL COUNT TOKENS")
	s := siteOf(ts)
	address := s.process(ts, args[0]).address
	count, err := strconv.Atoi(args[3])
	ts.Check(err)
	tokens, err := strconv.Atoi(args[4])
	ts.Check(err)
	for i := range count {
		prompt := fmt.Sprintf("innocent %d of %s", i, args[0])
		s.crowd.wg.Go(func() {
			s.crowd.record(completeOnce(address, args[1], args[2], prompt, tokens))
		})
	}
}

func (c *crowd) record(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.complete++
		return
	}
	c.failures = append(c.failures, err.Error())
}

// completeOnce sends a completion and checks that the answer is the whole answer
// to its own prompt.
func completeOnce(address, token, model, prompt string, tokens int) error {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: 2 * waitTimeout}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	var a struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(text, &a); err != nil {
		return err
	}
	if len(a.Choices) != 1 || a.Choices[0].Text != answer.FullText(prompt, tokens) {
		return fmt.Errorf("the answer is not the whole answer to %q: %s", prompt, text)
	}
	return nil
}

// cmdCrowdComplete waits until all calls of the crowd have ended, and checks that
// COUNT of them were complete: crowdcomplete COUNT.
func cmdCrowdComplete(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "crowdcomplete COUNT")
	c := &siteOf(ts).crowd
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if got := strconv.Itoa(c.complete); got != args[0] {
		ts.Fatalf("%s complete, not %s; failures: %q", got, args[0], c.failures)
	}
}

// cmdKeepAlive restarts the named processes at their old addresses whenever they
// exit, as the platform does: keepalive NAME...
func cmdKeepAlive(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "keepalive NAME...")
	s := siteOf(ts)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, name := range args {
		p := s.process(ts, name)
		p.args[2] = p.address
		wg.Go(func() { s.keepAlive(p, stop) })
	}
	ts.Defer(func() {
		close(stop)
		wg.Wait()
	})
}

// restartDelay is the time from the exit of a process to its restart.
const restartDelay = 300 * time.Millisecond

func (s *site) keepAlive(p *process, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-p.exited:
		}
		s.deaths.Add(1)
		time.Sleep(restartDelay)
		if p.launch() != nil {
			return
		}
	}
}

// cmdDeaths checks how many exits of processes keepalive has seen: deaths COUNT.
// COUNT- allows fewer.
func cmdDeaths(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "deaths COUNT[-]")
	got := int(siteOf(ts).deaths.Load())
	limit, atMost := bytes.CutSuffix([]byte(args[0]), []byte("-"))
	want, err := strconv.Atoi(string(limit))
	ts.Check(err)
	if got != want && !(atMost && got < want) {
		ts.Fatalf("%d deaths, not %s", got, args[0])
	}
}
