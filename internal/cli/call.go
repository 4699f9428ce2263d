package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/buckthorndock/buckthorndock/internal/cli/caller"
	"github.com/buckthorndock/buckthorndock/internal/core/request"
)

const (
	flagModel        = "model"
	flagPromptFile   = "prompt-file"
	flagPromptTokens = "prompt-tokens"
	flagSeed         = "seed"
	flagMaxTokens    = "max-tokens"
	flagWhole        = "whole"
	flagDeadline     = "deadline"
	flagPriority     = "priority"
	flagKey          = "key"
	flagOnce         = "not-repeatable"
	flagRepeat       = "repeat"
)

// callResult is the end of one call as it is printed.
type callResult struct {
	Daemon string `json:"daemon"`
	caller.Result
	RetryAfterS  float64 `json:"retry_after_s,omitempty"`
	FirstTokenMs float64 `json:"first_token_ms,omitempty"`
	TotalMs      float64 `json:"total_ms"`
}

func newCall() *cli.Command {
	return group("call", "send a request and print its answer",
		newCallModel("completion", "complete a prompt", completionCall),
		newCallModel("chat", "answer a prompt as one chat message", chatCall),
		newCallService())
}

func callFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: flagDeadline, Usage: "`TIME` within which the whole answer is wanted", HideDefault: true},
		&cli.StringFlag{Name: flagPriority, Usage: "urgent, normal or bulk", Validator: checkPriority},
		&cli.StringFlag{Name: flagKey, Usage: "idempotency `KEY`"},
		&cli.BoolFlag{Name: flagOnce, Usage: "the request runs at most once"},
		&cli.IntFlag{Name: flagRepeat, Usage: "send it `N` times, one after the other, to the addresses in turn", Value: 1},
	}
}

func newCallModel(name, usage string, build func(c *cli.Command, prompt string) caller.Call) *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: flagModel, Aliases: []string{"m"}, Usage: "`NAME` of the model", Required: true},
		&cli.StringFlag{Name: flagPromptFile, Usage: "read the prompt from `FILE`, - for standard input"},
		&cli.IntFlag{Name: flagPromptTokens, Usage: "generate a prompt of about `N` tokens", HideDefault: true},
		&cli.Uint64Flag{Name: flagSeed, Usage: "`SEED` of the generated prompt", Value: 1},
		&cli.IntFlag{Name: flagMaxTokens, Usage: "longest answer, in tokens", HideDefault: true},
		&cli.BoolFlag{Name: flagWhole, Usage: "ask for the answer in one piece and not as a stream"},
	}
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "[PROMPT]",
		Description: fmt.Sprintf(`The text is printed as it comes, the outcome on standard error.

Examples:
   buckthorndock call %[1]s --model list-writer --deadline 10s "milk, eggs"
   buckthorndock call %[1]s --model modder-assistant --prompt-file crash.log
   buckthorndock call %[1]s --model modder-assistant --prompt-tokens 200000 --priority bulk`, name),
		Flags: append(flags, callFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			prompt, err := promptOf(c)
			if err != nil {
				return err
			}
			return sendCalls(ctx, c, build(c, prompt))
		},
	}
}

func completionCall(c *cli.Command, prompt string) caller.Call {
	return caller.Call{Completion: &caller.Completion{
		Model: c.String(flagModel), Prompt: prompt, MaxTokens: c.Int(flagMaxTokens), Stream: !c.Bool(flagWhole),
	}}
}

func chatCall(c *cli.Command, prompt string) caller.Call {
	return caller.Call{Chat: &caller.Chat{
		Model: c.String(flagModel), Messages: []caller.Message{{Role: "user", Content: prompt}},
		MaxTokens: c.Int(flagMaxTokens), Stream: !c.Bool(flagWhole),
	}}
}

func newCallService() *cli.Command {
	return &cli.Command{
		Name:      "service",
		Usage:     "call an operation of a plain service",
		ArgsUsage: "SERVICE OPERATION [JSON]",
		Description: `The body is read from standard input when it is -, and is {} without one.

Examples:
   buckthorndock call service basket stock '{"item":"milk"}'
   buckthorndock call service --not-repeatable --key order-77 basket confirm '{"basket":77}'`,
		Flags:  callFlags(),
		Action: callService,
	}
}

