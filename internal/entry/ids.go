package entry

import (
	"strconv"
	"sync/atomic"
)

// requestIDs generates request ids that are unique across entries and restarts. It
// is safe for concurrent use.
type requestIDs struct {
	prefix string
	last   atomic.Uint64
}

// newRequestIDs returns a generator for one process, which is told apart by its VM
// and incarnation.
func newRequestIDs(vm string, incarnation uint64) *requestIDs {
	return &requestIDs{prefix: vm + "-" + strconv.FormatUint(incarnation, 36) + "-"}
}

// next returns a new id.
func (r *requestIDs) next() string {
	return r.prefix + strconv.FormatUint(r.last.Add(1), 36)
}
