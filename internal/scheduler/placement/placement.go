// Package placement decides at which target a task starts, or that it waits.
//
// The pattern of load: targets differ in speed by a factor of three, a few tasks
// take seconds among many of 50 ms, and at any moment only some targets have a
// free slot. Pushing a task to a target without a free slot makes it wait in a
// line that no one can reorder (the median response under a random push is over
// ten times the ideal at 0.8 of capacity). Starting it wherever a slot is free
// gives a task of several seconds to the slowest target while a fast one frees
// in 20 ms, and the whole job's answer waits for that one task.
//
// Why this works: a choice goes through three steps. Feasible drops targets
// without a credit or without the resources; ranking orders the rest by the time
// at which the task would end there; selection depends on whether the task
// decides when its job ends:
//   - A task that would end before other tasks of its job can't make the answer
//     earlier. It takes the slowest target on which that still holds, and leaves
//     the fast ones to those that can.
//   - A task on the critical path takes the target that ends it first, or is held
//     when a target that is busy now is expected to end it clearly earlier.
//
// Holding pays only with the first rule: without it, nearly every task waits for
// the fast targets, the slow ones stand idle, and at 0.95 of capacity the queue
// grows without end. Where run times are known badly, both rules act with caution
// in proportion to the spread of the estimates.
package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/job"
)

const (
	// HoldMargin is by how much a wait is taken to be longer than it looks. Waits
	// are guesses and runs are nearly known, so a tie goes to the slot in hand.
	HoldMargin = 0.25
	// RemoteDataCentreMs is added for a target in another data centre: the round trip.
	RemoteDataCentreMs = 3
	// AvoidedRackFactor lengthens a run in a rack that the job asked to avoid. A
	// spread is wanted where there is a choice, and not at any price.
	AvoidedRackFactor = 4
)

// Policy is a rule of placement.
type Policy int

// Policies. All but EarliestFinish are kept as baselines for comparison: Random and
// TwoChoices push without credits, AnyFree takes any credit in hand.
const (
	EarliestFinish Policy = iota
	Random
	TwoChoices
	AnyFree
)

// Candidate is a target as its owner sees it now.
type Candidate struct {
	AgentID uint64
	Classes []string // of tasks that it serves; empty: all
	Speed   float64  // measured, relative to a target of speed 1
	Credits int      // starts allowed now
	// InFlight counts the owner's tasks sent there and not finished; the push
	// policies go by it.
	InFlight int
	// WaitMs is the expected time until a credit comes from a target without
	// one; 0 means unknown, and then nothing is held back for it.
	WaitMs      float64
	Free        job.Demand // resources not taken
	Rack        string
	DataCentre  string
	PenaltyMs   float64 // milliseconds added to the ranking, for targets in doubt
	Local       bool    // in the owner's own data centre
	MaxInFlight int     // most tasks in flight that its health allows
}

// Task is what is to be placed.
type Task struct {
	Class      string
	EstimateMs float64 // at speed 1
	Demand     job.Demand
	// SlackMs is when the other tasks of the job are expected to end, from now; 0
	// where none has started.
	SlackMs float64
	// ErrorFactor is the factor by which a run time typically differs from its
	// estimate; below 1 counts as 1.
	ErrorFactor float64
	AvoidRacks  []string      // racks where the job has tasks and asked for a spread
	DeadlineIn  time.Duration // 0: none
}

// Options are what an operator may choose.
type Options struct {
	Policy Policy
	// NoHold starts a task wherever a slot is free.
	NoHold bool
	// Random is used by the baselines only.
	Random *rand.Rand
}

// Reason says why a choice came out as it did.
type Reason uint8

// Reasons for a choice.
const (
	Best          Reason = iota // ends there first
	OffPath                     // ends there before the rest of its job; faster ones are left free
	Only                        // nothing else was feasible
	HeldForFaster               // a busy target is expected to end it earlier
	NoCredit                    // no target has a free slot for this owner
	NoRoom                      // slots are free, but none with the resources it needs
	NoTarget                    // no candidates at all
	Pushed                      // a push policy took it
)

var reasonNames = [...]string{"best", "off_path", "only", "held_for_faster", "no_credit", "no_room", "no_target", "pushed"}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// None is the index of no candidate.
const None = -1

