// Package fairshare decides, while capacity is short, which queues bear an admission margin and how
// large it is. It addresses a load that exceeds the capacity of a fleet for seconds or longer, on
// which entries with unequal traffic and unequal links admit jobs independently of each other.
//
// When each entry learned its margin from its own late jobs, callers of some entries were refused
// three times as often as those of others, jobs were refused while there was capacity, and an entry
// that had just restarted admitted too much. Here the margin is a function of what all agents report
// per queue. Each agent reports the same to all its entries, so that entries with the same reports
// have the same margin, however many jobs they have admitted themselves.
//
// Each queue is guaranteed a part of the capacity in proportion to its weight. Queues that need less
// lend the rest to the others, the most urgent borrower first. A queue below its share bears only the
// margin of its own late tasks. A queue above its share bears the margin of every queue that has late
// tasks and is as urgent or below its own share.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxQueues is the maximum number of queues in a report.
	MaxQueues = 64
	// reportTTL is how long the report of an agent counts. Agents repeat a report with load every
	// second.
	reportTTL = 2 * time.Second
	// minCoverage is the share of the heard capacity whose agents must report: a few new agents
	// among old ones are no measure of the fleet.
	minCoverage = 0.5
	// settleTime is how long after the first report margins follow the reports without a delay.
	// Meanwhile the first reports of all agents arrive, and an entry that has restarted gets the
	// margins of its peers.
	settleTime = 250 * time.Millisecond
	// marginTime and overTime are the time constants with which the margin of a queue, and its place
	// under or over its share, follow the reports. The reports are averages over a second and up
	// to 250 ms old: without a delay both swing between none and the maximum, with a period of
	// two to three seconds, as long tasks do.
	marginTime = 1600 * time.Millisecond
	overTime   = 2 * time.Second
	// usualLateShare is the late share without any effect. It is small, because a job of eight
	// tasks is late if one of them is.
	usualLateShare = 0.02
	// marginPerLateShare is the margin, as a share of the slack, for each further late share. With
	// half of it too many jobs are admitted and late.
	marginPerLateShare = 8
	// maxMargin bounds a margin as a share of the slack. Jobs are admitted up to a tenth of their
	// objective late, so that with 1.2 some that wait are still admitted.
	maxMargin = 1.2
	// maxUnderShareMargin is the same for a queue below its share.
	maxUnderShareMargin = 0.9
	// StartReserve is the part of its estimate by which a task must start before its latest start to
	// count as in time. Run times differ by two fifths from estimates, so that of the tasks that
	// start at their latest start half end late.
	StartReserve = 0.3
	// With less than idleLoad of the capacity in use or requested, late tasks have other causes
	// than a lack of capacity, and there is no margin; from busyLoad on it applies in full.
	idleLoad, busyLoad = 0.7, 0.9
	// A queue is below its share with up to underShare of it, and above it from overShare on. In
	// between its margin changes gradually, because a switch would make it alternate.
	underShare, overShare = 0.9, 1.5
	// outcomeHalfLife is the half-life of the counts of admitted and refused jobs.
	outcomeHalfLife = time.Second
	// holdExcess is the excess over its share at which all jobs of a queue are held if another one
	// has the largest margin. A smaller one leaves up to a tenth of the capacity idle; with a larger
	// one a flood by long tasks leaves urgent ones under half of what they need.
	holdExcess = 0.4
	// holdTime is the time constant of the excess.
	holdTime = time.Second
	// minAdmissionRate bounds the demand that is inferred from refusals.
	minAdmissionRate = 0.1
	// refreshInterval bounds how often shares are computed without a new report.
	refreshInterval = 20 * time.Millisecond
)

// Load is an agent's report of one queue: averages and counts of about the last second.
type Load struct {
	Queue       string
	InUseMilli  int64   // processor in use, in thousandths of a core
	QueuedMilli int64   // processor that queued tasks demand
	LateShare   float64 // share of Tasks that could not start in time for lack of capacity
	Tasks       int64

	lateTasks int64
}

// Status is the state of a queue over all agents that report.
type Status struct {
	Queue    string
	Pressure float64 // share of tasks that could not start in time
	Usage    float64 // processor in use, as a share of the capacity
	Share    float64 // part of the capacity that the queue may use now, including borrowed parts
	Margin   float64 // margin of its own late tasks, as a share of the slack
}

