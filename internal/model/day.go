// Package model simulates a fixed fleet of model engines in virtual time: days
// of requests are drawn from a seed and served under a placement policy. It has
// no clock and no network, and the same seed gives the same figures.
package model

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Site is an installation and its days, as its file holds it.
type Site struct {
	Name        string       `json:"name"`
	Engine      Engine       `json:"engine"`
	Network     Network      `json:"network"`
	DataCentres []DataCentre `json:"data_centres"`
	Classes     []Class      `json:"classes"`
	Days        []Day        `json:"days"`
}

// Engine is the figures of one model engine. Times are in milliseconds.
type Engine struct {
	// Slots is how many requests run at once, and Queue how many wait besides.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// StepMS is the least time of a step; each running request adds
	// StepPerRunMS, and each thousand tokens of their contexts StepPerKTokenMS.
	StepMS          float64 `json:"step_ms"`
	StepPerRunMS    float64 `json:"step_per_run_ms"`
	StepPerKTokenMS float64 `json:"step_per_k_token_ms"`
	// PrefillPerMS is the prompt tokens that a prefill engine reads in a
	// millisecond; a decode engine reads at half of it.
	PrefillPerMS float64 `json:"prefill_per_ms"`
	// PairsMS is what a million pairs of tokens that attend to each other add.
	PairsMS float64 `json:"pairs_ms"`
	// FirstMS passes between the end of a prompt's reading and its first token.
	FirstMS float64 `json:"first_ms"`
	// Chunk is the prompt tokens read in one step of a prefill engine.
	Chunk int `json:"chunk"`
	// EventTokens is the tokens of one event of a stream.
	EventTokens int `json:"event_tokens"`
	KVTokens    int `json:"kv_tokens"`
	// KVTokenBytes is moved for each token, over a link of LinkMbps, after
	// SetupMS.
	KVTokenBytes float64 `json:"kv_token_bytes"`
	LinkMbps     float64 `json:"link_mbps"`
	SetupMS      float64 `json:"setup_ms"`
	// TimeFactors is how much longer the engines take; they are dealt in turn.
	TimeFactors []float64 `json:"time_factors"`
	// PrefillShare is the share of each data centre's engines that prefill.
	PrefillShare float64 `json:"prefill_share"`
	// NewPrefillShare is the share of engines that prefill as they come.
	NewPrefillShare float64 `json:"new_prefill_share"`
	// SwitchS is how many seconds an engine is away when it changes its stage.
	SwitchS float64 `json:"switch_s"`
}

// Network is the one-way times in milliseconds and the speed of a VM's link.
type Network struct {
	WithinMS  float64 `json:"within_ms"`
	BetweenMS float64 `json:"between_ms"`
	CallerMS  float64 `json:"caller_ms"`
	VMMbps    float64 `json:"vm_mbps"`
}

// DataCentre is one data centre with its VMs, engines and callers.
type DataCentre struct {
	Name    string  `json:"name"`
	VMs     int     `json:"vms"`
	Engines int     `json:"engines"`
	Callers int     `json:"callers"`
	Phase   float64 `json:"phase"`
}

// Amount is a distribution of positive numbers: log-normal by its mean and its
// coefficient of variation, cut off at Max.
type Amount struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"`
	Max    float64 `json:"max"`
}

// Chain is one shared part of a prompt: one of Things, drawn with weights that
// fall with their rank to the power of Skew.
type Chain struct {
	Tokens Amount  `json:"tokens"`
	Things int     `json:"things"`
	Skew   float64 `json:"skew"`
}

// Class is one kind of request.
type Class struct {
	Name string `json:"name"`
	// Weight is its part in the traffic of each data centre.
	Weight     float64 `json:"weight"`
	AimMS      float64 `json:"aim_ms"`
	GapMS      float64 `json:"gap_ms"`
	DeadlineMS float64 `json:"deadline_ms"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"late_worth"`
	Priority   int     `json:"priority"`
	// Resumable answers may go on at another engine.
	Resumable bool `json:"resumable,omitempty"`
	// Plain calls go to other services and are taken as served in time.
	Plain bool `json:"plain,omitempty"`
	// Own is the prompt's own tokens, Chain its shared parts, Events the events
	// of its answer.
	Own    Amount  `json:"own"`
	Chain  []Chain `json:"chain"`
	Events Amount  `json:"events"`
	// HintSpread is how far off the caller's estimate of the answer is.
	HintSpread float64 `json:"hint_spread"`
	// BytesPerToken is the body's bytes for a prompt token.
	BytesPerToken float64 `json:"bytes_per_token"`
}

