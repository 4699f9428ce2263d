// Command compare plays the same days with the same seeds on two working trees, with the
// users' bench, and prints the paired differences of worth: what a change of policy gives
// beyond the luck of a play.
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

type options struct {
	bench string
	days  []string
	seeds int
	first int
	jobs  int
	why   string
	extra []string // further options of each play
	trees [2]string
	sites []string
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
	flag.IntVar(&o.seeds, "seeds", 5, "seeds of each day; the first is the day's own")
	flag.IntVar(&o.first, "first", 4001, "the second seed; the others count up from it")
	flag.IntVar(&o.jobs, "jobs", 4, "plays at a time")
	flag.StringVar(&o.why, "why", "", "reason, for the journal")
	flag.StringVar(&extra, "extra", "--no-cpu", "options of each play, separated by spaces")
	flag.Parse()
	const trees = 2
	if flag.NArg() <= trees || o.bench == "" || o.why == "" {
		return nil, errors.New("usage: compare -bench PATH -why TEXT BEFORE AFTER SITE [SITE]")
	}
	o.days, o.extra = strings.Split(days, ","), strings.Fields(extra)
	o.trees, o.sites = [2]string{flag.Arg(0), flag.Arg(1)}, flag.Args()[trees:]
	return o, nil
}

// play is a day with a seed on both trees.
type play struct {
	site, day string
	seed      int // zero: the day's own
	results   [2]result
}

// result is what the comparison needs of a play's report.
type result struct {
	Score        float64                    `json:"G"`
	Served       float64                    `json:"served"`
	Parts        [][]any                    `json:"parts"` // name, weight, value
	Breaks       map[string]json.RawMessage `json:"breaks"`
	Fault        *string                    `json:"fault"`
	MissedFloors []string                   `json:"short"` // floors that were missed
}

func run(o *options) error {
	var plays []*play
	for _, site := range o.sites {
		for _, day := range o.days {
			for n := range o.seeds {
				p := &play{site: site, day: day}
				if n > 0 {
					p.seed = o.first + n - 1
				}
				plays = append(plays, p)
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
	o.playAll(plays, dir)
	tell(plays)
	return nil
}

// build builds each tree once, before several plays want it at the same time.
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

func (o *options) playAll(plays []*play, dir string) {
	var wg sync.WaitGroup
	free := make(chan struct{}, o.jobs)
	for i, p := range plays {
		for side := range o.trees {
			free <- struct{}{}
			wg.Go(func() {
				defer func() { <-free }()
				report := filepath.Join(dir, fmt.Sprintf("%d-%d.json", i, side))
				r, err := o.play(p, o.trees[side], report)
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

func (o *options) play(p *play, tree, report string) (result, error) {
	args := []string{"run", p.site, p.day, "--report", report, "--why", o.why}
	if p.seed != 0 {
		args = append(args, "--seed", strconv.Itoa(p.seed))
	}
	cmd := exec.Command(o.bench, append(args, o.extra...)...)
	cmd.Dir = tree
	out, runErr := cmd.CombinedOutput() // it exits with an error also when a rule broke
	var r result
	text, err := os.ReadFile(report)
	if err != nil {
		return r, fmt.Errorf("%w: %v\n%s", err, runErr, out)
	}
	return r, json.Unmarshal(text, &r)
}

// tell prints each day's mean worth before and after, and the paired difference with its
// standard error; then that of all plays of a site, and of its parts.
func tell(plays []*play) {
	fmt.Printf("%-24s %-24s %5s %7s %7s %8s %7s\n", "site", "day", "plays", "before", "after", "change", "error")
	bySite, order := map[string][]*play{}, []string{}
	byDay := map[string][]*play{}
	for _, p := range plays {
		key := p.site + " " + p.day
		if byDay[key] == nil {
			order = append(order, key)
		}
		byDay[key] = append(byDay[key], p)
		bySite[p.site] = append(bySite[p.site], p)
	}
	for _, key := range order {
		site, day, _ := strings.Cut(key, " ")
		row(site, filepath.Base(day), byDay[key], func(r result) float64 { return r.Score })
	}
	for site, all := range bySite {
		row(site, "all", all, func(r result) float64 { return r.Score })
		row(site, "served", all, func(r result) float64 { return r.Served })
		for i := range all[0].results[0].Parts {
			row(site, fmt.Sprint(all[0].results[0].Parts[i][0]), all, func(r result) float64 { return r.part(i) })
		}
	}
	for _, p := range plays {
		for side, r := range p.results {
			if len(r.Breaks) > 0 || r.Fault != nil || len(r.MissedFloors) > 0 {
				fmt.Printf("FAILED %s %s seed %d %s: rules %v, fault %v, floors %v\n",
					p.site, p.day, p.seed, []string{"before", "after"}[side], keys(r.Breaks), r.Fault != nil, r.MissedFloors)
			}
		}
	}
}

func keys(m map[string]json.RawMessage) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	return names
}

func (r result) part(i int) float64 {
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

func row(site, what string, plays []*play, of func(result) float64) {
	var before, after, change []float64
	for _, p := range plays {
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
