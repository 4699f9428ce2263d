// Command compare runs the same days with the same seeds on two working trees, with the
// users' bench, and prints the paired differences of their scores. Pairing by seed
// separates the effect of a change from the random variation between runs.
//
//	go run ./test/days/compare -bench PATH -days trouble-1,scale-1 -seeds 5 BEFORE AFTER SITE...
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"gonum.org/v1/gonum/stat"
)

// options holds the flags and arguments.
type options struct {
	bench      string // path of the bench
	days       []string
	seeds      int // seeds per day; the first is the day's own
	secondSeed int // the others count up from it
	jobs       int // concurrent runs
	why        string
	extra      []string  // additional options of each run
	trees      [2]string // before and after
	sites      []string
}

func main() {
	o, err := parse()
	if err == nil {
		err = run(o)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

func parse() (*options, error) {
	o := &options{}
	var days, extra string
	flag.StringVar(&o.bench, "bench", "", "path of the bench")
	flag.StringVar(&days, "days", "trouble-1,scale-1,trouble-2,scale-2,trouble-3", "days, separated by commas")
	flag.IntVar(&o.seeds, "seeds", 5, "number of seeds of each day; the first is the day's own")
	flag.IntVar(&o.secondSeed, "first", 4001, "the second seed; the others count up from it")
	flag.IntVar(&o.jobs, "jobs", 4, "number of concurrent runs")
	flag.StringVar(&o.why, "why", "", "reason to record in the journal")
	flag.StringVar(&extra, "extra", "--no-cpu", "additional options of each run, separated by spaces")
	flag.Parse()
	const trees = 2
	if flag.NArg() <= trees || o.bench == "" || o.why == "" {
		return nil, errors.New("usage: compare -bench PATH -why TEXT BEFORE AFTER SITE [SITE]")
	}
	o.days, o.extra = strings.Split(days, ","), strings.Fields(extra)
	o.trees, o.sites = [2]string{flag.Arg(0), flag.Arg(1)}, flag.Args()[trees:]
	return o, nil
}

// pairedRun is a day run with one seed on both trees.
type pairedRun struct {
	site, day string
	seed      int // zero for the day's own
	results   [2]result
}

// result is the part of the bench's report that the comparison uses.
type result struct {
	Score        float64                    `json:"G"`
	Served       float64                    `json:"served"`
	Parts        [][]any                    `json:"parts"` // name, weight and value of each part of the score
	Breaks       map[string]json.RawMessage `json:"breaks"`
	Fault        *string                    `json:"fault"`
	MissedFloors []string                   `json:"short"` // floors (minimum scores) that were missed
}

func run(o *options) error {
	var runs []*pairedRun
	for _, site := range o.sites {
		for _, day := range o.days {
			for n := range o.seeds {
				p := &pairedRun{site: site, day: day}
				if n > 0 {
					p.seed = o.secondSeed + n - 1
				}
				runs = append(runs, p)
			}
		}
	}
	dir, err := os.MkdirTemp("", "compare")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := o.build(); err != nil {
		return err
	}
	o.runAll(runs, dir)
	printComparison(runs)
	return nil
}

// build builds each tree once, so that concurrent runs do not build it at the same time.
func (o *options) build() error {
	for _, tree := range o.trees {
		cmd := exec.Command(o.bench, "build")
		cmd.Dir = tree
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", tree, err, out)
		}
	}
	return nil
}

func (o *options) runAll(runs []*pairedRun, dir string) {
	var wg sync.WaitGroup
	free := make(chan struct{}, o.jobs)
	for i, p := range runs {
		for side := range o.trees {
			free <- struct{}{}
			wg.Go(func() {
				defer func() { <-free }()
				report := filepath.Join(dir, fmt.Sprintf("%d-%d.json", i, side))
				r, err := o.runDay(p, o.trees[side], report)
				if err != nil {
					fmt.Fprintf(os.Stderr, "%s %s %d in %s: %v\n", p.site, p.day, p.seed, o.trees[side], err)
					r.Score = math.NaN()
				}
				p.results[side] = r
			})
		}
	}
	wg.Wait()
}

func (o *options) runDay(p *pairedRun, tree, report string) (result, error) {
	args := []string{"run", p.site, p.day, "--report", report, "--why", o.why}
	if p.seed != 0 {
		args = append(args, "--seed", strconv.Itoa(p.seed))
	}
	cmd := exec.Command(o.bench, append(args, o.extra...)...)
	cmd.Dir = tree
	out, runErr := cmd.CombinedOutput() // the bench exits with an error also when a rule is broken
	var r result
	text, err := os.ReadFile(report)
	if err != nil {
		return r, fmt.Errorf("%w: %v\n%s", err, runErr, out)
	}
	return r, json.Unmarshal(text, &r)
}

// printComparison prints each day's mean score before and after, and the paired difference
// with its standard error; then the same for all runs of a site and for the parts of the
// score. It also lists the runs that broke a rule, had a fault or missed a minimum.
func printComparison(runs []*pairedRun) {
	fmt.Printf("%-24s %-24s %5s %7s %7s %8s %7s\n", "site", "day", "runs", "before", "after", "change", "error")
	bySite, order := map[string][]*pairedRun{}, []string{}
	byDay := map[string][]*pairedRun{}
	for _, p := range runs {
		key := p.site + " " + p.day
		if byDay[key] == nil {
			order = append(order, key)
		}
		byDay[key] = append(byDay[key], p)
		bySite[p.site] = append(bySite[p.site], p)
	}
	for _, key := range order {
		site, day, _ := strings.Cut(key, " ")
		printRow(site, filepath.Base(day), byDay[key], func(r result) float64 { return r.Score })
	}
	for site, all := range bySite {
		printRow(site, "all", all, func(r result) float64 { return r.Score })
		printRow(site, "served", all, func(r result) float64 { return r.Served })
		for i := range all[0].results[0].Parts {
			printRow(site, fmt.Sprint(all[0].results[0].Parts[i][0]), all, func(r result) float64 { return r.partValue(i) })
		}
	}
	for _, p := range runs {
		for side, r := range p.results {
			if len(r.Breaks) > 0 || r.Fault != nil || len(r.MissedFloors) > 0 {
				fmt.Printf("FAILED %s %s seed %d %s: rules %v, fault %v, floors %v\n",
					p.site, p.day, p.seed, []string{"before", "after"}[side], ruleNames(r.Breaks), r.Fault != nil, r.MissedFloors)
			}
		}
	}
}

func ruleNames(m map[string]json.RawMessage) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	return names
}

func (r result) partValue(i int) float64 {
	const value = 2 // after the part's name and weight
	if i >= len(r.Parts) {
		return math.NaN()
	}
	v, ok := r.Parts[i][value].(float64)
	if !ok {
		return math.NaN()
	}
	return v
}

func printRow(site, what string, runs []*pairedRun, of func(result) float64) {
	var before, after, change []float64
	for _, p := range runs {
		a, b := of(p.results[0]), of(p.results[1])
		if math.IsNaN(a) || math.IsNaN(b) {
			continue
		}
		before, after, change = append(before, a), append(after, b), append(change, b-a)
	}
	site = strings.TrimSuffix(filepath.Base(site), ".toml")
	spread := stat.StdErr(stat.StdDev(change, nil), float64(len(change)))
	fmt.Printf("%-24s %-24s %5d %7.3f %7.3f %+8.3f %7.3f\n",
		site, what, len(change), stat.Mean(before, nil), stat.Mean(after, nil), stat.Mean(change, nil), spread)
}
