package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Columns lists the names of the CSV columns, in order.
var Columns = []string{
	"service", "kind", "engines", "model", "adapters", "version", "weight",
	"rate_per_s", "in_flight", "account_rate_per_s", "deadline", "repeatable",
	"change_cost", "fencing", "objective",
}

// versionPrefix starts the first line of a CSV file. The line gives the version of
// the table that the file was made from.
const versionPrefix = "# version "

// CellError is an error in one cell.
type CellError struct {
	// Line is the line of the CSV file, counted from 1, or zero for a table that
	// was not read from a file.
	Line    int
	Service string
	Column  string
	Message string
}

// String returns the position of the cell and the message.
func (e CellError) String() string {
	where := fmt.Sprintf("row %q column %q", e.Service, e.Column)
	if e.Line > 0 {
		where = fmt.Sprintf("line %d, %s", e.Line, where)
	}
	return where + ": " + e.Message
}

// InvalidError is an error that lists every invalid cell.
type InvalidError []CellError

// Error returns the errors of the cells, one on each line.
func (es InvalidError) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}

// EncodeCSV returns t as CSV, with its version on the first line.
func EncodeCSV(t Table) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s%d\n", versionPrefix, t.Version)
	w := csv.NewWriter(&buf)
	// Writes to a bytes.Buffer cannot fail.
	_ = w.Write(Columns)
	for _, r := range t.Rows {
		_ = w.Write(r.cells())
	}
	w.Flush()
	return buf.Bytes()
}

// DecodeCSV parses a file that EncodeCSV wrote and someone may have edited, and
// checks the table. The error is an InvalidError that lists every invalid cell.
func DecodeCSV(data []byte) (Table, error) {
	var t Table
	rest, err := t.decodeVersion(data)
	if err != nil {
		return Table{}, err
	}
	r := csv.NewReader(bytes.NewReader(rest))
	r.FieldsPerRecord = -1
	header, err := r.Read()
	if err != nil {
		return Table{}, InvalidError{{Line: 2, Message: "no header line"}}
	}
	if len(header) != len(Columns) || strings.Join(header, ",") != strings.Join(Columns, ",") {
		return Table{}, InvalidError{{Line: 2, Message: "the header must be " + strings.Join(Columns, ",")}}
	}
	var invalid InvalidError
	for {
		cells, err := r.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			return Table{}, append(invalid, CellError{Message: err.Error()})
		}
		// The reader does not get the version line, so its line numbers are one
		// too low.
		line, _ := r.FieldPos(0)
		row, errs := decodeRow(line+1, cells)
		invalid = append(invalid, errs...)
		t.Rows = append(t.Rows, row)
	}
	if len(invalid) > 0 {
		return Table{}, invalid
	}
	t.Sort()
	return t, t.Check()
}

// decodeVersion sets the version of t from the first line of data and returns the
// other lines.
func (t *Table) decodeVersion(data []byte) ([]byte, error) {
	line, rest, _ := bytes.Cut(data, []byte("\n"))
	// Spreadsheets pad the line with empty cells and may quote it.
	text := strings.Trim(string(line), ",\r\" ")
	text, ok := strings.CutPrefix(text, strings.TrimSpace(versionPrefix))
	if !ok {
		return nil, InvalidError{{Line: 1, Message: "the first line must be \"# version N\", as table get wrote it"}}
	}
	v, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return nil, InvalidError{{Line: 1, Message: "the version is not a number"}}
	}
	t.Version = v
	return rest, nil
}

// cells returns the row's cells in the order of Columns.
func (r *Row) cells() []string {
	return []string{
		r.Service, string(r.Kind), encodeEngines(r.Engines), r.Model,
		strings.Join(r.Adapters, ";"), r.Version, formatFloat(r.Weight),
		formatFloat(r.RatePerS), strconv.Itoa(r.InFlight), formatFloat(r.AccountRate),
		r.Deadline.String(), formatBool(r.Repeatable), formatFloat(r.ChangeCost),
		string(r.Fencing), formatFloat(r.Objective),
	}
}

