// Package store states what garnethoist needs of the platform: a
// transactional table, an object store, a VM list and a weight store. The
// interfaces are narrow so that an adapter is one small package; platformtest
// holds the contract tests that any adapter must pass.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The errors of the platform. Every adapter maps its own failures to these.
var (
	// ErrNotFound: the key does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict: a condition did not hold; nothing was written.
	ErrConflict = errors.New("platform: condition does not hold")
	// ErrUnavailable: the request certainly had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown: a write may or may not have taken effect, now or later.
	// Read back before anything else.
	ErrUnknown = errors.New("platform: outcome unknown")
)

// Record is one key of the table. Version changes with every write to the key
// and is never zero.
type Record struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Cond is a condition of a transaction: key is at Version, or absent when
// Version is zero.
type Cond struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put is one write of a transaction.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction: all of its writes take effect if all of its conditions
// hold, else none does.
type Txn struct {
	Conds   []Cond   `json:"conds"`
	Puts    []Put    `json:"puts"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns one record, or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys start with prefix, by key.
	List(ctx context.Context, prefix string) ([]Record, error)
	// Commit runs txn and returns the version that its writes have. It fails
	// with ErrConflict, ErrUnavailable or ErrUnknown.
	Commit(ctx context.Context, txn Txn) (uint64, error)
}

// Objects is the platform's object store. Objects are written once.
type Objects interface {
	// PutObject creates an object; an existing one is ErrConflict.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMState is the platform's word on a VM.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMKind is what runs on a VM.
type VMKind string

// The kinds of VM.
const (
	VMEntry  VMKind = "entry"
	VMEngine VMKind = "engine"
	VMPlain  VMKind = "plain"
)

// VM is one line of the platform's VM list, which lags behind the truth.
type VM struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"data_centre"`
	Address    string  `json:"address"`
	Kind       VMKind  `json:"kind"`
	State      VMState `json:"state"`
	// Changed is the list's revision that last changed this line.
	Changed uint64 `json:"changed"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// VMs returns the list at its revision; without its lines when that is
	// the revision known.
	VMs(ctx context.Context, known uint64) (VMListing, error)
}

// VMListing is the VM list at one revision.
type VMListing struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve asks to load size bytes of weights now. A refusal says how long
	// to wait before asking again.
	Reserve(ctx context.Context, model string, size int64) (wait time.Duration, err error)
}
