package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/api/engineapi"
)

const (
	testModel    = "assistant"
	waitTimeout  = 20 * time.Second
	pollInterval = 2 * time.Millisecond
)

// fastEngine returns options of an engine that is fast enough for tests.
func fastEngine() EngineOptions {
	return EngineOptions{
		Models:       []string{testModel},
		MemoryTokens: 10_000,
		PrefillTPS:   1_000_000,
		DecodeStep:   time.Millisecond,
		BlockTokens:  16,
		LoadTime:     10 * time.Millisecond,
	}
}

// slowEngine returns options of an engine that is slow enough for a test to observe
// running requests.
func slowEngine() EngineOptions {
	o := fastEngine()
	o.DecodeStep = 20 * time.Millisecond
	return o
}

func start(t *testing.T, h http.Handler) *Server {
	t.Helper()
	s, err := Start(h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func startEngine(t *testing.T, o EngineOptions) (*Engine, *Server) {
	t.Helper()
	e := NewEngine(o)
	return e, start(t, e)
}

func setFault(t *testing.T, address string, x Fault) {
	t.Helper()
	body, err := json.Marshal(x)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.Post("http://"+address+"/standin/fault", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("fault %+v: status %d", x, res.StatusCode)
	}
}

// eventually waits until a condition holds, up to waitTimeout, which allows for a
// busy machine.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func generateRequest(id string, prompt string, maxTokens int) *engineapi.GenerateRequest {
	return &engineapi.GenerateRequest{
		RequestID: id,
		Attempt:   1,
		Model:     testModel,
		Prompt:    prompt,
		MaxTokens: maxTokens,
		Priority:  1,
		Holder:    engineapi.Holder{Host: "entry-1", Incarnation: "a"},
	}
}

// generate sends a generate call. The end of ctx closes its connection.
func generate(t *testing.T, ctx context.Context, address string, req *engineapi.GenerateRequest) *http.Response {
	t.Helper()
	body, err := req.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+generatePath, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	call.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(call)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { res.Body.Close() })
	return res
}

// readChunks reads a stream to its end and counts the lines that are not JSON.
func readChunks(t *testing.T, res *http.Response) (all []Chunk, garbage int) {
	t.Helper()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("generate: status %d", res.StatusCode)
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		var c Chunk
		if json.Unmarshal(lines.Bytes(), &c) != nil {
			garbage++
			continue
		}
		all = append(all, c)
	}
	return all, garbage
}

// refusalCode sends a generate call that must be refused and returns the code.
func refusalCode(t *testing.T, address string, req *engineapi.GenerateRequest) engineapi.RefusalCode {
	t.Helper()
	res := generate(t, context.Background(), address, req)
	if res.StatusCode == http.StatusOK {
		t.Fatalf("request %s was accepted", req.RequestID)
	}
	var r engineapi.Refusal
	if err := json.NewDecoder(res.Body).Decode(&r); err != nil {
		t.Fatal(err)
	}
	return r.Code
}

// answerText checks the chunks of a complete answer and returns its text.
func answerText(t *testing.T, req *engineapi.GenerateRequest, all []Chunk) string {
	t.Helper()
	text := ""
	for i, c := range all {
		if c.RequestID != req.RequestID || c.Attempt != req.Attempt || c.Index != req.ResumeFrom+i {
			t.Fatalf("chunk %d is %+v", i, c)
		}
		text += c.Text
	}
	last := all[len(all)-1]
	if !last.Done || last.TotalTokens == nil || *last.TotalTokens != req.MaxTokens {
		t.Fatalf("last chunk is %+v", last)
	}
	return text
}

func books(t *testing.T, e *Engine) *engineapi.Books {
	t.Helper()
	res, err := e.GetBooks(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	b, ok := res.(*engineapi.Books)
	if !ok {
		t.Fatalf("books: %T", res)
	}
	return b
}

// checkBooksSum checks that the entries of the books sum to the used memory.
func checkBooksSum(t *testing.T, b *engineapi.Books) {
	t.Helper()
	sum := int64(0)
	for _, r := range b.Running {
		sum += r.Tokens
	}
	for _, r := range b.Reservations {
		sum += r.Tokens
	}
	for _, x := range b.Exports {
		sum += x.Tokens.Value
	}
	if sum != b.MemoryUsedTokens || sum > b.MemoryTotalTokens {
		t.Fatalf("entries hold %d, used %d of %d", sum, b.MemoryUsedTokens, b.MemoryTotalTokens)
	}
}

func cancelRun(t *testing.T, e *Engine, id string, attempt int) bool {
	t.Helper()
	res, err := e.Cancel(context.Background(), &engineapi.CancelRequest{RequestID: id, Attempt: attempt})
	if err != nil {
		t.Fatal(err)
	}
	c, ok := res.(*engineapi.CancelResult)
	return ok && c.Known
}

func phaseIs(t *testing.T, e *Engine, phase engineapi.RunningPhase) func() bool {
	return func() bool {
		b := books(t, e)
		return len(b.Running) == 1 && b.Running[0].Phase == phase
	}
}

func stateIs(b interface{ Runs() []Run }, i int, s RunState) func() bool {
	return func() bool {
		runs := b.Runs()
		return len(runs) > i && runs[i].State == s
	}
}
