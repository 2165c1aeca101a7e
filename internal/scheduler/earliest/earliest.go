// Package earliest places the tasks of a job where they are expected to end early, and
// before their caller's objective, on targets whose room is an amount of processors and
// memory.
//
// The load it answers: jobs of a few to some tens of tasks that earn by their last
// task, on targets whose speeds differ by more than two, with several entries that
// place at the same time and know of each other's orders a few milliseconds late.
//
// What goes wrong without it: placing by free room alone puts one task of a job on a
// slow target, and the whole job is as late as that task. Placing by speed alone
// fills the fast targets until their queues are longer than the slow ones are slow.
// The expected end weighs both, and as every task placed is counted in at once, the
// tasks of one job spread by themselves. The end alone still lets work wait at the fast
// targets while slow ones that would be in time are idle: callers see that as late
// answers while targets have room.
package earliest

import "github.com/camphorrack/camphorrack/internal/job"

// None is the index of no candidate.
const None = -1

// Candidate is a target as a placement sees it.
type Candidate struct {
	Free        job.Demand
	Total       job.Demand
	WaitMs      float64 // predicted wait where there is no room now
	AddedWaitMs float64 // the same for what was placed since the prediction
	Speed       float64
	RoundTripMs float64 // to the target and back
	FailureRate float64 // part of what it ran lately that failed, 0 to 1
	StepTasks   int     // tasks of the step that are placed here
	// BodyTransmitMs is how long the entry's link takes to send the job's body, for a candidate that
	// has no task of the step yet.
	BodyTransmitMs float64
}

// Task is what is to be placed.
type Task struct {
	Demand     job.Demand
	EstimateMs float64
	// RemainingMs is the time from now by which the task must end for its job to be in time.
	RemainingMs float64
	// MaxPerTarget bounds the step's tasks on one target; 0: no bound.
	MaxPerTarget int
	// RemoteFactor is how many times longer the task takes where Near says false.
	RemoteFactor float64
	// Fits reports whether a candidate may take the task at all; nil means all.
	Fits func(i int) bool
	// IsLocal reports whether a candidate is near the task's data; nil means all are.
	IsLocal func(i int) bool
}

// failedMs is what a target that fails everything is put back by, in expected time. A
// failed task costs its run, the way back and a second run: about two of the longest
// tasks. A target that fails fast looks idle and would draw all work without it.
const failedMs = 2000

// Choice is where a task goes.
type Choice struct {
	Index   int // None where no candidate may take it
	EndMs   float64
	StartMs float64 // the wait there that EndMs reckons with
	FitsNow bool    // there is room for it now
}

// Choose returns the candidate on which it costs least to place the task: one on which it
// is expected to end early and in time. Entries that see the same loads don't all meet on
// one target: each counts its own orders in, and what is taken puts a target back.
func Choose(t Task, candidates []Candidate) Choice {
	best, bestCost := Choice{Index: None}, 0.0
	for i := range candidates {
		c := &candidates[i]
		if !t.Demand.Fits(c.Total) || t.MaxPerTarget > 0 && c.StepTasks >= t.MaxPerTarget || t.Fits != nil && !t.Fits(i) {
			continue
		}
		startMs, runMs := c.startMs(&t.Demand), c.runMs(&t, i)
		end := c.RoundTripMs + startMs + runMs + c.TransmitMs()
		cost := endCostMs(end, runMs, t.RemainingMs) + c.FailureRate*failedMs + waitAversion*startMs + c.crowdMs(&t) + sendAversion*c.TransmitMs()
		if best.Index == None || cost < bestCost {
			best, bestCost = Choice{Index: i, EndMs: end, StartMs: startMs, FitsNow: t.Demand.Fits(c.Free)}, cost
		}
	}
	return best
}

// crowdingMs and crowdingShare are what a target's last room is put back by, against
// its first: a time, and a part of the task's own. Several entries place at the same
// time on loads that are some milliseconds old, by speeds that are measured from
// estimates. With the seemingly fastest target always first, they meet on it while
// the next one is empty. Room left on each target takes up what the others place
// meanwhile.
const (
	crowdingMs    = 60
	crowdingShare = 0.15
)

// waitFactor and waitMarginMs make a predicted wait longer than it is predicted, where
// it counts towards an end: what others place meanwhile goes before it as often as not.
// waitAversion puts a target where the task would wait back further, against one that
// has room now, since a wait may come out much longer and a run seldom does.
const (
	waitFactor   = 1.4
	waitMarginMs = 8
	waitAversion = 1.5
)

// sendAversion is the cost of a time for which the entry's link is taken: orders of other jobs
// wait for it.
const sendAversion = 4

// TransmitMs is how long the entry's link takes to send a task's order.
func (c *Candidate) TransmitMs() float64 {
	if c.StepTasks > 0 {
		return 0
	}
	return c.BodyTransmitMs
}

// endShare is the cost of an end before the objective, against what crowding and waits
// cost: whole, fast targets are crowded while slow ones that would do are idle; too small,
// an answer comes as late as it may. overCost is the cost of each unit by which a run that
// takes runMargin longer than expected would end past the objective.
const (
	endShare  = 0.5
	overCost  = 2
	runMargin = 0.3
)

// endCostMs is the cost of a run that ends then, with so much time left for it.
func endCostMs(endMs, runMs, leftMs float64) float64 {
	overMs := endMs + runMargin*runMs - leftMs
	return endShare*endMs + overCost*max(0, overMs)
}

// crowdMs is the cost of taking room on the candidate, by the part of it that is
// taken then.
func (c *Candidate) crowdMs(t *Task) float64 {
	taken := c.Total.CPUMilli - c.Free.CPUMilli + t.Demand.CPUMilli
	return (crowdingMs + crowdingShare*t.EstimateMs) * float64(taken) / float64(max(c.Total.CPUMilli, 1))
}

func (c *Candidate) runMs(t *Task, i int) float64 {
	run := t.EstimateMs / c.Speed
	if t.IsLocal != nil && !t.IsLocal(i) {
		run *= t.RemoteFactor
	}
	return run
}

// startMs is the expected time until the task starts, longer than predicted where it waits.
func (c *Candidate) startMs(d *job.Demand) float64 {
	if d.Fits(c.Free) {
		return 0
	}
	return waitFactor*(c.WaitMs+c.AddedWaitMs) + waitMarginMs
}

// Reserve counts a placed task in.
func (c *Candidate) Reserve(t Task, i int) {
	c.StepTasks++
	if !t.Demand.Fits(c.Free) {
		c.AddedWaitMs += c.runMs(&t, i) * float64(t.Demand.CPUMilli) / float64(max(c.Total.CPUMilli, 1))
	}
	c.Free = c.Free.Minus(t.Demand)
}
