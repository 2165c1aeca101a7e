package bench

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

// Scenario is a pattern of load and failures. Times are fractions of Options.Duration.
type Scenario struct {
	Name          string
	Mix           Mix
	EstimateError EstimateError
	// LoadAt returns the offered load at a time, as a fraction of the capacity of all targets.
	LoadAt func(at float64) float64
	// Deadline is the time from a job's submission to its deadline, before time scaling.
	Deadline time.Duration
	// HeavyTeamShare is the fraction of jobs that team "heavy" submits.
	HeavyTeamShare float64
	// FirstEntryShare is the fraction of jobs that are always submitted through the first
	// entry; the others use a random entry. 0 spreads all jobs evenly.
	FirstEntryShare float64
	// The measured window begins at MeasureFrom and ends at MeasureUntil. 0 means the end of
	// the warm-up and the end of the run.
	MeasureFrom, MeasureUntil float64
	Steps                     []Step
}

// Step changes the fleet or the jobs at a given time of the run.
type Step struct {
	At     float64
	Action func(ctx context.Context, c *loadGenerator) error
}

const (
	warmUpShare    = 0.1 // initial fraction of a run that is not measured by default
	lightTeamCount = 9   // teams that share the jobs not submitted by team "heavy"

	defaultDeadline = 60 * time.Second
	// tightDeadline is short enough for queued jobs to miss it under saturation.
	tightDeadline = 10 * time.Second
	// slowTargetFactor multiplies the run times of a target in mode "slow".
	slowTargetFactor = 10
)

// drawTeam returns a random team for a job.
func (s Scenario) drawTeam(r *rand.Rand) string {
	if r.Float64() < s.HeavyTeamShare {
		return "heavy"
	}
	return "team-" + strconv.Itoa(r.IntN(lightTeamCount))
}

// constantLoad returns a LoadAt function of the same load throughout.
func constantLoad(load float64) func(float64) float64 {
	return func(float64) float64 { return load }
}

// loadWithPeak returns a LoadAt function of peak while from <= at < until, and of load
// otherwise.
func loadWithPeak(load, peak, from, until float64) func(float64) float64 {
	return func(at float64) float64 {
		if at >= from && at < until {
			return peak
		}
		return load
	}
}

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	all := []Scenario{
		{Name: "steady-0.5", LoadAt: constantLoad(0.5)},
		{Name: "steady-0.8", LoadAt: constantLoad(0.8)},
		{Name: "steady-0.95", LoadAt: constantLoad(0.95)},
		{Name: "burst-5x", LoadAt: loadWithPeak(0.5, 2.5, 0.4, 0.5)},
		{Name: "one-team-90", LoadAt: constantLoad(0.9), HeavyTeamShare: 0.9},
		{Name: "slow-target", LoadAt: constantLoad(0.7), Steps: []Step{{0.3, setMode(fastestTarget, "slow")}}},
		{Name: "long-among-short", LoadAt: constantLoad(0.8), Mix: longAmongShort},
		{Name: "declared-off-e", LoadAt: constantLoad(0.8), EstimateError: LogNormalError},
		{Name: "declared-off-10", LoadAt: constantLoad(0.8), EstimateError: TenfoldClassError},
		{Name: "fail-all-target", LoadAt: constantLoad(0.7), Steps: []Step{
			{0.3, setMode(fastestTarget, "fail_all")}, {0.6, setMode(fastestTarget, "normal")},
		}},
		{Name: "half-leaving", LoadAt: constantLoad(0.4), Steps: []Step{{0.4, drainHalf}}},
		{Name: "saturation-1.5", LoadAt: constantLoad(1.5), Deadline: tightDeadline},
		{Name: "after-saturation", LoadAt: loadWithPeak(0.5, 1.5, 0, 0.5), Deadline: tightDeadline, MeasureFrom: 0.6},
		{Name: "cancel-wave", LoadAt: constantLoad(0.8), Steps: []Step{{0.3, cancelHalf}, {0.5, cancelHalf}, {0.7, cancelHalf}}},
		{Name: "entry-replaced", LoadAt: constantLoad(0.8), Steps: []Step{{0.4, killEntry}, {0.45, startEntry}}},
		{Name: "unequal-entries", LoadAt: constantLoad(0.8), FirstEntryShare: 0.9},
	}
	for i := range all {
		all[i].setDefaults()
	}
	return all
}

// ShortSet lists the names of the scenarios that -scenarios short selects.
var ShortSet = []string{
	"steady-0.5", "steady-0.8", "steady-0.95", "saturation-1.5", "slow-target", "fail-all-target", "cancel-wave",
}

// setDefaults replaces zero fields by their defaults.
func (s *Scenario) setDefaults() {
	if s.Mix == (Mix{}) {
		s.Mix = defaultMix
	}
	if s.Deadline == 0 {
		s.Deadline = defaultDeadline
	}
	if s.MeasureFrom == 0 {
		s.MeasureFrom = warmUpShare
	}
	if s.MeasureUntil == 0 {
		s.MeasureUntil = 1
	}
}
