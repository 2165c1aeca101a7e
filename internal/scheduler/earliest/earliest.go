// Package earliest selects the target of each task of a job: one on which the task is
// expected to end early, and before the caller's objective. The capacity of targets is an
// amount of processors and memory.
//
// Jobs have a few to some tens of tasks and complete with their last task. The speeds of
// targets differ by a factor of more than two, and several entries place tasks at the same
// time, with a delay of a few milliseconds until they learn of each other's orders.
//
// Placement by free capacity alone puts one task of a job on a slow target and delays the
// whole job by it. Placement by speed alone fills the fast targets until waiting for them
// takes longer than running on a slow one. The expected end accounts for both, and because
// each placed task is included at once, the tasks of one job are spread over targets. But
// by the expected end alone, tasks would wait for fast targets while slow ones that would
// meet the objective are idle, and callers would get late answers while capacity is free.
// The cost in Choose therefore adds penalties for waiting and for occupied targets.
package earliest

import "github.com/camphorrack/camphorrack/internal/job"

// None is the Choice.Index if no candidate is suitable.
const None = -1

// Candidate is the state of a target that a placement considers.
type Candidate struct {
	Free        job.Demand
	Total       job.Demand
	WaitMs      float64 // predicted wait for capacity if the task does not fit now
	AddedWaitMs float64 // wait added by tasks placed since that prediction
	Speed       float64 // relative to a target of speed 1
	RoundTripMs float64 // network time to the target and back
	FailureRate float64 // share of its recent tasks that failed, 0 to 1
	JobTasks    int     // number of open tasks of the job, of all steps, on the target
	// BodyTransmitMs is the time for which the entry's link is busy sending the job's body. It
	// applies to the first task of the job on the target.
	BodyTransmitMs float64
}

// Task is a task to be placed.
type Task struct {
	Demand     job.Demand
	EstimateMs float64 // expected run time at speed 1
	// RemainingMs is the time left until the task must end for its job to meet the objective.
	RemainingMs float64
	// MaxPerTarget bounds Candidate.JobTasks; 0: no bound.
	MaxPerTarget int
	// RemoteFactor multiplies the run time on candidates for which IsLocal is false.
	RemoteFactor float64
	// Fits reports whether the candidate with index i is eligible; nil: all are.
	Fits func(i int) bool
	// IsLocal reports whether the candidate with index i is near the task's data; nil: all are.
	IsLocal func(i int) bool
}

// failurePenaltyMs is the cost, in expected time, of a target on which every task fails. A
// failed task costs its run, the way back and a second run: about two of the longest
// tasks. Without the penalty, a target that fails fast looks idle and attracts all work.
const failurePenaltyMs = 2000

// Choice is the result of a placement.
type Choice struct {
	Index   int     // in the candidates; None if no candidate is suitable
	EndMs   float64 // expected time until the task's result arrives
	StartMs float64 // the wait for capacity included in EndMs
	FitsNow bool    // the target has free capacity for the task now
}

// Choose returns the candidate with the lowest cost for the task: one on which the task is
// expected to end early and in time. Entries that know the same loads don't all choose the
// same target, because each includes its own orders and occupied capacity adds to the cost.
// The caller calls Reserve on the chosen candidate before it places the next task.
func Choose(t Task, candidates []Candidate) Choice {
	best, bestCost := Choice{Index: None}, 0.0
	for i := range candidates {
		choice, cost := candidates[i].evaluate(&t, i)
		if choice.Index != None && (best.Index == None || cost < bestCost) {
			best, bestCost = choice, cost
		}
	}
	return best
}

// evaluate returns the choice of the candidate, which has index i, and its cost. The Index is
// None if the candidate is not suitable.
func (c *Candidate) evaluate(t *Task, i int) (Choice, float64) {
	if !t.Demand.Fits(c.Total) || t.MaxPerTarget > 0 && c.JobTasks >= t.MaxPerTarget || t.Fits != nil && !t.Fits(i) {
		return Choice{Index: None}, 0
	}
	startMs, runMs := c.startMs(&t.Demand), c.runMs(t, i)
	end := c.RoundTripMs + startMs + runMs + c.TransmitMs()
	cost := endCostMs(end, runMs, t.RemainingMs) + c.FailureRate*failurePenaltyMs + waitPenalty*startMs + c.occupancyCostMs(t) + transmitPenalty*c.TransmitMs()
	return Choice{Index: i, EndMs: end, StartMs: startMs, FitsNow: t.Demand.Fits(c.Free)}, cost
}

