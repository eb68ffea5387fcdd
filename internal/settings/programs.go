package settings

import (
	"fmt"
	"time"
)

// Peer is a steward that is known from the start. Stewards are the control plane; see package
// steward. Other stewards are discovered through the known ones and through the platform's VM list.
type Peer struct {
	// VM is the name of the peer's entry VM.
	VM string `json:"vm"`
	// DataCentre is the name of that VM's data centre.
	DataCentre string `json:"data_centre"`
	// Address is the gRPC address of the peer.
	Address Addr `json:"address"`
}

// Endpoint is the address and timeout of a service of the platform.
type Endpoint struct {
	// Address is the service's HTTP address.
	Address Addr `json:"address"`
	// Timeout limits each request to the service.
	Timeout Duration `json:"timeout"`
}

// Entry holds the settings of garnet-entry.
type Entry struct {
	// VM is the name of this entry VM, unique in the organisation.
	VM string `json:"vm"`
	// DataCentre is the name of this VM's data centre.
	DataCentre string `json:"data_centre"`
	// Listen is the address that serves callers.
	Listen Addr `json:"listen"`
	// AdminListen is the address that serves /healthz, /readyz and /metrics.
	AdminListen Addr `json:"admin_listen"`
	// Stewards lists the addresses of the stewards of this data centre. The steward on this VM
	// comes first.
	Stewards []Addr `json:"stewards"`
	// Platform is the address and timeout of the store in which entries claim the requests that
	// must run at most once.
	Platform Endpoint `json:"platform"`
	// MaxBodyBytes is the largest request body that is accepted.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// BodyTimeout limits the time in which a caller must send its request body.
	BodyTimeout Duration `json:"body_timeout"`
	// MaxInFlight limits the requests that are in flight at this entry.
	MaxInFlight int `json:"max_in_flight"`
	// MaxEntries is the largest number of entry VMs that this data centre will ever run at once. It
	// determines the fraction of a limit that an entry may use without a grant from the steward.
	MaxEntries int `json:"max_entries"`
	// ResponseMemoryMB is the memory that responses of targets above 16 kB may take together while they are held, in
	// MiB. Half of it is for those above 1 MiB; a response of a plain service may have 32 MiB.
	ResponseMemoryMB int64 `json:"response_memory_mb"`
	// StopTimeout limits the wait for requests in flight after SIGTERM.
	StopTimeout Duration `json:"stop_timeout"`
	// ReadyGrace is the time from the first failing readiness check to the closing of the listener,
	// so that the load balancer notices in time.
	ReadyGrace Duration `json:"ready_grace"`
}

// minResponseMemoryMB leaves room for one response of the largest size.
const minResponseMemoryMB = 64

// DefaultEntry returns the default settings of garnet-entry.
func DefaultEntry() *Entry {
	return &Entry{
		Platform:         Endpoint{Timeout: Duration(2 * time.Second)},
		MaxBodyBytes:     8 << 20,
		BodyTimeout:      Duration(10 * time.Second),
		MaxInFlight:      4000,
		MaxEntries:       8,
		ResponseMemoryMB: 256,
		StopTimeout:      Duration(5 * time.Minute),
		ReadyGrace:       Duration(2 * time.Second),
	}
}

// validate adds a problem to dec for each missing value and each value outside its range.
func (s *Entry) validate(dec *decoder) {
	dec.requireString("vm", s.VM)
	dec.requireString("data_centre", s.DataCentre)
	dec.requireAddr("listen", s.Listen)
	dec.requireAddr("admin_listen", s.AdminListen)
	dec.requireAddr("platform.address", s.Platform.Address)
	dec.requirePositive("platform.timeout", int64(s.Platform.Timeout))
	dec.requirePositive("max_body_bytes", s.MaxBodyBytes)
	dec.requirePositive("body_timeout", int64(s.BodyTimeout))
	dec.requirePositive("max_in_flight", int64(s.MaxInFlight))
	dec.requirePositive("max_entries", int64(s.MaxEntries))
	dec.requirePositive("stop_timeout", int64(s.StopTimeout))
	if s.ResponseMemoryMB < minResponseMemoryMB {
		dec.addProblem("response_memory_mb", "must be at least 64, twice the size of the largest response")
	}
	if len(s.Stewards) == 0 {
		dec.addProblem("stewards", "at least one steward is needed")
	}
	dec.checkDuplicateAddrs("stewards", s.Stewards)
}

