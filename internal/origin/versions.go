package origin

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// keyPrefix, followed by the name of a service, is the key of the row with the service's versions.
	keyPrefix = "versions/"
	// maxVersions limits the versions in a row. A service with more counts as one whose versions are all
	// admitted and none of which is the only one.
	maxVersions = 64
	// callTimeout limits each call to the store.
	callTimeout = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time until a failed call is repeated.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// versionSet is the set of versions of a service's targets at which streams may have begun. It only grows.
// It is also the JSON value of the service's row.
type versionSet struct {
	Versions []string `json:"versions"`
	// Any is set if there are too many versions to state.
	Any bool `json:"any,omitempty"`
}

// contains reports whether a version is in the set.
func (s versionSet) contains(version string) bool {
	return s.Any || slices.Contains(s.Versions, version)
}

// union returns the set of the versions of both sets.
func (s versionSet) union(other versionSet) versionSet {
	out := versionSet{Versions: slices.Clone(s.Versions), Any: s.Any || other.Any}
	for _, version := range other.Versions {
		if !out.contains(version) {
			out.Versions = append(out.Versions, version)
		}
	}
	if len(out.Versions) > maxVersions {
		out.Any = true
	}
	if out.Any {
		out.Versions = nil
	}
	slices.Sort(out.Versions)
	return out
}

// equal reports whether both sets hold the same versions.
func (s versionSet) equal(other versionSet) bool {
	return s.Any == other.Any && slices.Equal(s.Versions, other.Versions)
}

// VersionsGroup tells which VMs call the store. Its methods are safe for concurrent use.
type VersionsGroup interface {
	// WritesVersions reports whether this VM writes versions to the store. The others learn of them from
	// reports.
	WritesVersions() bool
	// ForwardsChanges reports whether the group is so large that its VMs don't each read the store.
	ForwardsChanges() bool
}

// Versions admits versions of targets' software: a stream that may be resumed begins at a version only after
// the store has the version in the row of the service. So a VM that reads a single version there knows at
// which one each stream of the service began, whichever VM has served it, and however far that VM is cut
// off. Versions are never removed from a row.
//
// The VMs tell each other the versions that they know to be in the store. It is safe for concurrent use.
type Versions struct {
	kernel.Background
	keeper *fleet.Keeper
	table  store.Table
	log    *telemetry.Logger
	group  VersionsGroup
	// wake is sent to when there is a new view, and wakeReads when a call waits for a read.
	wake      chan struct{}
	wakeReads chan struct{}

	mu sync.Mutex
	// admitted holds the versions that are known to be in the store, by service.
	admitted map[string]versionSet
	// changes is closed and replaced when admitted changes; number counts the changes.
	changes chan struct{}
	number  uint64
	// reads holds the read of each service's row that is to begin next.
	reads map[string]*read
}

// NewVersions returns a Versions that knows of no version. table is the store.
func NewVersions(keeper *fleet.Keeper, table store.Table, group VersionsGroup, log *telemetry.Logger) *Versions {
	return &Versions{keeper: keeper, table: table, group: group, log: log,
		wake: make(chan struct{}, 1), wakeReads: make(chan struct{}, 1), admitted: make(map[string]versionSet), changes: make(chan struct{}), reads: make(map[string]*read)}
}

// NotifyView must be called when there is a new view. It does not block.
func (v *Versions) NotifyView() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// Start begins to admit the versions of listed targets.
func (v *Versions) Start(context.Context) error {
	v.Run(v.runAdmissions, v.runReads)
	return nil
}

// runAdmissions has versions admitted whenever there is a new view.
func (v *Versions) runAdmissions(ctx context.Context) {
	var delay time.Duration
	for ctx.Err() == nil {
		var retry <-chan time.Time
		if v.admitListed(ctx, delay == maxRetryDelay) {
			delay = 0
		} else {
			delay = min(max(2*delay, minRetryDelay), maxRetryDelay)
			retry = time.After(delay)
		}
		select {
		case <-v.wake:
		case <-retry:
		case <-ctx.Done():
		}
	}
}

// admitListed has the versions of all listed targets admitted whose streams may be resumed. It returns false
// if some could not be. overdue says that this has taken so long that the row is read even if another VM
// should have told it.
func (v *Versions) admitListed(ctx context.Context, overdue bool) bool {
	view, done := v.keeper.View(), true
	if view.Config == nil {
		return true
	}
	for name, targets := range view.Targets {
		s := view.Config.Services[name]
		if s == nil || !s.Resumable || len(v.Usable(name, targets)) == len(targets) {
			continue
		}
		err := errNotWriter
		if overdue || v.readsRow(name) {
			err = v.admit(ctx, name, targets)
		}
		if err != nil {
			done = false
		}
		if err != nil && !errors.Is(err, errNotWriter) {
			v.log.Info(telemetry.EventVersionsMissing, telemetry.F("service", name), telemetry.F("cause", err))
		}
	}
	return done
}

// readsRow reports whether this VM reads the row of a service at once. A VM of a small group that has just
// started does, instead of waiting for a report.
func (v *Versions) readsRow(service string) bool {
	if v.group.WritesVersions() {
		return true
	}
	v.mu.Lock()
	_, known := v.admitted[service]
	v.mu.Unlock()
	return !known && !v.group.ForwardsChanges()
}

