package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/fairshare"
	"github.com/camphorrack/camphorrack/internal/scheduler/reservation"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// pressureInterval is how often the states of queues are compared with those last logged.
	pressureInterval = 200 * time.Millisecond
	// pressureLogInterval is the shortest time between two such log lines of a queue, and between
	// those of rejected reports.
	pressureLogInterval = time.Second
	// loggedPressureChange is the change of a queue's pressure that is logged.
	loggedPressureChange = 0.1
)

// fairness is the state of the shares of queues.
type fairness struct {
	fleets     map[string]*fairshare.Fleet // by service
	queues     map[string]*queueFairness   // by queue; at most maxQueues
	short      map[string]bool             // services whose fleet is short of capacity
	buffer     []fairshare.Load            // reused for each report
	updatedAt  time.Time
	rejectedAt time.Time // when a rejected report was last logged
}

// queueFairness is what this entry knows of its jobs of a queue.
type queueFairness struct {
	entry    fairshare.Parity // jobs of this entry, compared with an entry without delay of its link
	large    fairshare.Parity // large jobs, compared with all
	sizes    fairshare.Sizes
	refused  uint64
	loggedAt time.Time
	pressure float64 // as last logged
	over     bool    // the same
}

func newFairness() fairness {
	return fairness{fleets: map[string]*fairshare.Fleet{}, queues: map[string]*queueFairness{}, short: map[string]bool{}}
}

func (f *fairness) queue(name string) *queueFairness {
	q := f.queues[name]
	if q == nil {
		if len(f.queues) >= maxQueues {
			clear(f.queues)
		}
		q = &queueFairness{}
		f.queues[name] = q
	}
	return q
}

// updateFleet takes an agent's state and its queue loads, if any, into the sums of its service. An
// agent whose target takes no orders does not count.
func (c *Core) updateFleet(a *agent, loads []wire.QueueLoad) {
	if a.target == nil || a.load.Down || a.load.Leaving {
		c.joinFleet(a, "", false)
		return
	}
	c.joinFleet(a, a.target.Service, true)
	a.fleet.SetAgent(uint64(a.conn), int64(a.target.Capacity.CPUMilli))
	if len(loads) == 0 {
		return
	}
	c.fairness.buffer = c.fairness.buffer[:0]
	for _, l := range loads {
		c.fairness.buffer = append(c.fairness.buffer, fairshare.Load{
			Queue: l.Queue, InUseMilli: l.InUseMilli, QueuedMilli: l.QueuedMilli, LateShare: l.LateShare, Tasks: l.Tasks,
		})
	}
	err := a.fleet.Report(c.now, uint64(a.conn), c.fairness.buffer)
	if err != nil && c.now.Sub(c.fairness.rejectedAt) >= pressureLogInterval {
		c.fairness.rejectedAt = c.now
		event.Log(c.log, event.QueuePressure, "host", a.host, "error", err.Error())
	}
}

// joinFleet moves an agent to the fleet of a service, or to none if member is false.
func (c *Core) joinFleet(a *agent, service string, member bool) {
	var fleet *fairshare.Fleet
	if member {
		fleet = c.fairness.fleets[service]
		if fleet == nil {
			fleet = fairshare.NewFleet()
			c.fairness.fleets[service] = fleet
		}
	}
	if a.fleet == fleet {
		return
	}
	if a.fleet != nil {
		a.fleet.RemoveAgent(uint64(a.conn))
	}
	a.fleet = fleet
}

// knownFleet returns the fleet of the job's service if its reports are enough to decide by, else nil.
func (c *Core) knownFleet(l *liveJob) *fairshare.Fleet {
	fleet := c.fairness.fleets[l.Queue.Service]
	if fleet == nil || !fleet.Known() {
		return nil
	}
	return fleet
}

// admissionMargin returns the margin of a job that must wait for capacity: the one that the pressure
// of the fleet calls for, or without reports the one learned from the outcomes at this entry.
func (c *Core) admissionMargin(l *liveJob) time.Duration {
	if fleet := c.knownFleet(l); fleet != nil {
		longest := time.Duration(0)
		for _, path := range l.criticalPaths {
			longest = max(longest, path)
		}
		return fleet.Margin(c.now, l.Queue.Name, l.objective.Sub(c.now)-longest)
	}
	return c.margin(l.Queue).For(c.now, l.objective.Sub(c.now))
}