// Steward holds the settings of garnet-steward. The role of an engine, in these settings, is the
// work that the planner of garnet-steward (package roles) assigns to the engine. It differs from
// the stage of an engine, prefill or decode, which garnet-node controls (package stages).
type Steward struct {
	// VM is the name of this entry VM, unique in the organisation.
	VM string `json:"vm"`
	// DataCentre is the name of this VM's data centre.
	DataCentre string `json:"data_centre"`
	// Listen is the gRPC address for entries, peers and garnetctl.
	Listen Addr `json:"listen"`
	// AdminListen is the address that serves /healthz, /readyz and /metrics.
	AdminListen Addr `json:"admin_listen"`
	// Peers lists the stewards that are known from the start. It may include this one.
	Peers []Peer `json:"peers"`
	// Platform is the address and timeout of the platform.
	Platform Endpoint `json:"platform"`
	// GossipInterval is the time between exchanges with peers.
	GossipInterval Duration `json:"gossip_interval"`
	// PollInterval is the time between polls of a target's status.
	PollInterval Duration `json:"poll_interval"`
	// PlatformInterval is the time between checks of the platform's table for a new version.
	PlatformInterval Duration `json:"platform_interval"`
	// LeaseTTL is how long a lease stays in force without renewal.
	LeaseTTL Duration `json:"lease_ttl"`
	// EngineReadTimeout is the timeout after which an engine closes a connection whose request
	// has not arrived. A new lease holder waits longer than that before it sends a different
	// order to engines that ignore fencing numbers.
	EngineReadTimeout Duration `json:"engine_read_timeout"`
	// RoleInterval is the time between plans of the engines' roles.
	RoleInterval Duration `json:"role_interval"`
	// Engine is the throughput of an engine, on which the role plans are based.
	Engine EngineSpeed `json:"engine"`
}

// EngineSpeed describes the throughput of an engine and the cost of changing its role.
type EngineSpeed struct {
	// PrefillTokensPerS is the throughput of an engine that does only prefill.
	PrefillTokensPerS float64 `json:"prefill_tokens_per_s"`
	// DecodeTokensPerS is the throughput of an engine that does only decode.
	DecodeTokensPerS float64 `json:"decode_tokens_per_s"`
	// MixedFactor is the throughput of an engine that does both, as a fraction of the throughput of
	// an engine that does only one; above 0 and at most 1.
	MixedFactor float64 `json:"mixed"`
	// RoleChangeTime is the working time that an engine loses with a change of its role, including
	// the drain before the change and the cold cache after it.
	RoleChangeTime Duration `json:"away"`
}

// DefaultSteward returns the default settings of garnet-steward.
func DefaultSteward() *Steward {
	return &Steward{
		Platform:          Endpoint{Timeout: Duration(2 * time.Second)},
		GossipInterval:    Duration(time.Second),
		PollInterval:      Duration(2 * time.Second),
		PlatformInterval:  Duration(2 * time.Second),
		LeaseTTL:          Duration(6 * time.Second),
		EngineReadTimeout: Duration(5 * time.Second),
		RoleInterval:      Duration(5 * time.Second),
		Engine: EngineSpeed{
			PrefillTokensPerS: 20000, DecodeTokensPerS: 2500, MixedFactor: 0.8, RoleChangeTime: Duration(8 * time.Second),
		},
	}
}

// validate adds a problem to dec for each missing value and each value outside its range.
func (s *Steward) validate(dec *decoder) {
	dec.requireString("vm", s.VM)
	dec.requireString("data_centre", s.DataCentre)
	dec.requireAddr("listen", s.Listen)
	dec.requireAddr("admin_listen", s.AdminListen)
	dec.requireAddr("platform.address", s.Platform.Address)
	dec.requirePositive("platform.timeout", int64(s.Platform.Timeout))
	dec.requirePositive("gossip_interval", int64(s.GossipInterval))
	dec.requirePositive("poll_interval", int64(s.PollInterval))
	dec.requirePositive("platform_interval", int64(s.PlatformInterval))
	dec.requirePositive("lease_ttl", int64(s.LeaseTTL))
	dec.requirePositive("role_interval", int64(s.RoleInterval))
	dec.checkPeers(s.Peers)
	s.Engine.validate(dec)
}

// validate adds a problem to dec for each value outside its range. NaN is outside every range.
func (e EngineSpeed) validate(dec *decoder) {
	if !(e.PrefillTokensPerS > 0) {
		dec.addProblem("engine.prefill_tokens_per_s", "must be above zero")
	}
	if !(e.DecodeTokensPerS > 0) {
		dec.addProblem("engine.decode_tokens_per_s", "must be above zero")
	}
	if !(e.MixedFactor > 0 && e.MixedFactor <= 1) {
		dec.addProblem("engine.mixed", "must be above 0 and at most 1")
	}
	dec.requirePositive("engine.away", int64(e.RoleChangeTime))
}

