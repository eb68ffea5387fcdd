package settings

import (
	"fmt"
	"time"
)

// Peer is a steward that this program knows from the start. Others are learned
// from it and from the platform's VM list.
type Peer struct {
	// VM is the name of the entry VM.
	VM string `json:"vm"`
	// DataCentre is the VM's data centre.
	DataCentre string `json:"data_centre"`
	// Address is where its steward listens for gRPC.
	Address Addr `json:"address"`
}

// Platform says where the platform's services are.
type Platform struct {
	// Address is the platform's HTTP address.
	Address Addr `json:"address"`
	// Timeout bounds one request to the platform.
	Timeout Duration `json:"timeout"`
}

// Entry is the settings of garnet-entry.
type Entry struct {
	// VM is this entry VM's name, unique in the organisation.
	VM string `json:"vm"`
	// DataCentre is this VM's data centre.
	DataCentre string `json:"data_centre"`
	// Listen is the callers' address.
	Listen Addr `json:"listen"`
	// AdminListen serves /healthz, /readyz and /metrics.
	AdminListen Addr `json:"admin_listen"`
	// Stewards are the stewards of this data centre, this VM's own first.
	Stewards []Addr `json:"stewards"`
	// Platform is used for claims of calls that may not be repeated.
	Platform Platform `json:"platform"`
	// MaxBodyBytes bounds a caller's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// BodyTimeout bounds the time a caller takes to send its body.
	BodyTimeout Duration `json:"body_timeout"`
	// MaxInFlight bounds the requests this entry holds at once.
	MaxInFlight int `json:"max_in_flight"`
	// MaxEntries is the most entry VMs this data centre will ever run at
	// once; the share of a limit that is safe without grants is computed
	// from it.
	MaxEntries int `json:"max_entries"`
	// StopTimeout bounds the wait for requests in hand after SIGTERM.
	StopTimeout Duration `json:"stop_timeout"`
	// ReadyGrace is how long readiness fails before the listener closes, so
	// that the balancer has seen it.
	ReadyGrace Duration `json:"ready_grace"`
}

// DefaultEntry returns the entry's defaults.
func DefaultEntry() *Entry {
	return &Entry{
		Platform:     Platform{Timeout: Duration(2 * time.Second)},
		MaxBodyBytes: 8 << 20,
		BodyTimeout:  Duration(10 * time.Second),
		MaxInFlight:  4000,
		MaxEntries:   8,
		StopTimeout:  Duration(5 * time.Minute),
		ReadyGrace:   Duration(2 * time.Second),
	}
}

func (s *Entry) check(r *report) {
	r.needString("vm", s.VM)
	r.needString("data_centre", s.DataCentre)
	r.needAddr("listen", s.Listen)
	r.needAddr("admin_listen", s.AdminListen)
	r.needAddr("platform.address", s.Platform.Address)
	r.needPositive("platform.timeout", int64(s.Platform.Timeout))
	r.needPositive("max_body_bytes", s.MaxBodyBytes)
	r.needPositive("body_timeout", int64(s.BodyTimeout))
	r.needPositive("max_in_flight", int64(s.MaxInFlight))
	r.needPositive("max_entries", int64(s.MaxEntries))
	r.needPositive("stop_timeout", int64(s.StopTimeout))
	if len(s.Stewards) == 0 {
		r.add("stewards", "at least one steward is needed")
	}
	r.checkAddrs("stewards", s.Stewards)
}

// Steward is the settings of garnet-steward.
type Steward struct {
	// VM is this entry VM's name, unique in the organisation.
	VM string `json:"vm"`
	// DataCentre is this VM's data centre.
	DataCentre string `json:"data_centre"`
	// Listen is the gRPC address for entries, peers and garnetctl.
	Listen Addr `json:"listen"`
	// AdminListen serves /healthz, /readyz and /metrics.
	AdminListen Addr `json:"admin_listen"`
	// Peers are stewards known from the start; this one may be among them.
	Peers []Peer `json:"peers"`
	// Platform is the platform's address.
	Platform Platform `json:"platform"`
	// GossipInterval is the time between exchanges with peers.
	GossipInterval Duration `json:"gossip_interval"`
	// PollInterval is the time between polls of a target's status.
	PollInterval Duration `json:"poll_interval"`
	// PlatformInterval is the time between version checks on the platform.
	PlatformInterval Duration `json:"platform_interval"`
	// LeaseTTL is how long an unrenewed lease stays in force.
	LeaseTTL Duration `json:"lease_ttl"`
	// EngineReadTimeout is the engines' own time-out for reading a request;
	// a successor waits longer than it before a differing order to engines
	// that ignore fencing numbers.
	EngineReadTimeout Duration `json:"engine_read_timeout"`
	// RoleInterval is the time between role plans.
	RoleInterval Duration `json:"role_interval"`
	// Engine is what one engine can do, for the role plans.
	Engine EngineSpeed `json:"engine"`
}

// EngineSpeed is what one engine can do.
type EngineSpeed struct {
	// PrefillTokensPerS and DecodeTokensPerS are the rates of an engine that
	// does only that.
	PrefillTokensPerS float64 `json:"prefill_tokens_per_s"`
	DecodeTokensPerS  float64 `json:"decode_tokens_per_s"`
	// Mixed is the rate of an engine that does both, relative to one that
	// does one thing.
	Mixed float64 `json:"mixed"`
	// Away is how long a change takes an engine away, drain and cold cache
	// included.
	Away Duration `json:"away"`
}

