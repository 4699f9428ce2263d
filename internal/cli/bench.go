package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"github.com/buckthorndock/buckthorndock/internal/bench"
	"github.com/buckthorndock/buckthorndock/internal/core/settings"
)

const (
	flagMix          = "mix"
	flagRate         = "rate"
	flagDuration     = "duration"
	flagScaleLengths = "scale-lengths"
	flagScaleAnswers = "scale-answers"
	flagScaleTime    = "scale-time"
	flagJSONFile     = "json"
	flagHTMLFile     = "html"
	flagPolicy       = "policy"
	flagPolicyPath   = "policy-path"
	flagRest         = "rest"
	flagStrict       = "strict"
	flagHistory      = "history"
	flagLabel        = "label"
)

// settleTime bounds the wait until every daemon follows a change of policy.
const settleTime = 30 * time.Second

// benchResult is what a run or a comparison has to show.
type benchResult interface {
	WriteText(w io.Writer)
	WriteHTML(w io.Writer) error
}

func newBench() *cli.Command {
	return group("bench", "load a site and report what came back", newBenchRun(), newBenchCompare())
}

func benchFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagMix, Usage: "`FILE` with the mix", Required: true},
		&cli.Uint64Flag{Name: flagSeed, Usage: "`SEED` of arrivals and prompts", Value: 1},
		&cli.FloatFlag{Name: flagRate, Usage: "arrivals a second, instead of the mix's", HideDefault: true},
		&cli.DurationFlag{Name: flagDuration, Usage: "`TIME` of arrivals, instead of the mix's", HideDefault: true},
		&cli.FloatFlag{Name: flagScaleLengths, Usage: "`FACTOR` on prompt lengths; buckets keep the unscaled ones", Value: 1},
		&cli.FloatFlag{Name: flagScaleAnswers, Usage: "`FACTOR` on answer lengths", Value: 1},
		&cli.FloatFlag{Name: flagScaleTime, Usage: "`FACTOR` on deadlines and on the time of a wake", Value: 1},
		&cli.StringFlag{Name: flagJSONFile, Usage: "also write the result as JSON to `FILE`"},
		&cli.StringFlag{Name: flagHTMLFile, Usage: "also write the result as a page to `FILE`"},
	}
}

func newBenchRun() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "send one mix",
		Description: `Arrivals follow from the mix and the seed and do not wait for answers. They are
spread over all addresses given. The tokens of the customers are in the mix. Every
answer is checked against its own prompt; the exit code is 1 when one is wrong.

Examples:
   buckthorndock -a 127.0.0.1:8080 -a 127.0.0.1:8081 bench run --mix bench/mixes/kuopio-evening.yaml
   buckthorndock bench run --mix bench/mixes/frigolijst-hour.yaml --rate 200 --duration 30s --seed 7 --html hour.html`,
		Flags: append(benchFlags(), &cli.BoolFlag{
			Name:  flagStrict,
			Usage: "exit with code 1 unless every request that was not refused has its whole answer, and each class has one",
		}),
		Action: benchRun,
	}
}

func benchRun(ctx context.Context, c *cli.Command) error {
	mix, scale, err := benchLoad(c)
	if err != nil {
		return err
	}
	list, err := addresses(c)
	if err != nil {
		return err
	}
	seed := c.Uint64(flagSeed)
	send := benchSender(c, list, mix.Name)
	report := bench.NewReport(mix, scale, seed, len(list), send(ctx, bench.Schedule(mix, scale, seed)))
	if err := benchResults(c, report); err != nil {
		return err
	}
	if c.Bool(flagStrict) {
		return everyAnswer(report)
	}
	return wrongAnswers(report)
}

func newBenchCompare() *cli.Command {
	flags := []cli.Flag{
		&cli.StringSliceFlag{Name: flagPolicy, Usage: "`NAME` of a placement policy to compare; repeatable", Value: allPolicies(), HideDefault: true},
		&cli.StringFlag{Name: flagPolicyPath, Usage: "settings `PATH` at which the policy is set", Value: "/"},
		&cli.StringFlag{Name: flagHistory, Usage: "add a line for each policy to the Markdown `FILE`"},
		&cli.StringFlag{Name: flagLabel, Usage: "`NAME` of what is measured, for the history", Value: "-"},
		&cli.DurationFlag{Name: flagRest, Usage: "`TIME` of rest before each run", Value: 2 * time.Second},
	}
	return &cli.Command{
		Name:  "compare",
		Usage: "send one mix, and its short requests alone, under each placement policy",
		Description: `The policy is changed through the settings, with the token of an operator, and put
back at the end. Shows by how much the first tokens of short requests are slowed
down by the long ones beside them, all with the same arrivals.

Example:
   buckthorndock -a 127.0.0.1:8080 bench compare --mix bench/mixes/kuopio-evening.yaml --html compare.html`,
		Flags:  append(benchFlags(), flags...),
		Action: benchCompare,
	}
}

