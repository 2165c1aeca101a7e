package runs

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/scheduler/fairshare"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// loadWindow is the time over which queue loads are measured, in loadBuckets parts.
	loadWindow  = time.Second
	loadBuckets = 10
	bucketTime  = loadWindow / loadBuckets
	// queueLoadInterval is the shortest interval between two reports of queue loads.
	queueLoadInterval = 200 * time.Millisecond
	// queueLoadRepeat is the interval after which an unchanged report is repeated while there is
	// load. Entries drop a report after two seconds.
	queueLoadRepeat = time.Second
	// minChange is the relative change of a load from which on it is reported.
	minChange = 0.2
	// minMilliChange and minLateChange are the least absolute changes that count: a tenth of a core,
	// and a late share that is small to the margins of entries.
	minMilliChange = 100
	minLateChange  = 0.01
	// minMeasured is the least time over which a new queue is averaged, so that the first task of a
	// queue does not count as its load of a second.
	minMeasured = bucketTime
)

// bucket is what was measured of a queue in one part of the window.
type bucket struct {
	inUseMilliMs, queuedMilliMs float64
	tasks, late                 float64
}

// queueLoad is the load of one queue. Its window is advanced when a task changes state, and before
// it is read.
type queueLoad struct {
	name                    string
	inUseMilli, queuedMilli int64 // now
	buckets                 [loadBuckets]bucket
	current                 int       // index of the newest bucket
	bucketStart             time.Time // start of the newest bucket
	updatedAt               time.Time
	createdAt, usedAt       time.Time
}

// advance adds the processor in use and queued since the last call to the window.
func (q *queueLoad) advance(now time.Time) {
	if now.Sub(q.updatedAt) > 2*loadWindow {
		clear(q.buckets[:])
		q.updatedAt = now.Add(-loadWindow)
		q.bucketStart = q.updatedAt
	}
	for q.updatedAt.Before(now) {
		end := q.bucketStart.Add(bucketTime)
		until := now
		if end.Before(now) {
			until = end
		}
		ms := clock.Millis(until.Sub(q.updatedAt))
		b := &q.buckets[q.current]
		b.inUseMilliMs += ms * float64(q.inUseMilli)
		b.queuedMilliMs += ms * float64(q.queuedMilli)
		q.updatedAt = until
		if until == end {
			q.current = (q.current + 1) % loadBuckets
			q.buckets[q.current] = bucket{}
			q.bucketStart = end
		}
	}
}

// recordTask counts a share of a task that was started, or returned or dropped unstarted.
func (q *queueLoad) recordTask(share float64, late bool) {
	b := &q.buckets[q.current]
	b.tasks += share
	if late {
		b.late += share
	}
}

// report returns the load of the window, which must have been advanced.
func (q *queueLoad) report(now time.Time) wire.QueueLoad {
	sum := bucket{}
	for i := range q.buckets {
		b := &q.buckets[i]
		sum.inUseMilliMs, sum.queuedMilliMs = sum.inUseMilliMs+b.inUseMilliMs, sum.queuedMilliMs+b.queuedMilliMs
		sum.tasks, sum.late = sum.tasks+b.tasks, sum.late+b.late
	}
	measured := (loadBuckets-1)*bucketTime + now.Sub(q.bucketStart)
	ms := clock.Millis(max(min(measured, now.Sub(q.createdAt)), minMeasured))
	l := wire.QueueLoad{
		Queue: q.name, Tasks: int64(math.Round(sum.tasks)),
		InUseMilli: int64(math.Round(sum.inUseMilliMs / ms)), QueuedMilli: int64(math.Round(sum.queuedMilliMs / ms)),
	}
	if l.Tasks > 0 {
		l.LateShare = min(sum.late/sum.tasks, 1)
	}
	return l
}

// idle reports whether the queue has no order and nothing in the window.
func (q *queueLoad) idle(now time.Time) bool {
	return q.inUseMilli == 0 && q.queuedMilli == 0 && now.Sub(q.usedAt) > 2*loadWindow
}

// queueLoads measures the loads of all queues whose orders name them. The zero value is empty.
type queueLoads struct {
	byName      map[string]*queueLoad
	published   []wire.QueueLoad // the newest report; it is never changed, only replaced
	version     uint64           // of published; 0: nothing was published
	measuredAt  time.Time
	publishedAt time.Time
}

// recordArrival counts an order that was accepted, or a reservation. It allocates only for the
// first order of a queue.
func (l *queueLoads) recordArrival(now time.Time, r *run) {
	if r.order.Queue == "" {
		return
	}
	q := l.byName[r.order.Queue]
	if q == nil {
		q = l.create(now, r.order.Queue)
	}
	if q == nil {
		return
	}
	r.queueLoad = q
	q.advance(now)
	q.usedAt = now
	q.queuedMilli += r.queuedMilli()
}

// create adds a queue. At the limit it drops the one that was not used for the longest time among those
// without an order; it returns nil if all have one. So the limit is one of orders at the target, and not of
// the queues that the fleet has.
func (l *queueLoads) create(now time.Time, name string) *queueLoad {
	if l.byName == nil {
		l.byName = map[string]*queueLoad{}
	}
	if len(l.byName) >= fairshare.MaxQueues {
		unused := l.longestUnused()
		if unused == nil {
			return nil
		}
		delete(l.byName, unused.name)
	}
	q := &queueLoad{name: name, bucketStart: now, updatedAt: now, createdAt: now}
	l.byName[name] = q
	return q
}

// longestUnused returns the queue without an order that was not used for the longest time; nil if there is
// none.
func (l *queueLoads) longestUnused() (unused *queueLoad) {
	for _, name := range slices.Sorted(maps.Keys(l.byName)) {
		q := l.byName[name]
		if q.inUseMilli == 0 && q.queuedMilli == 0 && (unused == nil || q.usedAt.Before(unused.usedAt)) {
			unused = q
		}
	}
	return unused
}

// queuedMilli returns the processor that an order or a reservation counts for while it waits. A
// reservation counts for its share of the task, also while capacity is held for its offer.
func (r *run) queuedMilli() int64 {
	return int64(math.Round(r.boundShare() * float64(r.order.Demand.CPUMilli)))
}

// recordStart counts a queued run that is started. It is late if it, or the reservation that it
// follows, has waited, and less is left until its latest start than its run time may differ from the
// estimate.
func (l *queueLoads) recordStart(now time.Time, r *run) {
	q := r.queueLoad
	if q == nil {
		return
	}
	q.advance(now)
	q.usedAt = now
	q.queuedMilli -= r.queuedMilli()
	q.inUseMilli += int64(r.order.Demand.CPUMilli)
	reserve := clock.FromMillis(fairshare.StartReserve * r.order.EstimateMs)
	q.recordTask(1, (r.reservationWaited || now.After(r.receivedAt)) && now.After(r.startBy.Add(-reserve)))
}

// recordReturn counts a queued run that is returned because it has waited too long, or whose entry no
// longer needs it after its latest start. Other returns say nothing about the capacity. An order
// that is returned on arrival, because it would wait longer than its entry expects, is not
// counted either: it is counted where it is queued in the end.
func (l *queueLoads) recordReturn(now time.Time, r *run, reason wire.NotRunReason) {
	if q := r.queueLoad; q != nil && (reason == wire.NotRunExpired || reason == wire.NotRunRecalled && now.After(r.startBy)) {
		q.advance(now)
		q.recordTask(1, true)
	}
}

// recordUnserved counts a reservation that expired before its turn came. The task may stand at other
// targets too, so that it counts as late for the same share as in predictions of waits: for 1.26
// tasks at most if its three reservations expire. A reservation that is released while it can still be
// served is not counted, because its task is bound elsewhere, or counted there.
func (l *queueLoads) recordUnserved(now time.Time, r *run) {
	if q := r.queueLoad; q != nil {
		q.advance(now)
		q.recordTask(r.boundShare(), true)
	}
}

