package scenarios

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// plainCall is one plain HTTP request of a caller.
type plainCall struct {
	method string
	path   string
	body   string
	header http.Header
	retry  bool // retry while the answer is not_run with a Retry-After
}

// newPlainCall parses METHOD PATH [token=T] [body=FILE] [header=K:V]... [again].
func newPlainCall(ts *testscript.TestScript, args []string) *plainCall {
	c := &plainCall{method: args[0], path: args[1], header: http.Header{"Content-Type": {"application/json"}}}
	for _, a := range args[2:] {
		key, value, _ := strings.Cut(a, "=")
		switch key {
		case "token":
			c.header.Set("Authorization", "Bearer "+value)
		case "body":
			c.body = ts.ReadFile(value)
		case "header":
			k, v, _ := strings.Cut(value, ":")
			c.header.Set(k, v)
		case "again":
			c.retry = true
		default:
			ts.Fatalf("unknown argument %q", a)
		}
	}
	return c
}

// retryInterval is when a caller retries; sooner than Retry-After says, so that a
// scenario need not wait.
const retryInterval = 100 * time.Millisecond

// send sends the call, with retries if it has them, and returns the answer as one
// line: status, outcome, code, retry and body.
func (c *plainCall) send(address string) (string, error) {
	deadline := time.Now().Add(waitTimeout)
	for {
		line, err := c.sendOnce(address)
		retryable := strings.Contains(line, " outcome=not_run ") && strings.Contains(line, " retry=true ")
		if err != nil || !c.retry || !retryable || time.Now().After(deadline) {
			return line, err
		}
		time.Sleep(retryInterval)
	}
}

func (c *plainCall) sendOnce(address string) (string, error) {
	req, err := http.NewRequest(c.method, "http://"+address+c.path, strings.NewReader(c.body))
	if err != nil {
		return "", err
	}
	req.Header = c.header.Clone()
	resp, err := (&http.Client{Timeout: waitTimeout}).Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	return answerLine(resp, text), nil
}

func answerLine(resp *http.Response, text []byte) string {
	outcome, code := "complete", "-"
	var b errorBody
	if resp.StatusCode != http.StatusOK && json.Unmarshal(text, &b) == nil {
		outcome, code = b.Error.Outcome, b.Error.Code
	}
	retry := resp.Header.Get("Retry-After") != ""
	oneLine := strings.Join(strings.Fields(string(text)), " ")
	return fmt.Sprintf("status=%d outcome=%s code=%s retry=%t %s", resp.StatusCode, outcome, code, retry, oneLine)
}

// cmdTogether sends the same plain request several times at the same moment, to
// the daemons in turn, and writes a line for each answer, in the order of sending:
//
//	together FILE COUNT DAEMON[,DAEMON...] METHOD PATH [token=T] [body=FILE] [header=K:V] [again]
//
// With again a caller retries while the answer is not_run with a Retry-After.
func cmdTogether(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 5, "together FILE COUNT DAEMON[,DAEMON...] METHOD PATH [KEY=VALUE...]")
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	call := newPlainCall(ts, args[3:])
	names := strings.Split(args[2], ",")
	lines := make([]string, count)
	begin := make(chan struct{})
	var wg sync.WaitGroup
	for i := range lines {
		address := siteOf(ts).process(ts, names[i%len(names)]).address
		wg.Go(func() {
			<-begin
			line, err := call.send(address)
			if err != nil {
				line = "error=" + err.Error()
			}
			lines[i] = names[i%len(names)] + " " + line
		})
	}
	close(begin)
	wg.Wait()
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Join(lines, "\n")+"\n"), 0o600))
}
