package steward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/table"
)

// usageReport returns the report of an entry that has given so many good answers.
func usageReport(vm string, good uint64) *api.EntryReport {
	return &api.EntryReport{Vm: vm, Incarnation: 1, Usage: []*api.ServiceUsage{{Service: "hints", Usage: &api.Usage{Good: good}}}}
}

// The answers of an entry that stopped reporting count until the long window has passed.
// Then its series is dropped, so that series of old processes do not accumulate.
func TestStaleEntriesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBurnTracker()
		rows := table.Table{Rows: []table.Row{{Service: "hints", Objective: 0.99}}}
		b.add(usageReport("old", 5))
		time.Sleep(longWindow / 2)
		b.add(usageReport("new", 3))
		is.Equal(b.lines(rows)[0].GetLongGood(), uint64(8))
		time.Sleep(longWindow)
		b.add(usageReport("new", 4))
		is.Equal(len(b.series), 1)
	})
}
