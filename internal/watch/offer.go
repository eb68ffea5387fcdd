package watch

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// maxForwarded is the capacity of the queue of forwarded changes.
	maxForwarded = 32
	// minIdleCheck is how often an idle VM, which does not long-poll the store, checks whether it has
	// become a sentinel and must long-poll. It is shorter than the time after which a VM that sends no
	// reports counts as failed.
	minIdleCheck = 200 * time.Millisecond
	// idleCheckPerVM times the number of VMs in the group is the time between these checks in a large
	// group, up to maxIdleCheck: all VMs together check a thousand times a second.
	idleCheckPerVM = time.Millisecond
	maxIdleCheck   = time.Second
)

// Offer queues changes that a sentinel has forwarded. If the queue is full, the table polls the
// store instead.
func (t *Table) Offer(d store.Delta) {
	select {
	case t.forwarded <- d:
	default:
		t.NotifyNewer(d.Rows.Revision)
	}
}

// idle returns whether this VM is to make no call now, but to wait for changes that sentinels
// forward.
func (t *Table) idle() bool { return !t.watchesStore() && !t.pollDue() }

// waitForForwarded waits for forwarded changes and applies them. It returns early when this VM may
// have to call the store itself.
func (t *Table) waitForForwarded(ctx context.Context) {
	check := time.Duration(t.group.Size()) * idleCheckPerVM
	timer := time.NewTimer(min(max(check, minIdleCheck), maxIdleCheck))
	defer timer.Stop()
	select {
	case d := <-t.forwarded:
		t.applyForwarded(d)
	case <-t.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
	t.advanceUnchanged()
}

// applyAllForwarded applies the forwarded changes that arrived while this VM made a call. Sentinels
// apply forwarded changes too, because they may still receive them from other VMs when their own
// calls fail.
func (t *Table) applyAllForwarded() {
	t.advanceUnchanged()
	for t.listed {
		select {
		case d := <-t.forwarded:
			t.applyForwarded(d)
		default:
			return
		}
	}
}

// applyForwarded applies forwarded changes unless this copy has them already. If changes between
// the revision of the copy and the first forwarded change may be missing, or the changes are the
// difference to an earlier state than that of the copy, applyForwarded requests a poll instead.
func (t *Table) applyForwarded(d store.Delta) {
	switch {
	case d.Rows.Revision <= t.revision:
		return
	case d.From > t.revision, d.Until > 0 && d.Until < t.revision:
		t.NotifyNewer(d.Rows.Revision)
		return
	}
	t.log.Info(telemetry.EventChangesForwarded, telemetry.F("table", t.name), telemetry.F("from", d.From),
		telemetry.F("revision", d.Rows.Revision))
	if d.AfterOutage {
		t.link.peerRecovered(d.SinceRecovery)
	}
	t.applyChanges(d.Rows)
}

// publish forwards changes to other VMs if this VM is a sentinel.
func (t *Table) publish(d store.Delta) {
	d.SinceRecovery, d.AfterOutage = t.link.SinceRecovery()
	t.group.Publish(t.name, d)
}
