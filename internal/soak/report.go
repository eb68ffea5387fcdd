package soak

import (
	"fmt"
	"html/template"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Write prints the report as text: what was dealt, how requests ended, which
// checks were made and what was broken.
func (r *Report) Write(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %s, %d faults, %d violations\n", r.Seed, r.Length, len(r.Faults), len(r.Violations))
	dealt := make(map[string]int)
	for _, f := range r.Faults {
		dealt[string(f.Kind)]++
	}
	checks := make(map[string]int, len(r.Checks))
	for p, n := range r.Checks {
		checks[string(p)] = n
	}
	section(&b, "faults", dealt)
	section(&b, "requests", r.Outcomes)
	section(&b, "checks", checks)
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "broken %s at %s: %s\n", v.Promise, v.At, v.What)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write report")
}

func section(b *strings.Builder, title string, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(b, "%s:", title)
	for _, name := range names {
		fmt.Fprintf(b, " %s=%d", strings.ReplaceAll(name, " ", "/"), counts[name])
	}
	b.WriteByte('\n')
}

// Sizes of the timeline, in pixels.
const (
	pixelsPerSecond = 12
	rowHeight       = 14
	labelWidth      = 140
)

// bar is one fault of the timeline.
type bar struct {
	X, Y, Width int
	Title       string
}

// mark is a violation, and label the name of a row.
type (
	mark  struct{ X int }
	label struct {
		Y    int
		Text string
	}
)

var timeline = template.Must(template.New("timeline").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="10">
{{range .Labels}}<text x="2" y="{{.Y}}">{{.Text}}</text>
{{end}}{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="10" fill="steelblue" fill-opacity="0.6"><title>{{.Title}}</title></rect>
{{end}}{{range .Marks}}<rect x="{{.X}}" y="0" width="2" height="{{$.Height}}" fill="red"/>
{{end}}</svg>
`))

// WriteTimeline draws the faults over time as SVG, a row for each kind, and the
// violations as red lines.
func (r *Report) WriteTimeline(out io.Writer) error {
	rows := make(map[Kind]int)
	data := struct {
		Width, Height int
		Labels        []label
		Bars          []bar
		Marks         []mark
	}{Width: labelWidth + int(r.Length.Seconds())*pixelsPerSecond}
	for _, f := range r.Faults {
		row, ok := rows[f.Kind]
		if !ok {
			row = len(rows)
			rows[f.Kind] = row
			data.Labels = append(data.Labels, label{Y: row*rowHeight + 10, Text: string(f.Kind)})
		}
		data.Bars = append(data.Bars, bar{
			X: labelWidth + int(f.At.Seconds()*pixelsPerSecond), Y: row * rowHeight, Width: max(int(f.For.Seconds()*pixelsPerSecond), 1),
			Title: fmt.Sprintf("%s at %s for %s, index %d, variant %d", f.Kind, f.At, f.For, f.Index, f.Variant),
		})
	}
	for _, v := range r.Violations {
		data.Marks = append(data.Marks, mark{X: labelWidth + int(v.At.Seconds()*pixelsPerSecond)})
	}
	data.Height = max(len(rows), 1) * rowHeight
	return errors.Wrap(timeline.Execute(out, data), "write timeline")
}
