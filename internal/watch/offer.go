package watch

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// maxOffers limits the queue of forwarded changes.
	maxOffers = 32
	// idleCheck is how often an idle VM checks whether it must watch the store itself. It is
	// shorter than the time after which a silent VM counts as failed.
	idleCheck = 200 * time.Millisecond
)

// Offer queues changes that a sentinel has forwarded. If the queue is full, the table polls the
// store instead.
func (t *Table) Offer(d store.Delta) {
	select {
	case t.offers <- d:
	default:
		t.NotifyNewer(d.Rows.Revision)
	}
}

// idle returns whether the VM makes no calls and waits for changes that sentinels forward.
func (t *Table) idle() bool { return !t.watchesStore() && !t.pollDue() }

// waitForOffer waits for an offer, or until this VM may have to call the store itself.
func (t *Table) waitForOffer(ctx context.Context) {
	timer := time.NewTimer(idleCheck)
	defer timer.Stop()
	select {
	case d := <-t.offers:
		t.applyOffer(d)
	case <-t.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// applyOffers applies the changes that arrived while this VM made a call. If its own calls fail,
// other VMs may still be reachable.
func (t *Table) applyOffers() {
	for t.listed {
		select {
		case d := <-t.offers:
			t.applyOffer(d)
		default:
			return
		}
	}
}

// applyOffer applies changes that continue this copy. If some in between are missing, it requests
// a poll instead.
func (t *Table) applyOffer(d store.Delta) {
	switch {
	case d.Rows.Revision <= t.revision:
		return
	case d.From > t.revision:
		t.NotifyNewer(d.Rows.Revision)
		return
	}
	t.log.Info(telemetry.EventChangesForwarded, telemetry.F("table", t.name), telemetry.F("from", d.From),
		telemetry.F("revision", d.Rows.Revision))
	if d.AfterOutage {
		t.link.peerRegained(d.SinceRecovery)
	}
	t.lastChange = d.Rows.Revision
	t.raiseNewest(d.Rows)
	t.apply(d.Rows, false)
	t.setRevision(d.Rows.Revision)
}

// publish forwards changes to the idle VMs. from is the revision of the last change before them.
func (t *Table) publish(from uint64, rows store.Rows) {
	d := store.Delta{From: from, Rows: rows}
	d.SinceRecovery, d.AfterOutage = t.link.SinceBack()
	t.group.Publish(t.name, d)
}
