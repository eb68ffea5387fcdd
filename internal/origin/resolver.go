package origin

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/fleet"
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
)

// Origins records where streams begin and tells where they may go on. It is safe for concurrent
// use.
type Origins struct {
	records  *Records
	versions *Versions
	group    Group
}

// New returns an Origins.
func New(records *Records, versions *Versions, group Group) *Origins {
	return &Origins{records: records, versions: versions, group: group}
}

// Began records where the stream of a request begins. The stream may be resumed within ttl.
func (o *Origins) Began(requestID string, at Origin, ttl time.Duration) {
	r := Record{Key: KeyOf(requestID), Origin: at, TTL: max(ttl, minTTL)}
	o.records.Add(r, clock.Now())
	o.group.TellOrigin(r)
}

// Find returns where the stream that began with a request did, and what has told it. services are those that
// may have served the request. It returns SourceNone if nothing could tell.
func (o *Origins) Find(ctx context.Context, requestID string, services []string) (Origin, Source) {
	if requestID != "" {
		if at, source := o.findRecord(ctx, KeyOf(requestID)); source != SourceNone {
			return at, source
		}
	}
	if len(services) != 1 {
		return Origin{}, SourceNone
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, ok := o.versions.Only(ctx, services[0])
	if !ok {
		return Origin{}, SourceNone
	}
	return Origin{Service: services[0], Version: version}, SourceSingle
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
