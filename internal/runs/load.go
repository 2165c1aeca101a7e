package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/scheduler/queuesim"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// loadInterval is the shortest interval between two load reports to an entry that is sent
	// nothing else. An entry accounts for its own orders itself; it learns of other entries'
	// orders this much later, which is less than the shortest tasks take.
	loadInterval = 15 * time.Millisecond
	// idleLoadInterval is the same for an entry that has sent no order for sessionIdleAfter. An
	// entry without callers places no tasks; reports to it would be most of the runner's frames
	// where callers are few and entries many.
	idleLoadInterval = 300 * time.Millisecond
	sessionIdleAfter = 2 * time.Second
	// fullRateSessions is the number of active sessions up to which loadInterval applies. With
	// more sessions the interval grows in proportion, so that a runner sends at most 800 such
	// frames a second.
	fullRateSessions = 12
	// defaultTaskShare is the divisor of the capacity that gives the demand of a typical task
	// while no task runs.
	defaultTaskShare = 10
)

// Flush sends each session the frame that is queued for it. Call it after each batch of calls.
func (t *Table) Flush(now time.Time) {
	t.now = now
	t.markStale()
	t.publishRunTimes()
	t.queueLoads.publish(now)
	var load *wire.Load
	interval := t.activeLoadInterval()
	for s := range t.sessions.Values() {
		if !t.loadReportDue(s, interval) && !t.queueLoadsDue(s, interval) && !s.sendLoad && !s.sendTarget && len(s.outcomes) == 0 && s.configNote == nil && len(s.evacuations) == 0 && len(s.crashes) == 0 && len(s.offers) == 0 && !t.cancellationsDue(s) {
			continue
		}
		if load == nil {
			load = t.currentLoad()
		}
		own := *load
		own.LastSeq = s.lastSeq
		own.Leaving = own.Leaving || s.retiring
		f := &wire.LeasedToEntry{Load: &own, Outcomes: s.outcomes, Config: s.configNote, Evacuations: s.evacuations, Crashes: s.crashes,
			RunTimes: t.unsentRunTimes(s), QueueLoads: t.nextQueueLoads(s), Offers: s.offers, Cancellations: s.nextCancellations()}
		s.offers = nil
		if s.sendTarget {
			f.Target = &wire.LeasedTarget{
				Name: t.target.Incarnation.Name, Service: t.target.Service, Labels: t.target.Labels, Capacity: t.target.Capacity, DataCentre: t.target.DataCentre,
			}
			if s.features >= wire.DescribedFeatures {
				f.Target.Number = t.description
			}
			s.described = true
		}
		s.outcomes, s.configNote, s.evacuations, s.crashes, s.sendTarget, s.sendLoad = nil, nil, nil, nil, false, false
		s.loadStale, s.loadSentAt = false, now
		t.options.Outbox.Send(s.conn, &wire.ToEntry{Leased: f})
	}
}

// markStale marks the load of each session as changed since it was last sent.
func (t *Table) markStale() {
	if !t.loadChanged {
		return
	}
	for s := range t.sessions.Values() {
		s.loadStale = true
		if t.loadUrgent {
			s.loadSentAt = time.Time{}
		}
	}
	t.loadChanged, t.loadUrgent = false, false
}

// loadReportDue reports whether a session is due a load report even if nothing else is to be
// sent.
func (t *Table) loadReportDue(s *session, interval time.Duration) bool {
	if !s.loadStale {
		return false
	}
	if !t.active(s) {
		interval = idleLoadInterval
	}
	return t.now.Sub(s.loadSentAt) >= max(interval, s.loadInterval)
}

// active reports whether a session's entry has sent an order recently.
func (t *Table) active(s *session) bool { return t.now.Sub(s.lastOrderAt) < sessionIdleAfter }

// activeLoadInterval returns the shortest interval between two load reports to an active session.
func (t *Table) activeLoadInterval() time.Duration {
	n := 0
	for s := range t.sessions.Values() {
		if t.active(s) {
			n++
		}
	}
	return loadInterval * time.Duration(max(fullRateSessions, n)) / fullRateSessions
}

// reportLoadNow makes the next Flush report the load to every session.
func (t *Table) reportLoadNow() { t.loadChanged, t.loadUrgent = true, true }

// QueueConfigNote queues a configuration note for a session.
func (t *Table) QueueConfigNote(conn ConnID, note wire.ConfigNote) {
	s := t.session(conn)
	if s == nil {
		return
	}
	s.configNote = note.MergeWith(s.configNote)
}

// QueueEvacuations queues evacuation statements for a session.
func (t *Table) QueueEvacuations(conn ConnID, statements []wire.Evacuation) {
	if s := t.session(conn); s != nil {
		s.evacuations = append(s.evacuations, statements...)
	}
}

// LoadReportPending reports whether a changed load is still to be reported to an active session,
// so that Flush has to be called again soon.
func (t *Table) LoadReportPending() bool {
	for s := range t.sessions.Values() {
		if s.loadStale && t.active(s) {
			return true
		}
	}
	return t.loadChanged
}

// currentLoad returns a load report without the fields of a session.
func (t *Table) currentLoad() *wire.Load {
	l := &wire.Load{
		Speed:       t.effectiveSpeed(),
		FailureRate: t.health.failedRate,
		Leaving:     t.draining || t.target.Leaving,
		Down:        !t.announced() || !t.reachable,
		Rejecting:   t.health.avoided(t.now),
	}
	if !t.announced() {
		return l
	}
	l.Free = t.freeCapacity()
	t.predictWaits(l)
	return l
}

// predictWaits sets the predicted waits of a load report.
func (t *Table) predictWaits(l *wire.Load) {
	meanCPUMilli := t.collectTasks(l.Speed)
	t.simulator.Predict(l.Free.CPUMilli, t.runningTasks, t.queuedTasks, meanCPUMilli, wire.SlackHorizonsMs[:], l.WaitMs[:])
}

// collectTasks sets the running and queued tasks as input for the simulator and returns the mean
// CPU demand of the running ones.
func (t *Table) collectTasks(speed float64) (meanCPUMilli int) {
	t.runningTasks, t.queuedTasks = t.runningTasks[:0], t.queuedTasks[:0]
	totalCPUMilli, count := 0, 0
	for r := range t.runs.Values() {
		if r.state == queued {
			continue
		}
		totalCPUMilli, count = totalCPUMilli+r.order.Demand.CPUMilli, count+1
		t.runningTasks = append(t.runningTasks, queuesim.RunningTask{CPUMilli: r.order.Demand.CPUMilli, RemainingMs: t.remainingMs(r, speed)})
	}
	for _, r := range t.queue {
		t.queuedTasks = append(t.queuedTasks, queuesim.QueuedTask{
			CPUMilli: r.order.Demand.CPUMilli, RunMs: r.boundShare() * r.order.EstimateMs / speed, SlackMs: clock.Millis(r.startBy.Sub(t.now)),
		})
	}
	if count == 0 {
		return t.target.Capacity.CPUMilli / defaultTaskShare
	}
	return totalCPUMilli / count
}

// effectiveSpeed returns the speed learned from ends, reduced while running tasks take longer
// than expected. Without the reduction a target on which every task is stalled would keep its
// speed, since nothing ends there. It is not reduced by as many long jobs as the tails of their
// queues explain.
func (t *Table) effectiveSpeed() float64 {
	speed := t.health.speed()
	slowness, n := 0.0, 0
	for r := range t.runs.Values() {
		if r.state != running || r.order.EstimateMs <= 0 {
			continue
		}
		n++
		slowness += max(1, clock.Millis(t.now.Sub(r.startedAt))*speed/(r.order.EstimateMs*overdueFactor))
	}
	if n == 0 || slowness > float64(n) && t.longJobsExplained(true, t.slowRatio(speed)) {
		return speed
	}
	return speed * float64(n) / slowness
}

const (
	// A task counts as stalled after stallFactor times its expected time plus stallMargin.
	stallFactor = 2
	stallMargin = 40 * time.Millisecond
	// minStalledJobs is the number of jobs that must have stalled tasks: the tasks of one job
	// share an estimate, and may all take long.
	minStalledJobs = 2
)

// stalled reports whether more than half of the target's tasks, of several jobs, are long past
// their expected end, unless the run times of their queues explain it: with three tasks at work,
// two that take twice as long are no rare event.
func (t *Table) stalled() bool {
	if t.endTimesUncertain || t.failures > 0 {
		return false // ends may have been missed
	}
	ratio := t.health.steadyRatio
	overdue, total := 0, 0
	jobs := map[string]bool{}
	for r := range t.runs.Values() {
		if r.state != running || r.order.EstimateMs <= 0 {
			continue // a run without an expected time shows nothing
		}
		total++
		expected := clock.FromMillis(stallFactor*ratio*r.order.EstimateMs) + stallMargin
		if t.now.Sub(r.startedAt) > expected {
			overdue++
			jobs[r.id.Task.Job] = true
		}
	}
	return len(jobs) >= minStalledJobs && 2*overdue > total && !t.longJobsExplained(false, t.stallRatio)
}

// avoidIfStalled keeps work away from a stalled target, for longer each time that it stalls
// again.
func (t *Table) avoidIfStalled() {
	if t.health.avoided(t.now) || !t.stalled() {
		return
	}
	t.health.startAvoiding(t.now)
	event.Log(t.log, event.TargetStands, "target", t.target.Incarnation.Name, "runs", t.runs.Len(), "speed", t.effectiveSpeed(), "for_ms", t.health.avoidPeriod.Milliseconds())
	t.rejectQueued(wire.NotRunDown)
	t.reportLoadNow()
}

// overdueFactor is how many times its expected time a task may take before it counts as slow:
// estimates are off by two fifths, and those of single tasks by more.
const overdueFactor = 1.8