// OverShare reports whether the queue uses more than its share.
func (s *Status) OverShare() bool { return s.Usage > s.Share }

// agent is an agent that the entry hears.
type agent struct {
	capacityMilli int64
	reportedAt    time.Time // zero: no report
	loads         []Load
}

func (a *agent) reporting() bool { return !a.reportedAt.IsZero() }

// queue is the state of a queue.
type queue struct {
	Status
	priority                int
	weight                  float64
	inUseMilli, queuedMilli int64 // sums over the reports
	tasks, lateTasks        int64
	reporters               int      // number of agents whose reports name it
	outcomes                Outcomes // of the jobs at this entry
	demand                  float64  // share of the capacity that its jobs need, refused ones included
	guaranteed              float64  // share of the capacity by weight
	over                    float64  // 0 below its share, 1 above it
	excess                  float64  // usage above its share, as a part of the share; below it negative
	credit                  float64  // of Hold: parts of jobs that may still be admitted
}

// Fleet is what an entry knows of the agents of one service. It is not safe for concurrent use.
type Fleet struct {
	agents  map[uint64]*agent
	queues  map[string]*queue
	ordered []*queue // by priority, then name

	capacityMilli  int64 // of all agents
	reportingMilli int64 // of those that report
	inUseMilli     int64 // sums over the reports
	queuedMilli    int64
	reporting      int       // number of agents that report
	since          time.Time // when it began to have reports
	reportedAt     time.Time // of the newest report
	refreshedAt    time.Time
	changed        bool // a report has changed since refreshedAt
	statuses       []Status
}

// NewFleet returns a Fleet without agents.
func NewFleet() *Fleet { return &Fleet{agents: map[uint64]*agent{}, queues: map[string]*queue{}} }

// Empty reports whether there is no agent.
func (f *Fleet) Empty() bool { return len(f.agents) == 0 }

// SetAgent adds an agent or changes its capacity.
func (f *Fleet) SetAgent(id uint64, capacityMilli int64) {
	a := f.agents[id]
	if a == nil {
		a = &agent{}
		f.agents[id] = a
	}
	delta := max(capacityMilli, 0) - a.capacityMilli
	if delta == 0 {
		return
	}
	a.capacityMilli += delta
	f.capacityMilli += delta
	if a.reporting() {
		f.reportingMilli += delta
	}
	f.changed = true
}

// RemoveAgent removes an agent and its report.
func (f *Fleet) RemoveAgent(id uint64) {
	a := f.agents[id]
	if a == nil {
		return
	}
	f.dropReport(a)
	f.capacityMilli -= a.capacityMilli
	delete(f.agents, id)
	f.changed = true
}

// Report replaces the report of an agent. An invalid report is rejected as a whole with a
// *ReportError, and the earlier one stays until it expires.
func (f *Fleet) Report(now time.Time, id uint64, loads []Load) error {
	a := f.agents[id]
	if a == nil {
		return &ReportError{Reason: "unknown agent"}
	}
	if err := validate(loads); err != nil {
		return err
	}
	if f.reporting == 0 && now.Sub(f.reportedAt) > settleTime {
		f.since = now
	}
	f.dropReport(a)
	f.startReporting(now, a)
	a.loads = append(a.loads[:0], loads...)
	for i := range a.loads {
		l := &a.loads[i]
		l.lateTasks = int64(math.Round(l.LateShare * float64(l.Tasks)))
		q := f.queue(l.Queue)
		q.reporters++
		f.add(q, l, 1)
	}
	return nil
}

func (f *Fleet) startReporting(now time.Time, a *agent) {
	f.reportedAt = now
	f.reporting++
	f.reportingMilli += a.capacityMilli
	a.reportedAt = now
	f.changed = true
}

// dropReport takes an agent's report out of the sums.
func (f *Fleet) dropReport(a *agent) {
	if !a.reporting() {
		return
	}
	for i := range a.loads {
		l := &a.loads[i]
		if q := f.queues[l.Queue]; q != nil {
			q.reporters--
			f.add(q, l, -1)
		}
	}
	a.loads, a.reportedAt = a.loads[:0], time.Time{}
	f.reporting--
	f.reportingMilli -= a.capacityMilli
	f.changed = true
}

