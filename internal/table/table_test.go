package table

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func hintsRow() Row {
	return Row{
		Service: "hints", Kind: Language, Model: "crossword-8b", Version: "v1", Weight: 1,
		Engines:  []Assignment{{DataCentre: "kakkanad", Names: []string{"e1", "e2"}}, {DataCentre: "vyttila", Count: 2}},
		Deadline: 20 * time.Second, Repeatable: true, ChangeCost: 1, Fencing: FencingChecked, Objective: 0.99,
	}
}

func renewalsRow() Row {
	return Row{
		Service: "renewals", Kind: Plain, Weight: 2, RatePerS: 50, InFlight: 20, AccountRate: 1,
		Engines:  []Assignment{{DataCentre: "kakkanad", Count: 1}},
		Deadline: 5 * time.Second, Fencing: FencingChecked, Objective: 0.999,
	}
}

func TestCSVRoundTrip(t *testing.T) {
	is := is.New(t)
	in := Table{Version: 7, Rows: []Row{hintsRow(), renewalsRow()}}
	out, err := DecodeCSV(EncodeCSV(in))
	is.NoErr(err)
	is.Equal(out, in)
}

// A spreadsheet may quote the version line and pad it with empty cells.
func TestSpreadsheetPadding(t *testing.T) {
	is := is.New(t)
	text := string(EncodeCSV(Table{Version: 7, Rows: []Row{hintsRow()}}))
	text = strings.Replace(text, "# version 7\n", "\"# version 7\",,,,\r\n", 1)
	out, err := DecodeCSV([]byte(text))
	is.NoErr(err)
	is.Equal(out.Version, uint64(7))
}

func TestInvalidCells(t *testing.T) {
	cases := []struct {
		name string
		edit func(*Row)
		want string
	}{
		{"weight below zero", func(r *Row) { r.Weight = -1 }, `row "hints" column "weight"`},
		{"engine named twice in one row", func(r *Row) { r.Engines[0].Names = []string{"e1", "e1"} }, `engine e1 is given twice`},
		{"engine named in another row", func(r *Row) { r.Engines[0].Names = []string{"d1"} }, `engine d1 is given twice`},
		{"data centre named twice", func(r *Row) { r.Engines[1].DataCentre = "kakkanad" }, `data centre kakkanad is given twice`},
		{"count below zero", func(r *Row) { r.Engines[1].Count = -2 }, `column "engines"`},
		{"invalid name", func(r *Row) { r.Service = "Hints!" }, `column "service"`},
		{"two rows of one service", func(r *Row) { r.Service = "renewals" }, "the service has two rows"},
		{"unknown kind", func(r *Row) { r.Kind = "magic" }, `column "kind"`},
		{"no model", func(r *Row) { r.Model = "" }, `column "model"`},
		{"no deadline", func(r *Row) { r.Deadline = 0 }, `column "deadline"`},
		{"objective not below 1", func(r *Row) { r.Objective = 1 }, `column "objective"`},
		{"unknown fencing", func(r *Row) { r.Fencing = "maybe" }, `column "fencing"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, other := hintsRow(), renewalsRow()
			other.Engines = []Assignment{{DataCentre: "kakkanad", Names: []string{"d1"}}}
			c.edit(&r)
			err := Table{Rows: []Row{other, r}}.Check()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // names row and column
		})
	}
}

func TestInvalidCSV(t *testing.T) {
	good := string(EncodeCSV(Table{Version: 1, Rows: []Row{hintsRow()}}))
	cases := []struct{ name, old, new, want string }{
		{"no version", "# version 1\n", "", "line 1"},
		{"wrong header", "service,", "name,", "line 2"},
		{"not a number", ",1,0,0,0,", ",heavy,0,0,0,", `line 3, row "hints" column "weight": "heavy" is not a number`},
		{"not yes or no", ",yes,", ",maybe,", `column "repeatable"`},
		{"missing cell", ",0.99\n", "\n", "has 14 cells, want 15"},
		{"engines without a count", "vyttila=2", "vyttila", `column "engines"`},
		{"deadline without a unit", "20s", "20", `column "deadline"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(good, c.old, c.new, 1)
			is.True(text != good) // the case changes the file
			_, err := DecodeCSV([]byte(text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// A table that DecodeCSV accepts is the same after encoding and decoding.
func FuzzDecodeCSV(f *testing.F) {
	f.Add(EncodeCSV(Table{Version: 1, Rows: []Row{hintsRow(), renewalsRow()}}))
	f.Add([]byte("# version 1\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := DecodeCSV(data)
		if err != nil {
			return
		}
		out, err := DecodeCSV(EncodeCSV(in))
		if err != nil {
			t.Fatalf("a decoded table cannot be decoded again after encoding: %v", err)
		}
		if len(Diff(in, out)) > 0 {
			t.Fatalf("encoding and decoding changed the table: %v", Diff(in, out))
		}
	})
}

// A service gets at most as many targets as its count, and a named target goes only
// to the service of the row that names it.
func TestAssignProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var known []Target
		for i := range rapid.IntRange(0, 12).Draw(rt, "targets") {
			known = append(known, Target{Name: "e" + string(rune('a'+i)), DataCentre: "kakkanad", Kind: Language})
		}
		rows := []Row{hintsRow(), hintsRow(), hintsRow()}
		for i := range rows {
			rows[i].Service = string(rune('p' + i))
			n := rapid.IntRange(0, 6).Draw(rt, "count")
			rows[i].Engines = []Assignment{{DataCentre: "kakkanad", Count: n}}
		}
		rows[0].Engines = []Assignment{{DataCentre: "kakkanad", Names: []string{"ea", "eb"}}}
		got := Assign(Table{Rows: rows}, known)
		counts := map[string]int{}
		for _, s := range got {
			counts[s]++
		}
		for _, r := range rows[1:] {
			if counts[r.Service] > r.Engines[0].Count {
				rt.Fatalf("%s has %d engines, want at most %d", r.Service, counts[r.Service], r.Engines[0].Count)
			}
		}
		for _, name := range []string{"ea", "eb"} {
			if s, ok := got[name]; ok && s != "p" {
				rt.Fatalf("engine %s, which row p names, is assigned to %s", name, s)
			}
		}
	})
}
