// Package placement decides on which target a task starts, or that it waits.
//
// Targets differ in speed by a factor of three, a few tasks take seconds among many of
// 50 ms, and at any moment only some targets have a free slot. A task that is pushed to a
// target without a free slot waits in a queue that cannot be reordered: under random push
// the median response is over ten times the ideal at 0.8 of capacity. Starting a task
// wherever a slot is free can give a task of several seconds to the slowest target while a
// fast one frees a slot in 20 ms, and the answer of the whole job waits for that task.
//
// A choice has three steps. The feasibility step drops targets without a credit or without
// the resources; the ranking step orders the rest by the time at which the task would end
// there; the selection step depends on whether the task is on the critical path of its job:
//   - A task that would end before other tasks of its job cannot make the answer earlier.
//     It is started on the slowest target on which that still holds, which leaves the fast
//     targets to tasks on a critical path.
//   - A task on the critical path is started on the target that ends it first, or held when
//     a target that is busy now is expected to end it clearly earlier.
//
// Holding is useful only together with the first rule: without it nearly every task waits
// for the fast targets, the slow ones are idle, and at 0.95 of capacity the queue grows
// without bound. Where run times are uncertain, both rules become more cautious in
// proportion to the error factor of the estimates.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/job"
)

const (
	// HoldMargin is the fraction by which an expected wait is lengthened. Waits are far
	// less certain than run times, so a tie is decided for the slot that is free now.
	HoldMargin = 0.25
	// RemoteDataCentreMs is the round trip to a target in another data centre.
	RemoteDataCentreMs = 3
	// AvoidedRackFactor multiplies the expected time on a target in a rack that the job
	// asked to avoid. The tasks are spread over racks where there is a choice, but not at
	// any price.
	AvoidedRackFactor = 4
)

// Policy is a placement policy.
type Policy int

// Policies. All but EarliestFinish are baselines for comparison: Random and TwoChoices
// push without credits, AnyFree chooses a random target with a credit.
const (
	EarliestFinish Policy = iota
	Random
	TwoChoices
	AnyFree
)

// Candidate is the state of a target as the owner of the job knows it.
type Candidate struct {
	AgentID uint64
	Classes []string // classes of tasks that it serves; empty: all
	Speed   float64  // measured, relative to a target of speed 1
	Credits int      // number of starts that the target allows now
	// InFlight is the number of the owner's tasks sent there and not finished. It is
	// compared with MaxInFlight, and TwoChoices prefers the lower one.
	InFlight int
	// WaitMs is the expected time until a target without a credit grants one; 0 means
	// unknown, and then no task is held for it.
	WaitMs      float64
	Free        job.Demand // resources that no task occupies
	Rack        string
	DataCentre  string
	PenaltyMs   float64 // added to the expected end, for a target that is less trusted
	Local       bool    // in the owner's data centre
	MaxInFlight int     // limit of InFlight, by the target's health
}

// Task is a task to be placed.
type Task struct {
	Class      string
	EstimateMs float64 // at speed 1
	Demand     job.Demand
	// SlackMs is the time from now until the other started tasks of the job are expected
	// to end; 0 where none has started.
	SlackMs float64
	// ErrorFactor is the factor by which run times typically differ from their estimates;
	// below 1 counts as 1.
	ErrorFactor float64
	AvoidRacks  []string      // racks that hold tasks of a job that asked to be spread over racks
	DeadlineIn  time.Duration // 0: none
}

// Options select the policy.
type Options struct {
	Policy Policy
	// NoHold disables holding for a busy target: a task starts whenever a target with a
	// credit is feasible.
	NoHold bool
	// Random is the source of randomness of the baseline policies.
	Random *rand.Rand
}

// Reason is the reason for a choice.
type Reason uint8

// Reasons for a choice.
const (
	Best          Reason = iota // the task ends first on this target
	OffPath                     // the task ends before the rest of its job; faster targets are left free
	Only                        // no other target was feasible
	HeldForFaster               // held: a busy target is expected to end the task earlier
	NoCredit                    // held: no target has a credit for this owner
	NoRoom                      // held: no target with a credit has the resources that the task needs
	NoTarget                    // held: there are no candidates
	Pushed                      // chosen by a push policy, credit or not
)

var reasonNames = [...]string{"best", "off_path", "only", "held_for_faster", "no_credit", "no_room", "no_target", "pushed"}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// None is the index that stands for no candidate.
const None = -1

// Choice is the result of a placement. RunnerUp is the next best candidate, or the target
// that the task is held for, or None.
type Choice struct {
	Index    int // None: hold the task
	Reason   Reason
	RunnerUp int
	// EndMs is the time from now until the task is expected to end, on the chosen target
	// or on the one it is held for; 0 where it is unknown.
	EndMs float64
}

// Choose selects a candidate for t, or holds the task. It does not allocate and keeps no
// reference to its arguments.
func Choose(t Task, cs []Candidate, o Options) Choice {
	if len(cs) == 0 {
		return Choice{Index: None, Reason: NoTarget, RunnerUp: None}
	}
	switch o.Policy {
	case Random, TwoChoices:
		return pushChoice(t, cs, o)
	case AnyFree:
		return anyFree(t, cs, o)
	default:
		return earliestFinish(t, cs, o)
	}
}

// ranked is a candidate with the time at which the task would end there.
type ranked struct {
	index int
	endMs float64
}

