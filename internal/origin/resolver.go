package origin

import (
	"context"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/kernel"
)

const (
	// askTimeout limits how long the homes of a record are asked, and storeTimeout how long the store is.
	askTimeout   = 150 * time.Millisecond
	storeTimeout = 300 * time.Millisecond
	// minTTL is the least time for which a record is kept.
	minTTL = 2 * time.Minute
)

// Group exchanges records with other VMs. Its methods are safe for concurrent use.
type Group interface {
	// TellOrigin sends a record to its homes. It does not block, and the record may be lost.
	TellOrigin(r Record)
	// AskOrigin asks the homes of a record for it, and spare ones for those that do not reply. It returns
	// false once all of them have replied that they do not know it, or when ctx ends.
	AskOrigin(ctx context.Context, k Key) (Origin, bool)
}

// Source is what told the version of a stream.
type Source string

// The sources.
const (
	SourceNone   Source = "none"   // nothing has
	SourceOwn    Source = "own"    // this VM has begun the stream or is a home of its record
	SourceHome   Source = "home"   // another VM
	SourceSingle Source = "single" // the store has a single version for the service
	SourceStored Source = "stored" // the journal
)

// Origins records where streams begin and tells where they may go on. While a service has several versions, its
// streams are also in the journal, so that they go on after all VMs were killed. It is safe for concurrent use.
type Origins struct {
	kernel.Background
	records  *Records
	versions *Versions
	group    Group
	journal  *Journal

	mu sync.Mutex
	// open holds the streams that may still be resumed and are not in the journal, as their services had one
	// version when they began, in the order in which they did.
	open []expiringRecord
}

// New returns an Origins.
func New(records *Records, versions *Versions, group Group, journal *Journal) *Origins {
	return &Origins{records: records, versions: versions, group: group, journal: journal}
}

// Start begins to watch for services that get several versions.
func (o *Origins) Start(context.Context) error {
	o.Run(o.runVersions)
	return nil
}

// runVersions adds open streams to the journal when their services get several versions.
func (o *Origins) runVersions(ctx context.Context) {
	for {
		changed := o.versions.Changed()
		o.storeOpen()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// storeOpen adds the open streams of services with several versions to the journal.
func (o *Origins) storeOpen() {
	o.mu.Lock()
	var store []expiringRecord
	now := clock.Now()
	kept := o.open[:0]
	for _, r := range o.open {
		switch {
		case !r.expiresAt.After(now):
		case o.versions.Several(r.Service):
			store = append(store, r)
		default:
			kept = append(kept, r)
		}
	}
	o.open = kept
	o.mu.Unlock()
	for _, r := range store {
		r.TTL = r.expiresAt.Sub(now)
		o.journal.Add(r.Record)
	}
}

// Announce adds a stream that may be about to begin to the journal. It returns false if the service has a single
// version, so that this is not needed. Once announced, a stream must begin at this version or not at all: the
// journal may lose a second record and keep the first.
func (o *Origins) Announce(requestID string, at Origin, ttl time.Duration) bool {
	if !o.versions.Several(at.Service) {
		return false
	}
	o.journal.Add(Record{Key: KeyOf(requestID), Origin: at, TTL: ttl})
	return true
}

// Began records where the stream of a request begins. The stream may be resumed within ttl. announced says that
// Announce has returned true for it.
func (o *Origins) Began(requestID string, at Origin, ttl time.Duration, announced bool) {
	r := Record{Key: KeyOf(requestID), Origin: at, TTL: max(ttl, minTTL)}
	o.records.Add(r, clock.Now())
	o.group.TellOrigin(r)
	if announced || o.Announce(requestID, at, ttl) {
		return
	}
	r.TTL = ttl
	o.keepOpen(r)
}

// keepOpen keeps a stream that is not in the journal.
func (o *Origins) keepOpen(r Record) {
	now := clock.Now()
	o.mu.Lock()
	for len(o.open) > 0 && (!o.open[0].expiresAt.After(now) || len(o.open) >= maxRecords) {
		o.open = o.open[1:]
	}
	o.open = append(o.open, expiringRecord{r, now.Add(min(r.TTL, maxTTL))})
	o.mu.Unlock()
	if o.versions.Several(r.Service) {
		o.storeOpen()
	}
}

// Find returns where the stream that began with a request did, and what has told it. services are those that
// may have served the request. It returns SourceNone if nothing could tell.
func (o *Origins) Find(ctx context.Context, requestID string, services []string) (Origin, Source) {
	if requestID != "" {
		if at, source := o.findRecord(ctx, KeyOf(requestID)); source != SourceNone {
			return at, source
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if len(services) == 1 && !o.versions.Several(services[0]) {
		if version, ok := o.versions.Only(ctx, services[0]); ok {
			return Origin{Service: services[0], Version: version}, SourceSingle
		}
	}
	if requestID == "" {
		return Origin{}, SourceNone
	}
	if at, ok := o.journal.Find(ctx, KeyOf(requestID)); ok {
		return at, SourceStored
	}
	return Origin{}, SourceNone
}

// findRecord looks for a record at this VM and at its homes.
func (o *Origins) findRecord(ctx context.Context, k Key) (Origin, Source) {
	if at, ok := o.records.Origin(k, clock.Now()); ok {
		return at, SourceOwn
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	at, ok := o.group.AskOrigin(ctx, k)
	if !ok {
		return Origin{}, SourceNone
	}
	o.records.Add(Record{Key: k, Origin: at, TTL: minTTL}, clock.Now())
	return at, SourceHome
}

// Usable returns the targets of a service at which streams may begin.
func (o *Origins) Usable(service string, targets []*fleet.Target) []*fleet.Target {
	return o.versions.Usable(service, targets)
}

// Changed returns a channel that is closed when more targets may become usable.
func (o *Origins) Changed() <-chan struct{} { return o.versions.Changed() }