// checkTime returns a fault if a job with this predicted end, in milliseconds from now, is refused;
// fitsNow states that there is free capacity for its first tasks. It counts the decision.
func (c *Core) checkTime(l *liveJob, endMs float64, fitsNow bool) *fault.Fault {
	fleet, q := c.fairness.fleets[l.Queue.Service], c.fairness.queue(l.Queue.Name)
	if fleet != nil {
		fleet.Configure(l.Queue.Name, l.Queue.Priority, l.Queue.Weight)
	}
	var margin time.Duration
	if !fitsNow {
		margin = c.admissionMargin(l)
	}
	relief := 1.0
	isLarge := q.sizes.Add(l.work())
	known := c.knownFleet(l)
	if known != nil {
		relief = q.entry.Relief(c.now)
		if isLarge {
			relief = min(relief, q.large.Relief(c.now))
		}
	}
	limit := c.maxPredictedEndMs(l, time.Duration(relief*float64(margin)))
	inTime := endMs <= limit
	held := inTime && known != nil && known.Hold(c.now, l.Queue.Name)
	admitted := inTime && !held
	if fleet != nil {
		fleet.RecordOutcome(c.now, l.Queue.Name, admitted)
	}
	q.entry.RecordGroup(c.now, admitted)
	q.entry.RecordReference(c.now, !held && endMs-c.linkDelayMs(l) <= c.maxPredictedEndMs(l, margin))
	q.large.RecordReference(c.now, admitted)
	if isLarge {
		q.large.RecordGroup(c.now, admitted)
	}
	if admitted {
		return nil
	}
	detail := "it can't be done in time"
	switch {
	case held:
		detail = "its queue is over its share of the capacity, and another one is under its own"
	case endMs <= c.maxPredictedEndMs(l, 0):
		detail = "it would have to wait, and too many jobs that wait are late"
	}
	retryAfter := c.retrySchedule.RetryAfter(c.now, clock.FromMillis(max(endMs-limit, 0)), l.Queue.Priority)
	return fault.Refused(fault.Overloaded, detail, retryAfter)
}

// work returns the size of a job: the product of processor and time of its tasks.
func (j *Job) work() float64 {
	sum := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += float64(s.Count) * float64(s.Demand.CPUMilli) * clock.Millis(s.Estimate)
	}
	return sum
}

// linkDelayMs estimates how long the first tasks of a job wait for this entry's own link.
func (c *Core) linkDelayMs(l *liveJob) float64 {
	waiting := 0
	for i := range l.tasks {
		if l.tasks[i].state == taskWaiting {
			waiting++
		}
	}
	copies := min(waiting, len(c.candidateAgents))
	return c.link.WaitMs(c.now) + c.link.TransmitMs(copies*(frameBytes+len(l.Spec)))
}

// recordRefusal counts a refused job and returns the state of its queue for the log line.
func (c *Core) recordRefusal(l *liveJob) fairshare.Status {
	c.fairness.queue(l.Queue.Name).refused++
	if fleet := c.knownFleet(l); fleet != nil {
		return fleet.Status(c.now, l.Queue.Name)
	}
	return fairshare.Status{}
}

// updatePressure drops old reports, and logs the queues whose state has changed clearly.
func (c *Core) updatePressure() {
	if c.now.Sub(c.fairness.updatedAt) < pressureInterval {
		return
	}
	c.fairness.updatedAt = c.now
	for _, service := range slices.Sorted(maps.Keys(c.fairness.fleets)) {
		fleet := c.fairness.fleets[service]
		if fleet.Empty() {
			delete(c.fairness.fleets, service)
			delete(c.fairness.short, service)
			continue
		}
		fleet.Expire(c.now)
		c.updateShort(service, fleet)
		if !fleet.Known() {
			continue
		}
		for _, s := range fleet.Statuses(c.now) {
			c.logPressure(&s)
		}
	}
}

// updateShort decides whether the fleet of a service is short of capacity.
func (c *Core) updateShort(service string, fleet *fairshare.Fleet) {
	total, known := fleet.Total()
	if reservation.Short(c.fairness.short[service], reservation.FleetLoad{Known: known, Load: total.Load, Pressure: total.Pressure}) {
		c.fairness.short[service] = true
		return
	}
	delete(c.fairness.short, service)
}

// ShortFleets returns the number of services whose fleet is short of capacity.
func (c *Core) ShortFleets() int { return len(c.fairness.short) }

func (c *Core) logPressure(s *fairshare.Status) {
	q := c.fairness.queue(s.Queue)
	if c.now.Sub(q.loggedAt) < pressureLogInterval || math.Abs(s.Pressure-q.pressure) < loggedPressureChange && s.OverShare() == q.over {
		return
	}
	q.loggedAt, q.pressure, q.over = c.now, s.Pressure, s.OverShare()
	event.Log(c.log, event.QueuePressure, "queue", s.Queue, "pressure", s.Pressure, "usage", s.Usage, "share", s.Share,
		"over", s.OverShare(), "margin_share", s.Margin)
}

// QueueStatus is the state of a queue over the agents that this entry hears.
type QueueStatus struct {
	fairshare.Status
	Refused uint64 // jobs refused by this entry
}

// QueueStatuses returns the states of at most n queues, those with the highest usage first.
func (c *Core) QueueStatuses(n int) []QueueStatus {
	var all []QueueStatus
	for _, fleet := range c.fairness.fleets {
		for _, s := range fleet.Statuses(c.now) {
			all = append(all, QueueStatus{Status: s, Refused: c.fairness.queue(s.Queue).refused})
		}
	}
	slices.SortFunc(all, func(a, b QueueStatus) int {
		return cmp.Or(cmp.Compare(b.Usage, a.Usage), cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Queue, b.Queue))
	})
	return all[:min(n, len(all))]
}