// Choice is the outcome. RunnerUp is the next best candidate, or None.
type Choice struct {
	Index    int // None: hold the task
	Reason   Reason
	RunnerUp int
	// EndMs is when the task is expected to end, from now: on the chosen target, or
	// on the one it is held for. 0 where nothing is known.
	EndMs float64
}

// Choose picks a candidate for t. It allocates nothing and keeps nothing.
func Choose(t Task, cs []Candidate, o Options) Choice {
	if len(cs) == 0 {
		return Choice{Index: None, Reason: NoTarget, RunnerUp: None}
	}
	switch o.Policy {
	case Random, TwoChoices:
		return push(t, cs, o)
	case AnyFree:
		return anyFree(t, cs, o)
	default:
		return late(t, cs, o)
	}
}

// ranked is a candidate with the time at which the task would end there.
type ranked struct {
	index int
	endMs float64
}

var nobody = ranked{None, math.Inf(1)}

// ranking is what one look over the candidates finds.
type ranking struct {
	best, second ranked // with a credit, ending first
	offPath      ranked // with a credit, ending last among those within the slack
	busy         ranked // without a credit, ending first after the wait for one
	credits      bool   // some candidate has a credit
}

func late(t Task, cs []Candidate, o Options) Choice {
	r := rank(&t, cs)
	switch {
	case r.best.index == None:
		return Choice{Index: None, Reason: missing(r.credits), RunnerUp: r.busy.index}
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

// rank is the feasibility and the ranking step in one look over the candidates.
func rank(t *Task, cs []Candidate) ranking {
	r := ranking{best: nobody, second: nobody, offPath: ranked{None, 0}, busy: nobody}
	spread := max(t.ErrorFactor, 1)
	// The task itself and those that give the slack may both be off by the spread.
	slackMs := t.SlackMs / (spread * spread)
	for i := range cs {
		c := &cs[i]
		r.credits = r.credits || c.Credits > 0
		if !fits(t, c) {
			continue
		}
		ms := endMs(t, c)
		if c.Credits <= 0 {
			if held := c.WaitMs*(1+HoldMargin)*spread + ms; c.WaitMs > 0 && held < r.busy.endMs {
				r.busy = ranked{i, held}
			}
			continue
		}
		r.take(ranked{i, ms}, slackMs)
	}
	return r
}

// take ranks one candidate with a credit.
func (r *ranking) take(c ranked, slackMs float64) {
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

func missing(credits bool) Reason {
	if credits {
		return NoRoom
	}
	return NoCredit
}

// fits is the feasibility step, credits apart.
func fits(t *Task, c *Candidate) bool {
	return c.MaxInFlight > c.InFlight && t.Demand.Fits(c.Free) && serves(c, t.Class)
}

func serves(c *Candidate, class string) bool {
	return len(c.Classes) == 0 || slices.Contains(c.Classes, class)
}

// endMs is the ranking step: when the task would end on c if it started now.
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

// anyFree takes a random candidate with a credit, as late binding without a view
// of speeds does.
func anyFree(t Task, cs []Candidate, o Options) Choice {
	credits := false
	start := o.Random.IntN(len(cs))
	for n := range cs {
		i := (start + n) % len(cs)
		if cs[i].Credits <= 0 {
			continue
		}
		credits = true
		if fits(&t, &cs[i]) {
			return Choice{i, Only, None, endMs(&t, &cs[i])}
		}
	}
	return Choice{Index: None, Reason: missing(credits), RunnerUp: None}
}

// push takes a candidate whether or not it has a free slot.
func push(t Task, cs []Candidate, o Options) Choice {
	first := pick(t, cs, o.Random)
	if first == None {
		return Choice{Index: None, Reason: NoRoom, RunnerUp: None}
	}
	if o.Policy == Random {
		return Choice{first, Pushed, None, endMs(&t, &cs[first])}
	}
	second := pick(t, cs, o.Random)
	if cs[second].InFlight < cs[first].InFlight {
		first, second = second, first
	}
	return Choice{first, Pushed, second, endMs(&t, &cs[first])}
}

// pick draws a candidate that has the resources: from a random place onwards,
// which is close enough to uniform where nearly all have them.
func pick(t Task, cs []Candidate, r *rand.Rand) int {
	start := r.IntN(len(cs))
	for n := range cs {
		i := (start + n) % len(cs)
		if t.Demand.Fits(cs[i].Free) && serves(&cs[i], t.Class) {
			return i
		}
	}
	return None
}
