// Package fleet holds what a process believes about the outside: the
// operators' configuration and the list of targets. A View is immutable and
// swapped whole, so that one request is decided on one state of both.
package fleet

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

// Kind says how often a request may be run.
type Kind int

// The kinds of route.
const (
	// Idempotent requests may be run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests may be run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events. They may be run
	// at most once unless the route is resumable.
	Streaming
)

// String returns the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Share is one service of a route that is split, with its weight.
type Share struct {
	Service string
	Weight  float64
}

// Route is one row of the operators' configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares names the services that may run the route's requests.
	Shares []Share
	// Timeout bounds how long a request may be kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer is on time; for a
	// stream, the latency of its first event.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream on time.
	MaxGap time.Duration
	// Patience is the longest wait for a stream's next event, its first one too,
	// after which callers leave; 0 is no such bound.
	Patience time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the targets that one request may be sent to.
	MaxAttempts int
	// Resumable streams may be continued at another target.
	Resumable bool
	// Anonymous requests need no key.
	Anonymous bool
}

// Repeatable reports whether a request that may have run may be sent again
// from its beginning.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Pick returns the service for a request by the routes' weights; random is
// uniform in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point := random * total
	for _, s := range r.Shares {
		point -= s.Weight
		if point < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// KVTokens is the size of an engine's KV cache, in tokens.
	KVTokens int
	// HandleTTL is how long a prefilled prompt is kept for its decode target.
	HandleTTL time.Duration
	// SwitchTime is how long an engine is away when it changes its stage.
	SwitchTime time.Duration
	// Objective is the shortest objective of the service's routes, or 0.
	Objective time.Duration
	// MaxGap is the shortest pause between events that a route of the service
	// allows, or 0: streams of all routes run side by side at an engine.
	MaxGap time.Duration
}

// Service is one service of the configuration.
type Service struct {
	Name string
	// MaxConns is how many connections one target accepts from all callers.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *EngineSpec
	// Scaling is nil where the number of targets is not ours to choose.
	Scaling *Scaling
}

// Scaling is what is said of the order of a service's targets.
type Scaling struct {
	// Min and Max bound the targets of one data centre.
	Min int
	Max int
	// Boot is how long a new target takes to serve.
	Boot time.Duration
	// SpotPrice is what a target costs that may be reclaimed, as a part of another's price; 0
	// is none to be had.
	SpotPrice float64
	// Prices holds the price of a target's second by data centre.
	Prices map[string]float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// accounts is nil where the configuration has no client accounts.
	accounts accounts
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
}

// NewConfig returns the configuration with its routes indexed for Match.
func NewConfig(version uint64, routes []*Route, services []*Service, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits,
		Services: make(map[string]*Service, len(services)),
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	c.setAims(routes)
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, rs := range c.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	return c
}

// setAims sets the shortest pauses and objectives of the routes to each service's
// engines.
func (c *Config) setAims(routes []*Route) {
	for _, r := range routes {
		for _, share := range r.Shares {
			if s := c.Services[share.Service]; s != nil && s.Engine != nil {
				s.Engine.MaxGap = shorter(s.Engine.MaxGap, r.MaxGap)
				s.Engine.Objective = shorter(s.Engine.Objective, r.Objective)
			}
		}
	}
}

// shorter returns the shorter of two times, of which 0 is none.
func shorter(a, b time.Duration) time.Duration {
	if a <= 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// Match returns the route of the host with the longest prefix of path, or nil.
// A port after the host is ignored.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Stage is the part of generation that an engine does.
type Stage string

// The stages. A target of a plain service has none.
const (
	NoStage Stage = ""
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
)

// Target is one entry of the list of targets.
type Target struct {
	// ID names the target. One that starts again may keep it.
	ID string
	// Born is when the target started, in its own word: Unix milliseconds, or 0 where it
	// does not say.
	Born int64
	// Run names the target's present run, see RunID; empty is ID.
	Run        string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving targets take no new requests.
	Leaving bool
	// Spot targets may be reclaimed, all of a data centre at once.
	Spot  bool
	Stage Stage
}

// runIDBase is the base in which a start is written in a run's id.
const runIDBase = 36

// RunID names one run of the target, from its start to its end. What is known of a run
// says nothing of the next one under the same id, which holds no cache, no work and no
// handle: all state of a target is kept by it.
func (t *Target) RunID() string {
	if t.Run == "" {
		return t.ID
	}
	return t.Run
}

// RunID returns the name of the run of target id that was born then.
func RunID(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + "." + strconv.FormatInt(born, runIDBase)
}

// View is the state that a request is decided on.
type View struct {
	// Config is nil until the first configuration has been read.
	Config *Config
	// Targets holds each service's targets, by id.
	Targets map[string][]*Target
	// TargetsRevision is the store's revision that the targets are from.
	TargetsRevision uint64
}

// Usable reports whether requests can be served on the view: a service of the
// configuration has a target.
func (v *View) Usable() bool {
	if v.Config == nil {
		return false
	}
	for service := range v.Targets {
		if v.Config.Services[service] != nil {
			return true
		}
	}
	return false
}

// Has reports whether target t is listed in v and not leaving.
func (v *View) Has(t *Target) bool {
	for _, other := range v.Targets[t.Service] {
		if other.ID == t.ID {
			return !other.Leaving
		}
	}
	return false
}