func allPolicies() []string {
	return []string{
		settings.PolicyRandom,
		settings.PolicyLeastLoaded,
		settings.PolicyLeastLoadedPriority,
		settings.PolicyLengthAware,
	}
}

func benchCompare(ctx context.Context, c *cli.Command) error {
	mix, scale, err := benchLoad(c)
	if err != nil {
		return err
	}
	list, err := addresses(c)
	if err != nil {
		return err
	}
	setter, err := newPolicySetter(ctx, c)
	if err != nil {
		return err
	}
	send := benchSender(c, list, mix.Name)
	result, err := bench.Compare(ctx, mix, scale, c.Uint64(flagSeed), bench.CompareOptions{
		Policies:  c.StringSlice(flagPolicy),
		SetPolicy: setter.set,
		Send:      send,
		Pause:     c.Duration(flagRest),
		Daemons:   len(list),
	})
	restoreErr := setter.restore(context.WithoutCancel(ctx))
	if err != nil {
		return failed(err)
	}
	if err := benchResults(c, result); err != nil {
		return err
	}
	if restoreErr != nil {
		return restoreErr
	}
	if file := c.String(flagHistory); file != "" {
		if err := result.AppendHistory(file, c.String(flagLabel), time.Now()); err != nil {
			return failed(err)
		}
	}
	for _, p := range result.Policies {
		if err := wrongAnswers(p.Mix); err != nil {
			return err
		}
	}
	return nil
}

func benchLoad(c *cli.Command) (*bench.Mix, bench.Scale, error) {
	scale := bench.Scale{
		Rate:     c.Float(flagRate),
		Duration: c.Duration(flagDuration),
		Lengths:  c.Float(flagScaleLengths),
		Answers:  c.Float(flagScaleAnswers),
		Time:     c.Float(flagScaleTime),
	}
	mix, err := bench.LoadMix(c.String(flagMix))
	if err != nil {
		return nil, scale, &exitError{code: ExitUsage, err: err}
	}
	return mix, scale, nil
}

// benchSender returns a function that sends a schedule to the daemons, with a
// progress line on a terminal.
func benchSender(c *cli.Command, list []string, name string) func(context.Context, []bench.Arrival) []bench.Record {
	return func(ctx context.Context, arrivals []bench.Arrival) []bench.Record {
		bar := progress(c, len(arrivals), name)
		defer bar.done()
		return bench.Run(ctx, arrivals, bench.RunOptions{
			Addresses:     list,
			Seed:          c.Uint64(flagSeed),
			Verify:        verifyCompletion,
			VerifyService: verifyService,
			Progress:      bar.step,
		})
	}
}

// progressLine is a progress line, or nothing when standard error is no terminal.
type progressLine struct {
	bar *progressbar.ProgressBar
}

func progress(c *cli.Command, total int, name string) progressLine {
	f, ok := c.Root().ErrWriter.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return progressLine{}
	}
	return progressLine{bar: progressbar.NewOptions(total,
		progressbar.OptionSetWriter(f),
		progressbar.OptionSetDescription(name),
		progressbar.OptionShowCount(),
		progressbar.OptionClearOnFinish(),
	)}
}

func (p progressLine) step() {
	if p.bar != nil {
		_ = p.bar.Add(1)
	}
}

func (p progressLine) done() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}

// benchResults prints a result and writes the files asked for.
func benchResults(c *cli.Command, result benchResult) error {
	if err := emit(c, result, result.WriteText); err != nil {
		return err
	}
	if file := c.String(flagJSONFile); file != "" {
		data, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return failed(err)
		}
		if err := os.WriteFile(file, append(data, '\n'), filePerm); err != nil {
			return failed(err)
		}
	}
	file := c.String(flagHTMLFile)
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return failed(err)
	}
	if err := result.WriteHTML(f); err != nil {
		f.Close()
		return failed(err)
	}
	return failed(f.Close())
}

func wrongAnswers(r *bench.Report) error {
	if r.All.Mismatched > 0 {
		return exitf(ExitFailed, "%d answers do not belong to their request", r.All.Mismatched)
	}
	return nil
}

// everyAnswer wants a whole answer for each admitted request, and for at least
// one of each class, so that a site which refuses all does not pass.
func everyAnswer(r *bench.Report) error {
	if err := wrongAnswers(r); err != nil {
		return err
	}
	if n := r.All.Failed + r.All.Unknown; n > 0 {
		return exitf(ExitFailed, "%d of %d requests were admitted and have no whole answer", n, r.All.Sent)
	}
	for _, row := range r.Classes {
		if row.Complete == 0 {
			return exitf(ExitFailed, "no request of class %s is complete", row.Class)
		}
	}
	return nil
}