// Day is the traffic and the faults of one day.
type Day struct {
	Name    string  `json:"name"`
	Seed    uint64  `json:"seed"`
	LengthS float64 `json:"length_s"`
	// PerS is the requests a second of each data centre.
	PerS []float64 `json:"per_s"`
	// Swing and PeriodS are those of the traffic's wave.
	Swing   float64  `json:"swing"`
	PeriodS float64  `json:"period_s"`
	Bursts  []Burst  `json:"bursts"`
	Outages []Outage `json:"outages"`
	Cuts    []Cut    `json:"cuts"`
	Stops   []Stop   `json:"stops,omitempty"`
}

// Stop has all VMs stopped for a while.
type Stop struct {
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
}

// Burst multiplies the traffic of a class for a while.
type Burst struct {
	Class string  `json:"class"`
	AtS   float64 `json:"at_s"`
	ForS  float64 `json:"for_s"`
	X     float64 `json:"x"`
}

// Outage takes engines away: for ForS, or for good where it is 0. Engines that
// drain end their work first.
type Outage struct {
	AtS    float64 `json:"at_s"`
	ForS   float64 `json:"for_s"`
	Count  int     `json:"count"`
	Drain  bool    `json:"drain"`
	Silent bool    `json:"silent"`
}

// Cut parts a data centre from the others.
type Cut struct {
	DataCentre string  `json:"data_centre"`
	AtS        float64 `json:"at_s"`
	ForS       float64 `json:"for_s"`
}

// Load reads a site's file: JSON with comments, unknown fields refused.
func Load(path string) (*Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read day file")
	}
	return Decode(data)
}

// Decode decodes a site's file.
func Decode(data []byte) (*Site, error) {
	data, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, "parse day file")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	s := &Site{}
	if err := d.Decode(s); err != nil {
		return nil, errors.Wrap(err, "decode day file")
	}
	return s, s.check()
}

func (s *Site) check() error {
	e := s.Engine
	if e.Slots <= 0 || e.StepMS <= 0 || e.PrefillPerMS <= 0 || e.Chunk < inPlaceParts || e.EventTokens <= 0 || e.KVTokens <= 0 || e.LinkMbps <= 0 {
		return errors.New("engine: slots, steps, reading, chunk, events, memory and link must be positive")
	}
	if len(s.DataCentres) == 0 || len(s.Classes) == 0 {
		return errors.New("no data centres or no classes")
	}
	for _, d := range s.DataCentres {
		if d.VMs <= 0 || d.Engines < 2 || d.Callers <= 0 {
			return errors.Errorf("data centre %s: needs VMs, callers and two engines", d.Name)
		}
	}
	for _, c := range s.Classes {
		if c.DeadlineMS <= 0 || c.AimMS <= 0 || c.Weight < 0 {
			return errors.Errorf("class %s: needs an aim, a deadline and a weight", c.Name)
		}
	}
	for _, d := range s.Days {
		if len(d.PerS) != len(s.DataCentres) || d.LengthS <= 0 || (d.Swing != 0 && d.PeriodS <= 0) {
			return errors.Errorf("day %s: needs a length, a period and a rate for each data centre", d.Name)
		}
		for _, b := range d.Bursts {
			if s.class(b.Class) < 0 {
				return errors.Errorf("day %s: no class %q", d.Name, b.Class)
			}
		}
	}
	return nil
}

// class returns the index of the class of that name, or -1.
func (s *Site) class(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// Day returns the day of that name.
func (s *Site) Day(name string) (*Day, error) {
	for i := range s.Days {
		if s.Days[i].Name == name {
			return &s.Days[i], nil
		}
	}
	return nil, errors.Errorf("no day %q", name)
}

// Prefillers is how many engines of a data centre prefill at first.
func (s *Site) Prefillers(dc DataCentre) int {
	return min(max(int(s.Engine.PrefillShare*float64(dc.Engines)), 1), dc.Engines-1)
}

// TimeFactor is how much longer the n-th engine takes.
func (s *Site) TimeFactor(n int) float64 {
	if f := s.Engine.TimeFactors; len(f) > 0 {
		return f[n%len(f)]
	}
	return 1
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