var noCandidate = ranked{None, math.Inf(1)}

// ranking is the result of one pass over the candidates.
type ranking struct {
	best, second ranked // with a credit, earliest end
	offPath      ranked // with a credit, latest end within the slack
	busy         ranked // without a credit, earliest end after the wait for one
	anyCredit    bool   // at least one candidate has a credit
}

// earliestFinish is the selection step of the EarliestFinish policy.
func earliestFinish(t Task, cs []Candidate, o Options) Choice {
	r := rank(&t, cs)
	switch {
	case r.best.index == None:
		return Choice{Index: None, Reason: infeasibleReason(r.anyCredit), RunnerUp: r.busy.index}
	case r.offPath.index != None && r.offPath.index != r.best.index:
		return Choice{r.offPath.index, OffPath, r.best.index, r.offPath.endMs}
	case r.best.endMs > t.SlackMs && !o.NoHold && r.busy.endMs < r.best.endMs:
		return Choice{None, HeldForFaster, r.busy.index, r.busy.endMs}
	case r.second.index == None:
		return Choice{r.best.index, Only, r.busy.index, r.best.endMs}
	default:
		return Choice{r.best.index, Best, r.second.index, r.best.endMs}
	}
}

// rank is the feasibility and the ranking step, in one pass over the candidates.
func rank(t *Task, cs []Candidate) ranking {
	r := ranking{best: noCandidate, second: noCandidate, offPath: ranked{None, 0}, busy: noCandidate}
	errorFactor := max(t.ErrorFactor, 1)
	// The estimates of this task and of those that determine the slack may both be off
	// by the error factor.
	slackMs := t.SlackMs / (errorFactor * errorFactor)
	for i := range cs {
		c := &cs[i]
		r.anyCredit = r.anyCredit || c.Credits > 0
		if !fits(t, c) {
			continue
		}
		end := endMs(t, c)
		if c.Credits <= 0 {
			if endAfterWait := c.WaitMs*(1+HoldMargin)*errorFactor + end; c.WaitMs > 0 && endAfterWait < r.busy.endMs {
				r.busy = ranked{i, endAfterWait}
			}
			continue
		}
		r.add(ranked{i, end}, slackMs)
	}
	return r
}

// add ranks a candidate with a credit.
func (r *ranking) add(c ranked, slackMs float64) {
	switch {
	case c.endMs < r.best.endMs:
		r.best, r.second = c, r.best
	case c.endMs < r.second.endMs:
		r.second = c
	}
	if c.endMs <= slackMs && c.endMs > r.offPath.endMs {
		r.offPath = c
	}
}

// infeasibleReason returns why no candidate with a credit is feasible.
func infeasibleReason(anyCredit bool) Reason {
	if anyCredit {
		return NoRoom
	}
	return NoCredit
}

// fits is the feasibility step, except for the check of credits.
func fits(t *Task, c *Candidate) bool {
	return c.MaxInFlight > c.InFlight && t.Demand.Fits(c.Free) && serves(c, t.Class)
}

func serves(c *Candidate, class string) bool {
	return len(c.Classes) == 0 || slices.Contains(c.Classes, class)
}

// endMs is the key of the ranking step: the time in milliseconds until the task would end
// on c if it started now.
func endMs(t *Task, c *Candidate) float64 {
	ms := t.EstimateMs/c.Speed + c.PenaltyMs
	if !c.Local {
		ms += RemoteDataCentreMs
	}
	for _, rack := range t.AvoidRacks {
		if rack == c.Rack {
			return ms * AvoidedRackFactor
		}
	}
	return ms
}

// anyFree chooses a random feasible candidate with a credit: late binding that ignores
// the targets' speeds.
func anyFree(t Task, cs []Candidate, o Options) Choice {
	anyCredit := false
	start := o.Random.IntN(len(cs))
	for n := range cs {
		i := (start + n) % len(cs)
		if cs[i].Credits <= 0 {
			continue
		}
		anyCredit = true
		if fits(&t, &cs[i]) {
			return Choice{i, Only, None, endMs(&t, &cs[i])}
		}
	}
	return Choice{Index: None, Reason: infeasibleReason(anyCredit), RunnerUp: None}
}

// pushChoice chooses a candidate whether or not it has a credit: a random one, or the one
// with fewer tasks in flight of two random ones.
func pushChoice(t Task, cs []Candidate, o Options) Choice {
	first := pickFeasible(t, cs, o.Random)
	if first == None {
		return Choice{Index: None, Reason: NoRoom, RunnerUp: None}
	}
	if o.Policy == Random {
		return Choice{first, Pushed, None, endMs(&t, &cs[first])}
	}
	second := pickFeasible(t, cs, o.Random)
	if cs[second].InFlight < cs[first].InFlight {
		first, second = second, first
	}
	return Choice{first, Pushed, second, endMs(&t, &cs[first])}
}

// pickFeasible returns the first candidate with the resources, from a random index onwards.
// This is close enough to uniform as long as nearly all candidates have them.
func pickFeasible(t Task, cs []Candidate, r *rand.Rand) int {
	start := r.IntN(len(cs))
	for n := range cs {
		i := (start + n) % len(cs)
		if t.Demand.Fits(cs[i].Free) && serves(&cs[i], t.Class) {
			return i
		}
	}
	return None
}
