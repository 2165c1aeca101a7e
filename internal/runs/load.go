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
	// loadSessions is the number of sessions up to which that holds. With more, reports
	// come as much more seldom, so that what a runner and an entry spend on them stays:
	// 800 frames a second for a runner. At 30 us a frame, which is
	// assumed, that is 2.4 % of a core.
	loadSessions = 12
	// usualShare is the part of the capacity that a usual task takes while none is
	// known.
	usualShare = 10
)

// Flush sends each session what has gathered for it. Call it after each batch of
// calls.
func (t *Table) Flush(now time.Time) {
	t.now = now
	due := t.loadDirty && now.Sub(t.loadSentAt) >= t.loadPeriod()
	if due {
		t.loadDirty, t.loadSentAt = false, now
	}
	var load *wire.Load
	for _, o := range t.owners {
		if !due && !o.load && !o.target && len(o.outcomes) == 0 && o.config == nil {
			continue
		}
		if load == nil {
			load = t.load()
		}
		own := *load
		own.Seen = o.seen
		f := &wire.LeasedToEntry{Load: &own, Outcomes: o.outcomes, Config: o.config}
		if o.target {
			f.Target = &wire.LeasedTarget{
				Name: t.target.Life.Name, Service: t.target.Service, Labels: t.target.Labels, Capacity: t.target.Capacity,
			}
		}
		o.outcomes, o.config, o.target, o.load = nil, nil, false, false
		t.o.Outbox.Send(o.conn, &wire.ToEntry{Leased: f})
	}
}

// loadPeriod is the shortest time between two reports of the load.
func (t *Table) loadPeriod() time.Duration {
	return loadEvery * time.Duration(max(loadSessions, len(t.owners))) / loadSessions
}

// Note queues a note on the configuration for a session.
func (t *Table) Note(conn ConnID, note wire.ConfigNote) {
	o := t.owners[conn]
	if o == nil {
		return
	}
	o.config = note.After(o.config)
}

// LoadDue reports whether a report of the load waits for its time.
func (t *Table) LoadDue() bool { return t.loadDirty }

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
	t.occupants, t.waits = t.occupants[:0], t.waits[:0]
	speed := l.Speed
	usual, count := 0, 0
	for _, r := range t.runs {
		if r.state == queued {
			continue
		}
		usual, count = usual+r.order.Demand.CPUMilli, count+1
		left := r.order.EstimateMs/speed - clock.Millis(t.now.Sub(r.calledAt))
		t.occupants = append(t.occupants, waiting.Occupant{CPUMilli: r.order.Demand.CPUMilli, LeftMs: left})
	}
	for _, r := range t.queue {
		t.waits = append(t.waits, waiting.Queued{
			CPUMilli: r.order.Demand.CPUMilli, RunMs: r.order.EstimateMs / speed, SlackMs: clock.Millis(r.startBy.Sub(t.now)),
		})
	}
	probe := t.target.Capacity.CPUMilli / usualShare
	if count > 0 {
		probe = usual / count
	}
	t.player.Predict(l.Free.CPUMilli, t.occupants, t.waits, probe, wire.Horizons[:], l.WaitMs[:])
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
	event.Log(t.log, event.TargetStands, "target", t.target.Life.Name, "runs", len(t.runs), "speed", t.speed(), "for_ms", t.health.pause.Milliseconds())
	t.returnQueue(wire.NotRunDown)
	t.loadDirty, t.loadSentAt = true, time.Time{}
}

// overdueFactor is how many times its expected time a task may take before it
// counts as slow: estimates are off by two fifths, and single tasks by more.
const overdueFactor = 1.8
