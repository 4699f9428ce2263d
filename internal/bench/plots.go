package bench

import (
	"bytes"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
)

// series is a named set of bars, one bar for each label of a chart.
type series struct {
	name   string
	values []float64
}

// barChart draws groups of bars, one group for each label, as SVG.
func barChart(title, unit string, labels []string, all []series) (string, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, unit
	p.Y.Min = 0
	p.Legend.Top = true
	width := barWidth / vg.Length(max(len(all), 1))
	for i, s := range all {
		bars, err := plotter.NewBarChart(plotter.Values(s.values), width)
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(all)-1)/2)
		p.Add(bars)
		if len(all) > 1 {
			p.Legend.Add(s.name, bars)
		}
	}
	p.NominalX(labels...)
	return svg(p)
}

// timelineChart draws the number of requests sent, completed and refused in each
// second, as SVG.
func timelineChart(rows []SecondRow) (string, error) {
	p := plot.New()
	p.Title.Text = "Requests in each second"
	p.X.Label.Text, p.Y.Label.Text = "s", "requests"
	p.Legend.Top = true
	lines := []struct {
		name  string
		value func(SecondRow) int
	}{
		{"sent", func(r SecondRow) int { return r.Sent }},
		{"complete", func(r SecondRow) int { return r.Complete }},
		{"refused", func(r SecondRow) int { return r.Refused }},
	}
	for i, l := range lines {
		xys := make(plotter.XYs, len(rows))
		for s, r := range rows {
			xys[s] = plotter.XY{X: float64(s), Y: float64(l.value(r))}
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	return svg(p)
}

// svg draws a plot as an SVG element that can be embedded in a page.
func svg(p *plot.Plot) (string, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	return text[strings.Index(text, "<svg"):], nil
}
