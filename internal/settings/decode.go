// Package settings reads the programs' settings files: JSON with comments,
// unknown fields refused, and every problem reported at once with its field
// and line.
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

// Problem is one thing wrong with a settings file.
type Problem struct {
	// Field is the dotted path, such as peers[1].address; empty for the file.
	Field string
	// Line counts from 1.
	Line int
	// Message says what is wrong.
	Message string
}

// String formats the problem as "line N: field: message".
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Message)
}

// Problems is the error that lists every problem of a file, by line.
type Problems []Problem

// Error implements error, one problem a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Duration is a time.Duration written as a string with a unit, such as "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText writes the duration as a settings file has it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.D().String()), nil }

// Addr is an IP address with a port, such as "10.1.0.4:7100".
type Addr string

// checker is a settings type that checks itself once its fields are decoded.
type checker interface {
	check(r *report)
}

// ReadFile decodes the settings file at path into dst, a pointer to a settings
// struct that holds the defaults. The error is a Problems when the file could
// be read.
func ReadFile(path string, dst checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Decode(data, dst)
}

// Decode decodes data into dst; see ReadFile.
func Decode(data []byte, dst checker) error {
	r := &report{data: data, offsets: map[string]int{}}
	root, err := hujson.Parse(data)
	if err != nil {
		return Problems{{Line: 1, Message: err.Error()}}
	}
	r.decode("", root, reflect.ValueOf(dst).Elem())
	dst.check(r)
	if len(r.problems) == 0 {
		return nil
	}
	sort.SliceStable(r.problems, func(i, j int) bool {
		return r.problems[i].Line < r.problems[j].Line
	})
	return r.problems
}

// report gathers the problems of one file and knows where each field stands.
type report struct {
	data     []byte
	offsets  map[string]int
	problems Problems
}

// add reports a problem with field. A field that the file lacks is reported at
// the line of its nearest parent.
func (r *report) add(field, format string, args ...any) {
	p := Problem{Field: field, Line: r.lineOf(field), Message: fmt.Sprintf(format, args...)}
	r.problems = append(r.problems, p)
}

func (r *report) lineOf(field string) int {
	for {
		if off, ok := r.offsets[field]; ok {
			return 1 + strings.Count(string(r.data[:off]), "\n")
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 1
		}
		field = field[:cut]
	}
}

func (r *report) decode(field string, v hujson.Value, dst reflect.Value) {
	r.offsets[field] = v.StartOffset
	switch val := v.Value.(type) {
	case *hujson.Object:
		r.decodeObject(field, val, dst)
	case *hujson.Array:
		r.decodeArray(field, val, dst)
	case hujson.Literal:
		r.decodeLiteral(field, val, dst)
	}
}

func (r *report) decodeObject(field string, obj *hujson.Object, dst reflect.Value) {
	if dst.Kind() != reflect.Struct {
		r.add(field, "is an object, want %s", describe(dst))
		return
	}
	fields := fieldsByName(dst)
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := join(field, name)
		f, ok := fields[name]
		switch {
		case !ok:
			r.offsets[path] = m.Name.StartOffset
			r.add(path, "unknown field")
		case seen[name]:
			r.add(path, "given twice")
		default:
			r.decode(path, m.Value, f)
		}
		seen[name] = true
	}
}

func (r *report) decodeArray(field string, arr *hujson.Array, dst reflect.Value) {
	if dst.Kind() != reflect.Slice {
		r.add(field, "is a list, want %s", describe(dst))
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		r.decode(fmt.Sprintf("%s[%d]", field, i), e, out.Index(i))
	}
	dst.Set(out)
}

func (r *report) decodeLiteral(field string, lit hujson.Literal, dst reflect.Value) {
	switch dst.Interface().(type) {
	case Duration:
		r.decodeDuration(field, lit, dst)
		return
	case Addr:
		r.decodeAddr(field, lit, dst)
		return
	}
	if err := json.Unmarshal(lit, dst.Addr().Interface()); err != nil {
		r.add(field, "is %s, want %s", lit, describe(dst))
	}
}

func (r *report) decodeDuration(field string, lit hujson.Literal, dst reflect.Value) {
	if lit.Kind() != '"' {
		r.add(field, `duration without a unit: write it as a string such as "2s"`)
		return
	}
	d, err := time.ParseDuration(lit.String())
	if err != nil {
		r.add(field, "%q is not a duration with a unit, such as 2s", lit.String())
		return
	}
	dst.Set(reflect.ValueOf(Duration(d)))
}

func (r *report) decodeAddr(field string, lit hujson.Literal, dst reflect.Value) {
	if _, err := netip.ParseAddrPort(lit.String()); err != nil {
		r.add(field, "%q is not an IP address with a port, such as 10.1.0.4:7100", lit.String())
		return
	}
	dst.Set(reflect.ValueOf(Addr(lit.String())))
}

func fieldsByName(dst reflect.Value) map[string]reflect.Value {
	out := make(map[string]reflect.Value, dst.NumField())
	for i := range dst.NumField() {
		out[dst.Type().Field(i).Tag.Get("json")] = dst.Field(i)
	}
	return out
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func describe(v reflect.Value) string {
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