// Standin holds the settings of garnet-standin, which simulates a platform or a target.
type Standin struct {
	// Kind is what to simulate: platform, engine or plain.
	Kind string `json:"kind"`
	// Name is the name of the simulated target; unused for a platform.
	Name string `json:"name"`
	// Listen is the HTTP address that is served.
	Listen Addr `json:"listen"`
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval Duration `json:"token_interval"`
	// PrefillPerToken is the prefill time of a prompt token.
	PrefillPerToken Duration `json:"prefill_per_token"`
	// RoleChange is how long the engine is unavailable while it changes its role.
	RoleChange Duration `json:"role_change"`
	// IgnoreFencing makes the engine accept orders with outdated fencing numbers.
	IgnoreFencing bool `json:"ignore_fencing"`
	// ReadTimeout is the time after which a connection is closed if its request has not arrived.
	ReadTimeout Duration `json:"read_timeout"`
	// VMs is the content of a simulated platform's VM list.
	VMs []StandinVM `json:"vms"`
}

// StandinVM is an entry of a simulated platform's VM list.
type StandinVM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Address is the address that the list gives for the VM.
	Address Addr `json:"address"`
	// Kind is what runs on the VM: entry, engine or plain.
	Kind string `json:"kind"`
}

// DefaultStandin returns the default settings of garnet-standin.
func DefaultStandin() *Standin {
	return &Standin{
		TokenInterval:   Duration(10 * time.Millisecond),
		PrefillPerToken: Duration(20 * time.Microsecond),
		RoleChange:      Duration(2 * time.Second),
		ReadTimeout:     Duration(5 * time.Second),
	}
}

// validate adds a problem to dec for an unknown kind and for a missing address.
func (s *Standin) validate(dec *decoder) {
	switch s.Kind {
	case "platform", "engine", "plain":
	default:
		dec.addProblem("kind", "%q is not platform, engine or plain", s.Kind)
	}
	dec.requireAddr("listen", s.Listen)
}

// requireString records the problem that field is missing if its value v is empty, unless a problem
// of the field is already recorded.
func (dec *decoder) requireString(field, v string) {
	if v == "" && !dec.hasProblem(field) {
		dec.addProblem(field, "missing")
	}
}

// requireAddr is requireString for an address.
func (dec *decoder) requireAddr(field string, a Addr) {
	if a == "" && !dec.hasProblem(field) {
		dec.addProblem(field, "missing")
	}
}

// requirePositive records a problem of field if its value v is not above zero, unless a problem of
// the field is already recorded.
func (dec *decoder) requirePositive(field string, v int64) {
	if v <= 0 && !dec.hasProblem(field) {
		dec.addProblem(field, "must be above zero")
	}
}

// hasProblem reports whether a problem of field is already recorded.
func (dec *decoder) hasProblem(field string) bool {
	for _, p := range dec.problems {
		if p.Field == field {
			return true
		}
	}
	return false
}

// checkDuplicateAddrs records a problem for each address that occurs in addrs, the list at field,
// more than once.
func (dec *decoder) checkDuplicateAddrs(field string, addrs []Addr) {
	seen := map[Addr]bool{}
	for i, a := range addrs {
		if a != "" && seen[a] {
			dec.addProblem(indexPath(field, i), "%s is given twice", a)
		}
		seen[a] = true
	}
}

// checkPeers records a problem for each incomplete peer and for each name or address that occurs
// more than once.
func (dec *decoder) checkPeers(peers []Peer) {
	vms := map[string]bool{}
	addrs := map[Addr]bool{}
	for i, p := range peers {
		field := indexPath("peers", i)
		dec.requireString(field+".vm", p.VM)
		dec.requireString(field+".data_centre", p.DataCentre)
		dec.requireAddr(field+".address", p.Address)
		if p.VM != "" && vms[p.VM] {
			dec.addProblem(field+".vm", "duplicate peer %s", p.VM)
		}
		if p.Address != "" && addrs[p.Address] {
			dec.addProblem(field+".address", "duplicate peer address %s", p.Address)
		}
		vms[p.VM] = true
		addrs[p.Address] = true
	}
}

// indexPath returns the path of element i of the list at field.
func indexPath(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }
