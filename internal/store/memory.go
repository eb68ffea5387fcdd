package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Memory is an in-memory fake of the platform. It implements Table, Objects, VMList and
// WeightStore, and injects the faults that a test or garnet-standin sets. It is safe for
// concurrent use.
type Memory struct {
	// mu guards the fields below.
	mu      sync.Mutex
	records map[string]Record
	objects map[string][]byte
	// revision is the version of the records that were last written.
	revision uint64
	// listing is the VM list.
	listing VMListing
	// fault is the current failure mode, and late holds the transactions that FaultLateWrites has held back.
	fault Fault
	late  []Txn
	// reads and writes count the requests, including those that fail because of fault.
	reads  uint64
	writes uint64
	// nextReserve is when Reserve grants the next load of model weights.
	nextReserve time.Time
	// bytesPerS is the rate in bytes per second to which Reserve limits loads.
	bytesPerS int64
	// now is the clock by which Reserve limits loads.
	now func() time.Time
}

// Fault is a failure mode of Memory.
type Fault string

// Failure modes of Memory.
const (
	// FaultNone is normal operation.
	FaultNone Fault = ""
	// FaultDown makes every request fail with ErrUnavailable.
	FaultDown Fault = "down"
	// FaultLostWrites makes writes fail with ErrUnknown without effect.
	FaultLostWrites Fault = "lost_writes"
	// FaultLostResponses makes writes take effect but fail with ErrUnknown.
	FaultLostResponses Fault = "lost_answers"
	// FaultLateWrites makes writes fail with ErrUnknown. Transactions are held back until RunLate; objects
	// are not written.
	FaultLateWrites Fault = "late_writes"
)

// errEmptyValue is the error of a transaction that puts an empty value.
var errEmptyValue = errors.New("platform: a value is empty")

// defaultBytesPerS is the initial value of Memory.bytesPerS.
const defaultBytesPerS = 2 << 30

// NewMemory returns a fake without records, objects and VMs, in normal operation.
func NewMemory() *Memory {
	return &Memory{records: map[string]Record{}, objects: map[string][]byte{}, bytesPerS: defaultBytesPerS, now: time.Now}
}

// SetClock replaces time.Now as the clock by which Reserve limits the rate of loads.
func (m *Memory) SetClock(now func() time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
}

// SetFault sets the failure mode.
func (m *Memory) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Counts returns the number of reads and writes so far, including those that failed because of the
// failure mode. Calls of Reserve count as neither.
func (m *Memory) Counts() (reads, writes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes
}

// SetVM adds vm to the VM list, or replaces the entry with the same name. It sets vm.Changed.
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

// RemoveVM removes the entry with the given name from the VM list, if there is one.
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
	for _, p := range txn.Puts {
		if len(p.Value) == 0 {
			return 0, errEmptyValue
		}
	}
	switch m.fault {
	case FaultDown:
		return 0, ErrUnavailable
	case FaultLostWrites:
		return 0, ErrUnknown
	case FaultLateWrites:
		m.late = append(m.late, txn)
		return 0, ErrUnknown
	}
	version, err := m.execute(txn)
	if err == nil && m.fault == FaultLostResponses {
		return 0, ErrUnknown
	}
	return version, err
}

// execute executes a transaction. The caller must hold m.mu.
func (m *Memory) execute(txn Txn) (uint64, error) {
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
	return m.revision, nil
}

// RunLate executes the transactions that FaultLateWrites has held back, in the order in which they came,
// and returns how many of them took effect.
func (m *Memory) RunLate() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	done := 0
	for _, txn := range m.late {
		if _, err := m.execute(txn); err == nil {
			done++
		}
	}
	m.late = nil
	return done
}

// PutObject implements Objects.
func (m *Memory) PutObject(_ context.Context, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	switch m.fault {
	case FaultDown:
		return ErrUnavailable
	case FaultLostWrites, FaultLateWrites:
		return ErrUnknown
	}
	if _, ok := m.objects[name]; ok {
		return ErrConflict
	}
	m.objects[name] = append([]byte(nil), data...)
	if m.fault == FaultLostResponses {
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
	if wait := m.nextReserve.Sub(now); wait > 0 {
		return wait, nil
	}
	m.nextReserve = now.Add(time.Duration(float64(size) / float64(m.bytesPerS) * float64(time.Second)))
	return 0, nil
}
