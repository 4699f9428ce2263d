package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/buckthorndock/buckthorndock/internal/standin/answer"
)

// rushCall is one of the calls of a rush.
type rushCall struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// rushPromptSize is about the size of a prompt of a rush in bytes, 1,000 tokens:
// enough that calls wait in an engine's queue.
const rushPromptSize = 4000

// cmdRush sends many calls at once and waits for the result of each, which must be
// the call's own whole answer, or a refusal with a time to retry after. It sets
// $complete and $refused to their numbers, neither of which may be zero:
//
//	rush DAEMON TOKEN MODEL CALLS TOKENS
func cmdRush(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 5, "rush DAEMON TOKEN MODEL CALLS TOKENS")
	address := siteOf(ts).process(ts, args[0]).address
	calls, err := strconv.Atoi(args[3])
	ts.Check(err)
	tokens, err := strconv.Atoi(args[4])
	ts.Check(err)
	padding := strings.Repeat("milk ", rushPromptSize/len("milk "))
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	whole := make([]bool, calls)
	errs := make([]error, calls)
	var wg sync.WaitGroup
	for i := range calls {
		c := rushCall{Model: args[2], Prompt: fmt.Sprintf("call %d %s", i, padding), MaxTokens: tokens}
		wg.Go(func() { whole[i], errs[i] = c.send(client, address, args[1]) })
	}
	wg.Wait()
	complete := 0
	for i := range calls {
		ts.Check(errs[i])
		if whole[i] {
			complete++
		}
	}
	ts.Logf("complete %d, refused %d", complete, calls-complete)
	if complete == 0 || complete == calls {
		ts.Fatalf("%d of %d calls complete, want some complete and some refused", complete, calls)
	}
	ts.Setenv("complete", strconv.Itoa(complete))
	ts.Setenv("refused", strconv.Itoa(calls-complete))
}

// send returns true for the whole answer and false for a refusal.
func (c *rushCall) send(client *http.Client, address, token string) (whole bool, err error) {
	body, err := json.Marshal(c)
	if err != nil {
		return false, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	if resp.StatusCode == http.StatusOK {
		return true, c.checkCompletion(text)
	}
	return false, checkRefusal(resp, text)
}

func (c *rushCall) checkCompletion(text []byte) error {
	var got struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(text, &got); err != nil {
		return err
	}
	if want := answer.FullText(c.Prompt, c.MaxTokens); len(got.Choices) != 1 || got.Choices[0].Text != want {
		return fmt.Errorf("%.12s: not its own answer: %s", c.Prompt, text)
	}
	return nil
}

func checkRefusal(resp *http.Response, text []byte) error {
	var b errorBody
	if err := json.Unmarshal(text, &b); err != nil {
		return err
	}
	if b.Error.Outcome != "not_run" {
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return checkRetry(resp, &b, true)
}
