package settings

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Node is the settings of garnet-node.
type Node struct {
	// VM is this VM's name, unique in the organisation.
	VM string `json:"vm"`
	// DataCentre is this VM's data centre.
	DataCentre string `json:"data_centre"`
	// Listen is the callers' address.
	Listen Addr `json:"listen"`
	// ReadyListen is where the balancer asks whether the VM takes callers.
	ReadyListen Addr `json:"ready_listen"`
	// MetricsListen serves /healthz, /readyz and /metrics.
	MetricsListen Addr `json:"metrics_listen"`
	// PeerAddress is where other VMs send what they have in hand (UDP).
	PeerAddress Addr `json:"peer_address"`
	// Store is the platform's store.
	Store Platform `json:"store"`
	// Cloud is the platform's calls that one VM at a time makes for all.
	Cloud Cloud `json:"cloud"`
	// UsageWindow is the length of the windows in which the use of client accounts is
	// reported.
	UsageWindow Duration `json:"usage_window"`
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool `json:"first_start"`
	// MemoryMB is the memory that the process may use.
	MemoryMB int64 `json:"memory_mb"`
	// FileDescriptors is how many the process may open; 0 is the kernel's limit.
	FileDescriptors int64 `json:"file_descriptors"`
	// LinkMbps is the speed of the VM's network link; 0 is unknown.
	LinkMbps float64 `json:"link_mbps"`
	// Grace is the time from SIGTERM to SIGKILL.
	Grace Duration `json:"grace"`
	// LeaseGap is how long after one holder's last order another may give one.
	LeaseGap Duration `json:"lease_gap"`
	// ConfigBound is within what time a change of the configuration, once it is
	// written, is in force on every VM.
	ConfigBound Duration `json:"config_bound"`
	// RevokeBound is within what time a key that was removed from the configuration serves no
	// request any more at any VM, in touch with the store or not; 0 is no such bound.
	RevokeBound Duration `json:"revoke_bound"`
	// RetryRatio bounds sends to a further target, as a share of the requests.
	RetryRatio float64 `json:"retry_ratio"`
	// RetryBurst bounds such sends at once, for all VMs together.
	RetryBurst float64 `json:"retry_burst"`
	// RetryWindow is the span that both are counted in.
	RetryWindow Duration `json:"retry_window"`
	// LogLinesPerS bounds the log; what is above is dropped and counted.
	LogLinesPerS int64 `json:"log_lines_per_s"`
	// PrefillShare is the most of a service's engines that prefill, as a share.
	PrefillShare float64 `json:"prefill_share"`
	// Off names the mechanisms of placement and admission that are switched off, to
	// measure what they are worth: see Mechanisms.
	Off []string `json:"off"`
}

// Cloud is the platform's calls that one VM at a time makes for all.
type Cloud struct {
	// Address is an IP address with a port, or empty where there are no such calls.
	Address string `json:"address"`
	// CallsPerS bounds the calls of all VMs.
	CallsPerS float64 `json:"calls_per_s"`
	// Duties are the calls that are to be made.
	Duties []string `json:"duties"`
}

// The duties of one VM at a time.
const (
	// DutyUsage reports the use of client accounts.
	DutyUsage = "usage_reporting"
	// DutyScaling orders engines.
	DutyScaling = "scaling"
)

// Has reports whether a duty is to be done.
func (c *Cloud) Has(duty string) bool { return c.Address != "" && slices.Contains(c.Duties, duty) }

// DefaultNode returns the node's defaults.
func DefaultNode() *Node {
	return &Node{
		Store:        Platform{Timeout: Duration(700 * time.Millisecond)},
		MemoryMB:     256,
		Grace:        Duration(8 * time.Second),
		LeaseGap:     Duration(3 * time.Second),
		ConfigBound:  Duration(2 * time.Second),
		RetryRatio:   0.17,
		RetryWindow:  Duration(10 * time.Second),
		RetryBurst:   40,
		LogLinesPerS: 400,
		Cloud:        Cloud{CallsPerS: 10},
		UsageWindow:  Duration(5 * time.Second),
		PrefillShare: 0.67,
	}
}

// The mechanisms that can be switched off.
const (
	// MechanismProfile learns what the engines take.
	MechanismProfile = "profile"
	// MechanismPauses keeps prompts away from streams that would wait too long.
	MechanismPauses = "pauses"
	// MechanismSlowdown tells engines of one service apart by their speed.
	MechanismSlowdown = "slowdown"
	// MechanismCache reckons what the engines hold.
	MechanismCache = "cache"
	// MechanismStay has sessions go back to their caches though others wait there.
	MechanismStay = "stay"
	// MechanismDeferral defers late requests; without it they are refused.
	MechanismDeferral = "deferral"
)

// Mechanisms lists those that can be switched off.
var Mechanisms = []string{MechanismProfile, MechanismPauses, MechanismSlowdown, MechanismCache, MechanismStay, MechanismDeferral}

// IsOff reports whether a mechanism is switched off.
func (s *Node) IsOff(mechanism string) bool { return slices.Contains(s.Off, mechanism) }

func (s *Node) check(r *report) {
	r.needString("vm", s.VM)
	r.needString("data_centre", s.DataCentre)
	r.needAddr("listen", s.Listen)
	r.needAddr("ready_listen", s.ReadyListen)
	r.needAddr("metrics_listen", s.MetricsListen)
	r.needAddr("peer_address", s.PeerAddress)
	r.needAddr("store.address", s.Store.Address)
	r.needPositive("store.timeout", int64(s.Store.Timeout))
	r.needPositive("memory_mb", s.MemoryMB)
	r.needPositive("grace", int64(s.Grace))
	r.needPositive("lease_gap", int64(s.LeaseGap))
	r.needPositive("config_bound", int64(s.ConfigBound))
	r.needPositive("retry_window", int64(s.RetryWindow))
	r.needPositive("log_lines_per_s", s.LogLinesPerS)
	if s.Cloud.Address != "" {
		if _, err := netip.ParseAddrPort(s.Cloud.Address); err != nil {
			r.add("cloud.address", "is not an IP address with a port")
		}
	}
	if s.Cloud.CallsPerS <= 0 {
		r.add("cloud.calls_per_s", "must be above zero")
	}
	r.needPositive("usage_window", int64(s.UsageWindow))
	if s.RevokeBound < 0 {
		r.add("revoke_bound", "must not be below zero")
	}
	if s.FileDescriptors < 0 {
		r.add("file_descriptors", "must not be below zero")
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		r.add("retry_ratio", "must be from 0 to 1")
	}
	if s.RetryBurst < 0 {
		r.add("retry_burst", "must not be below zero")
	}
	for _, m := range s.Off {
		if !slices.Contains(Mechanisms, m) {
			r.add("off", "holds %q, want one of %s", m, strings.Join(Mechanisms, ", "))
		}
	}
	if s.PrefillShare < 0 || s.PrefillShare >= 1 {
		r.add("prefill_share", "must be at least 0 and below 1")
	}
}