// errNotWriter means that another VM has to write a version.
var errNotWriter = errors.New("origin: another VM writes the versions")

// admit reads the row of a service and adds the versions of its targets.
func (v *Versions) admit(ctx context.Context, service string, targets []*fleet.Target) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, version, err := v.readRow(ctx, service)
	if err != nil {
		return err
	}
	v.add(service, stored)
	var listed versionSet
	for _, t := range targets {
		if !listed.contains(t.Version) {
			listed.Versions = append(listed.Versions, t.Version)
		}
	}
	all := stored.union(listed)
	if all.equal(stored) {
		return nil
	}
	if !v.group.WritesVersions() {
		return errNotWriter
	}
	value, err := json.Marshal(all)
	if err != nil {
		return errors.Wrap(err, "encode versions")
	}
	key := keyPrefix + service
	_, err = v.table.Commit(ctx, store.Txn{Conds: []store.Cond{{Key: key, Version: version}}, Puts: []store.Put{{Key: key, Value: value}}})
	if err != nil {
		return err
	}
	v.log.Info(telemetry.EventVersionsAdmitted, telemetry.F("service", service), telemetry.F("versions", len(all.Versions)))
	v.add(service, all)
	return nil
}

// readRow reads the row of a service, and the row's version, which is 0 if there is no row.
func (v *Versions) readRow(ctx context.Context, service string) (versionSet, uint64, error) {
	rec, err := v.table.Get(ctx, keyPrefix+service)
	if errors.Is(err, store.ErrNotFound) {
		return versionSet{}, 0, nil
	}
	if err != nil {
		return versionSet{}, 0, err
	}
	var s versionSet
	if err := json.Unmarshal(rec.Value, &s); err != nil {
		return versionSet{}, 0, errors.Wrapf(err, "decode the versions of %s", service)
	}
	return s, rec.Version, nil
}

// add records versions that are in the store.
func (v *Versions) add(service string, s versionSet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := v.admitted[service].union(s)
	if all.equal(v.admitted[service]) {
		return
	}
	v.admitted[service] = all
	v.number++
	close(v.changes)
	v.changes = make(chan struct{})
	v.NotifyView()
}

// Usable returns the targets of a service at which streams may begin.
func (v *Versions) Usable(service string, targets []*fleet.Target) []*fleet.Target {
	v.mu.Lock()
	admitted := v.admitted[service]
	v.mu.Unlock()
	n := 0
	for n < len(targets) && admitted.contains(targets[n].Version) {
		n++
	}
	if n == len(targets) {
		return targets
	}
	out := slices.Clone(targets[:n])
	for _, t := range targets[n:] {
		if admitted.contains(t.Version) {
			out = append(out, t)
		}
	}
	return out
}

// Several reports whether streams of a service may have begun at several versions. It may not know yet that they
// have.
func (v *Versions) Several(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.admitted[service]
	return s.Any || len(s.Versions) > 1
}

// Changed returns a channel that is closed when versions are admitted.
func (v *Versions) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changes
}

// ServiceVersions states the versions of a service's targets that are in the store.
type ServiceVersions struct {
	Service  string
	Versions []string
	// Any is set if there are too many versions to state.
	Any bool
}

// Known returns the admitted versions of all services, for other VMs, and a number that grows when they
// change.
func (v *Versions) Known() ([]ServiceVersions, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]ServiceVersions, 0, len(v.admitted))
	for service, s := range v.admitted {
		out = append(out, ServiceVersions{Service: service, Versions: s.Versions, Any: s.Any})
	}
	return out, v.number
}

// Observe takes in the versions that another VM knows to be in the store.
func (v *Versions) Observe(known []ServiceVersions) {
	for _, k := range known {
		v.add(k.Service, versionSet{Versions: k.Versions, Any: k.Any})
	}
}

// read is a read of a service's row that several calls wait for.
type read struct {
	done chan struct{}
	set  versionSet
	err  error
}

// Only returns the only version at which streams of a service can have begun before the call, or false if
// there are several or if the store does not tell.
func (v *Versions) Only(ctx context.Context, service string) (string, bool) {
	r := v.joinRead(service)
	select {
	case <-r.done:
	case <-ctx.Done():
		return "", false
	}
	if r.err != nil || r.set.Any || len(r.set.Versions) != 1 {
		return "", false
	}
	return r.set.Versions[0], true
}

// joinRead returns a read of a service's row that has not begun yet. Reads are made one after the other, each
// for all calls that came before it began.
func (v *Versions) joinRead(service string) *read {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.reads[service]
	if r == nil {
		r = &read{done: make(chan struct{})}
		v.reads[service] = r
	}
	select {
	case v.wakeReads <- struct{}{}:
	default:
	}
	return r
}

// runReads makes the reads that calls wait for.
func (v *Versions) runReads(ctx context.Context) {
	for {
		select {
		case <-v.wakeReads:
		case <-ctx.Done():
			return
		}
		v.mu.Lock()
		reads := v.reads
		v.reads = make(map[string]*read)
		v.mu.Unlock()
		for service, r := range reads {
			v.runRead(ctx, service, r)
		}
	}
}

// runRead makes one read.
func (v *Versions) runRead(ctx context.Context, service string, r *read) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer close(r.done)
	if r.set, _, r.err = v.readRow(ctx, service); r.err == nil {
		v.add(service, r.set)
	}
}
