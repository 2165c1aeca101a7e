// Package health rates agents by the outcomes of their tasks and limits how many tasks
// each may have in flight.
//
// A target that fails every task at once also frees its slots at once, so it looks like
// the fastest target, and a policy that sends work to free slots feeds it the whole
// queue. One such target among ten can fail most jobs of a fleet within a second. Two
// conditions limit the reaction: a class whose tasks fail everywhere must not eject every
// target, and a recovered target must get its work back without causing a burst of
// failures if it is still broken.
//
// Detection is a sequential probability ratio test: each outcome adds to the agent's
// log-likelihood ratio the logarithm of how much likelier the outcome is from a broken
// target than from the median agent. When the median agent fails too, a failure is no
// evidence against this one, and no agent is ejected. An ejected agent gets single trial
// tasks at exponentially growing intervals; after a successful trial its in-flight limit
// doubles with each further success until it counts as healthy.
package health

import (
	"math"
	"time"
)

const (
	// brokenFailureRate is the assumed failure rate of a broken target. It is below one
	// so that a target that still succeeds occasionally is detected too.
	brokenFailureRate = 0.6
	// minFailureRate is the lowest failure rate expected of a healthy agent. With it,
	// three consecutive failures eject an agent in a fleet where nothing else fails,
	// and one failure in twenty results never does.
	minFailureRate = 0.02
	// ejectThreshold is the log-likelihood ratio above which an agent is ejected: odds
	// of e^10, about 1 to 22,000, so that chance almost never ejects a healthy agent.
	ejectThreshold = 10
	// failureRateWindow is the number of outcomes over which an agent's failure rate is
	// averaged (exponential moving average).
	failureRateWindow = 8
	// InitialTrialInterval is the delay between an ejection and the first trial task. A
	// target in the middle of a restart would certainly fail an earlier trial.
	InitialTrialInterval = time.Second
	// MaxTrialInterval caps the growing interval between trials, so that a repaired
	// target gets work again within half a minute.
	MaxTrialInterval = 30 * time.Second
	// probationSuccesses is the number of consecutive successes that end the probation.
	// The in-flight limit has then grown to 32, more than one target has slots.
	probationSuccesses = 5
	// trialResetAfter is how long an agent must stay healthy before its trial interval
	// is reset to InitialTrialInterval. It is longer than MaxTrialInterval, so that a
	// target that fails repeatedly is tried less and less often.
	trialResetAfter = time.Minute
	// rateBuckets is the resolution of the histogram of the agents' failure rates.
	rateBuckets = 20
)

// Unlimited is the in-flight limit of a healthy agent.
const Unlimited = math.MaxInt32

// Rating is the health of an agent.
type Rating uint8

// Ratings: a healthy agent has no limit, one on probation a growing limit, and an ejected
// one gets single trial tasks only.
const (
	Healthy Rating = iota
	Probation
	Ejected
)

var ratingNames = [...]string{"well", "probation", "out"}

// String returns the rating's name in logs.
func (r Rating) String() string { return ratingNames[r] }

// Outcome is the result of a task as far as it concerns the health of its target.
type Outcome uint8

// Outcomes of a task.
const (
	Succeeded Outcome = iota
	Failed            // the target ran the task and reported a failure
	Rejected          // the target refused the task or could not be called
	Lost              // the outcome is unknown
)

// agent is the health of one agent.
type agent struct {
	rating             Rating
	logLikelihoodRatio float64
	failureRate        float64 // moving failure rate
	counted            bool    // included in rateHistogram
	successes          int     // consecutive, during probation
	trialInterval      time.Duration
	nextTrial          time.Time
	healthySince       time.Time
}

// Tracker rates agents. It is not safe for concurrent use.
type Tracker struct {
	agents        map[uint64]*agent
	rateHistogram [rateBuckets + 1]int // histogram of the agents' failure rates
	known         int                  // agents in the histogram
	ejected       int
	limits        Limits
}

// Limits are the parameters that operators may set.
type Limits struct {
	BrokenFailureRate                      float64 // assumed failure rate of a broken target, above minFailureRate and below 1
	InitialTrialInterval, MaxTrialInterval time.Duration
}

// SetLimits replaces the limits for all later outcomes.
func (t *Tracker) SetLimits(l Limits) { t.limits = l }

// New returns an empty tracker with the default limits.
func New() *Tracker {
	return &Tracker{agents: map[uint64]*agent{}, limits: Limits{brokenFailureRate, InitialTrialInterval, MaxTrialInterval}}
}

