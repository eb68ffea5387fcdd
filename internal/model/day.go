// Package model simulates a fleet of engines that serve a language model, as discrete events in
// virtual time. It generates the requests of a day from a seed and serves them under a placement
// policy. The simulation reads no clock and uses no network, so the same seed gives the same
// figures. Live is the exception: it runs the same engines on the wall clock.
//
// An engine serves a request in two stages: it prefills the prompt, that is, computes its KV cache,
// and then decodes the answer token by token. A prefill engine only prefills, and a decode engine
// then fetches the KV cache from it. A decode engine can also prefill in place, at a lower speed.
package model

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Site describes an installation and the days that can be played on it, as decoded from its
// file.
type Site struct {
	Name        string       `json:"name"`
	Engine      Engine       `json:"engine"`
	Network     Network      `json:"network"`
	DataCentres []DataCentre `json:"data_centres"`
	Classes     []Class      `json:"classes"`
	Days        []Day        `json:"days"`
}

// Engine holds the performance figures of a model engine. Fields that end in MS are in
// milliseconds, except PrefillPerMS.
type Engine struct {
	// Slots is the number of requests that run at once, and Queue the number that may wait
	// in addition.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// StepMS is the minimum time of a step. Each running request adds StepPerRunMS, and each
	// thousand tokens of the running requests' contexts add StepPerKTokenMS.
	StepMS          float64 `json:"step_ms"`
	StepPerRunMS    float64 `json:"step_per_run_ms"`
	StepPerKTokenMS float64 `json:"step_per_k_token_ms"`
	// PrefillPerMS is the prompt tokens that a prefill engine processes per millisecond. A
	// decode engine prefills at half of this rate.
	PrefillPerMS float64 `json:"prefill_per_ms"`
	// PairsMS is the prefill time added per million pairs of tokens that attend to each other.
	PairsMS float64 `json:"pairs_ms"`
	// FirstMS is the time from the end of a prompt's prefill to its first output token.
	FirstMS float64 `json:"first_ms"`
	// Chunk is the prompt tokens that a prefill engine processes in one step.
	Chunk int `json:"chunk"`
	// EventTokens is the output tokens of one stream event.
	EventTokens int `json:"event_tokens"`
	// KVTokens is the size of the KV cache in tokens.
	KVTokens int `json:"kv_tokens"`
	// KVTokenBytes is the size of one token's KV cache entry in bytes. A transfer of entries
	// between engines takes SetupMS and then the time of their bytes on a link of LinkMbps.
	KVTokenBytes float64 `json:"kv_token_bytes"`
	LinkMbps     float64 `json:"link_mbps"`
	SetupMS      float64 `json:"setup_ms"`
	// TimeFactors multiply the times that the engines take for their work: engine n uses entry n
	// modulo the length of TimeFactors.
	TimeFactors []float64 `json:"time_factors"`
	// PrefillShare is the fraction of each data centre's engines that start as prefill engines;
	// the others start as decode engines.
	PrefillShare float64 `json:"prefill_share"`
	// NewPrefillShare is the fraction of prefill engines among those that replace drained ones.
	NewPrefillShare float64 `json:"new_prefill_share"`
	// SwitchS is the time in seconds for which an engine is unavailable while it changes its
	// stage from prefill to decode or back.
	SwitchS float64 `json:"switch_s"`
}

// Network holds the one-way delays within a data centre, between two data centres, and between a
// caller and its VM, in milliseconds, and the link speed of a VM in Mbit/s.
type Network struct {
	WithinMS  float64 `json:"within_ms"`
	BetweenMS float64 `json:"between_ms"`
	CallerMS  float64 `json:"caller_ms"`
	VMMbps    float64 `json:"vm_mbps"`
}

// DataCentre is one data centre with its VMs, engines and callers.
// Phase shifts its traffic wave, as a fraction of the wave's period.
type DataCentre struct {
	Name    string  `json:"name"`
	VMs     int     `json:"vms"`
	Engines int     `json:"engines"`
	Callers int     `json:"callers"`
	Phase   float64 `json:"phase"`
}

// Distribution is a log-normal distribution of positive values, given by its mean and its
// coefficient of variation (Spread) and truncated at Max. Spread 0 always gives the mean, and
// Max 0 sets no limit.
type Distribution struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"`
	Max    float64 `json:"max"`
}

// PrefixLevel is one level of the prefix that prompts share. Things is the number of different
// parts of the level. Each prompt takes one of them, drawn from a Zipf distribution with the
// exponent Skew; Skew 0 selects defaultSkew. Tokens is the distribution of the parts' lengths.
type PrefixLevel struct {
	Tokens Distribution `json:"tokens"`
	Things int          `json:"things"`
	Skew   float64      `json:"skew"`
}

// Class describes one class of requests.
type Class struct {
	Name string `json:"name"`
	// Weight is the weight of the class in the traffic of each data centre: its fraction of the
	// traffic is Weight divided by the sum over all classes.
	Weight float64 `json:"weight"`
	// AimMS is the objective for the time to the first event, GapMS the longest pause
	// allowed between two events, and DeadlineMS the time limit of the whole answer.
	AimMS      float64 `json:"aim_ms"`
	GapMS      float64 `json:"gap_ms"`
	DeadlineMS float64 `json:"deadline_ms"`
	// Worth is the value, in an arbitrary unit, that a policy is credited with for an answer
	// within the objectives, and LateWorth the value of a complete but late one, both for a
	// request of the mean size of the class. Priority is sent to the engines, which serve lower
	// values first.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
	Priority  int     `json:"priority"`
	// Resumable says that an answer may continue on another engine after a failure.
	Resumable bool `json:"resumable,omitempty"`
	// Plain says that the requests go to other services. They are not simulated and count as served
	// in time.
	Plain bool `json:"plain,omitempty"`
	// Own is the distribution of the number of prompt tokens that are not shared, Chain holds
	// the levels of the shared prefix, and Events is the distribution of the number of stream
	// events of the answer.
	Own    Distribution  `json:"own"`
	Chain  []PrefixLevel `json:"chain"`
	Events Distribution  `json:"events"`
	// HintSpread is the standard deviation of the logarithm of the caller's length hint
	// relative to the answer's actual length.
	HintSpread float64 `json:"hint_spread"`
	// BytesPerToken is the size of the request body in bytes per prompt token.
	BytesPerToken float64 `json:"bytes_per_token"`
}

