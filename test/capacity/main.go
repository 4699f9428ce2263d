// Command capacity measures the control overhead of daemons: it starts sites of
// increasing size as separate processes and reads the CPU time, memory and control
// traffic of each daemon over a period. The engines are idle unless -rate is set. It
// measures the product's own interface; docs/CAPACITY.md covers the edge.
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

// options holds the values of the flags.
type options struct {
	bin     string        // directory of the binaries
	sizes   []int         // number of daemons of each site
	domains int           // failure domains of a site
	engines int           // engines per daemon
	settle  time.Duration // wait before measuring
	measure time.Duration // duration of the measurement
	rate    float64       // requests per second and daemon; 0 sends none
	prompt  int           // approximate tokens of a prompt
	answer  int           // tokens of an answer
	step    time.Duration // decode step of the engines: one token of each stream
	batch   int           // requests that an engine runs concurrently

	customers         int     // customers, each with a limit
	unservedUpstreams int     // upstreams in domains without daemons, present in the settings only
	keyed             float64 // share of the requests that call a service with an idempotency key and run at most once
	changes           float64 // settings changes per minute
	replace           int     // daemons that are killed and replaced after measuring

	jsonFile string
}

// result holds the measurements of one site.
type result struct {
	Daemons       int           `json:"daemons"`
	Domains       int           `json:"domains"`
	Engines       int           `json:"engines"`
	RatePerDaemon float64       `json:"rate_per_daemon"`
	CPUPercent    meanMax       `json:"cpu_percent_of_a_core"`
	RSSMiB        meanMax       `json:"rss_mib"`
	SentBytes     meanMax       `json:"sent_bytes_per_second"`
	ReceivedBytes meanMax       `json:"received_bytes_per_second"`
	LogAppends    float64       `json:"log_appends_per_second"`
	Purposes      []purposeRate `json:"bytes_per_second_by_purpose"` // sent and received, mean of the daemons
	Counters      []counterRate `json:"events_per_second"`           // rates of the daemons' counters, mean of the daemons

	Prompt            int            `json:"prompt_tokens"`
	Answer            int            `json:"answer_tokens"`
	StepMs            float64        `json:"engine_step_ms"`
	Customers         int            `json:"customers"`
	UnservedUpstreams int            `json:"upstreams_of_other_domains"`
	Keyed             float64        `json:"share_keyed"`
	Changes           float64        `json:"changes_per_minute"`
	ChangeLatency     *durationStats `json:"change_until_in_force_everywhere,omitempty"`
	Replacements      []joinCost     `json:"replacements,omitempty"`
}

// purposeRate is the control traffic for one purpose.
type purposeRate struct {
	Purpose string  `json:"purpose"`
	Bytes   float64 `json:"bytes_per_second"`
}

// counterRate is the rate of increase of one counter.
type counterRate struct {
	Name string  `json:"name"`
	Rate float64 `json:"per_second"`
}

// meanMax holds the mean and the maximum over the daemons.
type meanMax struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

func main() {
	var o options
	var sizes string
	flag.StringVar(&o.bin, "bin", "bin", "directory of the binaries")
	flag.StringVar(&sizes, "sizes", "3,6,12,24", "number of daemons of each site, separated by commas")
	flag.IntVar(&o.domains, "domains", 3, "failure domains")
	flag.IntVar(&o.engines, "engines", 2, "engines per daemon")
	flag.DurationVar(&o.settle, "settle", 8*time.Second, "wait before measuring")
	flag.DurationVar(&o.measure, "measure", 20*time.Second, "duration of the measurement")
	flag.Float64Var(&o.rate, "rate", 0, "requests per second and daemon")
	flag.IntVar(&o.prompt, "prompt", 1000, "approximate tokens of a prompt")
	flag.IntVar(&o.answer, "answer", 20, "tokens of an answer")
	flag.DurationVar(&o.step, "step", 5*time.Millisecond, "decode step of the engines: time for one token of each stream")
	flag.IntVar(&o.batch, "batch", 32, "requests that an engine runs concurrently")
	flag.IntVar(&o.customers, "customers", 1, "customers, each with a limit")
	flag.IntVar(&o.unservedUpstreams, "others", 0, "upstreams in domains without daemons, present in the settings only")
	flag.Float64Var(&o.keyed, "keyed", 0, "share of the requests that call a service with an idempotency key and run at most once, 0 to 1")
	flag.Float64Var(&o.changes, "changes", 0, "settings changes per minute")
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
		printOptional(r)
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

// printOptional prints the measurements that only some options produce.
func printOptional(r result) {
	if r.LogAppends > 0 {
		fmt.Printf("%20s %10.1f per second in the site\n", "log appends", r.LogAppends)
	}
	if t := r.ChangeLatency; t != nil {
		fmt.Printf("%20s %d changes in force everywhere: p50 %.2f s, p95 %.2f s, max %.2f s\n", "settings", t.Number, t.P50, t.P95, t.Max)
	}
	for _, s := range r.Replacements {
		fmt.Printf("%20s ready in %.3f s, cpu %.2f s, sent %.0f B, received %.0f B; after 10 s cpu %.2f s, sent %.0f B, received %.0f B\n", "replacement",
			s.ReadySeconds, s.CPUSeconds, s.SentBytes, s.ReceivedBytes, s.JoinedCPUSeconds, s.JoinedSentBytes, s.JoinedReceivedBytes)
	}
}