// Observe records one outcome of an agent's task and reports whether the agent's rating
// changed. The rating depends only on ok, which callers set for Succeeded.
func (t *Tracker) Observe(id uint64, ok bool, outcome Outcome, now time.Time) (changed bool) {
	a := t.agents[id]
	if a == nil {
		a = &agent{trialInterval: t.limits.InitialTrialInterval, healthySince: now}
		t.agents[id] = a
	}
	before := a.rating
	medianRate := t.medianFailureRate()
	t.updateFailureRate(a, ok)
	switch a.rating {
	case Healthy:
		t.updateEvidence(a, ok, medianRate, now)
	case Probation:
		t.recordProbation(a, ok, now)
	case Ejected:
		t.recordTrial(a, ok, now)
	}
	return a.rating != before
}

// updateEvidence adds one outcome to the log-likelihood ratio of a healthy agent and
// ejects it above ejectThreshold.
func (t *Tracker) updateEvidence(a *agent, ok bool, medianRate float64, now time.Time) {
	expectedRate := max(medianRate, minFailureRate)
	if expectedRate >= t.limits.BrokenFailureRate {
		a.logLikelihoodRatio = 0
		return
	}
	if ok {
		a.logLikelihoodRatio = max(0, a.logLikelihoodRatio+math.Log((1-t.limits.BrokenFailureRate)/(1-expectedRate)))
		return
	}
	a.logLikelihoodRatio += math.Log(t.limits.BrokenFailureRate / expectedRate)
	if a.logLikelihoodRatio > ejectThreshold && t.mayEject() {
		t.eject(a, now)
	}
}

// mayEject reports whether one more agent may be ejected. At most half of the agents are,
// because the remaining ones would be overloaded and fail as well.
func (t *Tracker) mayEject() bool { return 2*(t.ejected+1) <= t.known }

// eject rates the agent Ejected, schedules its next trial and doubles the interval that
// follows, up to the limit.
func (t *Tracker) eject(a *agent, now time.Time) {
	if a.rating == Healthy && now.Sub(a.healthySince) > trialResetAfter {
		a.trialInterval = t.limits.InitialTrialInterval
	}
	a.rating = Ejected
	a.logLikelihoodRatio = 0
	a.nextTrial = now.Add(a.trialInterval)
	a.trialInterval = min(2*a.trialInterval, t.limits.MaxTrialInterval)
	t.ejected++
}

// recordTrial records an outcome of an ejected agent. Outcomes that arrive before the
// trial is due come from tasks that were in flight at the ejection; they are ignored.
func (t *Tracker) recordTrial(a *agent, ok bool, now time.Time) {
	if now.Before(a.nextTrial) {
		return
	}
	t.ejected--
	if !ok {
		t.eject(a, now)
		return
	}
	a.rating = Probation
	a.successes = 1
}

// recordProbation records an outcome of an agent on probation.
func (t *Tracker) recordProbation(a *agent, ok bool, now time.Time) {
	if !ok {
		t.eject(a, now)
		return
	}
	a.successes++
	if a.successes >= probationSuccesses {
		a.rating = Healthy
		a.healthySince = now
	}
}

// Rating returns the agent's rating; an unknown agent is healthy.
func (t *Tracker) Rating(id uint64) Rating {
	if a := t.agents[id]; a != nil {
		return a.rating
	}
	return Healthy
}

// MaxInFlight returns how many tasks the agent may have in flight now.
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

// NextTrial returns the time from which an ejected agent may get a trial task, and false
// for an agent that is not ejected.
func (t *Tracker) NextTrial(id uint64) (time.Time, bool) {
	a := t.agents[id]
	if a == nil || a.rating != Ejected {
		return time.Time{}, false
	}
	return a.nextTrial, true
}

// Forget removes an agent that is no longer part of the fleet.
func (t *Tracker) Forget(id uint64) {
	a := t.agents[id]
	if a == nil {
		return
	}
	if a.rating == Ejected {
		t.ejected--
	}
	t.rateHistogram[rateBucket(a.failureRate)]--
	t.known--
	delete(t.agents, id)
}

// updateFailureRate updates the agent's moving failure rate and moves the agent to its
// new bucket of the histogram.
func (t *Tracker) updateFailureRate(a *agent, ok bool) {
	if a.counted {
		t.rateHistogram[rateBucket(a.failureRate)]--
	} else {
		a.counted = true
		t.known++
	}
	outcome := 0.0
	if !ok {
		outcome = 1
	}
	a.failureRate += (outcome - a.failureRate) / failureRateWindow
	t.rateHistogram[rateBucket(a.failureRate)]++
}

// medianFailureRate returns the lower median of the agents' failure rates.
func (t *Tracker) medianFailureRate() float64 {
	remaining := (t.known + 1) / 2
	for i, n := range t.rateHistogram {
		remaining -= n
		if remaining <= 0 {
			return float64(i) / rateBuckets
		}
	}
	return 0
}

// rateBucket returns the index of a failure rate in the histogram.
func rateBucket(rate float64) int { return int(rate*rateBuckets + 0.5) }
