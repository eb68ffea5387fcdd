package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// Memory is the fake of the platform: all four services in memory, with
// faults that a test or the stand-in sets. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	records  map[string]Record
	objects  map[string][]byte
	revision uint64
	listing  VMListing
	fault    Fault
	reads    uint64
	writes   uint64
	nextLoad time.Time
	loadRate int64
	now      func() time.Time
}

// Fault is a failure mode of the fake.
type Fault string

// The failure modes of the fake.
const (
	// FaultNone: works.
	FaultNone Fault = ""
	// FaultDown: every request fails with ErrUnavailable.
	FaultDown Fault = "down"
	// FaultLostWrites: writes fail with ErrUnknown and have no effect.
	FaultLostWrites Fault = "lost_writes"
	// FaultLostAnswers: writes take effect and fail with ErrUnknown.
	FaultLostAnswers Fault = "lost_answers"
)

// defaultLoadRate is the fake weight store's rate in bytes a second.
const defaultLoadRate = 2 << 30

// NewMemory returns an empty platform.
func NewMemory() *Memory {
	return &Memory{records: map[string]Record{}, objects: map[string][]byte{}, loadRate: defaultLoadRate, now: time.Now}
}

// SetClock replaces the clock of the weight store's rate.
func (m *Memory) SetClock(now func() time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
}

// SetFault switches the failure mode.
func (m *Memory) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Counts returns the reads and writes served so far.
func (m *Memory) Counts() (reads, writes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

// SetVM adds or changes a line of the VM list.
func (m *Memory) SetVM(vm VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listing.Revision++
	vm.Changed = m.listing.Revision
	for i := range m.listing.VMs {
		if m.listing.VMs[i].Name == vm.Name {
			m.listing.VMs[i] = vm
			return
		}
	}
	m.listing.VMs = append(m.listing.VMs, vm)
}

// RemoveVM takes a VM off the list.
func (m *Memory) RemoveVM(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listing.Revision++
	kept := m.listing.VMs[:0:0]
	for _, vm := range m.listing.VMs {
		if vm.Name != name {
			kept = append(kept, vm)
		}
	}
	m.listing.VMs = kept
}

// Get implements Table.
func (m *Memory) Get(_ context.Context, key string) (Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.fault == FaultDown {
		return Record{}, ErrUnavailable
	}
	r, ok := m.records[key]
	if !ok {
		return Record{}, ErrNotFound
	}
	return r, nil
}

// List implements Table.
func (m *Memory) List(_ context.Context, prefix string) ([]Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.fault == FaultDown {
		return nil, ErrUnavailable
	}
	var out []Record
	for k, r := range m.records {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// Commit implements Table.
func (m *Memory) Commit(_ context.Context, txn Txn) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	switch m.fault {
	case FaultDown:
		return 0, ErrUnavailable
	case FaultLostWrites:
		return 0, ErrUnknown
	}
	for _, c := range txn.Conds {
		if m.records[c.Key].Version != c.Version {
			return 0, ErrConflict
		}
	}
	m.revision++
	for _, p := range txn.Puts {
		m.records[p.Key] = Record{Key: p.Key, Value: append([]byte(nil), p.Value...), Version: m.revision}
	}
	for _, k := range txn.Deletes {
		delete(m.records, k)
	}
	if m.fault == FaultLostAnswers {
		return 0, ErrUnknown
	}
	return m.revision, nil
}

// PutObject implements Objects.
func (m *Memory) PutObject(_ context.Context, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	switch m.fault {
	case FaultDown:
		return ErrUnavailable
	case FaultLostWrites:
		return ErrUnknown
	}
	if _, ok := m.objects[name]; ok {
		return ErrConflict
	}
	m.objects[name] = append([]byte(nil), data...)
	if m.fault == FaultLostAnswers {
		return ErrUnknown
	}
	return nil
}

// GetObject implements Objects.
func (m *Memory) GetObject(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.fault == FaultDown {
		return nil, ErrUnavailable
	}
	data, ok := m.objects[name]
	if !ok {
		return nil, ErrNotFound
	}
	return data, nil
}

// VMs implements VMList.
func (m *Memory) VMs(_ context.Context, known uint64) (VMListing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.fault == FaultDown {
		return VMListing{}, ErrUnavailable
	}
	if known == m.listing.Revision {
		return VMListing{Revision: known}, nil
	}
	return VMListing{Revision: m.listing.Revision, VMs: append([]VM(nil), m.listing.VMs...)}, nil
}

// Reserve implements WeightStore.
func (m *Memory) Reserve(_ context.Context, _ string, size int64) (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == FaultDown {
		return 0, ErrUnavailable
	}
	now := m.now()
	if wait := m.nextLoad.Sub(now); wait > 0 {
		return wait, nil
	}
	m.nextLoad = now.Add(time.Duration(float64(size) / float64(m.loadRate) * float64(time.Second)))
	return 0, nil
}
