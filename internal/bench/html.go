package bench

import (
	"fmt"
	"html/template"
	"io"

	"github.com/ansel1/merry/v2"
)

// page is the data of the HTML page.
type page struct {
	Title    string
	Charts   []template.HTML
	Policies []PolicyResult // of a comparison
	Reports  []*Report
}

const pageText = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Title}}</title>
<style>
body { font: 15px/1.4 sans-serif; max-width: 75em; margin: 2em auto; padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { padding: .2em .7em; text-align: right; border-bottom: 1px solid #ddd; }
td:first-child, th:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
<p>Times are in milliseconds. Prompt lengths are those before scaling.</p>
{{with .Policies}}
<table>
<tr><th>policy</th><th>slowdown of short</th><th>short p95 in mix</th><th>alone</th><th>in time</th><th>worst customer to median</th></tr>
{{range .}}<tr><td>{{.Policy}}</td><td>{{printf "%.2f" .Slowdown.Ratio}}</td><td>{{printf "%.1f" .Slowdown.MixP95Ms}}</td><td>{{printf "%.1f" .Slowdown.AloneP95Ms}}</td><td>{{percent .Mix.All.GoodShare}}</td><td>{{printf "%.2f" .Mix.Fairness.Ratio}}</td></tr>
{{end}}</table>
{{end}}
{{range .Charts}}{{.}}
{{end}}
{{range .Reports}}
<h2>{{.Mix}}{{with .Policy}}, policy {{.}}{{end}}</h2>
<p>{{.RatePerS}} per second for {{.DurationS}} s, seed {{.Seed}}, lengths × {{.LengthScale}}, {{.Daemons}} daemons.
Retries {{.Retries.Count}}, attempts per request {{printf "%.3f" .Retries.Amplification}}, retry peak to mean {{printf "%.2f" .Retries.PeakToMean}}.
Requests were sent late by p99 {{printf "%.1f" .DispatchLagMs.P99}} ms.</p>
{{template "rows" .Classes}}
{{template "rows" .Buckets}}
{{end}}
</body>
</html>
{{define "rows"}}<table>
<tr><th></th><th>sent</th><th>complete</th><th>not run</th><th>failed</th><th>unknown</th><th>late</th><th>wrong</th><th>first p50</th><th>p95</th><th>p99</th><th>between p95</th><th>in time</th><th>stalled s</th></tr>
{{range .}}<tr><td>{{.Class}}{{.Bucket}}</td><td>{{.Sent}}</td><td>{{.Complete}}</td><td>{{.NotRun}}</td><td>{{.Failed}}</td><td>{{.Unknown}}</td><td>{{.Late}}</td><td>{{.Mismatched}}</td><td>{{printf "%.1f" .FirstTokenMs.P50}}</td><td>{{printf "%.1f" .FirstTokenMs.P95}}</td><td>{{printf "%.1f" .FirstTokenMs.P99}}</td><td>{{printf "%.1f" .InterTokenMs.P95}}</td><td>{{percent .GoodShare}}</td><td>{{printf "%.1f" .StalledS}}</td></tr>
{{end}}</table>{{end}}`

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"percent": percent}).Parse(pageText))

// WriteHTML writes the report as an HTML page that needs no other file.
func (r *Report) WriteHTML(w io.Writer) error {
	p := page{Title: "Load " + r.Mix, Reports: []*Report{r}}
	first, err := bucketChart([]*Report{r})
	if err != nil {
		return merry.Prepend(err, "draw first tokens")
	}
	timeline, err := timelineChart(r.Timeline)
	if err != nil {
		return merry.Prepend(err, "draw timeline")
	}
	p.Charts = []template.HTML{template.HTML(first), template.HTML(timeline)}
	return merry.Prepend(pageTemplate.Execute(w, p), "write page")
}

// WriteHTML writes the comparison as an HTML page that needs no other file.
func (c *Comparison) WriteHTML(w io.Writer) error {
	p := page{Title: "Placement policies compared", Policies: c.Policies}
	slowdown := series{name: "slowdown"}
	var labels []string
	for _, res := range c.Policies {
		p.Reports = append(p.Reports, res.Mix)
		labels = append(labels, res.Policy)
		slowdown.values = append(slowdown.values, res.Slowdown.Ratio)
	}
	if len(labels) > 0 {
		slow, err := barChart("Slowdown of short prompts", "p95 in the mix / alone", labels, []series{slowdown})
		if err != nil {
			return merry.Prepend(err, "draw slowdown")
		}
		first, err := bucketChart(p.Reports)
		if err != nil {
			return merry.Prepend(err, "draw first tokens")
		}
		p.Charts = []template.HTML{template.HTML(slow), template.HTML(first)}
	}
	return merry.Prepend(pageTemplate.Execute(w, p), "write page")
}

// bucketChart draws the first-token p95 by prompt length for each report. It returns
// an empty string when no report has a bucket.
func bucketChart(reports []*Report) (string, error) {
	var labels []string
	for _, b := range buckets {
		for _, r := range reports {
			if r.bucketRow(b.name) != nil {
				labels = append(labels, b.name)
				break
			}
		}
	}
	var all []series
	for _, r := range reports {
		s := series{name: r.Policy}
		for _, name := range labels {
			value := 0.0
			if row := r.bucketRow(name); row != nil {
				value = row.FirstTokenMs.P95
			}
			s.values = append(s.values, value)
		}
		all = append(all, s)
	}
	if len(labels) == 0 {
		return "", nil
	}
	return barChart("First token by prompt tokens", "p95, ms", labels, all)
}

func (r *Report) bucketRow(name string) *Row {
	for i := range r.Buckets {
		if r.Buckets[i].Bucket == name {
			return &r.Buckets[i]
		}
	}
	return nil
}

func percent(share float64) string {
	return fmt.Sprintf("%.1f%%", 100*share)
}
