package gateway

import (
	"context"
	"slices"
	"time"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/origin"
)

// versionComparison is how the software version of a target that goes on with a stream compares with the
// version that began the stream.
type versionComparison string

// The results of a comparison.
const (
	sameVersion  versionComparison = "same"
	otherVersion versionComparison = "other"
)

// Origins records where streams begin and tells where they may go on; see package origin. Its methods are
// safe for concurrent use.
type Origins interface {
	// Announce records where the stream of a request may be about to begin. If it returns true, the stream must
	// not begin at another version.
	Announce(requestID string, at origin.Origin, ttl time.Duration) bool
	// Began records where the stream of a request begins. The stream may be resumed within ttl. announced says
	// that Announce has returned true for it.
	Began(requestID string, at origin.Origin, ttl time.Duration, announced bool)
	// Find returns where the stream that began with a request did, and origin.SourceNone if nothing tells.
	Find(ctx context.Context, requestID string, services []string) (origin.Origin, origin.Source)
	// Usable returns the targets of a service at which streams may begin.
	Usable(service string, targets []*fleet.Target) []*fleet.Target
	// Changed returns a channel that is closed when more targets may become usable.
	Changed() <-chan struct{}
}

// admissionWait is how long a stream waits for targets at which it may begin. The software version of a new
// target is admitted within milliseconds, but for failures of the store.
const admissionWait = 500 * time.Millisecond

// findVersion finds out where a stream that its caller resumes may go on, and waits until a new one that may
// be resumed has targets to begin at.
func (x *exchange) findVersion(ctx context.Context) error {
	if !x.mayBeResumed() {
		return nil
	}
	if x.meta.LastEventID == "" {
		x.awaitCandidates(ctx)
		return nil
	}
	services := x.route.Services()
	at, source := x.g.origins.Find(ctx, x.meta.Resumes, services)
	x.originSource = source
	if source == origin.SourceNone || !slices.Contains(services, at.Service) {
		return errkind.New(errkind.VersionUnknown, "it is not known at which software version the stream may go on")
	}
	x.service, x.version = at.Service, at.Version
	x.quarantineReq.Service = x.service
	return nil
}

// mayBeResumed reports whether the route allows its streams to be resumed.
func (x *exchange) mayBeResumed() bool { return x.route.Kind == fleet.Streaming && x.route.Resumable }

// awaitCandidates waits until there are candidates, if there are targets.
func (x *exchange) awaitCandidates(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, admissionWait)
	defer cancel()
	for {
		changed := x.g.origins.Changed()
		if len(x.candidates()) > 0 || len(x.view.Targets[x.service]) == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// candidates returns the targets that may serve the request. A stream that has begun may go on only at the
// software version that began it, and one that may be resumed may begin only at versions that are admitted. A
// prompt with held parts is kept from the versions that these crash, if others run them well.
func (x *exchange) candidates() []*fleet.Target {
	targets := x.view.Targets[x.service]
	switch {
	case x.version != "":
		targets = ofVersion(targets, x.version)
	case x.announced != "":
		targets = ofVersion(targets, x.announced)
	case x.mayBeResumed():
		targets = x.g.origins.Usable(x.service, targets)
	}
	return x.byPart(targets)
}

// ofVersion returns the targets of one software version.
func ofVersion(targets []*fleet.Target, version string) []*fleet.Target {
	var out []*fleet.Target
	for _, t := range targets {
		if t.Version == version {
			out = append(out, t)
		}
	}
	return out
}

// announceVersion records that the stream may be about to begin at a target.
func (x *exchange) announceVersion(t *fleet.Target) {
	if x.version != "" || x.announced != "" || !x.mayBeResumed() {
		return
	}
	if x.g.origins.Announce(x.meta.ID, origin.Origin{Service: x.service, Version: t.Version}, x.resumableFor()) {
		x.announced = t.Version
	}
}

// resumableFor returns how long after its beginning a stream may be resumed.
func (x *exchange) resumableFor() time.Duration { return max(x.meta.Timeout, x.route.Timeout) }

// noteVersion records the version of the target whose events are about to go to the caller.
func (x *exchange) noteVersion(t *fleet.Target) {
	if x.version != "" {
		x.g.stats.Resumed(x.lastEventID == "", compareVersions(x.version, t.Version))
		return
	}
	x.version = t.Version
	if x.mayBeResumed() {
		x.g.origins.Began(x.meta.ID, origin.Origin{Service: x.service, Version: x.version}, x.resumableFor(), x.announced != "")
	}
}

// compareVersions compares the version of a target's software with the one that began a stream.
func compareVersions(began, version string) versionComparison {
	if began == version {
		return sameVersion
	}
	return otherVersion
}
