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

// BenchmarkControl prints what control costs a node, for "make bench": real
// stewards on loopback with the intervals of production, in one data centre,
// and the platform's reads and writes.
func BenchmarkControl(b *testing.B) {
	for b.Loop() {
		for _, size := range []struct{ stewards, targets int }{{4, 12}, {8, 12}, {16, 48}, {32, 96}, {68, 217}} {
			controlCost(b, size.stewards, size.targets)
		}
	}
}

func (w *world) platformCounts() standin.PlatformCounts {
	var c standin.PlatformCounts
	getJSON(w.t, "http://"+string(w.Platform)+"/counts", &c)
	return c
}

// settle is the time before a measurement, and measure its length.
const (
	settle  = 8 * time.Second
	measure = 12 * time.Second
)

func controlCost(b *testing.B, stewards, targets int) {
	env := func(string) []string { return []string{"GOMAXPROCS=2"} }
	w := startWorld(b, proc.Shape{Engines: 1, VMs: stewards, NoEntries: true, Steward: func(_ int, s *settings.Steward) {
		d := settings.DefaultSteward()
		s.GossipInterval, s.PollInterval, s.PlatformInterval = d.GossipInterval, d.PollInterval, d.PlatformInterval
		s.LeaseTTL, s.RoleInterval = d.LeaseTTL, d.RoleInterval
		s.Peers = s.Peers[:min(len(s.Peers), 4)]
	}}, env)
	// Further targets are names for the one engine process: what counts here
	// is their number.
	for i := 1; i < targets; i++ {
		w.setVM(store.VM{
			Name: fmt.Sprintf("x-%d", i), DataCentre: w.DataCentre, Address: string(w.Engines[0].Address),
			Kind: store.VMEngine, State: store.VMLive,
		})
	}
	w.untilStewards()
	w.apply(0, "v1", "checked")
	w.untilTable(1)
	time.Sleep(settle)
	cpu, net := w.stewardUse(b)
	before := w.platformCounts()
	start := time.Now()
	time.Sleep(measure)
	took := time.Since(start).Seconds()
	cpuAfter, netAfter := w.stewardUse(b)
	after := w.platformCounts()
	n := float64(stewards)
	name := fmt.Sprintf("%dstewards_%dtargets", stewards, targets)
	fmt.Printf("figure control_core_pct_%s %.2f %%\n", name, (cpuAfter-cpu)/took/n*100)
	fmt.Printf("figure control_bytes_per_s_%s %.0f B/s\n", name, (netAfter-net)/took/n)
	fmt.Printf("figure control_rss_mb_%s %.1f MB\n", name, rssMB(b, w.VMs[0].Steward))
	fmt.Printf("figure platform_reads_per_s_%s %.2f 1/s\n", name, float64(after.Reads-before.Reads)/took)
	fmt.Printf("figure platform_writes_per_s_%s %.2f 1/s\n", name, float64(after.Writes-before.Writes)/took)
	w.spread(b, name)
	w.StopAll(10 * time.Second)
}

// spread measures an accepted edit until it is in force at the last steward,
// with the platform up.
func (w *world) spread(b *testing.B, name string) {
	start := time.Now()
	w.apply(1, "v2", "checked")
	w.untilTable(2)
	fmt.Printf("figure edit_in_force_%s %.2f s\n", name, time.Since(start).Seconds())
}

func (w *world) setVM(vm store.VM) {
	w.t.Helper()
	data, err := json.Marshal(vm)
	if err != nil {
		w.t.Fatal(err)
	}
	w.until("the platform", func(ctx context.Context) error {
		return postJSON(ctx, "http://"+string(w.Platform)+"/vm", data)
	})
}

func (w *world) untilStewards() {
	for _, vm := range w.VMs {
		w.until("steward of "+vm.Name, proc.Ready("http://"+string(vm.StewardAdmin)+"/healthz"))
	}
}

// untilTable waits until every steward has the table at a version.
func (w *world) untilTable(version int) {
	w.t.Helper()
	for _, vm := range w.VMs {
		w.until("table at "+vm.Name, func(ctx context.Context) error {
			got, err := metric(ctx, string(vm.StewardAdmin), "garnet_table_version")
			if err != nil || int(got) < version {
				return errors.Errorf("version %g: %v", got, err)
			}
			return nil
		})
	}
}

// stewardUse sums the processor time and the control bytes of all stewards.
func (w *world) stewardUse(b *testing.B) (cpu, bytes float64) {
	for _, vm := range w.VMs {
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

// BenchmarkSuccession prints the time from the death of a lease's holder to
// its successor's first order, for "make bench".
func BenchmarkSuccession(b *testing.B) {
	for b.Loop() {
		succession(b)
	}
}

func succession(b *testing.B) {
	w := startWorld(b, proc.Shape{Engines: 3, Plains: 1, VMs: 3, Steward: func(_ int, s *settings.Steward) {
		s.LeaseTTL = settings.DefaultSteward().LeaseTTL
	}, Engine: func(_ int, s *settings.Standin) { s.RoleChange = settings.Duration(100 * time.Millisecond) }}, nil)
	w.serve("v1", "checked")
	old, _, err := w.holder(0)
	if err != nil {
		b.Fatal(err)
	}
	before := w.orders()
	start := time.Now()
	if err := w.VMs[old].Steward.Kill(); err != nil {
		b.Fatal(err)
	}
	other := (old + 1) % len(w.VMs)
	path := filepath.Join(w.Dir, "next.csv")
	text := "# version 1\n" + tableHeader + rows(3, 1, "v2", "checked")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		b.Fatal(err)
	}
	if out, err := w.ctl(other, "table", "apply", path); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	w.until("the successor's first order", func(context.Context) error {
		if w.orders() == before {
			return errors.New("no order yet")
		}
		return nil
	})
	fmt.Printf("figure holder_death_to_first_order %.2f s\n", time.Since(start).Seconds())
	w.StopAll(10 * time.Second)
}

func (w *world) orders() int {
	n := 0
	for i := range w.Engines {
		n += len(w.counts(i).Orders)
	}
	return n
}