// recordRemoval takes an order that is settled or dropped, or a reservation, out of the load.
func (l *queueLoads) recordRemoval(now time.Time, r *run) {
	q := r.queueLoad
	if q == nil {
		return
	}
	q.advance(now)
	q.usedAt = now
	if r.state == queued || r.isReservation() {
		q.queuedMilli -= r.queuedMilli()
	} else {
		q.inUseMilli -= int64(r.order.Demand.CPUMilli)
	}
	r.queueLoad = nil
}

// publish replaces the published report if it is due and has changed. All sessions are sent the
// same reports, so that their entries decide alike.
func (l *queueLoads) publish(now time.Time) {
	if len(l.byName) == 0 && len(l.published) == 0 || now.Sub(l.measuredAt) < queueLoadInterval {
		return
	}
	l.measuredAt = now
	report := make([]wire.QueueLoad, 0, len(l.byName))
	for _, name := range slices.Sorted(maps.Keys(l.byName)) {
		q := l.byName[name]
		if q.idle(now) {
			delete(l.byName, name)
			continue
		}
		q.advance(now)
		report = append(report, q.report(now))
	}
	report = l.withEndedQueues(report)
	repeat := now.Sub(l.publishedAt) >= queueLoadRepeat && slices.ContainsFunc(report, loaded)
	if !repeat && !changed(l.published, report) {
		return
	}
	l.published, l.publishedAt = report, now
	l.version++
}

// withEndedQueues adds to a report without any queue one of the published queues, without load: a
// frame can't express an empty report.
func (l *queueLoads) withEndedQueues(report []wire.QueueLoad) []wire.QueueLoad {
	if len(report) == 0 && len(l.published) > 0 {
		return append(report, wire.QueueLoad{Queue: l.published[0].Queue})
	}
	return report
}

func loaded(l wire.QueueLoad) bool { return l.InUseMilli > 0 || l.QueuedMilli > 0 || l.Tasks > 0 }

// changed reports whether a queue has appeared or ended, or the load of one differs by minChange.
func changed(before, after []wire.QueueLoad) bool {
	if len(before) != len(after) {
		return true
	}
	for i := range after {
		j := slices.IndexFunc(before, func(l wire.QueueLoad) bool { return l.Queue == after[i].Queue })
		if j < 0 || differs(&before[j], &after[i]) {
			return true
		}
	}
	return false
}

func differs(a, b *wire.QueueLoad) bool {
	return loaded(*a) != loaded(*b) ||
		differ(float64(a.InUseMilli), float64(b.InUseMilli), minMilliChange) ||
		differ(float64(a.QueuedMilli), float64(b.QueuedMilli), minMilliChange) ||
		differ(a.LateShare, b.LateShare, minLateChange)
}

// differ reports whether two values differ by minChange of the first, and by the least change.
func differ(a, b, least float64) bool { return math.Abs(a-b) >= max(minChange*a, least) }

// queueLoadsDue reports whether a session is due the published queue loads even if nothing else is
// to be sent.
func (t *Table) queueLoadsDue(s *session, interval time.Duration) bool {
	if s.features < wire.ExtendedFeatures || s.queueVersion == t.queueLoads.version {
		return false
	}
	if !t.active(s) {
		interval = idleLoadInterval
	}
	return t.now.Sub(s.loadSentAt) >= max(interval, s.loadInterval)
}

// nextQueueLoads returns the queue loads for the next frame of a session, or nil if its entry does
// not understand them or has them.
func (t *Table) nextQueueLoads(s *session) []wire.QueueLoad {
	if s.features < wire.ExtendedFeatures || s.queueVersion == t.queueLoads.version {
		return nil
	}
	s.queueVersion = t.queueLoads.version
	return t.queueLoads.published
}
