// Package settings reads the settings files of the programs. The format is JSON with comments
// and trailing commas. Unknown fields are errors, and all problems of a file are reported
// together, each with its field and line.
package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Problem is an error in a settings file.
type Problem struct {
	// Field is the path of the field, such as peers[1].address; empty for the whole file.
	Field string
	// Line is the line number, from 1.
	Line int
	// Message describes the error.
	Message string
}

// String formats the problem as "line N: field: message".
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Message)
}

// Problems is the error that lists all problems of a file, ordered by line.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Duration is a time.Duration that settings files state as a string with a unit, such as "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText returns the duration in the format of settings files.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.D().String()), nil }

// Addr is an IP address with a port, such as "10.1.0.4:7100".
type Addr string

// validator is a settings struct. validate is called after the fields have been decoded. It adds a
// problem to dec for each invalid or missing value.
type validator interface {
	validate(dec *decoder)
}

// ReadFile decodes the settings file at path into dst, a pointer to a settings struct that
// holds the defaults, and validates the result. The error is of type Problems unless the file
// could not be read.
func ReadFile(path string, dst validator) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Decode(data, dst)
}

// Decode decodes the content of a settings file into dst and validates it; see ReadFile. Every
// error is of type Problems.
func Decode(data []byte, dst validator) error {
	dec := &decoder{data: data, offsets: map[string]int{}}
	root, err := hujson.Parse(data)
	if err != nil {
		return Problems{{Line: 1, Message: err.Error()}}
	}
	dec.decode("", root, reflect.ValueOf(dst).Elem())
	dst.validate(dec)
	if len(dec.problems) == 0 {
		return nil
	}
	sort.SliceStable(dec.problems, func(i, j int) bool {
		return dec.problems[i].Line < dec.problems[j].Line
	})
	return dec.problems
}

// decoder decodes one file and collects its problems.
type decoder struct {
	data []byte
	// offsets maps the path of each field in the file to the byte offset of its value, or of
	// its name if the field is unknown.
	offsets  map[string]int
	problems Problems
}

// addProblem records a problem of field, a path as in Problem.Field. If the field is not in the
// file, the line of the problem is that of the nearest parent of the field that is in the file.
func (dec *decoder) addProblem(field, format string, args ...any) {
	p := Problem{Field: field, Line: dec.lineOf(field), Message: fmt.Sprintf(format, args...)}
	dec.problems = append(dec.problems, p)
}

// lineOf returns the line of a field, or of its nearest parent that is in the file.
func (dec *decoder) lineOf(field string) int {
	for {
		if off, ok := dec.offsets[field]; ok {
			return 1 + strings.Count(string(dec.data[:off]), "\n")
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 1
		}
		field = field[:cut]
	}
}

// decode stores the JSON value v in dst, which must be settable. field is the path of v, as in
// Problem.Field.
func (dec *decoder) decode(field string, v hujson.Value, dst reflect.Value) {
	dec.offsets[field] = v.StartOffset
	switch val := v.Value.(type) {
	case *hujson.Object:
		dec.decodeObject(field, val, dst)
	case *hujson.Array:
		dec.decodeArray(field, val, dst)
	case hujson.Literal:
		dec.decodeLiteral(field, val, dst)
	}
}

// decodeObject stores obj in the struct dst. Unknown and repeated fields are problems.
func (dec *decoder) decodeObject(field string, obj *hujson.Object, dst reflect.Value) {
	if dst.Kind() != reflect.Struct {
		dec.addProblem(field, "is an object, want %s", typeDescription(dst))
		return
	}
	fields := fieldsByName(dst)
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := joinPath(field, name)
		f, ok := fields[name]
		switch {
		case !ok:
			dec.offsets[path] = m.Name.StartOffset
			dec.addProblem(path, "unknown field")
		case seen[name]:
			dec.addProblem(path, "given twice")
		default:
			dec.decode(path, m.Value, f)
		}
		seen[name] = true
	}
}

// decodeArray stores arr in the slice dst.
func (dec *decoder) decodeArray(field string, arr *hujson.Array, dst reflect.Value) {
	if dst.Kind() != reflect.Slice {
		dec.addProblem(field, "is a list, want %s", typeDescription(dst))
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		dec.decode(fmt.Sprintf("%s[%d]", field, i), e, out.Index(i))
	}
	dst.Set(out)
}

// decodeLiteral stores a string, number, boolean or null in dst.
func (dec *decoder) decodeLiteral(field string, lit hujson.Literal, dst reflect.Value) {
	switch dst.Interface().(type) {
	case Duration:
		dec.decodeDuration(field, lit, dst)
		return
	case Addr:
		dec.decodeAddr(field, lit, dst)
		return
	}
	if err := json.Unmarshal(lit, dst.Addr().Interface()); err != nil {
		dec.addProblem(field, "is %s, want %s", lit, typeDescription(dst))
	}
}

// decodeDuration stores a string such as "2s" in dst, a Duration.
func (dec *decoder) decodeDuration(field string, lit hujson.Literal, dst reflect.Value) {
	if lit.Kind() != '"' {
		dec.addProblem(field, `duration without a unit: write it as a string such as "2s"`)
		return
	}
	d, err := time.ParseDuration(lit.String())
	if err != nil {
		dec.addProblem(field, "%q is not a duration with a unit such as \"2s\"", lit.String())
		return
	}
	dst.Set(reflect.ValueOf(Duration(d)))
}

// decodeAddr stores a string such as "10.1.0.4:7100" in dst, an Addr.
func (dec *decoder) decodeAddr(field string, lit hujson.Literal, dst reflect.Value) {
	if _, err := netip.ParseAddrPort(lit.String()); err != nil {
		dec.addProblem(field, "%q is not an IP address with a port, such as 10.1.0.4:7100", lit.String())
		return
	}
	dst.Set(reflect.ValueOf(Addr(lit.String())))
}

// fieldsByName returns the fields of the struct dst by their JSON names.
func fieldsByName(dst reflect.Value) map[string]reflect.Value {
	out := make(map[string]reflect.Value, dst.NumField())
	for i := range dst.NumField() {
		out[dst.Type().Field(i).Tag.Get("json")] = dst.Field(i)
	}
	return out
}

// joinPath appends a field's name to the path of its parent.
func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// typeDescription describes the JSON that v can hold, for problem messages.
func typeDescription(v reflect.Value) string {
	switch v.Interface().(type) {
	case Duration:
		return "a duration such as \"2s\""
	case Addr:
		return "an address such as \"10.1.0.4:7100\""
	}
	switch v.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	default:
		return "a number"
	}
}
