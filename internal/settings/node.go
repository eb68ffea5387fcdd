package settings

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Node holds the settings of garnet-node.
type Node struct {
	// VM is the name of this VM, unique in the organisation.
	VM string `json:"vm"`
	// DataCentre is the name of this VM's data centre.
	DataCentre string `json:"data_centre"`
	// Listen is the address that serves callers.
	Listen Addr `json:"listen"`
	// ReadyListen is the address that answers the load balancer's health check.
	ReadyListen Addr `json:"ready_listen"`
	// MetricsListen is the address that serves /healthz, /readyz and /metrics.
	MetricsListen Addr `json:"metrics_listen"`
	// PeerAddress is the UDP address at which this VM exchanges reports of its load with other
	// VMs.
	PeerAddress Addr `json:"peer_address"`
	// Store is the address and timeout of the platform's store.
	Store Endpoint `json:"store"`
	// Cloud configures the calls to the platform that one VM at a time makes on behalf of all.
	Cloud Cloud `json:"cloud"`
	// UsageWindow is the length of the time windows for which the usage of client accounts is
	// reported.
	UsageWindow Duration `json:"usage_window"`
	// FirstStart is true if all VMs start for the first time. There are then no earlier processes
	// whose state has to be waited for.
	FirstStart bool `json:"first_start"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// CallerMemoryShare is the part of MemoryMB that callers may take with their connections and requests.
	// When it is used up, connections and incomplete requests that take much end, and requests are refused.
	CallerMemoryShare float64 `json:"caller_memory_share"`
	// FileDescriptors is the number of file descriptors that the process may open; 0 means the
	// limit that the kernel sets (RLIMIT_NOFILE).
	FileDescriptors int64 `json:"file_descriptors"`
	// LinkMbps is the speed of the VM's network link in Mbit/s; 0 means unknown.
	LinkMbps float64 `json:"link_mbps"`
	// Grace is the time from SIGTERM to SIGKILL when the process is stopped.
	Grace Duration `json:"grace"`
	// LeaseGap is the minimum time between the last order that one lease holder sends and the first
	// order that the next holder sends.
	LeaseGap Duration `json:"lease_gap"`
	// ConfigBound is the longest time from the writing of a change of the configuration until the
	// change is in effect on every VM.
	ConfigBound Duration `json:"config_bound"`
	// RevokeBound is the time within which every VM, connected to the store or not, must refuse
	// a key that was removed from the configuration; 0 means no limit.
	RevokeBound Duration `json:"revoke_bound"`
	// RetryRatio limits retries at further targets, as a fraction of the requests.
	RetryRatio float64 `json:"retry_ratio"`
	// RetryBurst is the number of retries allowed beyond RetryRatio, for all VMs together.
	RetryBurst float64 `json:"retry_burst"`
	// RetryWindow is the sliding window to which RetryRatio and RetryBurst apply.
	RetryWindow Duration `json:"retry_window"`
	// LogLinesPerS limits the log lines per second; further lines are dropped and counted.
	LogLinesPerS int64 `json:"log_lines_per_s"`
	// PrefillShare is the largest fraction of a service's engines that may be in the prefill
	// stage.
	PrefillShare float64 `json:"prefill_share"`
	// Off lists the mechanisms of placement and admission that are switched off, in order to
	// measure their effect; see Mechanisms.
	Off []string `json:"off"`
}

// Cloud configures the calls to the platform that one VM at a time makes on behalf of all.
type Cloud struct {
	// Address is an IP address with a port, or empty if the platform has no such calls.
	Address string `json:"address"`
	// CallsPerS limits the calls of all VMs together, per second.
	CallsPerS float64 `json:"calls_per_s"`
	// Duties lists the duties to perform: DutyUsage, DutyScaling.
	Duties []string `json:"duties"`
}

// Duties that one VM at a time performs on behalf of all.
const (
	// DutyUsage reports the usage of client accounts to the platform.
	DutyUsage = "usage_reporting"
	// DutyScaling orders more or fewer engines from the platform.
	DutyScaling = "scaling"
)

// HasDuty reports whether the platform has an address and the duty is in Duties.
func (c *Cloud) HasDuty(duty string) bool { return c.Address != "" && slices.Contains(c.Duties, duty) }

// DefaultNode returns the default settings of garnet-node.
func DefaultNode() *Node {
	return &Node{
		Store:             Endpoint{Timeout: Duration(700 * time.Millisecond)},
		MemoryMB:          256,
		CallerMemoryShare: 0.25,
		Grace:             Duration(8 * time.Second),
		LeaseGap:          Duration(3 * time.Second),
		ConfigBound:       Duration(2 * time.Second),
		RetryRatio:        0.17,
		RetryWindow:       Duration(10 * time.Second),
		RetryBurst:        40,
		LogLinesPerS:      400,
		Cloud:             Cloud{CallsPerS: 10},
		UsageWindow:       Duration(5 * time.Second),
		PrefillShare:      0.67,
	}
}

// Mechanisms of placement and admission that can be switched off.
const (
	// MechanismProfile learns how long the engines take for prefill and decode.
	MechanismProfile = "profile"
	// MechanismPauses keeps prompts off engines whose running streams would pause too long.
	MechanismPauses = "pauses"
	// MechanismSlowdown measures how fast each engine is compared with the others of its
	// service.
	MechanismSlowdown = "slowdown"
	// MechanismCache estimates which prompts the engines have cached.
	MechanismCache = "cache"
	// MechanismStay sends a request back to the engine that has cached the prompt of its session,
	// even if other requests wait there.
	MechanismStay = "stay"
	// MechanismDeferral defers late requests. Without it they are refused.
	MechanismDeferral = "deferral"
)

// Mechanisms lists the mechanisms that can be switched off.
var Mechanisms = []string{MechanismProfile, MechanismPauses, MechanismSlowdown, MechanismCache, MechanismStay, MechanismDeferral}

// IsOff reports whether a mechanism is switched off.
func (s *Node) IsOff(mechanism string) bool { return slices.Contains(s.Off, mechanism) }

// validate adds a problem to dec for each missing value and each value outside its range.
func (s *Node) validate(dec *decoder) {
	dec.requireString("vm", s.VM)
	dec.requireString("data_centre", s.DataCentre)
	dec.requireAddr("listen", s.Listen)
	dec.requireAddr("ready_listen", s.ReadyListen)
	dec.requireAddr("metrics_listen", s.MetricsListen)
	dec.requireAddr("peer_address", s.PeerAddress)
	dec.requireAddr("store.address", s.Store.Address)
	dec.requirePositive("store.timeout", int64(s.Store.Timeout))
	dec.requirePositive("memory_mb", s.MemoryMB)
	dec.requirePositive("grace", int64(s.Grace))
	dec.requirePositive("lease_gap", int64(s.LeaseGap))
	dec.requirePositive("config_bound", int64(s.ConfigBound))
	dec.requirePositive("retry_window", int64(s.RetryWindow))
	dec.requirePositive("log_lines_per_s", s.LogLinesPerS)
	if s.Cloud.Address != "" {
		if _, err := netip.ParseAddrPort(s.Cloud.Address); err != nil {
			dec.addProblem("cloud.address", "is not an IP address with a port")
		}
	}
	if s.Cloud.CallsPerS <= 0 {
		dec.addProblem("cloud.calls_per_s", "must be above zero")
	}
	dec.requirePositive("usage_window", int64(s.UsageWindow))
	if s.RevokeBound < 0 {
		dec.addProblem("revoke_bound", "must not be below zero")
	}
	if s.FileDescriptors < 0 {
		dec.addProblem("file_descriptors", "must not be below zero")
	}
	if s.CallerMemoryShare <= 0 || s.CallerMemoryShare > 0.5 {
		dec.addProblem("caller_memory_share", "must be above 0 and at most 0.5")
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		dec.addProblem("retry_ratio", "must be from 0 to 1")
	}
	if s.RetryBurst < 0 {
		dec.addProblem("retry_burst", "must not be below zero")
	}
	for _, m := range s.Off {
		if !slices.Contains(Mechanisms, m) {
			dec.addProblem("off", "holds %q, want one of %s", m, strings.Join(Mechanisms, ", "))
		}
	}
	if s.PrefillShare < 0 || s.PrefillShare >= 1 {
		dec.addProblem("prefill_share", "must be at least 0 and below 1")
	}
}