// add adds a load to the sums, or subtracts it with sign -1. The sums are integers, so that they
// don't drift.
func (f *Fleet) add(q *queue, l *Load, sign int64) {
	q.inUseMilli += sign * l.InUseMilli
	q.queuedMilli += sign * l.QueuedMilli
	q.tasks += sign * l.Tasks
	q.lateTasks += sign * l.lateTasks
	f.inUseMilli += sign * l.InUseMilli
	f.queuedMilli += sign * l.QueuedMilli
}

// Configure sets the priority and the weight of a queue; 0 is the most urgent. It is called with
// each job, and cheap if nothing changes.
func (f *Fleet) Configure(name string, priority int, weight float64) {
	q := f.queue(name)
	weight = ValidWeight(weight)
	if q.priority == priority && q.weight == weight {
		return
	}
	q.priority, q.weight, f.changed = priority, weight, true
	f.sort()
}

// ValidWeight returns the weight, or 1 if it is not a finite number over 0.
func ValidWeight(weight float64) float64 {
	if weight > 0 && !math.IsInf(weight, 1) {
		return weight
	}
	return 1
}

// unknownPriority is that of a queue of which this entry has had no job: the least urgent.
const unknownPriority = math.MaxInt

// queue returns the state of a queue, and creates it if needed. At the limit, queues without
// reports are dropped.
func (f *Fleet) queue(name string) *queue {
	if q := f.queues[name]; q != nil {
		return q
	}
	if len(f.queues) >= 4*MaxQueues {
		for n, q := range f.queues {
			if q.reporters == 0 {
				delete(f.queues, n)
			}
		}
	}
	q := &queue{Status: Status{Queue: name}, priority: unknownPriority, weight: 1}
	f.queues[name] = q
	f.sort()
	return q
}

func (f *Fleet) sort() {
	f.ordered = f.ordered[:0]
	for _, q := range f.queues {
		f.ordered = append(f.ordered, q)
	}
	slices.SortFunc(f.ordered, func(a, b *queue) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.Queue, b.Queue))
	})
}

// RecordOutcome counts an admitted or refused job. Refused jobs send no orders, so agents don't see
// their demand; the counts of the entry stand for those of its peers.
func (f *Fleet) RecordOutcome(now time.Time, name string, admitted bool) {
	f.queue(name).outcomes.Record(now, admitted)
}

// Expire drops the reports that are too old. A report without load stays: its agent has nothing to
// repeat.
func (f *Fleet) Expire(now time.Time) {
	for _, a := range f.agents {
		if a.reporting() && now.Sub(a.reportedAt) > reportTTL && !a.unloaded() {
			f.dropReport(a)
		}
	}
}

func (a *agent) unloaded() bool {
	for i := range a.loads {
		if l := &a.loads[i]; l.InUseMilli != 0 || l.QueuedMilli != 0 || l.Tasks != 0 {
			return false
		}
	}
	return true
}

// Known reports whether the agents that report are enough of the fleet to decide by.
func (f *Fleet) Known() bool {
	return f.reporting > 0 && float64(f.reportingMilli) >= minCoverage*float64(f.capacityMilli)
}

// Statuses returns the state of all queues by priority. The slice is valid until the next call.
func (f *Fleet) Statuses(now time.Time) []Status {
	f.refresh(now)
	f.statuses = f.statuses[:0]
	for _, q := range f.ordered {
		f.statuses = append(f.statuses, q.Status)
	}
	return f.statuses
}

// Total is the state of all queues together.
type Total struct {
	Load     float64 // processor in use and queued, as a share of the capacity
	Pressure float64 // share of tasks that could not start in time
}

// Total returns the state over all agents that report, and false if they are not enough to decide by.
func (f *Fleet) Total() (Total, bool) {
	if !f.Known() || f.reportingMilli == 0 {
		return Total{}, false
	}
	t := Total{Load: float64(f.inUseMilli+f.queuedMilli) / float64(f.reportingMilli)}
	tasks, late := int64(0), int64(0)
	for _, q := range f.ordered {
		tasks, late = tasks+q.tasks, late+q.lateTasks
	}
	if tasks > 0 {
		t.Pressure = float64(late) / float64(tasks)
	}
	return t, true
}

// Status returns the state of a queue.
func (f *Fleet) Status(now time.Time, name string) Status {
	f.refresh(now)
	if q := f.queues[name]; q != nil {
		return q.Status
	}
	return Status{Queue: name}
}
