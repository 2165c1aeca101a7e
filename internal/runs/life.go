package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Announce takes what a target says of itself, and reports whether it is worth
// remembering: another life, or one that leaves. An older announcement of the same life
// changes nothing.
func (t *Table) Announce(now time.Time, a Announcement) (news bool) {
	t.now = now
	if t.known && a.Incarnation == t.target.Incarnation && a.Seq <= t.target.Seq {
		return false
	}
	if t.known && a.Incarnation != t.target.Incarnation && a.Incarnation.StartedMs < t.target.Incarnation.StartedMs {
		event.Log(t.log, event.AnnouncementStale, "target", a.Incarnation.Name, "born_ms", a.Incarnation.StartedMs, "known_born_ms", t.target.Incarnation.StartedMs)
		return false // a delayed word of a life before this one
	}
	if !t.known || a.Incarnation != t.target.Incarnation {
		t.adopt(a)
		return true
	}
	leaves := a.Leaving && !t.target.Leaving
	if leaves {
		event.Log(t.log, event.TargetLeaving, "target", a.Incarnation.Name, "seq", a.Seq)
	}
	was := t.target.Capacity
	t.target, t.recalled = a, false
	t.hearClock(now, a.ClockMs)
	if a.Leaving {
		t.returnQueue(wire.NotRunLeaving)
	}
	t.giveBackEvacuated()
	if a.Capacity != was {
		t.resized(was)
	}
	t.loadDirty = true
	return leaves || a.Capacity != was
}

// resized takes a change of the capacity while the target runs: what waits is weighed anew, and
// entries must neither send what no longer fits nor leave new room unused.
func (t *Table) resized(was job.Demand) {
	now := t.target.Capacity
	event.Log(t.log, event.TargetResized, "target", t.target.Incarnation.Name, "cpu_milli", now.CPUMilli, "memory_mb", now.MemoryMB,
		"was_cpu_milli", was.CPUMilli, "was_memory_mb", was.MemoryMB, "in_use_cpu_milli", t.inUse.CPUMilli, "waiting", len(t.queue))
	for _, o := range t.owners {
		o.target = true
	}
	t.urgent()
	waiting := t.queue
	t.queue = nil
	for _, r := range waiting {
		if reason := t.unwelcome(r); reason != wire.NotRunNone {
			t.settleNotRun(r, reason)
			continue
		}
		t.enqueue(r)
	}
	t.fill()
}

// Restore takes what an earlier agent wrote down of the target, until the target speaks
// for itself. The target's clock is not known from it, so nothing starts before the
// target has answered.
func (t *Table) Restore(now time.Time, a Announcement) {
	t.now = now
	if t.known {
		return
	}
	a.Seq, a.ClockMs = 0, 0
	t.adopt(a)
	t.recalled = true
}

// adopt begins another life of the target. What ran in the one before is gone with
// it.
func (t *Table) adopt(a Announcement) {
	event.Log(t.log, event.TargetAnnounced, "target", a.Incarnation.Name, "born_ms", a.Incarnation.StartedMs, "service", a.Service,
		"cpu_milli", a.Capacity.CPUMilli, "memory_mb", a.Capacity.MemoryMB, "labels", a.Labels, "leaving", a.Leaving)
	t.endLife("another_life")
	t.target, t.known, t.recalled = a, true, false
	t.token, t.cursor, t.looked = 0, 0, false
	t.reachable, t.failures, t.heardAt = true, 0, t.now
	t.health = newRating()
	t.hearClock(t.now, a.ClockMs)
	t.token = a.ClockMs
	for _, o := range t.owners {
		o.target, o.load = true, true
	}
	t.loadDirty = true
}

// Deregister takes a target's word that it ends.
func (t *Table) Deregister(now time.Time, name string) {
	t.now = now
	if t.known && t.target.Incarnation.Name == name && !t.target.Leaving {
		t.target.Leaving = true
		t.returnQueue(wire.NotRunLeaving)
		t.loadDirty = true
	}
}

// endLife settles everything of a life that is over.
func (t *Table) endLife(why string) {
	ended := len(t.runs)
	t.reportCrash()
	for _, r := range t.runs {
		if r.state == queued {
			t.settleNotRun(r, wire.NotRunDown)
			continue
		}
		t.end(r)
	}
	clear(t.foreign)
	t.leaseEnd = time.Time{}
	if ended > 0 {
		event.Log(t.log, event.RunsStopped, "runs", ended, "reason", why, "target", t.target.Incarnation.Name)
	}
}

// end settles a run that certainly does not run any more, without a listed end.
func (t *Table) end(r *run) {
	if !r.everRan && r.reason != wire.NotRunNone && !r.stopConfirmed.IsZero() {
		t.counts.NotRun++
		t.settleAs(r, wire.RunOutcome{Seq: r.order.Seq, End: wire.EndNotRun, Reason: r.reason})
		return
	}
	t.counts.Stopped++
	t.settle(r, wire.EndStopped)
}

func (t *Table) settleAs(r *run, out wire.RunOutcome) {
	t.forget(r)
	t.tell(r, out)
}
