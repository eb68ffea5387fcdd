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
	x.version = t.Version
}
