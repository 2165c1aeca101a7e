package bench

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

// Scenario is a pattern of load and failures. Times are shares of the run.
type Scenario struct {
	Name     string
	Mix      Mix
	Declared Declared
	// Load is the work offered at a time, as a share of the capacity of all targets.
	Load func(at float64) float64
	// Deadline of each job after its arrival, before scaling.
	Deadline time.Duration
	// HeavyTeam is the share of jobs that one team sends.
	HeavyTeam float64
	// FirstEntry is the share of jobs that go through the first entry; 0: alike.
	FirstEntry float64
	// From is when measuring begins, and Until when it ends; 0 means the end.
	From, Until float64
	Steps       []Step
}

// Step does something to the fleet or the jobs at a time of the run.
type Step struct {
	At float64
	Do func(ctx context.Context, c *callers) error
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
	if r.Float64() < s.HeavyTeam {
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
		{Name: "steady-0.5", Load: steady(0.5)},
		{Name: "steady-0.8", Load: steady(0.8)},
		{Name: "steady-0.95", Load: steady(0.95)},
		{Name: "burst-5x", Load: during(0.5, 2.5, 0.4, 0.5)},
		{Name: "one-team-90", Load: steady(0.9), HeavyTeam: 0.9},
		{Name: "slow-target", Load: steady(0.7), Steps: []Step{{0.3, setMode(fastTarget, "slow")}}},
		{Name: "long-among-short", Load: steady(0.8), Mix: longAmongShort},
		{Name: "declared-off-e", Load: steady(0.8), Declared: OffByE},
		{Name: "declared-off-10", Load: steady(0.8), Declared: OffBy10},
		{Name: "fail-all-target", Load: steady(0.7), Steps: []Step{
			{0.3, setMode(fastTarget, "fail_all")}, {0.6, setMode(fastTarget, "normal")},
		}},
		{Name: "half-leaving", Load: steady(0.4), Steps: []Step{{0.4, leaveHalf}}},
		{Name: "saturation-1.5", Load: steady(1.5), Deadline: tightDeadline},
		{Name: "after-saturation", Load: during(0.5, 1.5, 0, 0.5), Deadline: tightDeadline, From: 0.6},
		{Name: "cancel-wave", Load: steady(0.8), Steps: []Step{{0.3, cancelHalf}, {0.5, cancelHalf}, {0.7, cancelHalf}}},
		{Name: "entry-replaced", Load: steady(0.8), Steps: []Step{{0.4, killEntry}, {0.45, startEntry}}},
		{Name: "unequal-entries", Load: steady(0.8), FirstEntry: 0.9},
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
	if s.From == 0 {
		s.From = warmUp
	}
	if s.Until == 0 {
		s.Until = 1
	}
}
