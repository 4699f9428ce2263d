package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rogpeppe/go-internal/testscript"
)

// openaiCall is one call by the OpenAI client.
type openaiCall struct {
	client openai.Client
	model  string
	prompt string
	tokens int64
}

// cmdOpenAI calls a daemon with an unchanged OpenAI client, of which only base
// URL and token are set, and writes the text to a file:
//
//	openai DAEMON TOKEN completion|chat whole|stream MODEL TOKENS PROMPT FILE
func cmdOpenAI(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 8, "openai DAEMON TOKEN completion|chat whole|stream MODEL TOKENS PROMPT FILE")
	p := siteOf(ts).process(ts, args[0])
	tokens, err := strconv.ParseInt(args[5], 10, 64)
	ts.Check(err)
	call := openaiCall{
		client: openai.NewClient(option.WithBaseURL("http://"+p.address+"/v1"), option.WithAPIKey(args[1])),
		model:  args[4],
		prompt: args[6],
		tokens: tokens,
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	text, err := call.run(ctx, args[2], args[3])
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[7]), []byte(text+"\n"), 0o600))
}

func (c *openaiCall) run(ctx context.Context, kind, mode string) (string, error) {
	switch kind + " " + mode {
	case "completion whole":
		res, err := c.client.Completions.New(ctx, c.completion())
		if err != nil {
			return "", err
		}
		return res.Choices[0].Text, nil
	case "completion stream":
		var b strings.Builder
		s := c.client.Completions.NewStreaming(ctx, c.completion())
		for s.Next() {
			b.WriteString(s.Current().Choices[0].Text)
		}
		return b.String(), s.Err()
	case "chat whole":
		res, err := c.client.Chat.Completions.New(ctx, c.chat())
		if err != nil {
			return "", err
		}
		return res.Choices[0].Message.Content, nil
	case "chat stream":
		var b strings.Builder
		s := c.client.Chat.Completions.NewStreaming(ctx, c.chat())
		for s.Next() {
			b.WriteString(s.Current().Choices[0].Delta.Content)
		}
		return b.String(), s.Err()
	}
	return "", fmt.Errorf("unknown kind of call %s %s", kind, mode)
}

func (c *openaiCall) completion() openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model:     openai.CompletionNewParamsModel(c.model),
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(c.prompt)},
		MaxTokens: openai.Int(c.tokens),
	}
}

func (c *openaiCall) chat() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               c.model,
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(c.prompt)},
		MaxCompletionTokens: openai.Int(c.tokens),
	}
}

// errorBody is the error body of the caller API.
type errorBody struct {
	Error struct {
		Code        string  `json:"code"`
		Message     string  `json:"message"`
		Outcome     string  `json:"outcome"`
		RetryAfterS float64 `json:"retry_after_s"`
		RequestID   string  `json:"request_id"`
	} `json:"error"`
}

// cmdHTTP sends one plain request and checks its answer:
//
//	http DAEMON METHOD PATH [token=T] [body=FILE] [header=K:V] want=STATUS[,CODE[,OUTCOME[,retry|final]]]
func cmdHTTP(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 4, "http DAEMON METHOD PATH [KEY=VALUE...] want=STATUS[,CODE[,OUTCOME[,retry|final]]]")
	p := siteOf(ts).process(ts, args[0])
	var body io.Reader
	header := http.Header{"Content-Type": {"application/json"}}
	var want []string
	for _, a := range args[3:] {
		key, value, _ := strings.Cut(a, "=")
		switch key {
		case "token":
			header.Set("Authorization", "Bearer "+value)
		case "body":
			body = strings.NewReader(ts.ReadFile(value))
		case "header":
			k, v, _ := strings.Cut(value, ":")
			header.Set(k, v)
		case "want":
			want = strings.Split(value, ",")
		default:
			ts.Fatalf("unknown argument %q", a)
		}
	}
	req, err := http.NewRequest(args[1], "http://"+p.address+args[2], body)
	ts.Check(err)
	req.Header = header
	resp, err := (&http.Client{Timeout: waitTimeout}).Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	ts.Check(err)
	if err := checkAnswer(resp, text, want); err != nil {
		ts.Fatalf("%v\nstatus %d\n%s", err, resp.StatusCode, text)
	}
}

func checkAnswer(resp *http.Response, text []byte, want []string) error {
	if len(want) == 0 {
		return fmt.Errorf("want= is missing")
	}
	if got := strconv.Itoa(resp.StatusCode); got != want[0] {
		return fmt.Errorf("status %s, not %s", got, want[0])
	}
	if len(want) == 1 {
		return nil
	}
	var b errorBody
	if err := json.Unmarshal(text, &b); err != nil {
		return err
	}
	if b.Error.Code != want[1] {
		return fmt.Errorf("code %s, not %s", b.Error.Code, want[1])
	}
	if b.Error.RequestID == "" || b.Error.Message == "" {
		return fmt.Errorf("no request id or no message")
	}
	if len(want) > 2 && b.Error.Outcome != want[2] {
		return fmt.Errorf("outcome %s, not %s", b.Error.Outcome, want[2])
	}
	if len(want) > 3 {
		return checkRetry(resp, &b, want[3] == "retry")
	}
	return nil
}

// checkRetry checks that body and header have a time to retry after, or neither.
func checkRetry(resp *http.Response, b *errorBody, retry bool) error {
	header := resp.Header.Get("Retry-After")
	if retry != (header != "") || retry != (b.Error.RetryAfterS > 0) {
		return fmt.Errorf("Retry-After %q, retry_after_s %v", header, b.Error.RetryAfterS)
	}
	return nil
}

// cmdAbandon starts a streamed completion, reads BYTES bytes of the answer and
// disconnects: abandon DAEMON TOKEN MODEL TOKENS BYTES.
func cmdAbandon(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 5, "abandon DAEMON TOKEN MODEL TOKENS BYTES")
	conn := openStream(ts, args)
	defer conn.Close()
	n, err := strconv.Atoi(args[4])
	ts.Check(err)
	ts.Check(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = io.CopyN(io.Discard, conn, int64(n))
	ts.Check(err)
}

func openStream(ts *testscript.TestScript, args []string) *net.TCPConn {
	p := siteOf(ts).process(ts, args[0])
	c, err := net.Dial("tcp", p.address)
	ts.Check(err)
	conn := c.(*net.TCPConn)
	ts.Check(conn.SetReadBuffer(1024))
	var body bytes.Buffer
	fmt.Fprintf(&body, `{"model":%q,"prompt":"milk, eggs","max_tokens":%s,"stream":true}`, args[2], args[3])
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		args[1], body.Len(), body.String())
	ts.Check(err)
	return conn
}