func callService(ctx context.Context, c *cli.Command) error {
	if c.NArg() < 2 || c.NArg() > 3 {
		return exitf(ExitUsage, "call service takes a service, an operation and a JSON body")
	}
	body := "{}"
	if c.NArg() == 3 {
		body = c.Args().Get(2)
	}
	if body == "-" {
		text, err := readInput(c, body)
		if err != nil {
			return err
		}
		body = text
	}
	if !json.Valid([]byte(body)) {
		return exitf(ExitUsage, "the body is not JSON")
	}
	return sendCalls(ctx, c, caller.Call{Service: &caller.ServiceCall{
		Name: c.Args().Get(0), Operation: c.Args().Get(1), Body: json.RawMessage(body),
	}})
}

// promptOf returns the prompt from its one source.
func promptOf(c *cli.Command) (string, error) {
	sources := 0
	for _, given := range []bool{c.Args().Present(), c.IsSet(flagPromptFile), c.IsSet(flagPromptTokens)} {
		if given {
			sources++
		}
	}
	switch {
	case sources != 1 || c.NArg() > 1:
		return "", exitf(ExitUsage, "give one prompt: as an argument, with --%s or with --%s", flagPromptFile, flagPromptTokens)
	case c.IsSet(flagPromptFile):
		return readInput(c, c.String(flagPromptFile))
	case c.IsSet(flagPromptTokens):
		n := c.Int(flagPromptTokens)
		if n < 1 {
			return "", exitf(ExitUsage, "--%s must be at least 1", flagPromptTokens)
		}
		return caller.Prompt(n, c.Uint64(flagSeed)), nil
	default:
		return c.Args().First(), nil
	}
}

// sendCalls sends the call as often as asked and returns the worst outcome as an
// error.
func sendCalls(ctx context.Context, c *cli.Command, call caller.Call) error {
	list, err := addresses(c)
	if err != nil {
		return err
	}
	call.Token = c.String(flagToken)
	call.Deadline = c.Duration(flagDeadline)
	call.Priority = c.String(flagPriority)
	call.Key = c.String(flagKey)
	call.NotRepeatable = c.Bool(flagOnce)
	client := caller.NewClient()
	asJSON := c.String(flagOutput) == outputJSON
	var results []callResult
	for i := range max(c.Int(flagRepeat), 1) {
		call.Address = list[i%len(list)]
		var onText func(string)
		if !asJSON {
			onText = func(s string) { fmt.Fprint(c.Root().Writer, s) }
		}
		res := client.Do(ctx, call, onText)
		if !asJSON {
			writeEnd(c.Root().Writer, c.Root().ErrWriter, call.Address, res)
		}
		results = append(results, newCallResult(call.Address, res))
		if ctx.Err() != nil {
			break
		}
	}
	if asJSON {
		if err := emit(c, results, nil); err != nil {
			return err
		}
	}
	return callsError(results)
}

func newCallResult(address string, res caller.Result) callResult {
	return callResult{
		Daemon:       address,
		Result:       res,
		RetryAfterS:  res.RetryAfter.Seconds(),
		FirstTokenMs: milliseconds(res.FirstToken),
		TotalMs:      milliseconds(res.Total),
	}
}

func writeEnd(out, errOut io.Writer, address string, res caller.Result) {
	if res.Chunks > 0 {
		fmt.Fprintln(out)
	}
	line := fmt.Sprintf("%s by %s in %.0f ms, request %s", res.Outcome, address, milliseconds(res.Total), res.RequestID)
	if res.Chunks > 0 {
		line += fmt.Sprintf(", first token after %.0f ms", milliseconds(res.FirstToken))
	}
	if res.Code != "" {
		line += fmt.Sprintf(", %s: %s", res.Code, res.Message)
	}
	if res.RetryAfter > 0 {
		line += fmt.Sprintf(", come back after %.1f s", res.RetryAfter.Seconds())
	}
	fmt.Fprintln(errOut, line)
}

// badness orders outcomes from the best to the worst.
var badness = map[request.Outcome]int{request.Complete: 0, request.NotRun: 1, request.Failed: 2, request.Unknown: 3}

func callsError(results []callResult) error {
	worst := request.Complete
	bad := 0
	for _, r := range results {
		if r.Outcome != request.Complete {
			bad++
		}
		if badness[r.Outcome] > badness[worst] {
			worst = r.Outcome
		}
	}
	if bad == 0 {
		return nil
	}
	return exitf(outcomeCode(worst), "%d of %d requests not complete, worst outcome %s", bad, len(results), worst)
}

func checkPriority(s string) error {
	if _, ok := request.ParsePriority(s); !ok {
		return fmt.Errorf("priority %q is none of urgent, normal, bulk", s)
	}
	return nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
