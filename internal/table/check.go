package table

import (
	"fmt"
	"math"
	"regexp"
)

// namePattern matches the valid names of services, targets and data centres.
// Names appear in URLs, event ids and CSV cells.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ValidName reports whether s is a valid name of a service, a target or a data
// centre.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Check returns an InvalidError that lists every invalid cell of t, or nil.
func (t Table) Check() error {
	c := tableChecker{assigned: map[string]string{}, services: map[string]bool{}}
	for i := range t.Rows {
		c.checkRow(&t.Rows[i])
	}
	if len(c.errs) == 0 {
		return nil
	}
	return c.errs
}

// tableChecker checks the rows of a table and collects the errors.
type tableChecker struct {
	errs InvalidError
	// services is the set of services that have a row.
	services map[string]bool
	// assigned maps each named target to its service.
	assigned map[string]string
}

// addError adds an error for a cell of row r.
func (c *tableChecker) addError(r *Row, column, format string, args ...any) {
	c.errs = append(c.errs, CellError{Service: r.Service, Column: column, Message: fmt.Sprintf(format, args...)})
}

// checkRow checks all cells of a row.
func (c *tableChecker) checkRow(r *Row) {
	if !ValidName(r.Service) {
		c.addError(r, "service", "%q is not a valid name; use lower-case letters, digits, dots and hyphens", r.Service)
	}
	if c.services[r.Service] {
		c.addError(r, "service", "the service has two rows")
	}
	c.services[r.Service] = true
	if r.Kind != Language && r.Kind != Plain {
		c.addError(r, "kind", "%q is not language or plain", r.Kind)
	}
	if r.Kind == Language && r.Model == "" {
		c.addError(r, "model", "a language service needs a model")
	}
	if r.Fencing != FencingChecked && r.Fencing != FencingIgnored {
		c.addError(r, "fencing", "%q is not checked or ignored", r.Fencing)
	}
	if r.Deadline <= 0 {
		c.addError(r, "deadline", "must be above zero")
	}
	c.checkNumbers(r)
	c.checkEngines(r)
}

// checkNumbers checks the ranges of the row's numbers.
func (c *tableChecker) checkNumbers(r *Row) {
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
			c.addError(r, n.column, "%v is not a finite number of at least zero", n.value)
		}
	}
	if !(r.Objective > 0 && r.Objective < 1) {
		c.addError(r, "objective", "%v is not between 0 and 1", r.Objective)
	}
}

// checkEngines checks the row's assignments of targets.
func (c *tableChecker) checkEngines(r *Row) {
	centres := map[string]bool{}
	for _, a := range r.Engines {
		if !ValidName(a.DataCentre) {
			c.addError(r, "engines", "%q is not a valid data centre name", a.DataCentre)
		}
		if centres[a.DataCentre] {
			c.addError(r, "engines", "data centre %s is given twice", a.DataCentre)
		}
		centres[a.DataCentre] = true
		if a.Count < 0 {
			c.addError(r, "engines", "the count for data centre %s is below zero", a.DataCentre)
		}
		for _, name := range a.Names {
			c.checkEngine(r, name)
		}
	}
}

// checkEngine checks one named target of the row.
func (c *tableChecker) checkEngine(r *Row, name string) {
	if !ValidName(name) {
		c.addError(r, "engines", "%q is not a valid target name", name)
		return
	}
	if other, dup := c.assigned[name]; dup {
		c.addError(r, "engines", "engine %s is given twice (also to %s)", name, other)
		return
	}
	c.assigned[name] = r.Service
}
