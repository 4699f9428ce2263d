package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

const rowHeader = "sent\tcomplete\tnot_run\tfailed\tunknown\tlate\twrong\tfirst p50\tp95\tp99\tbetween p95\tin time\tstalled\t\n"

// WriteText writes a report as tables. Times are in milliseconds where no unit
// stands.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "mix %s", r.Mix)
	if r.Policy != "" {
		fmt.Fprintf(w, ", policy %s", r.Policy)
	}
	fmt.Fprintf(w, ": %.4g a second for %.4g s, seed %d, lengths x %.4g, %d daemons\n\n",
		r.RatePerS, r.DurationS, r.Seed, r.LengthScale, r.Daemons)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tw, "class\t"+rowHeader)
	for i := range r.Classes {
		r.Classes[i].write(tw, r.Classes[i].Class)
	}
	r.All.write(tw, "all")
	fmt.Fprint(tw, "\t\n")
	fmt.Fprint(tw, "prompt tokens\t"+rowHeader)
	for i := range r.Buckets {
		r.Buckets[i].write(tw, r.Buckets[i].Bucket)
	}
	r.Short.write(tw, fmt.Sprintf("below %d", r.ShortBelowTokens))
	tw.Flush()
	fmt.Fprintf(w, "\nretries %d, attempts a request %.3f, peak %d a second, peak to mean %.2f, refused in p95 %.1f ms\n",
		r.Retries.Count, r.Retries.Amplification, r.Retries.PeakPerS, r.Retries.PeakToMean, r.Retries.RefusalLatencyMs.P95)
	fmt.Fprintf(w, "customers: worst %s with p95 %.1f ms, median %.1f ms, ratio %.2f\n",
		r.Fairness.WorstCustomer, r.Fairness.WorstP95Ms, r.Fairness.MedianP95Ms, r.Fairness.Ratio)
	if len(r.All.Codes) > 0 {
		fmt.Fprintf(w, "without an answer: %s\n", codes(r.All.Codes))
	}
	fmt.Fprintf(w, "requests were sent late by p99 %.1f ms\n", r.DispatchLagMs.P99)
}

func (r *Row) write(w io.Writer, name string) {
	f := r.FirstTokenMs
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f%%\t%.1f s\t\n",
		name, r.Sent, r.Complete, r.NotRun, r.Failed, r.Unknown, r.Late, r.Mismatched,
		f.P50, f.P95, f.P99, r.InterTokenMs.P95, 100*r.GoodShare, r.StalledS)
}

// codes lists how often each code was given, by name.
func codes(counts map[string]int) string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", code, counts[code]))
	}
	return strings.Join(parts, ", ")
}

// WriteText writes the comparison as a table, then each policy's report.
func (c *Comparison) WriteText(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tw, "policy\tslowdown of short\tshort p95 in mix\talone\tin time\tworst customer\t\n")
	for _, p := range c.Policies {
		fmt.Fprintf(tw, "%s\t%.2f\t%.1f ms\t%.1f ms\t%.1f%%\t%.2f\t\n",
			p.Policy, p.Slowdown.Ratio, p.Slowdown.MixP95Ms, p.Slowdown.AloneP95Ms, 100*p.Mix.All.GoodShare, p.Mix.Fairness.Ratio)
	}
	tw.Flush()
	for _, p := range c.Policies {
		fmt.Fprintln(w)
		p.Mix.WriteText(w)
	}
}
