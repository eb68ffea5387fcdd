// Package store defines the interfaces to the services of the platform, the environment in which
// garnethoist is installed: a transactional table, an object store, a VM list, a store of model
// weights and feeds of tables. The interfaces are narrow, so that an adapter to a platform is one
// small package. contract_test.go holds the tests that every adapter must pass. Memory is an
// in-memory implementation for tests.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the platform's services. Every adapter maps its own errors to these.
var (
	// ErrNotFound reports that the key or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrConflict reports that a condition did not hold. Nothing was written.
	ErrConflict = errors.New("platform: condition does not hold")
	// ErrUnavailable reports that a read failed, or that a write failed and certainly had no
	// effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown reports that a write may have taken effect, or may still do so. The caller must
	// read the record before it writes again.
	ErrUnknown = errors.New("platform: outcome unknown")
)

// Record is a key of the table with its value. Version changes with every write to the key and
// is never zero. It is the version that Commit returned for the write.
type Record struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Cond is a condition of a transaction: that the record of Key has the given Version or, if Version
// is zero, that there is no record of Key.
type Cond struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put is a write in a transaction. The value must not be empty.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction. If all conditions hold, all of Puts and Deletes take effect. Otherwise none
// of them does. Deletes holds the keys to delete.
type Txn struct {
	Conds   []Cond   `json:"conds"`
	Puts    []Put    `json:"puts"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the record of key. It fails with ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys start with prefix, sorted by key. It fails with
	// ErrUnavailable.
	List(ctx context.Context, prefix string) ([]Record, error)
	// Commit executes txn and returns the version of the records that it wrote. It fails with
	// ErrConflict, ErrUnavailable or ErrUnknown.
	Commit(ctx context.Context, txn Txn) (uint64, error)
}

// Objects is the platform's object store. Objects are immutable.
type Objects interface {
	// PutObject creates an object. It fails with ErrConflict if the object exists, or with
	// ErrUnavailable or ErrUnknown.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns the content of an object. It fails with ErrNotFound or ErrUnavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM as the platform reports it.
type VMState string

// States of a VM.
const (
	// VMLive is the state of a VM that is in service.
	VMLive VMState = "live"
	// VMLeaving is the state of a VM that the platform is about to remove.
	VMLeaving VMState = "leaving"
)

// VMKind is the kind of program that runs on a VM.
type VMKind string

// Kinds of VM.
const (
	// VMEntry is the kind of a VM that runs an entry, the program that serves callers.
	VMEntry VMKind = "entry"
	// VMEngine is the kind of a VM that runs an engine, the program that serves a language model.
	VMEngine VMKind = "engine"
	// VMPlain is the kind of a VM that runs a target of a plain service.
	VMPlain VMKind = "plain"
)

// VM is an entry of the platform's VM list. The list is updated with a delay.
type VM struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"data_centre"`
	Address    string  `json:"address"`
	Kind       VMKind  `json:"kind"`
	State      VMState `json:"state"`
	// Changed is the revision of the list that last changed this entry.
	Changed uint64 `json:"changed"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// VMs returns the list. known is the revision of the list that the caller has read, or 0. If
	// the list has not changed since that revision, only Revision is set. It fails with
	// ErrUnavailable.
	VMs(ctx context.Context, known uint64) (VMListing, error)
}

// VMListing is the VM list at one revision.
type VMListing struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve asks for permission to load size bytes of the weights of model now. It returns 0
	// if that is granted, and otherwise how long to wait before asking again.
	Reserve(ctx context.Context, model string, size int64) (wait time.Duration, err error)
}
