package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/scheduler/waiting"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// loadEvery is the shortest time between two reports of the load to an entry that
	// gets nothing else. An entry counts in what it sent itself; it learns of the
	// others' orders this much later, less than the shortest tasks take.
	loadEvery = 15 * time.Millisecond
	// unusedEvery is the same to an entry that has sent no order for unusedAfter. An entry
	// without callers chooses nothing; its reports would be most of the runner's frames
	// where callers are few and entries many.
	unusedEvery = 300 * time.Millisecond
	unusedAfter = 2 * time.Second
	// loadSessions is the number of sessions in use up to which loadEvery holds. With more,
	// reports come as much more seldom, so that what a runner spends on them stays:
	// 800 frames a second.
	loadSessions = 12
	// usualShare is the part of the capacity that a usual task takes while none is
	// known.
	usualShare = 10
)

// Flush sends each session what has gathered for it. Call it after each batch of
// calls.
func (t *Table) Flush(now time.Time) {
	t.now = now
	t.markStale()
	var load *wire.Load
	period := t.loadPeriod()
	for _, o := range t.owners {
		if !t.reportDue(o, period) && !o.load && !o.target && len(o.outcomes) == 0 && o.config == nil && len(o.evacuations) == 0 && len(o.crashes) == 0 {
			continue
		}
		if load == nil {
			load = t.load()
		}
		own := *load
		own.Seen = o.seen
		own.Leaving = own.Leaving || o.retiring
		f := &wire.LeasedToEntry{Load: &own, Outcomes: o.outcomes, Config: o.config, Evacuations: o.evacuations, Crashes: o.crashes}
		if o.target {
			f.Target = &wire.LeasedTarget{
				Name: t.target.Incarnation.Name, Service: t.target.Service, Labels: t.target.Labels, Capacity: t.target.Capacity, DataCentre: t.target.DataCentre,
			}
		}
		o.outcomes, o.config, o.evacuations, o.crashes, o.target, o.load = nil, nil, nil, nil, false, false
		o.stale, o.loadAt = false, now
		t.o.Outbox.Send(o.conn, &wire.ToEntry{Leased: f})
	}
}

// markStale notes for each session that the load has changed since it was told.
func (t *Table) markStale() {
	if !t.loadDirty {
		return
	}
	for _, o := range t.owners {
		o.stale = true
		if t.loadUrgent {
			o.loadAt = time.Time{}
		}
	}
	t.loadDirty, t.loadUrgent = false, false
}

// reportDue reports whether a session is to be told the load, and nothing else, now.
func (t *Table) reportDue(o *owner, period time.Duration) bool {
	if !o.stale {
		return false
	}
	if !t.used(o) {
		period = unusedEvery
	}
	return t.now.Sub(o.loadAt) >= max(period, o.loadEvery)
}

// used reports whether a session's entry sends work here.
func (t *Table) used(o *owner) bool { return t.now.Sub(o.orderAt) < unusedAfter }

// loadPeriod is the shortest time between two reports of the load to a session in use.
func (t *Table) loadPeriod() time.Duration {
	n := 0
	for _, o := range t.owners {
		if t.used(o) {
			n++
		}
	}
	return loadEvery * time.Duration(max(loadSessions, n)) / loadSessions
}

// urgent makes a change of the load known at once.
func (t *Table) urgent() { t.loadDirty, t.loadUrgent = true, true }

// QueueConfigNote queues a note on the configuration for a session.
func (t *Table) QueueConfigNote(conn ConnID, note wire.ConfigNote) {
	o := t.owners[conn]
	if o == nil {
		return
	}
	o.config = note.After(o.config)
}

// QueueEvacuations queues statements on evacuations for a session.
func (t *Table) QueueEvacuations(conn ConnID, statements []wire.Evacuation) {
	if o := t.owners[conn]; o != nil {
		o.evacuations = append(o.evacuations, statements...)
	}
}

// LoadReportPending reports whether a report of the load to a session in use waits for its time.
func (t *Table) LoadReportPending() bool {
	for _, o := range t.owners {
		if o.stale && t.used(o) {
			return true
		}
	}
	return t.loadDirty
}

