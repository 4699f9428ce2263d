// Command capacity measures what the control work of a daemon costs: it starts
// sites of growing size as separate processes, with engines that have nothing to
// do, and reads processor time, memory and counted bytes of each daemon over a
// while. It measures the product's own interface; docs/CAPACITY.md is about the edge.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// options are the flags of the program.
type options struct {
	bin     string        // directory of the programs
	sizes   []int         // daemons of each site
	domains int           // failure domains of a site
	engines int           // engines a daemon
	settle  time.Duration // before measuring
	measure time.Duration
	rate    float64       // requests a second and daemon; 0 idle
	prompt  int           // tokens of a prompt, about
	answer  int           // tokens of an answer
	step    time.Duration // of the engines, for one token of each stream
	batch   int           // requests that an engine runs at a time

	customers int     // customers, each with a limit
	others    int     // upstreams of domains without daemons, named in the settings only
	keyed     float64 // share of the requests that call a service and may run only once
	changes   float64 // changes of the settings a minute
	replace   int     // daemons that are killed and replaced after measuring

	jsonFile string
}

// result is what one site showed.
type result struct {
	Daemons       int     `json:"daemons"`
	Domains       int     `json:"domains"`
	Engines       int     `json:"engines"`
	RatePerDaemon float64 `json:"rate_per_daemon"`
	CPUPercent    spread  `json:"cpu_percent_of_a_core"`
	RSSMiB        spread  `json:"rss_mib"`
	SentBytes     spread  `json:"sent_bytes_per_second"`
	ReceivedBytes spread  `json:"received_bytes_per_second"`
	LogAppends    float64 `json:"log_appends_per_second"`
	Purposes      []line  `json:"bytes_per_second_by_purpose"` // sent and received, mean of the daemons
	Counters      []event `json:"events_per_second"`           // of the daemons' counters, mean

	Prompt            int     `json:"prompt_tokens"`
	Answer            int     `json:"answer_tokens"`
	StepMs            float64 `json:"engine_step_ms"`
	Customers         int     `json:"customers"`
	UnservedUpstreams int     `json:"upstreams_of_other_domains"`
	Keyed             float64 `json:"share_keyed"`
	Changes           float64 `json:"changes_per_minute"`
	ChangeLatency     *times  `json:"change_until_in_force_everywhere,omitempty"`
	Replacements      []start `json:"replacements,omitempty"`
}

// line is one purpose of control traffic.
type line struct {
	Purpose string  `json:"purpose"`
	Bytes   float64 `json:"bytes_per_second"`
}

// event is one counter of the daemons.
type event struct {
	Name string  `json:"name"`
	Rate float64 `json:"per_second"`
}

// spread is the mean and the most of the daemons.
type spread struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

func main() {
	var o options
	var sizes string
	flag.StringVar(&o.bin, "bin", "bin", "directory of the programs")
	flag.StringVar(&sizes, "sizes", "3,6,12,24", "daemons of each site")
	flag.IntVar(&o.domains, "domains", 3, "failure domains")
	flag.IntVar(&o.engines, "engines", 2, "engines a daemon")
	flag.DurationVar(&o.settle, "settle", 8*time.Second, "wait before measuring")
	flag.DurationVar(&o.measure, "measure", 20*time.Second, "time measured")
	flag.Float64Var(&o.rate, "rate", 0, "requests a second and daemon")
	flag.IntVar(&o.prompt, "prompt", 1000, "tokens of a prompt, about")
	flag.IntVar(&o.answer, "answer", 20, "tokens of an answer")
	flag.DurationVar(&o.step, "step", 5*time.Millisecond, "time of an engine for one token of each stream")
	flag.IntVar(&o.batch, "batch", 32, "requests that an engine runs at a time")
	flag.IntVar(&o.customers, "customers", 1, "customers, each with a limit")
	flag.IntVar(&o.others, "others", 0, "upstreams of domains without daemons, which only the settings name")
	flag.Float64Var(&o.keyed, "keyed", 0, "share of the requests that call a service and may run only once, 0 to 1")
	flag.Float64Var(&o.changes, "changes", 0, "changes of the settings a minute")
	flag.IntVar(&o.replace, "replace", 0, "daemons that are killed and replaced after measuring")
	flag.StringVar(&o.jsonFile, "json", "", "file for the results")
	flag.Parse()
	for _, s := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 {
			fmt.Fprintf(os.Stderr, "capacity: bad size %q\n", s)
			os.Exit(2)
		}
		o.sizes = append(o.sizes, n)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	var results []result
	fmt.Printf("%8s %8s %8s %10s %10s %10s %10s %12s %12s\n",
		"daemons", "engines", "req/s/d", "cpu %", "cpu max", "rss MiB", "rss max", "sent B/s", "received B/s")
	for _, n := range o.sizes {
		r, err := measureSite(ctx, o, n)
		if err != nil {
			return err
		}
		results = append(results, r)
		fmt.Printf("%8d %8d %8.1f %10.2f %10.2f %10.1f %10.1f %12.0f %12.0f\n",
			r.Daemons, r.Engines, r.RatePerDaemon, r.CPUPercent.Mean, r.CPUPercent.Max,
			r.RSSMiB.Mean, r.RSSMiB.Max, r.SentBytes.Mean, r.ReceivedBytes.Mean)
		for _, p := range r.Purposes {
			fmt.Printf("%20s %10.0f B/s\n", p.Purpose, p.Bytes)
		}
		printMore(r)
	}
	if o.jsonFile == "" {
		return nil
	}
	text, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(o.jsonFile, append(text, '\n'), 0o644)
}

// printMore prints what only some runs have.
func printMore(r result) {
	if r.LogAppends > 0 {
		fmt.Printf("%20s %10.1f a second in the site\n", "log appends", r.LogAppends)
	}
	if t := r.ChangeLatency; t != nil {
		fmt.Printf("%20s %d changes in force everywhere: p50 %.2f s, p95 %.2f s, max %.2f s\n", "settings", t.Number, t.P50, t.P95, t.Max)
	}
	for _, s := range r.Replacements {
		fmt.Printf("%20s ready in %.3f s, cpu %.2f s, sent %.0f B, received %.0f B; after 10 s cpu %.2f s, sent %.0f B, received %.0f B\n", "replacement",
			s.ReadySeconds, s.CPUSeconds, s.SentBytes, s.ReceivedBytes, s.JoinedCPUSeconds, s.JoinedSentBytes, s.JoinedReceivedBytes)
	}
}
