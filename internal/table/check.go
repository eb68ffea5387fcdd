package table

import (
	"fmt"
	"math"
	"regexp"
)

// namePattern is what services and targets may be called: names stand in URLs,
// event ids and CSV cells.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ValidName reports whether s may name a service or a target.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Check returns an Invalid that lists every bad cell of t, or nil.
func (t Table) Check() error {
	c := tableChecker{taken: map[string]string{}, services: map[string]bool{}}
	for i := range t.Rows {
		c.row(&t.Rows[i])
	}
	if len(c.bad) == 0 {
		return nil
	}
	return c.bad
}

type tableChecker struct {
	bad      Invalid
	services map[string]bool
	// taken maps a target's name to the service that has it.
	taken map[string]string
}

func (c *tableChecker) fail(r *Row, column, format string, args ...any) {
	c.bad = append(c.bad, CellError{Service: r.Service, Column: column, Message: fmt.Sprintf(format, args...)})
}

func (c *tableChecker) row(r *Row) {
	if !ValidName(r.Service) {
		c.fail(r, "service", "%q is not a name of small letters, digits, dots and hyphens", r.Service)
	}
	if c.services[r.Service] {
		c.fail(r, "service", "the service has two rows")
	}
	c.services[r.Service] = true
	if r.Kind != Language && r.Kind != Plain {
		c.fail(r, "kind", "%q is not language or plain", r.Kind)
	}
	if r.Kind == Language && r.Model == "" {
		c.fail(r, "model", "a language service needs a model")
	}
	if r.Fencing != FencingChecked && r.Fencing != FencingIgnored {
		c.fail(r, "fencing", "%q is not checked or ignored", r.Fencing)
	}
	if r.Deadline <= 0 {
		c.fail(r, "deadline", "must be above zero")
	}
	c.numbers(r)
	c.engines(r)
}

func (c *tableChecker) numbers(r *Row) {
	atLeastZero := []struct {
		column string
		value  float64
	}{
		{"weight", r.Weight},
		{"rate_per_s", r.RatePerS},
		{"in_flight", float64(r.InFlight)},
		{"account_rate_per_s", r.AccountRate},
		{"change_cost", r.ChangeCost},
	}
	for _, n := range atLeastZero {
		if n.value < 0 || math.IsNaN(n.value) || math.IsInf(n.value, 0) {
			c.fail(r, n.column, "%v is not a number of at least zero", n.value)
		}
	}
	if !(r.Objective > 0 && r.Objective < 1) {
		c.fail(r, "objective", "%v is not between 0 and 1", r.Objective)
	}
}

func (c *tableChecker) engines(r *Row) {
	centres := map[string]bool{}
	for _, a := range r.Engines {
		if !ValidName(a.DataCentre) {
			c.fail(r, "engines", "%q is not a data centre's name", a.DataCentre)
		}
		if centres[a.DataCentre] {
			c.fail(r, "engines", "data centre %s is given twice", a.DataCentre)
		}
		centres[a.DataCentre] = true
		if a.Count < 0 {
			c.fail(r, "engines", "a count below zero for %s", a.DataCentre)
		}
		for _, name := range a.Names {
			c.engine(r, name)
		}
	}
}

func (c *tableChecker) engine(r *Row, name string) {
	if !ValidName(name) {
		c.fail(r, "engines", "%q is not a target's name", name)
		return
	}
	if other, dup := c.taken[name]; dup {
		c.fail(r, "engines", "engine %s is given twice (also to %s)", name, other)
		return
	}
	c.taken[name] = r.Service
}