func (t *Table) load() *wire.Load {
	l := &wire.Load{
		Speed:      t.speed(),
		FailedRate: t.health.failedRate,
		Leaving:    t.leaving || t.target.Leaving,
		Down:       !t.known || !t.reachable,
		Shunned:    t.health.avoid(t.now),
	}
	if !t.known {
		return l
	}
	l.Free = t.free()
	t.predict(l)
	return l
}

// predict fills in the waits.
func (t *Table) predict(l *wire.Load) {
	usual := t.forecast(l.Speed)
	t.player.Predict(l.Free.CPUMilli, t.occupants, t.waits, usual, wire.Horizons[:], l.WaitMs[:])
}

// forecast notes what runs and what waits, as the player takes it, and returns the processors
// of a usual task.
func (t *Table) forecast(speed float64) (usualCPUMilli int) {
	t.occupants, t.waits = t.occupants[:0], t.waits[:0]
	usual, count := 0, 0
	for _, r := range t.runs {
		if r.state == queued {
			continue
		}
		usual, count = usual+r.order.Demand.CPUMilli, count+1
		left := r.order.EstimateMs/speed - clock.Millis(t.now.Sub(r.calledAt))
		t.occupants = append(t.occupants, waiting.RunningTask{CPUMilli: r.order.Demand.CPUMilli, RemainingMs: left})
	}
	for _, r := range t.queue {
		t.waits = append(t.waits, waiting.QueuedTask{
			CPUMilli: r.order.Demand.CPUMilli, RunMs: r.order.EstimateMs / speed, SlackMs: clock.Millis(r.startBy.Sub(t.now)),
		})
	}
	if count == 0 {
		return t.target.Capacity.CPUMilli / usualShare
	}
	return usual / count
}

// speed is the speed to reckon with: as learned from ends, and lower while tasks
// take longer than they should. Without the second part a target on which
// everything stands still would keep its good speed, since nothing ends there.
func (t *Table) speed() float64 {
	speed := t.health.speed()
	late, n := 0.0, 0
	for _, r := range t.runs {
		if r.state != running || r.order.EstimateMs <= 0 {
			continue
		}
		n++
		late += max(1, clock.Millis(t.now.Sub(r.startedAt))*speed/(r.order.EstimateMs*overdueFactor))
	}
	if n == 0 {
		return speed
	}
	return speed * float64(n) / late
}

const (
	// standFactor is how many times its expected time a task takes on a target that
	// stands still, and standMargin what it takes more.
	standFactor = 2
	standMargin = 40 * time.Millisecond
	// standJobs is the number of jobs whose tasks must stand: those of one job share
	// an estimate, and may take long together.
	standJobs = 2
)

// standing reports whether the target stands still: most of its tasks, of several
// jobs, are long past their expected end.
func (t *Table) standing() bool {
	if t.blind || t.failures > 0 {
		return false // ends may just not have been seen
	}
	perEstimate := t.health.steady
	late, all := 0, 0
	jobs := map[string]bool{}
	for _, r := range t.runs {
		if r.state != running {
			continue
		}
		all++
		expected := clock.FromMillis(standFactor*perEstimate*r.order.EstimateMs) + standMargin
		if t.now.Sub(r.startedAt) > expected {
			late++
			jobs[r.id.Task.Job] = true
		}
	}
	return len(jobs) >= standJobs && 2*late > all
}

// shunStanding keeps work away from a target that stands still. Each time that it does
// so again, for longer.
func (t *Table) shunStanding() {
	if t.health.avoid(t.now) || !t.standing() {
		return
	}
	t.health.shun(t.now)
	event.Log(t.log, event.TargetStands, "target", t.target.Incarnation.Name, "runs", len(t.runs), "speed", t.speed(), "for_ms", t.health.pause.Milliseconds())
	t.returnQueue(wire.NotRunDown)
	t.urgent()
}

// overdueFactor is how many times its expected time a task may take before it
// counts as slow: estimates are off by two fifths, and single tasks by more.
const overdueFactor = 1.8
