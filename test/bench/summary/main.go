// Command summary reads the results of a load run, works out the ratios that have
// a target, prints them and, when asked to, keeps them: the figures as
// bench/results/<date>-<commit>.json and one line in bench/HISTORY.md.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/buckthorndock/buckthorndock/internal/bench"
)

// Results are all figures of one run. Parts that were not run are nil.
type Results struct {
	Commit   string            `json:"commit"`
	At       time.Time         `json:"at"`
	Seed     uint64            `json:"seed"`
	Targets  []Target          `json:"targets"`
	Policies *bench.Comparison `json:"policies,omitempty"`
	Prefix   *bench.Comparison `json:"prefix,omitempty"`
	Load100  *bench.Report     `json:"load_100,omitempty"`
	Load150  *bench.Report     `json:"load_150,omitempty"`
	Wake     *bench.Report     `json:"wake,omitempty"`
	Faults   *bench.Report     `json:"faults,omitempty"`    // an engine killed and one stopped in the middle
	FourLeft *bench.Report     `json:"four_left,omitempty"` // the same arrivals with both gone
	Engines  *EngineRuns       `json:"engines,omitempty"`
}

func main() {
	results := flag.String("results", "", "directory with the results of the parts")
	site := flag.String("site", "", "directory of the site, with logs and what the engines ran")
	commit := flag.String("commit", "", "commit that was run")
	seed := flag.Uint64("seed", 1, "seed of the run")
	record := flag.String("record", "", "directory in which the figures are kept, none when empty")
	flag.Parse()
	if err := run(*results, *site, *record, Results{Commit: *commit, At: time.Now().UTC(), Seed: *seed}); err != nil {
		fmt.Fprintln(os.Stderr, "summary:", err)
		os.Exit(1)
	}
}

func run(dir, site, record string, r Results) error {
	if err := r.read(dir); err != nil {
		return err
	}
	use, err := engineUse(site)
	if err != nil {
		return err
	}
	r.Engines = use
	r.Targets = targets(&r)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, t := range r.Targets {
		fmt.Fprintf(w, "%s\t%.3g\t%s %.3g\t%s\n", t.Name, t.Value, t.sign(), t.Bound, t.verdict())
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if record == "" {
		return nil
	}
	return r.keep(record)
}

// read reads the parts that were run.
func (r *Results) read(dir string) error {
	for name, into := range map[string]any{
		"policies":  &r.Policies,
		"prefix":    &r.Prefix,
		"load-100":  &r.Load100,
		"load-150":  &r.Load150,
		"wake":      &r.Wake,
		"faults":    &r.Faults,
		"four-left": &r.FourLeft,
	} {
		data, err := os.ReadFile(filepath.Join(dir, name+".json"))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, into); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

const filePerm = 0o644

// keep writes the results and their line in the history.
func (r *Results) keep(dir string) error {
	name := fmt.Sprintf("%s-%s.json", r.At.Format("2006-01-02T1504"), r.Commit)
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(dir, "results"), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "results", name), append(data, '\n'), filePerm); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(dir, "HISTORY.md"), os.O_APPEND|os.O_WRONLY, filePerm)
	if err != nil {
		return err
	}
	line := fmt.Sprintf("| %s | %s | %d |", r.At.Format("2006-01-02 15:04"), r.Commit, r.Seed)
	for _, t := range r.Targets {
		mark := ""
		if !t.Met {
			mark = " (!)"
		}
		line += fmt.Sprintf(" %.3g%s |", t.Value, mark)
	}
	if _, err := fmt.Fprintln(f, line); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
