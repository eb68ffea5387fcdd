package model

import (
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Dimensions of the plot in pixels.
const (
	// plotWidth and plotHeight are the dimensions of the plot without its legend, plotMargin is the
	// space around the lines, and legendRow the height of one entry of the legend.
	plotWidth  = 760
	plotHeight = 260
	plotMargin = 40
	legendRow  = 14
)

// colours are the colours of the lines, in the order of the policies.
var colours = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b", "#17becf"}

// plotLine is the line of one policy with its entry in the legend. Points is the value of the SVG
// attribute points, and LegendY is in pixels.
type plotLine struct {
	Colour, Points, Name string
	LegendY              int
}

// axisTick is a label on an axis, at a position in pixels.
type axisTick struct {
	X, Y int
	Text string
}

// plotTemplate is the template of the SVG file.
var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="11">
<rect width="{{.Width}}" height="{{.Height}}" fill="white"/>
<text x="{{.Left}}" y="14">{{.Title}}</text>
{{range .XTicks}}<text x="{{.X}}" y="{{.Y}}" text-anchor="middle">{{.Text}}</text>
{{end}}{{range .YTicks}}<text x="{{.X}}" y="{{.Y}}" text-anchor="end">{{.Text}}</text>
{{end}}{{range .Lines}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="1.5" points="{{.Points}}"/>
<text x="{{$.LegendX}}" y="{{.LegendY}}" fill="{{.Colour}}">{{.Name}}</text>
{{end}}</svg>
`))

// Plot writes an SVG plot of the requests served in time by the second of their first attempt,
// with one line for each policy and one for all requests.
func (r *Report) Plot(out io.Writer) error {
	maxCount := 1
	for _, run := range r.Runs {
		for _, c := range run.Result.Seconds {
			maxCount = max(maxCount, c.Offered)
		}
	}
	data := struct {
		Width, Height, Left, LegendX int
		Title                        string
		XTicks, YTicks               []axisTick
		Lines                        []plotLine
	}{
		Width: plotWidth + 3*plotMargin, Height: plotHeight, Left: plotMargin, LegendX: plotWidth - plotMargin/2,
		Title: fmt.Sprintf("%s %s: requests a second served in time, by when they came first", r.Site.Name, r.Day.Name),
	}
	length := len(r.Bound.Seconds)
	x := func(i int) int { return plotMargin + i*(plotWidth-3*plotMargin)/max(length-1, 1) }
	y := func(n int) int { return plotHeight - plotMargin - n*(plotHeight-2*plotMargin)/maxCount }
	for i := 0; i < length; i += 5 {
		data.XTicks = append(data.XTicks, axisTick{X: x(i), Y: plotHeight - plotMargin/2, Text: fmt.Sprint(i)})
	}
	for k := range 5 {
		n := maxCount * k / 4
		data.YTicks = append(data.YTicks, axisTick{X: plotMargin - 4, Y: y(n), Text: fmt.Sprint(n)})
	}
	add := func(name, colour string, value func(i int) int) {
		var points []string
		for i := range length {
			points = append(points, fmt.Sprintf("%d,%d", x(i), y(value(i))))
		}
		data.Lines = append(data.Lines, plotLine{Colour: colour, Points: strings.Join(points, " "), Name: name, LegendY: plotMargin + legendRow*len(data.Lines)})
	}
	for k, run := range r.Runs {
		if k == 0 {
			add("asked", "#bbbbbb", func(i int) int { return run.Result.Seconds[i].Offered })
		}
		add(run.Policy, colours[k%len(colours)], func(i int) int { return run.Result.Seconds[i].InTime })
	}
	return errors.Wrap(plotTemplate.Execute(out, data), "write plot")
}