// decodeRow decodes the cells of one line, and returns the errors of all of them.
func decodeRow(line int, cells []string) (Row, InvalidError) {
	var r Row
	if len(cells) != len(Columns) {
		msg := fmt.Sprintf("has %d cells, want %d", len(cells), len(Columns))
		return r, InvalidError{{Line: line, Service: cells[0], Message: msg}}
	}
	d := rowDecoder{line: line, service: cells[0], cells: cells}
	r.Service = d.text("service")
	r.Kind = Kind(d.text("kind"))
	r.Engines = d.engines("engines")
	r.Model = d.text("model")
	r.Adapters = splitList(d.text("adapters"), ";")
	r.Version = d.text("version")
	r.Weight = d.float("weight")
	r.RatePerS = d.float("rate_per_s")
	r.InFlight = d.int("in_flight")
	r.AccountRate = d.float("account_rate_per_s")
	r.Deadline = d.duration("deadline")
	r.Repeatable = d.bool("repeatable")
	r.ChangeCost = d.float("change_cost")
	r.Fencing = Fencing(d.text("fencing"))
	r.Objective = d.float("objective")
	return r, d.errs
}

// rowDecoder decodes the cells of one CSV line by column and collects the errors.
type rowDecoder struct {
	line    int
	service string
	cells   []string
	errs    InvalidError
}

// text returns the cell of a column without surrounding space.
func (d *rowDecoder) text(column string) string {
	for i, c := range Columns {
		if c == column {
			return strings.TrimSpace(d.cells[i])
		}
	}
	return ""
}

// addError adds an error for the cell of a column.
func (d *rowDecoder) addError(column, format string, args ...any) {
	d.errs = append(d.errs, CellError{
		Line: d.line, Service: d.service, Column: column, Message: fmt.Sprintf(format, args...),
	})
}

func (d *rowDecoder) float(column string) float64 {
	v, err := strconv.ParseFloat(d.text(column), 64)
	if err != nil {
		d.addError(column, "%q is not a number", d.text(column))
	}
	return v
}

func (d *rowDecoder) int(column string) int {
	v, err := strconv.Atoi(d.text(column))
	if err != nil {
		d.addError(column, "%q is not a whole number", d.text(column))
	}
	return v
}

func (d *rowDecoder) duration(column string) time.Duration {
	v, err := time.ParseDuration(d.text(column))
	if err != nil {
		d.addError(column, "%q is not a duration with a unit, such as 2s", d.text(column))
	}
	return v
}

func (d *rowDecoder) bool(column string) bool {
	switch d.text(column) {
	case "yes":
		return true
	case "no":
		return false
	}
	d.addError(column, "%q is not yes or no", d.text(column))
	return false
}

// engines parses a cell such as "kakkanad=e1+e2;edappally=3": for each data
// centre the names of targets or a count.
func (d *rowDecoder) engines(column string) []Assignment {
	var out []Assignment
	for _, part := range splitList(d.text(column), ";") {
		dc, value, ok := strings.Cut(part, "=")
		if !ok || dc == "" || value == "" {
			d.addError(column, "%q is not DATACENTRE=NAME+NAME or DATACENTRE=COUNT", part)
			continue
		}
		a := Assignment{DataCentre: dc}
		if n, err := strconv.Atoi(value); err == nil {
			a.Count = n
		} else {
			a.Names = splitList(value, "+")
		}
		out = append(out, a)
	}
	return out
}

// encodeEngines returns the cell that rowDecoder.engines parses.
func encodeEngines(as []Assignment) string {
	parts := make([]string, len(as))
	for i, a := range as {
		if len(a.Names) > 0 {
			parts[i] = a.DataCentre + "=" + strings.Join(a.Names, "+")
			continue
		}
		parts[i] = a.DataCentre + "=" + strconv.Itoa(a.Count)
	}
	return strings.Join(parts, ";")
}

// splitList splits a cell at sep into trimmed parts; an empty cell has none.
func splitList(s, sep string) []string {
	if s == "" {
		return nil
	}
	parts := strings.Split(s, sep)
	for i, p := range parts {
		parts[i] = strings.TrimSpace(p)
	}
	return parts
}

// formatFloat returns the shortest text that ParseFloat reads back as f.
func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// formatBool returns the cell that rowDecoder.bool parses.
func formatBool(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
