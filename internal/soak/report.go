package soak

import (
	"fmt"
	"html/template"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Write prints the report as text: the number of faults by kind, the outcomes of requests, the
// number of checks by invariant, and the violations.
func (r *Report) Write(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %s, %d faults, %d violations\n", r.Seed, r.Length, len(r.Faults), len(r.Violations))
	faults := make(map[string]int)
	for _, f := range r.Faults {
		faults[string(f.Kind)]++
	}
	checks := make(map[string]int, len(r.Checks))
	for inv, n := range r.Checks {
		checks[string(inv)] = n
	}
	writeCounts(&b, "faults", faults)
	writeCounts(&b, "requests", r.Outcomes)
	writeCounts(&b, "checks", checks)
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "broken %s at %s: %s\n", v.Invariant, v.At, v.What)
	}
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write report")
}

// writeCounts prints one line of counts, sorted by name.
func writeCounts(b *strings.Builder, title string, counts map[string]int) {
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

// Sizes in the timeline, in pixels.
const (
	pixelsPerSecond = 12
	rowHeight       = 14
	labelWidth      = 140
)

// faultBar is one fault in the timeline.
type faultBar struct {
	X, Y, Width int
	Title       string
}

// violationMark is a violation in the timeline, and rowLabel the name of a row.
type (
	violationMark struct{ X int }
	rowLabel      struct {
		Y    int
		Text string
	}
)

var timelineTemplate = template.Must(template.New("timeline").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="10">
{{range .Labels}}<text x="2" y="{{.Y}}">{{.Text}}</text>
{{end}}{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="10" fill="steelblue" fill-opacity="0.6"><title>{{.Title}}</title></rect>
{{end}}{{range .Marks}}<rect x="{{.X}}" y="0" width="2" height="{{$.Height}}" fill="red"/>
{{end}}</svg>
`))

// WriteTimeline draws the faults over time as SVG, with a row for each kind, and the violations as
// red lines.
func (r *Report) WriteTimeline(out io.Writer) error {
	rows := make(map[FaultKind]int)
	data := struct {
		Width, Height int
		Labels        []rowLabel
		Bars          []faultBar
		Marks         []violationMark
	}{Width: labelWidth + int(r.Length.Seconds())*pixelsPerSecond}
	for _, f := range r.Faults {
		row, ok := rows[f.Kind]
		if !ok {
			row = len(rows)
			rows[f.Kind] = row
			data.Labels = append(data.Labels, rowLabel{Y: row*rowHeight + 10, Text: string(f.Kind)})
		}
		data.Bars = append(data.Bars, faultBar{
			X: labelWidth + int(f.At.Seconds()*pixelsPerSecond), Y: row * rowHeight, Width: max(int(f.Duration.Seconds()*pixelsPerSecond), 1),
			Title: fmt.Sprintf("%s at %s for %s, index %d, variant %d", f.Kind, f.At, f.Duration, f.Index, f.Variant),
		})
	}
	for _, v := range r.Violations {
		data.Marks = append(data.Marks, violationMark{X: labelWidth + int(v.At.Seconds()*pixelsPerSecond)})
	}
	data.Height = max(len(rows), 1) * rowHeight
	return errors.Wrap(timelineTemplate.Execute(out, data), "write timeline")
}
