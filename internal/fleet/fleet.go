// Package fleet holds a process's current view of the operators' configuration and of the list of
// targets. A View is immutable and replaced as a whole, so that each request is decided on one
// consistent state of both.
package fleet

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

// Kind says how often a request of a route may be run and whether its answer is a stream.
type Kind int

// The kinds of route.
const (
	// Idempotent requests may be run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests may be run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events. They may be run at most once unless
	// the route is resumable.
	Streaming
)

// String returns the name of the kind as it appears in logs.
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

// Share is the weight of one of the services over which a route is split.
type Share struct {
	Service string
	Weight  float64
}

// Route is one route of the operators' configuration.
type Route struct {
	Name string
	// Host and Prefix are the host and the path prefix of the requests that the route applies to.
	Host   string
	Prefix string
	Kind   Kind
	// Shares holds the services that may run the route's requests, with their weights.
	Shares []Share
	// Timeout bounds how long a request may be kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer is on time. For a stream it is the latency
	// of the first event.
	Objective time.Duration
	// MaxGap is the longest time after an event of a stream within which the next event is on time.
	MaxGap time.Duration
	// Patience is the longest time for which callers wait for the next event of a stream,
	// including its first one, before they disconnect; 0 is no limit.
	Patience time.Duration
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of targets that one request may be sent to.
	MaxAttempts int
	// Resumable says that a stream may be continued at another target.
	Resumable bool
	// Anonymous says that requests need no key.
	Anonymous bool
}

// Repeatable reports whether a request that may already have run may be sent again from its
// beginning.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Services returns the names of the services that may run the route's requests.
func (r *Route) Services() []string {
	names := make([]string, 0, len(r.Shares))
	for _, s := range r.Shares {
		names = append(names, s.Service)
	}
	return names
}

// Pick returns the service for a request according to the weights of the shares; random must be
// uniform in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * total
	for _, s := range r.Shares {
		remaining -= s.Weight
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// KVTokens is the size of an engine's KV cache in tokens.
	KVTokens int
	// HandleTTL is how long the KV cache of a prefilled prompt is kept for the decode engine to
	// fetch.
	HandleTTL time.Duration
	// SwitchTime is how long an engine is unavailable while it changes its stage.
	SwitchTime time.Duration
	// Objective is the shortest objective of the service's routes, or 0 if none has one.
	Objective time.Duration
	// MaxGap is the shortest MaxGap of the service's routes, or 0 if none has one. It applies to
	// all of them, as an engine runs the streams of all routes concurrently.
	MaxGap time.Duration
}

// Service is one service of the configuration.
type Service struct {
	Name string
	// MaxConns is how many connections one target accepts from all callers together.
	MaxConns int
	// HealthPath is the path at which a target of the service answers health checks, or empty if it does not.
	HealthPath string
	// Engine is nil for a plain service.
	Engine *EngineSpec
	// Resumable says that streams of one of the service's routes may be resumed. NewConfig sets it.
	Resumable bool
	// Scaling is nil if package scaling may not choose the number of targets.
	Scaling *Scaling
}

// Scaling holds the limits and prices for the number of a service's targets.
type Scaling struct {
	// Min and Max bound the number of targets in one data centre.
	Min int
	Max int
	// BootTime is how long a new target takes until it serves.
	BootTime time.Duration
	// SpotPrice is the price of a spot target, which may be reclaimed, as a fraction of the price
	// of an on-demand target; 0 means that there are no spot targets.
	SpotPrice float64
	// Prices holds the price of one second of a target by data centre.
	Prices map[string]float64
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the maximum time for sending a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept open.
	IdleTimeout time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version uint64
	// Services holds the services by name.
	Services map[string]*Service
	Limits   Limits
	// accounts is nil if the configuration does not use client accounts. It is empty if all of
	// them have been removed.
	accounts accountsByKey
	// accountList holds all client accounts, those without keys too.
	accountList []*Account
	// byHost holds the routes by host name in lower case. The routes of each host are sorted by the
	// length of their prefix, longest first.
	byHost map[string][]*Route
}

// NewConfig returns a configuration with its routes indexed for Match. It changes Engine.Objective
// and Engine.MaxGap of each given service to the shortest values of the service's routes, and Resumable.
func NewConfig(version uint64, routes []*Route, services []*Service, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits,
		Services: make(map[string]*Service, len(services)),
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	c.setServiceProperties(routes)
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, rs := range c.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	return c
}

// setServiceProperties sets Objective and MaxGap of each service's engines to the shortest values of
// the service's routes, and Resumable of each service.
func (c *Config) setServiceProperties(routes []*Route) {
	for _, r := range routes {
		for _, share := range r.Shares {
			s := c.Services[share.Service]
			if s != nil && r.Kind == Streaming && r.Resumable {
				s.Resumable = true
			}
			if s != nil && s.Engine != nil {
				s.Engine.MaxGap = shorterNonZero(s.Engine.MaxGap, r.MaxGap)
				s.Engine.Objective = shorterNonZero(s.Engine.Objective, r.Objective)
			}
		}
	}
}

// shorterNonZero returns the shorter of two durations, where 0 means that there is none.
func shorterNonZero(a, b time.Duration) time.Duration {
	if a <= 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// Match returns the route with the longest matching path prefix for the host, or nil. A port in
// host is ignored.
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

// Stage is the part of text generation that a model engine performs.
type Stage string

// The stages. A target of a plain service has NoStage.
const (
	NoStage Stage = ""        // stage of the targets of a plain service
	Prefill Stage = "prefill" // the engine prefills prompts
	Decode  Stage = "decode"  // the engine decodes answers and may prefill prompts in place
)

// Target is one entry of the list of targets.
type Target struct {
	// ID identifies the target. A target that restarts may keep its id.
	ID string
	// Born is when the target started, as it states itself, in Unix milliseconds; 0 if it does
	// not state it.
	Born int64
	// Run identifies the target's current run, as returned by the function RunID. If it is empty,
	// ID identifies the run.
	Run        string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the target's software, not of its weights. Versions have no order.
	Version string
	// Slots is how many requests the target runs at once.
	Slots int
	// Leaving targets accept no new requests.
	Leaving bool
	// Spot targets may be reclaimed, all of a data centre at once.
	Spot  bool
	Stage Stage
}

// runIDBase is the number base in which the start time is written in a run id.
const runIDBase = 36

// RunID returns the id of the target's current run. A run is the time from the start of a target's
// process to its end. All state that is kept of a target is kept by run id, because the next run
// under the same target id has no cache, no work and no KV handles of the previous one.
func (t *Target) RunID() string {
	if t.Run == "" {
		return t.ID
	}
	return t.Run
}

// RunID returns the id of the run of target id that started at the given time, in Unix
// milliseconds, or id itself if the start is 0.
func RunID(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + "." + strconv.FormatInt(born, runIDBase)
}

// View is the state of the configuration and of the list of targets that one request is decided
// on. It must not be changed.
type View struct {
	// Config is nil until the first configuration has been read.
	Config *Config
	// Targets holds each service's targets in the order of their ids.
	Targets map[string][]*Target
	// TargetsRevision is the store revision of the list of targets.
	TargetsRevision uint64
}

// Usable reports whether requests can be served: at least one service of the configuration has a
// target.
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

// Has reports whether a target with the id and the service of t is in the view and not leaving.
func (v *View) Has(t *Target) bool {
	for _, other := range v.Targets[t.Service] {
		if other.ID == t.ID {
			return !other.Leaving
		}
	}
	return false
}
