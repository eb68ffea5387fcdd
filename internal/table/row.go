// Package table is the operators' table: one row for each service. It holds
// the row type, its checks, its CSV form and the difference of two tables.
// It does no input or output.
package table

import (
	"sort"
	"strings"
	"time"
)

// Kind is what stands behind a service.
type Kind string

// The kinds of service.
const (
	Language Kind = "language"
	Plain    Kind = "plain"
)

// Fencing says whether a service's engines refuse orders that carry an old
// fencing number.
type Fencing string

// The fencing behaviours of engines.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Assignment gives a service targets of one data centre, by name or by count.
type Assignment struct {
	DataCentre string   `json:"data_centre"`
	Names      []string `json:"names,omitempty"`
	// Count asks for that many targets not named by any row; zero when Names
	// is used.
	Count int `json:"count,omitempty"`
}

// Row is one service of the table.
type Row struct {
	Service     string       `json:"service"`
	Kind        Kind         `json:"kind"`
	Engines     []Assignment `json:"engines"`
	Model       string       `json:"model,omitempty"`
	Adapters    []string     `json:"adapters,omitempty"`
	Version     string       `json:"version,omitempty"`
	Weight      float64      `json:"weight"`
	RatePerS    float64      `json:"rate_per_s"`
	InFlight    int          `json:"in_flight"`
	AccountRate float64      `json:"account_rate_per_s"`
	// Deadline is the time within which an answer is worth having.
	Deadline time.Duration `json:"deadline"`
	// Repeatable says whether a call may be run more than once.
	Repeatable bool `json:"repeatable"`
	// ChangeCost is the price of one role change, in seconds of one engine's
	// goodput, on top of the goodput it loses.
	ChangeCost float64 `json:"change_cost"`
	// Fencing is how this service's engines treat old fencing numbers.
	Fencing Fencing `json:"fencing"`
	// Objective is the share of answers that must be in time, such as 0.99.
	Objective float64 `json:"objective"`
	// Changed is the table version that last changed this row. Callers of
	// apply must leave it as read.
	Changed uint64 `json:"changed"`
}

// Table is the rows at one version.
type Table struct {
	Version uint64 `json:"version"`
	Rows    []Row  `json:"rows"`
}

// Row returns the row of the service, and whether there is one.
func (t Table) Row(service string) (Row, bool) {
	for _, r := range t.Rows {
		if r.Service == service {
			return r, true
		}
	}
	return Row{}, false
}

// Sort orders the rows by service, the order of every listing.
func (t Table) Sort() {
	sort.Slice(t.Rows, func(i, j int) bool { return t.Rows[i].Service < t.Rows[j].Service })
}

// Change is what an edit does to one service; Before or After is nil for a row
// added or removed.
type Change struct {
	Service string `json:"service"`
	Before  *Row   `json:"before,omitempty"`
	After   *Row   `json:"after,omitempty"`
}

// Diff returns the changes that turn from into to, by service. Row versions do
// not count as a difference.
func Diff(from, to Table) []Change {
	var out []Change
	for _, r := range from.Rows {
		after, ok := to.Row(r.Service)
		switch {
		case !ok:
			out = append(out, Change{Service: r.Service, Before: &r})
		case !sameRow(r, after):
			out = append(out, Change{Service: r.Service, Before: &r, After: &after})
		}
	}
	for _, r := range to.Rows {
		if _, ok := from.Row(r.Service); !ok {
			out = append(out, Change{Service: r.Service, After: &r})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// CellChange is one differing cell of a changed row.
type CellChange struct {
	Column string
	Before string
	After  string
}

// Cells returns the cells that differ between the two rows of c; every cell of
// an added or removed row differs from the empty one.
func (c Change) Cells() []CellChange {
	before, after := cellsOf(c.Before), cellsOf(c.After)
	var out []CellChange
	for i, col := range Columns {
		if before[i] != after[i] {
			out = append(out, CellChange{Column: col, Before: before[i], After: after[i]})
		}
	}
	return out
}

func cellsOf(r *Row) []string {
	if r == nil {
		return make([]string, len(Columns))
	}
	return r.cells()
}

func sameRow(a, b Row) bool {
	return strings.Join(a.cells(), "\x00") == strings.Join(b.cells(), "\x00")
}
