package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// validEntrySettings is a valid settings file of garnet-entry. TestProblems replaces one part of
// the file in each case.
const validEntrySettings = `{
  // comments are allowed
  "vm": "vm-1", "data_centre": "kakkanad",
  "listen": "10.0.0.1:8080", "admin_listen": "10.0.0.1:8081",
  "stewards": ["10.0.0.1:7100"],
  "platform": {"address": "10.0.9.9:9000", "timeout": "2s"},
}`

// TestValidEntry checks that a file with comments and trailing commas is decoded over the defaults.
func TestValidEntry(t *testing.T) {
	is := is.New(t)
	cfg := DefaultEntry()
	is.NoErr(Decode([]byte(validEntrySettings), cfg))
	is.Equal(cfg.VM, "vm-1")
	is.Equal(cfg.MaxInFlight, DefaultEntry().MaxInFlight) // a field that is not in the file keeps its default
}

// TestProblems checks the message and line of each kind of problem.
func TestProblems(t *testing.T) {
	cases := []struct {
		name string
		old  string
		new  string
		want []string
	}{
		{"unknown field", `"vm": "vm-1"`, `"vm": "vm-1", "wm": 1`, []string{"line 3: wm: unknown field"}},
		{"unparsable address", `"10.0.0.1:8080"`, `"kakkanad:8080"`, []string{`line 4: listen: "kakkanad:8080" is not an IP address`}},
		{"duration without unit", `"2s"`, `2`, []string{"line 6: platform.timeout: duration without a unit"}},
		{"duration string without unit", `"2s"`, `"2"`, []string{`line 6: platform.timeout: "2" is not a duration`}},
		{"missing data centre", `"data_centre": "kakkanad",`, ``, []string{"data_centre: missing"}},
		{"duplicate steward", `["10.0.0.1:7100"]`, `["10.0.0.1:7100", "10.0.0.1:7100"]`, []string{"line 5: stewards[1]: 10.0.0.1:7100 is given twice"}},
		{"no steward", `["10.0.0.1:7100"]`, `[]`, []string{"line 5: stewards: at least one"}},
		{"wrong type", `"vm-1"`, `7`, []string{"line 3: vm: is 7, want a string"}},
		{"object for string", `"vm-1"`, `{}`, []string{"line 3: vm: is an object, want a string"}},
		{"list for object", `{"address": "10.0.9.9:9000", "timeout": "2s"}`, `[]`, []string{"platform: is a list, want an object"}},
		{"field twice", `"vm": "vm-1"`, `"vm": "vm-1", "vm": "vm-2"`, []string{"vm: given twice"}},
		{"below zero", `"listen"`, `"max_in_flight": -1, "listen"`, []string{"max_in_flight: must be above zero"}},
		{"all at once", `"vm": "vm-1", "data_centre": "kakkanad",`, `"vn": 1,`, []string{"line 3: vn: unknown field", "vm: missing", "data_centre: missing"}},
		{"not JSON", `"vm"`, `vm`, []string{"line"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validEntrySettings, c.old, c.new, 1)
			is.True(text != validEntrySettings) // the case changes the file
			err := Decode([]byte(text), DefaultEntry())
			var ps Problems
			is.True(errors.As(err, &ps))
			for _, want := range c.want {
				is.True(strings.Contains(err.Error(), want)) // the problem is reported
			}
		})
	}
}

// TestDuplicatePeer checks that a repeated peer is reported at its second occurrence.
func TestDuplicatePeer(t *testing.T) {
	is := is.New(t)
	peer := `{"vm": "vm-1", "data_centre": "kakkanad", "address": "10.0.0.1:7100"}`
	text := fmt.Sprintf(`{"vm": "vm-1", "data_centre": "kakkanad", "listen": "10.0.0.1:7100",
"admin_listen": "10.0.0.1:7101", "platform": {"address": "10.0.9.9:9000"},
"peers": [%s,
%s]}`, peer, peer)
	err := Decode([]byte(text), DefaultSteward())
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "line 4: peers[1].vm: duplicate peer vm-1"))
	is.True(strings.Contains(err.Error(), "line 4: peers[1].address: duplicate peer address"))
}

// FuzzDecode checks that no input makes Decode panic, and that every error is of type Problems,
// with a line and a message for each.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validEntrySettings))
	f.Add([]byte(`{"vm": [{"x": 1}], "stewards": {}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		err := Decode(data, DefaultEntry())
		var ps Problems
		if err != nil && !errors.As(err, &ps) {
			t.Fatalf("error is %T", err)
		}
		for _, p := range ps {
			if p.Line < 1 || p.Message == "" {
				t.Fatalf("problem without a line or message: %+v", p)
			}
		}
	})
}

// TestExamples checks that the example settings files are valid.
func TestExamples(t *testing.T) {
	is := is.New(t)
	is.NoErr(ReadFile("../../examples/garnet-entry.jsonc", DefaultEntry()))
	is.NoErr(ReadFile("../../examples/garnet-steward.jsonc", DefaultSteward()))
	is.NoErr(ReadFile("../../examples/garnet-standin.jsonc", DefaultStandin()))
	is.NoErr(ReadFile("../../examples/garnet-node.jsonc", DefaultNode()))
}

// TestSwitchedOffMechanisms checks that only names in Mechanisms can be switched off.
func TestSwitchedOffMechanisms(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../examples/garnet-node.jsonc")
	is.NoErr(err)
	off := func(names string) (*Node, error) {
		n := DefaultNode()
		return n, Decode([]byte(strings.Replace(string(text), `"off": []`, `"off": `+names, 1)), n)
	}
	n, err := off(`["deferral", "profile"]`)
	is.NoErr(err)
	is.True(n.IsOff(MechanismDeferral) && n.IsOff(MechanismProfile) && !n.IsOff(MechanismPauses))
	_, err = off(`["deferrals"]`)
	is.True(err != nil && strings.Contains(err.Error(), `off: holds "deferrals"`))
}

// TestDefaultsCanBeWrittenAndRead checks that settings that a program has written, including the
// defaults, can be read again. It guards against refusing an empty cloud address, which means that
// the platform has no calls for duties. Otherwise no VM of such a deployment would start.
func TestDefaultsCanBeWrittenAndRead(t *testing.T) {
	is := is.New(t)
	n := DefaultNode()
	n.VM, n.DataCentre = "vm-1", "a"
	n.Listen, n.ReadyListen, n.MetricsListen, n.PeerAddress, n.Store.Address = "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3", "10.0.0.1:4", "10.0.0.2:1"
	data, err := json.Marshal(n)
	is.NoErr(err)
	is.NoErr(Decode(data, DefaultNode()))
	n.Cloud.Address = "nowhere"
	data, err = json.Marshal(n)
	is.NoErr(err)
	is.True(Decode(data, DefaultNode()) != nil)
}
