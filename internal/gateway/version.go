package gateway

import "garnethoist.org/garnethoist/internal/fleet"

// versionComparison is how the software version of a target that goes on with a stream compares with the
// version that began the stream.
type versionComparison string

// The results of a comparison.
const (
	sameVersion    versionComparison = "same"
	otherVersion   versionComparison = "other"
	unknownVersion versionComparison = "unknown"
)

// candidates returns the targets that may serve the request. A stream that has begun may go on only at the
// software version that began it.
func (x *exchange) candidates() []*fleet.Target {
	targets := x.view.Targets[x.service]
	if x.version == "" {
		return targets
	}
	return ofVersion(targets, x.version)
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

// noteVersion records the version of the target whose events are about to go to the caller.
func (x *exchange) noteVersion(t *fleet.Target) {
	byCaller := x.meta.LastEventID != "" && x.version == ""
	if byCaller || x.version != "" {
		comparison := unknownVersion
		switch x.version {
		case "":
		case t.Version:
			comparison = sameVersion
		default:
			comparison = otherVersion
		}
		x.g.stats.Resumed(byCaller, comparison)
	}
	if x.version == "" {
		x.version = t.Version
	}
}
