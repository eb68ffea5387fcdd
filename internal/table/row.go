// Package table implements the operators' table of services, with one row for
// each service: its checks, its CSV format, the difference of two tables, the
// assignment of targets to services, and its storage on the platform. Only Store
// does input and output.
package table

import (
	"sort"
	"strings"
	"time"
)

// Kind is the kind of targets that serve a service.
type Kind string

// The kinds of service: Language is served by engines, Plain by other targets.
const (
	Language Kind = "language"
	Plain    Kind = "plain"
)

// Fencing is what a service's engines do with orders that have an old fencing
// number.
type Fencing string

// Engines refuse an order with an old fencing number if it is checked, and apply
// it if it is ignored.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Assignment assigns targets of one data centre to a service, by name or by count.
type Assignment struct {
	DataCentre string   `json:"data_centre"`
	Names      []string `json:"names,omitempty"`
	// Count is the number of targets that no row names; zero if Names is used.
	Count int `json:"count,omitempty"`
}

// Row is the configuration of one service.
type Row struct {
	Service string `json:"service"`
	Kind    Kind   `json:"kind"`
	// Engines assigns targets to the service, also to one of kind Plain.
	Engines []Assignment `json:"engines"`
	// Model, Adapters and Version are what the engines of a language service
	// must serve.
	Model    string   `json:"model,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version,omitempty"`
	// Weight is the service's weight in sharing the requests of a full entry.
	Weight float64 `json:"weight"`
	// RatePerS is the limit of requests per second, and InFlight that of
	// concurrent requests; zero for none.
	RatePerS float64 `json:"rate_per_s"`
	InFlight int     `json:"in_flight"`
	// AccountRate is the limit of requests per second for each client account.
	AccountRate float64 `json:"account_rate_per_s"`
	// Deadline is the time after a request's arrival until which an answer is
	// useful.
	Deadline time.Duration `json:"deadline"`
	// Repeatable tells whether a call may run more than once.
	Repeatable bool `json:"repeatable"`
	// ChangeCost is the cost of one role change in seconds of one engine's
	// goodput, in addition to the goodput lost by it.
	ChangeCost float64 `json:"change_cost"`
	// Fencing is what the service's engines do with old fencing numbers.
	Fencing Fencing `json:"fencing"`
	// Objective is the share of answers that must be in time, such as 0.99.
	Objective float64 `json:"objective"`
	// Changed is the table version that last changed this row. An edit must
	// leave it as read.
	Changed uint64 `json:"changed"`
}

// Table is the set of rows at one version.
type Table struct {
	Version uint64 `json:"version"`
	Rows    []Row  `json:"rows"`
}

// Row returns the row of the service, and whether the table has one.
func (t Table) Row(service string) (Row, bool) {
	for _, r := range t.Rows {
		if r.Service == service {
			return r, true
		}
	}
	return Row{}, false
}

// Sort sorts the rows by service, which is their order in every listing.
func (t Table) Sort() {
	sort.Slice(t.Rows, func(i, j int) bool { return t.Rows[i].Service < t.Rows[j].Service })
}

// Change is the change of one service's row. Before is nil for an added row, After
// for a removed one.
type Change struct {
	Service string `json:"service"`
	Before  *Row   `json:"before,omitempty"`
	After   *Row   `json:"after,omitempty"`
}

// Diff returns the changes that turn from into to, sorted by service. It ignores
// Row.Changed.
func Diff(from, to Table) []Change {
	var out []Change
	for _, r := range from.Rows {
		after, ok := to.Row(r.Service)
		switch {
		case !ok:
			out = append(out, Change{Service: r.Service, Before: &r})
		case !equalRows(r, after):
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

// CellChange is the change of one cell of a row.
type CellChange struct {
	Column string
	Before string
	After  string
}

// Cells returns the cells that differ between the two rows of c. A missing row
// counts as a row of empty cells.
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

// cellsOf returns the cells of r, or empty ones if r is nil.
func cellsOf(r *Row) []string {
	if r == nil {
		return make([]string, len(Columns))
	}
	return r.cells()
}

// equalRows reports whether all cells of the two rows are equal.
func equalRows(a, b Row) bool {
	return strings.Join(a.cells(), "\x00") == strings.Join(b.cells(), "\x00")
}