// DefaultSteward returns the steward's defaults.
func DefaultSteward() *Steward {
	return &Steward{
		Platform:          Platform{Timeout: Duration(2 * time.Second)},
		GossipInterval:    Duration(time.Second),
		PollInterval:      Duration(2 * time.Second),
		PlatformInterval:  Duration(2 * time.Second),
		LeaseTTL:          Duration(6 * time.Second),
		EngineReadTimeout: Duration(5 * time.Second),
		RoleInterval:      Duration(5 * time.Second),
		Engine: EngineSpeed{
			PrefillTokensPerS: 20000, DecodeTokensPerS: 2500, Mixed: 0.8, Away: Duration(8 * time.Second),
		},
	}
}

func (s *Steward) check(r *report) {
	r.needString("vm", s.VM)
	r.needString("data_centre", s.DataCentre)
	r.needAddr("listen", s.Listen)
	r.needAddr("admin_listen", s.AdminListen)
	r.needAddr("platform.address", s.Platform.Address)
	r.needPositive("platform.timeout", int64(s.Platform.Timeout))
	r.needPositive("gossip_interval", int64(s.GossipInterval))
	r.needPositive("poll_interval", int64(s.PollInterval))
	r.needPositive("platform_interval", int64(s.PlatformInterval))
	r.needPositive("lease_ttl", int64(s.LeaseTTL))
	r.needPositive("role_interval", int64(s.RoleInterval))
	r.checkPeers(s.Peers)
	s.Engine.check(r)
}

func (e EngineSpeed) check(r *report) {
	if !(e.PrefillTokensPerS > 0) {
		r.add("engine.prefill_tokens_per_s", "must be above zero")
	}
	if !(e.DecodeTokensPerS > 0) {
		r.add("engine.decode_tokens_per_s", "must be above zero")
	}
	if !(e.Mixed > 0 && e.Mixed <= 1) {
		r.add("engine.mixed", "must be above 0 and at most 1")
	}
	r.needPositive("engine.away", int64(e.Away))
}

// Standin is the settings of garnet-standin.
type Standin struct {
	// Kind is platform, engine or plain.
	Kind string `json:"kind"`
	// Name is the target's name; unused for a platform.
	Name string `json:"name"`
	// Listen is the HTTP address.
	Listen Addr `json:"listen"`
	// TokenInterval is the time between the tokens of one stream.
	TokenInterval Duration `json:"token_interval"`
	// PrefillPerToken is the time a prompt token takes.
	PrefillPerToken Duration `json:"prefill_per_token"`
	// RoleChange is how long a role change takes the engine away.
	RoleChange Duration `json:"role_change"`
	// IgnoreFencing makes the engine accept orders with old fencing numbers.
	IgnoreFencing bool `json:"ignore_fencing"`
	// ReadTimeout closes a connection whose request has not arrived in time.
	ReadTimeout Duration `json:"read_timeout"`
	// VMs fills a platform's VM list.
	VMs []StandinVM `json:"vms"`
}

// StandinVM is one line of a stand-in platform's VM list.
type StandinVM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    Addr   `json:"address"`
	// Kind is entry, engine or plain.
	Kind string `json:"kind"`
}

// DefaultStandin returns the stand-in's defaults.
func DefaultStandin() *Standin {
	return &Standin{
		TokenInterval:   Duration(10 * time.Millisecond),
		PrefillPerToken: Duration(20 * time.Microsecond),
		RoleChange:      Duration(2 * time.Second),
		ReadTimeout:     Duration(5 * time.Second),
	}
}

func (s *Standin) check(r *report) {
	switch s.Kind {
	case "platform", "engine", "plain":
	default:
		r.add("kind", "%q is not platform, engine or plain", s.Kind)
	}
	r.needAddr("listen", s.Listen)
}

func (r *report) needString(field, v string) {
	if v == "" && !r.broken(field) {
		r.add(field, "missing")
	}
}

func (r *report) needAddr(field string, a Addr) {
	if a == "" && !r.broken(field) {
		r.add(field, "missing")
	}
}

func (r *report) needPositive(field string, v int64) {
	if v <= 0 && !r.broken(field) {
		r.add(field, "must be above zero")
	}
}

// broken reports whether field was already reported.
func (r *report) broken(field string) bool {
	for _, p := range r.problems {
		if p.Field == field {
			return true
		}
	}
	return false
}

func (r *report) checkAddrs(field string, addrs []Addr) {
	seen := map[Addr]bool{}
	for i, a := range addrs {
		if a != "" && seen[a] {
			r.add(index(field, i), "%s is given twice", a)
		}
		seen[a] = true
	}
}

func (r *report) checkPeers(peers []Peer) {
	vms := map[string]bool{}
	addrs := map[Addr]bool{}
	for i, p := range peers {
		field := index("peers", i)
		r.needString(field+".vm", p.VM)
		r.needString(field+".data_centre", p.DataCentre)
		r.needAddr(field+".address", p.Address)
		if p.VM != "" && vms[p.VM] {
			r.add(field+".vm", "duplicate peer %s", p.VM)
		}
		if p.Address != "" && addrs[p.Address] {
			r.add(field+".address", "duplicate peer address %s", p.Address)
		}
		vms[p.VM] = true
		addrs[p.Address] = true
	}
}

func index(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }
