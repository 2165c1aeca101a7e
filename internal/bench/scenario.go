package bench

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

// Scenario is a pattern of load and failures. Times are shares of the run.
type Scenario struct {
	Name          string
	Mix           Mix
	EstimateError EstimateError
	// LoadAt is the work offered at a time, as a share of the capacity of all targets.
	LoadAt func(at float64) float64
	// Deadline of each job after its arrival, before scaling.
	Deadline time.Duration
	// HeavyTeamShare is the share of jobs that one team sends.
	HeavyTeamShare float64
	// FirstEntryShare is the share of jobs that go through the first entry; 0: alike.
	FirstEntryShare float64
	// MeasureFrom is when measuring begins, and MeasureUntil when it ends; 0 means the end.
	MeasureFrom, MeasureUntil float64
	Steps                     []Step
}

// Step does something to the fleet or the jobs at a time of the run.
type Step struct {
	At     float64
	Action func(ctx context.Context, c *callers) error
}

const (
	warmUp = 0.1 // share of a run that is not measured
	teams  = 9   // besides the heavy one

	usualDeadline = 60 * time.Second
	// tightDeadline makes work that waits too long late under saturation.
	tightDeadline = 10 * time.Second
	// slowFactor is how much slower a slow target gets.
	slowFactor = 10
)

func (s Scenario) team(r *rand.Rand) string {
	if r.Float64() < s.HeavyTeamShare {
		return "heavy"
	}
	return "team-" + strconv.Itoa(r.IntN(teams))
}

func steady(load float64) func(float64) float64 {
	return func(float64) float64 { return load }
}

// during returns load, or peak while from <= at < until.
func during(load, peak, from, until float64) func(float64) float64 {
	return func(at float64) float64 {
		if at >= from && at < until {
			return peak
		}
		return load
	}
}

// Scenarios lists all, in the order in which they are run.
func Scenarios() []Scenario {
	all := []Scenario{
		{Name: "steady-0.5", LoadAt: steady(0.5)},
		{Name: "steady-0.8", LoadAt: steady(0.8)},
		{Name: "steady-0.95", LoadAt: steady(0.95)},
		{Name: "burst-5x", LoadAt: during(0.5, 2.5, 0.4, 0.5)},
		{Name: "one-team-90", LoadAt: steady(0.9), HeavyTeamShare: 0.9},
		{Name: "slow-target", LoadAt: steady(0.7), Steps: []Step{{0.3, setMode(fastTarget, "slow")}}},
		{Name: "long-among-short", LoadAt: steady(0.8), Mix: longAmongShort},
		{Name: "declared-off-e", LoadAt: steady(0.8), EstimateError: LogNormalError},
		{Name: "declared-off-10", LoadAt: steady(0.8), EstimateError: TenfoldClassError},
		{Name: "fail-all-target", LoadAt: steady(0.7), Steps: []Step{
			{0.3, setMode(fastTarget, "fail_all")}, {0.6, setMode(fastTarget, "normal")},
		}},
		{Name: "half-leaving", LoadAt: steady(0.4), Steps: []Step{{0.4, leaveHalf}}},
		{Name: "saturation-1.5", LoadAt: steady(1.5), Deadline: tightDeadline},
		{Name: "after-saturation", LoadAt: during(0.5, 1.5, 0, 0.5), Deadline: tightDeadline, MeasureFrom: 0.6},
		{Name: "cancel-wave", LoadAt: steady(0.8), Steps: []Step{{0.3, cancelHalf}, {0.5, cancelHalf}, {0.7, cancelHalf}}},
		{Name: "entry-replaced", LoadAt: steady(0.8), Steps: []Step{{0.4, killEntry}, {0.45, startEntry}}},
		{Name: "unequal-entries", LoadAt: steady(0.8), FirstEntryShare: 0.9},
	}
	for i := range all {
		all[i].fill()
	}
	return all
}

// ShortSet names the scenarios of the short set.
var ShortSet = []string{
	"steady-0.5", "steady-0.8", "steady-0.95", "saturation-1.5", "slow-target", "fail-all-target", "cancel-wave",
}

func (s *Scenario) fill() {
	if s.Mix == (Mix{}) {
		s.Mix = usualMix
	}
	if s.Deadline == 0 {
		s.Deadline = usualDeadline
	}
	if s.MeasureFrom == 0 {
		s.MeasureFrom = warmUp
	}
	if s.MeasureUntil == 0 {
		s.MeasureUntil = 1
	}
}