// ChooseSeveral returns the candidates with the lowest costs, in rising order of cost; with
// waitingOnly set, only candidates on which the task would have to wait. It returns as many as fit
// into the capacity of list, whose storage it uses.
func ChooseSeveral(t Task, candidates []Candidate, waitingOnly bool, list []Choice) []Choice {
	var costs [maxSeveral]float64
	limit := min(cap(list), maxSeveral)
	list = list[:0]
	for i := range candidates {
		if waitingOnly && t.Demand.Fits(candidates[i].Free) {
			continue
		}
		choice, cost := candidates[i].evaluate(&t, i)
		if choice.Index == None || len(list) == limit && cost >= costs[limit-1] {
			continue
		}
		if len(list) < limit {
			list = list[:len(list)+1]
		}
		at := len(list) - 1
		for ; at > 0 && cost < costs[at-1]; at-- {
			list[at], costs[at] = list[at-1], costs[at-1]
		}
		list[at], costs[at] = choice, cost
	}
	return list
}

// maxSeveral limits the number of results of ChooseSeveral.
const maxSeveral = 8

// WaitMs returns the predicted wait for capacity, without the increase that StartMs contains.
func (c Choice) WaitMs() float64 { return max(0, (c.StartMs-waitMarginMs)/waitFactor) }

// occupancyBaseMs and occupancyRunShare are the cost of a full target compared with an empty
// one: a fixed time, and a share of the task's estimate. Several entries place tasks at the
// same time, on load data that is some milliseconds old and with speeds measured from
// estimates. If the apparently fastest target were always chosen first, they would collide on
// it while the next one is empty. Free capacity on each target absorbs the tasks that other
// entries place meanwhile.
const (
	occupancyBaseMs   = 60
	occupancyRunShare = 0.15
)

// waitFactor and waitMarginMs increase the predicted wait that is part of an expected end,
// because about half of the tasks that other entries place meanwhile start first.
// waitPenalty is an additional cost per unit of wait, compared with a target that has free
// capacity, since a wait can become much longer than expected and a run rarely does.
const (
	waitFactor   = 1.4
	waitMarginMs = 8
	waitPenalty  = 1.5
)

// transmitPenalty is the cost per unit of time for which the entry's link is busy, because
// orders of other jobs wait for the link.
const transmitPenalty = 4

// TransmitMs returns how long the entry's link is busy sending the task's order: 0 if the job's
// body is sent to the target already.
func (c *Candidate) TransmitMs() float64 {
	if c.JobTasks > 0 {
		return 0
	}
	return c.BodyTransmitMs
}

// endCostFactor is the cost per unit of time until the expected end, relative to the costs of
// occupancy and waiting. At 1, fast targets fill up while slow ones that would meet the
// objective are idle; if it is too small, answers arrive as late as the objective permits.
// lateCostFactor is the cost per unit by which a run that takes longer than expected by the
// share runMargin would end after the objective.
const (
	endCostFactor  = 0.5
	lateCostFactor = 2
	runMargin      = 0.3
)

// endCostMs returns the cost of the expected end of a run, given the time remaining until the
// objective.
func endCostMs(endMs, runMs, remainingMs float64) float64 {
	lateMs := endMs + runMargin*runMs - remainingMs
	return endCostFactor*endMs + lateCostFactor*max(0, lateMs)
}

// occupancyCostMs returns the cost of the share of the candidate's processors that is in use
// with the task.
func (c *Candidate) occupancyCostMs(t *Task) float64 {
	used := c.Total.CPUMilli - c.Free.CPUMilli + t.Demand.CPUMilli
	return (occupancyBaseMs + occupancyRunShare*t.EstimateMs) * float64(used) / float64(max(c.Total.CPUMilli, 1))
}

// runMs returns the expected run time on the candidate, which has index i.
func (c *Candidate) runMs(t *Task, i int) float64 {
	run := t.EstimateMs / c.Speed
	if t.IsLocal != nil && !t.IsLocal(i) {
		run *= t.RemoteFactor
	}
	return run
}

// startMs returns the expected time until the task starts: 0 if it fits now, else the predicted
// wait increased by waitFactor and waitMarginMs.
func (c *Candidate) startMs(d *job.Demand) float64 {
	if d.Fits(c.Free) {
		return 0
	}
	return waitFactor*(c.WaitMs+c.AddedWaitMs) + waitMarginMs
}

// Reserve includes a task placed on the candidate, which has index i, in the candidate's state:
// free capacity, wait and number of tasks.
func (c *Candidate) Reserve(t Task, i int) {
	c.JobTasks++
	if !t.Demand.Fits(c.Free) {
		c.AddWait(t, i, 1)
	}
	c.Free = c.Free.Sub(t.Demand)
}

// AddWait includes a share of a task that waits on the candidate, which has index i, in the
// candidate's predicted wait.
func (c *Candidate) AddWait(t Task, i int, share float64) {
	c.AddedWaitMs += share * c.runMs(&t, i) * float64(t.Demand.CPUMilli) / float64(max(c.Total.CPUMilli, 1))
}