// Day describes the traffic and the faults of one day. Seed is combined with the seed of the run
// to generate the requests, and LengthS is the time in seconds for which they arrive.
type Day struct {
	Name    string  `json:"name"`
	Seed    uint64  `json:"seed"`
	LengthS float64 `json:"length_s"`
	// PerS is the mean requests per second of each data centre.
	PerS []float64 `json:"per_s"`
	// Swing is the relative amplitude of the traffic's sine wave, and PeriodS its period in
	// seconds.
	Swing   float64  `json:"swing"`
	PeriodS float64  `json:"period_s"`
	Bursts  []Burst  `json:"bursts"`
	Outages []Outage `json:"outages"`
	Cuts    []Cut    `json:"cuts"`
	Stops   []Stop   `json:"stops,omitempty"`
}

// Stop stops all VMs for ForS seconds, starting AtS seconds into the day.
type Stop struct {
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
}

// Burst multiplies the traffic of a class by X for ForS seconds, starting AtS seconds into the day.
type Burst struct {
	Class string  `json:"class"`
	AtS   float64 `json:"at_s"`
	ForS  float64 `json:"for_s"`
	X     float64 `json:"x"`
}

// Outage takes Count engines out of service, AtS seconds into the day. It lasts for ForS seconds,
// or permanently if ForS is 0. If Drain is set, the engines keep serving for drainTime after they
// are listed as leaving; otherwise they crash. If Silent is set, crashed engines do not answer
// connections at all, instead of refusing them.
type Outage struct {
	AtS    float64 `json:"at_s"`
	ForS   float64 `json:"for_s"`
	Count  int     `json:"count"`
	Drain  bool    `json:"drain"`
	Silent bool    `json:"silent"`
}

// Cut breaks the network between a data centre and the others for ForS seconds, starting AtS
// seconds into the day.
type Cut struct {
	DataCentre string  `json:"data_centre"`
	AtS        float64 `json:"at_s"`
	ForS       float64 `json:"for_s"`
}

// Load reads a site file, which is JSON with comments. Unknown fields are errors.
func Load(path string) (*Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read site file")
	}
	return Decode(data)
}

// Decode decodes and validates the contents of a site file.
func Decode(data []byte) (*Site, error) {
	data, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, "parse site file")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	s := &Site{}
	if err := d.Decode(s); err != nil {
		return nil, errors.Wrap(err, "decode site file")
	}
	return s, s.validate()
}

// validate returns an error if a figure of the site is missing or out of range.
func (s *Site) validate() error {
	e := s.Engine
	if e.Slots <= 0 || e.StepMS <= 0 || e.PrefillPerMS <= 0 || e.Chunk < decodeChunkDivisor || e.EventTokens <= 0 || e.KVTokens <= 0 || e.LinkMbps <= 0 {
		return errors.New("engine: slots, step_ms, prefill_per_ms, event_tokens, kv_tokens and link_mbps must be positive, and chunk at least 4")
	}
	if len(s.DataCentres) == 0 || len(s.Classes) == 0 {
		return errors.New("site: at least one data centre and one class are required")
	}
	for _, d := range s.DataCentres {
		if d.VMs <= 0 || d.Engines < 2 || d.Callers <= 0 {
			return errors.Errorf("data centre %s: at least one VM, one caller and two engines are required", d.Name)
		}
	}
	for _, c := range s.Classes {
		if c.DeadlineMS <= 0 || c.AimMS <= 0 || c.Weight < 0 {
			return errors.Errorf("class %s: aim_ms and deadline_ms must be positive, and weight must not be negative", c.Name)
		}
	}
	for _, d := range s.Days {
		if len(d.PerS) != len(s.DataCentres) || d.LengthS <= 0 || (d.Swing != 0 && d.PeriodS <= 0) {
			return errors.Errorf("day %s: length_s, one rate in per_s for each data centre, and period_s if swing is set are required", d.Name)
		}
		for _, b := range d.Bursts {
			if s.classIndex(b.Class) < 0 {
				return errors.Errorf("day %s: burst refers to unknown class %q", d.Name, b.Class)
			}
		}
	}
	return nil
}

// classIndex returns the index of the class with the given name, or -1.
func (s *Site) classIndex(name string) int {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// Day returns the day with the given name, or an error if there is none.
func (s *Site) Day(name string) (*Day, error) {
	for i := range s.Days {
		if s.Days[i].Name == name {
			return &s.Days[i], nil
		}
	}
	return nil, errors.Errorf("day %q does not exist", name)
}

// PrefillEngines returns how many engines of a data centre start as prefill engines. At least one
// engine prefills and at least one decodes.
func (s *Site) PrefillEngines(dc DataCentre) int {
	return min(max(int(s.Engine.PrefillShare*float64(dc.Engines)), 1), dc.Engines-1)
}

// TimeFactor returns by which factor engine n of the site, counted from 0, takes longer than the
// figures of Site.Engine.
func (s *Site) TimeFactor(n int) float64 {
	if f := s.Engine.TimeFactors; len(f) > 0 {
		return f[n%len(f)]
	}
	return 1
}

// millis converts milliseconds to a Duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
