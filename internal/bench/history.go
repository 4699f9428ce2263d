package bench

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
)

const historyHeader = `# Comparisons of placement policies

One line for each policy of a run of bench compare with --history. First tokens are
in milliseconds; prompt lengths are those before scaling.

| date | commit | mix | seed | a second | s | lengths | policy | slowdown of short | short p95 in mix | alone | 64k-256k p95 | 256k-1M p95 | in time | worst customer | sent | complete | not run | failed | unknown |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

const historyPerm = 0o644

// AppendHistory appends a line for each policy to a Markdown file, which it creates
// when it does not exist. Label names the build that was measured.
func (c *Comparison) AppendHistory(file, label string, day time.Time) error {
	_, err := os.Stat(file)
	fresh := errors.Is(err, fs.ErrNotExist)
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, historyPerm)
	if err != nil {
		return merry.Prepend(err, "open history")
	}
	if fresh {
		_, err = io.WriteString(f, historyHeader)
	}
	if err == nil {
		err = c.writeHistory(f, label, day)
	}
	return merry.Prepend(errors.Join(err, f.Close()), "write history")
}

func (c *Comparison) writeHistory(w io.Writer, label string, day time.Time) error {
	for _, p := range c.Policies {
		m := p.Mix
		_, err := fmt.Fprintf(w, "| %s | %s | %s | %d | %.4g | %.4g | %.4g | %s | %.2f | %.1f | %.1f | %s | %s | %.1f%% | %.2f | %d | %d | %d | %d | %d |\n",
			day.UTC().Format(time.DateOnly), label, m.Mix, m.Seed, m.RatePerS, m.DurationS, m.LengthScale, p.Policy,
			p.Slowdown.Ratio, p.Slowdown.MixP95Ms, p.Slowdown.AloneP95Ms,
			m.bucketP95("64k-256k"), m.bucketP95("256k-1M"),
			100*m.All.GoodShare, m.Fairness.Ratio, m.All.Sent, m.All.Complete, m.All.NotRun, m.All.Failed, m.All.Unknown)
		if err != nil {
			return err
		}
	}
	return nil
}

// bucketP95 returns the first-token p95 of a bucket in milliseconds, or "-" when the
// bucket has no first token.
func (r *Report) bucketP95(name string) string {
	row := r.bucketRow(name)
	if row == nil || row.FirstTokenMs.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", row.FirstTokenMs.P95)
}
