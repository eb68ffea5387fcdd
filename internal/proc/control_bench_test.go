package proc_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/internal/standin"
	"garnethoist.org/garnethoist/internal/store"
)

// BenchmarkControl prints the cost of the control plane per VM and the reads and writes that the
// platform serves, for "make bench". It runs real stewards on loopback, in one data centre, with
// the default intervals.
func BenchmarkControl(b *testing.B) {
	for b.Loop() {
		for _, size := range []struct{ stewards, targets int }{{4, 12}, {8, 12}, {16, 48}, {32, 96}, {68, 217}} {
			measureControl(b, size.stewards, size.targets)
		}
	}
}

// platformCounts returns the numbers of reads and writes that the platform stand-in has served.
func (h *harness) platformCounts() standin.PlatformCounts {
	var c standin.PlatformCounts
	getJSON(h.t, "http://"+string(h.Platform)+"/counts", &c)
	return c
}

// settleTime is the time before a measurement, and measureTime the length of the measurement.
const (
	settleTime  = 8 * time.Second
	measureTime = 12 * time.Second
)

// measureControl measures a control plane of this size and prints its figures.
func measureControl(b *testing.B, stewards, targets int) {
	env := func(string) []string { return []string{"GOMAXPROCS=2"} }
	h := startHarness(b, proc.Shape{Engines: 1, VMs: stewards, NoEntries: true, Steward: func(_ int, s *settings.Steward) {
		d := settings.DefaultSteward()
		s.GossipInterval, s.PollInterval, s.PlatformInterval =
			d.GossipInterval, d.PollInterval, d.PlatformInterval
		s.LeaseTTL, s.RoleInterval = d.LeaseTTL, d.RoleInterval
		s.Peers = s.Peers[:min(len(s.Peers), 4)]
	}}, env)
	// The further targets are entries for the same engine process, since only their number matters
	// here.
	for i := 1; i < targets; i++ {
		h.setVM(store.VM{
			Name: fmt.Sprintf("x-%d", i), DataCentre: h.DataCentre,
			Address: string(h.Engines[0].Address),
			Kind:    store.VMEngine, State: store.VMLive,
		})
	}
	h.awaitStewards()
	h.apply(0, "v1", "checked")
	h.awaitTable(1)
	time.Sleep(settleTime)
	cpu, net := h.stewardUsage(b)
	before := h.platformCounts()
	start := time.Now()
	time.Sleep(measureTime)
	took := time.Since(start).Seconds()
	cpuAfter, netAfter := h.stewardUsage(b)
	after := h.platformCounts()
	n := float64(stewards)
	name := fmt.Sprintf("%dstewards_%dtargets", stewards, targets)
	fmt.Printf("figure control_core_pct_%s %.2f %%\n", name, (cpuAfter-cpu)/took/n*100)
	fmt.Printf("figure control_bytes_per_s_%s %.0f B/s\n", name, (netAfter-net)/took/n)
	fmt.Printf("figure control_rss_mb_%s %.1f MB\n", name, rssMB(b, h.VMs[0].Steward))
	fmt.Printf("figure platform_reads_per_s_%s %.2f 1/s\n", name,
		float64(after.Reads-before.Reads)/took)
	fmt.Printf("figure platform_writes_per_s_%s %.2f 1/s\n", name,
		float64(after.Writes-before.Writes)/took)
	h.measureEditDelay(b, name)
	h.StopAll(10 * time.Second)
}

// measureEditDelay prints the time from an accepted edit of the table until every steward has the
// new version, with the platform up.
func (h *harness) measureEditDelay(b *testing.B, name string) {
	start := time.Now()
	h.apply(1, "v2", "checked")
	h.awaitTable(2)
	fmt.Printf("figure edit_in_force_%s %.2f s\n", name, time.Since(start).Seconds())
}

// setVM adds vm to the VM list of the platform stand-in.
func (h *harness) setVM(vm store.VM) {
	h.t.Helper()
	data, err := json.Marshal(vm)
	if err != nil {
		h.t.Fatal(err)
	}
	h.await("the platform", func(ctx context.Context) error {
		return postJSON(ctx, "http://"+string(h.Platform)+"/vm", data)
	})
}

// awaitStewards waits until every steward runs.
func (h *harness) awaitStewards() {
	for _, vm := range h.VMs {
		h.await("steward of "+vm.Name, proc.Ready("http://"+string(vm.StewardAdmin)+"/healthz"))
	}
}

// awaitTable waits until every steward has at least this version of the table.
func (h *harness) awaitTable(version int) {
	h.t.Helper()
	for _, vm := range h.VMs {
		h.await("table at "+vm.Name, func(ctx context.Context) error {
			got, err := metric(ctx, string(vm.StewardAdmin), "garnet_table_version")
			if err != nil || int(got) < version {
				return errors.Errorf("version %g: %v", got, err)
			}
			return nil
		})
	}
}

// stewardUsage returns the processor time in seconds that all stewards together have used, and the
// number of bytes that they have sent and received.
func (h *harness) stewardUsage(b *testing.B) (cpu, bytes float64) {
	for _, vm := range h.VMs {
		cpu += cpuSeconds(b, vm.Steward)
		for _, name := range []string{"garnet_control_sent_bytes_total", "garnet_control_received_bytes_total"} {
			n, err := metric(b.Context(), string(vm.StewardAdmin), name)
			if err != nil {
				b.Fatal(err)
			}
			bytes += n
		}
	}
	return cpu, bytes
}

// BenchmarkSuccession prints the time from the kill of a lease holder to its successor's first
// order, for "make bench". The lease holder of a service is the steward that gives orders to its
// engines.
func BenchmarkSuccession(b *testing.B) {
	for b.Loop() {
		measureSuccession(b)
	}
}

// measureSuccession kills the lease holder, applies a table with a new model version, and measures
// the time until an engine has received an order.
func measureSuccession(b *testing.B) {
	h := startHarness(b, proc.Shape{Engines: 3, PlainTargets: 1, VMs: 3, Steward: func(_ int, s *settings.Steward) {
		s.LeaseTTL = settings.DefaultSteward().LeaseTTL
	}, Engine: func(_ int, s *settings.Standin) { s.RoleChange = settings.Duration(100 * time.Millisecond) }}, nil)
	h.awaitServing("v1", "checked")
	old, _, err := h.leaseHolder(0)
	if err != nil {
		b.Fatal(err)
	}
	before := h.orderCount()
	start := time.Now()
	if err := h.VMs[old].Steward.Kill(); err != nil {
		b.Fatal(err)
	}
	other := (old + 1) % len(h.VMs)
	path := filepath.Join(h.Dir, "next.csv")
	text := "# version 1\n" + tableHeader + tableRows(3, 1, "v2", "checked")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		b.Fatal(err)
	}
	if out, err := h.ctl(other, "table", "apply", path); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	h.await("the successor's first order", func(context.Context) error {
		if h.orderCount() == before {
			return errors.New("no order yet")
		}
		return nil
	})
	fmt.Printf("figure holder_death_to_first_order %.2f s\n", time.Since(start).Seconds())
	h.StopAll(10 * time.Second)
}

// orderCount returns the number of orders that took effect at all engines together.
func (h *harness) orderCount() int {
	n := 0
	for i := range h.Engines {
		n += len(h.engineCounts(i).Orders)
	}
	return n
}
