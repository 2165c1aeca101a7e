// Package health rates agents by the outcomes of their tasks and says how much
// work each may hold.
//
// The pattern of load: a target that fails everything at once frees its slots at
// once, so it looks like the fastest of all, and any rule that sends work to free
// slots feeds it the whole queue. One such target among ten can fail most jobs
// of a fleet within a second. Yet a class whose tasks fail everywhere must not
// get every target thrown out, and a target that is well again must get its work
// back without a burst of failures if it is not.
//
// Why this works: each outcome adds to or takes from the agent's evidence the
// logarithm of how much likelier it is from a broken target than from the median
// agent (a sequential probability ratio test). When the median agent fails too,
// a failure says nothing against this one and nobody is thrown out. An agent
// that is out gets single trial tasks at growing distances; after a trial that
// succeeds its allowance doubles with each further success until it is well.
package health

import (
	"math"
	"time"
)

const (
	// brokenRate is the failure rate a broken target is taken to have. Less than
	// one, so that a target which still succeeds at times is found too.
	brokenRate = 0.6
	// leastRate is the failure rate granted to every agent. With it, three
	// failures in a row put an agent out in a fleet where nothing else fails,
	// and one failure in twenty results never does.
	leastRate = 0.02
	// outAbove is the evidence at which an agent is out: odds of e^10, about
	// 1 to 22,000, so that chance throws out a sound agent hardly ever.
	outAbove = 10
	// rateMemory is over how many outcomes an agent's failure rate forgets.
	rateMemory = 8
	// InitialTrialInterval is the wait before the first trial task. Shorter, and a target
	// in the middle of a restart fails it for sure.
	InitialTrialInterval = time.Second
	// MaxTrialInterval caps the growing distance of trials, so that a target which is
	// mended takes part again within half a minute.
	MaxTrialInterval = 30 * time.Second
	// provenAfter is how many successes in a row end the probation. The
	// allowance has then grown to 32, beyond the slots of one target.
	provenAfter = 5
	// forgiveAfter is how long an agent has to stay well before the distance of
	// trials starts from InitialTrialInterval again. Longer than MaxTrialInterval, so that a
	// target that fails again and again is tried ever more seldom.
	forgiveAfter = time.Minute
	// rateSteps is the resolution of the fleet's histogram of failure rates.
	rateSteps = 20
)

// Unlimited is the allowance of an agent in good health.
const Unlimited = math.MaxInt32

// Rating is how an agent stands.
type Rating uint8

// Ratings.
const (
	Healthy Rating = iota
	Probation
	Ejected
)

var ratingNames = [...]string{"well", "probation", "out"}

// String returns the rating's name in logs.
func (r Rating) String() string { return ratingNames[r] }

// Outcome says what went wrong with a task.
type Outcome uint8

// Kinds of outcome.
const (
	Succeeded Outcome = iota
	Failed            // the target ran it and reported failure
	Rejected          // the target refused it or could not be called
	Lost              // the outcome is unknown
)

type agent struct {
	rating    Rating
	evidence  float64
	rate      float64 // moving failure rate
	seen      bool
	successes int // in a row during probation
	distance  time.Duration
	nextTrial time.Time
	wellSince time.Time
}

// Tracker rates agents. It is not safe for concurrent use.
type Tracker struct {
	agents map[uint64]*agent
	rates  [rateSteps + 1]int // histogram of the agents' failure rates
	known  int                // agents in the histogram
	out    int
	limits Limits
}

// Limits are what operators may set.
type Limits struct {
	BrokenFailureRate                      float64 // failure rate a broken target is taken to have, above leastRate and below 1
	InitialTrialInterval, MaxTrialInterval time.Duration
}

// SetLimits replaces the limits, for outcomes from now on.
func (t *Tracker) SetLimits(l Limits) { t.limits = l }

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{agents: map[uint64]*agent{}, limits: Limits{brokenRate, InitialTrialInterval, MaxTrialInterval}}
}

// Observe takes one outcome and reports whether the agent's rating changed.
func (t *Tracker) Observe(id uint64, ok bool, kind Outcome, now time.Time) (changed bool) {
	a := t.agents[id]
	if a == nil {
		a = &agent{distance: t.limits.InitialTrialInterval, wellSince: now}
		t.agents[id] = a
	}
	before := a.rating
	usual := t.median()
	t.updateRate(a, ok)
	switch a.rating {
	case Healthy:
		t.weigh(a, ok, usual, now)
	case Probation:
		t.prove(a, ok, now)
	case Ejected:
		t.trial(a, ok, now)
	}
	return a.rating != before
}

// weigh adds one outcome to the evidence against an agent that is well.
func (t *Tracker) weigh(a *agent, ok bool, usual float64, now time.Time) {
	p := max(usual, leastRate)
	if p >= t.limits.BrokenFailureRate {
		a.evidence = 0
		return
	}
	if ok {
		a.evidence = max(0, a.evidence+math.Log((1-t.limits.BrokenFailureRate)/(1-p)))
		return
	}
	a.evidence += math.Log(t.limits.BrokenFailureRate / p)
	if a.evidence > outAbove && t.mayPutOut() {
		t.putOut(a, now)
	}
}

// mayPutOut guards against putting out more than half of the agents: with fewer
// left, the rest would be overrun and fail as well.
func (t *Tracker) mayPutOut() bool { return 2*(t.out+1) <= t.known }

func (t *Tracker) putOut(a *agent, now time.Time) {
	if a.rating == Healthy && now.Sub(a.wellSince) > forgiveAfter {
		a.distance = t.limits.InitialTrialInterval
	}
	a.rating = Ejected
	a.evidence = 0
	a.nextTrial = now.Add(a.distance)
	a.distance = min(2*a.distance, t.limits.MaxTrialInterval)
	t.out++
}

// trial takes an outcome of an agent that is out. Tasks that were under way when
// it went out come back before the trial is due and count for nothing.
func (t *Tracker) trial(a *agent, ok bool, now time.Time) {
	if now.Before(a.nextTrial) {
		return
	}
	t.out--
	if !ok {
		t.putOut(a, now)
		return
	}
	a.rating = Probation
	a.successes = 1
}

// prove takes an outcome of an agent on probation.
func (t *Tracker) prove(a *agent, ok bool, now time.Time) {
	if !ok {
		t.putOut(a, now)
		return
	}
	a.successes++
	if a.successes >= provenAfter {
		a.rating = Healthy
		a.wellSince = now
	}
}

// Rating returns how the agent stands.
func (t *Tracker) Rating(id uint64) Rating {
	if a := t.agents[id]; a != nil {
		return a.rating
	}
	return Healthy
}

// MaxInFlight returns how many tasks the agent may hold at once.
func (t *Tracker) MaxInFlight(id uint64, now time.Time) int {
	a := t.agents[id]
	switch {
	case a == nil || a.rating == Healthy:
		return Unlimited
	case a.rating == Probation:
		return 1 << a.successes
	case now.Before(a.nextTrial):
		return 0
	default:
		return 1
	}
}

// NextTrial returns when an agent that is out may be tried again, and false for others.
func (t *Tracker) NextTrial(id uint64) (time.Time, bool) {
	a := t.agents[id]
	if a == nil || a.rating != Ejected {
		return time.Time{}, false
	}
	return a.nextTrial, true
}

// Forget drops an agent that is gone.
func (t *Tracker) Forget(id uint64) {
	a := t.agents[id]
	if a == nil {
		return
	}
	if a.rating == Ejected {
		t.out--
	}
	t.rates[step(a.rate)]--
	t.known--
	delete(t.agents, id)
}

func (t *Tracker) updateRate(a *agent, ok bool) {
	if a.seen {
		t.rates[step(a.rate)]--
	} else {
		a.seen = true
		t.known++
	}
	outcome := 0.0
	if !ok {
		outcome = 1
	}
	a.rate += (outcome - a.rate) / rateMemory
	t.rates[step(a.rate)]++
}

// median returns the (lower) median of the agents' failure rates.
func (t *Tracker) median() float64 {
	left := (t.known + 1) / 2
	for i, n := range t.rates {
		left -= n
		if left <= 0 {
			return float64(i) / rateSteps
		}
	}
	return 0
}

func step(rate float64) int { return int(rate*rateSteps + 0.5) }
