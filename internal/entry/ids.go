package entry

import (
	"strconv"
	"sync/atomic"
)

// requestIDs makes ids that are unique across entries and restarts.
type requestIDs struct {
	prefix string
	last   atomic.Uint64
}

func newRequestIDs(vm string, incarnation uint64) *requestIDs {
	return &requestIDs{prefix: vm + "-" + strconv.FormatUint(incarnation, 36) + "-"}
}

func (r *requestIDs) next() string {
	return r.prefix + strconv.FormatUint(r.last.Add(1), 36)
}
