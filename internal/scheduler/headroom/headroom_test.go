package headroom

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The simulation in this file: a queue with a capacity of 100 jobs per second whose predictions are
// too early by a time unknown to the margin, because the load they are based on is outdated.

const (
	capacity  = 100
	objective = 200 * time.Millisecond
	usualRun  = 100 * time.Millisecond
	tick      = 10 * time.Millisecond
)

// result counts the jobs of the second half of a simulation by outcome.
type result struct{ inTime, late, refused int }

// simulate runs jobs at an arrival rate, with admission by predicted end and a margin; nil means
// none. Predictions use the queue length of loadDelay ago.
func simulate(perSecond float64, loadDelay time.Duration, margin *Margin) result {
	x := rand.New(rand.NewPCG(4, 2))
	now := time.Unix(1_800_000_000, 0)
	const ticks = 2000
	history := make([]float64, ticks) // queued work in seconds, by tick
	backlog := 0.0
	var got result
	var ends []struct {
		at   int
		late bool
	}
	for n := range ticks {
		now = now.Add(tick)
		backlog = max(0, backlog-tick.Seconds())
		history[n] = backlog
		for len(ends) > 0 && ends[0].at <= n {
			if margin != nil {
				margin.RecordOutcome(now, 0, ends[0].late)
			}
			ends = ends[1:]
		}
		arrivals := int(perSecond*tick.Seconds() + x.Float64())
		for range arrivals {
			reportedBacklog := history[max(0, n-int(loadDelay/tick))]
			predicted := time.Duration(reportedBacklog*float64(time.Second)) + usualRun
			wait := time.Duration(backlog * float64(time.Second))
			count := n > ticks/2
			if reportedBacklog > 0 && predicted > objective-marginFor(margin, now) {
				if count {
					got.refused++
				}
				continue
			}
			backlog += 1.0 / capacity
			late := wait+usualRun > objective
			ends = append(ends, struct {
				at   int
				late bool
			}{n + int((wait+usualRun)/tick), late})
			switch {
			case count && late:
				got.late++
			case count:
				got.inTime++
			}
		}
	}
	return got
}

// marginFor returns the duration of a margin, or 0 for nil.
func marginFor(m *Margin, now time.Time) time.Duration {
	if m == nil {
		return 0
	}
	return m.For(now, objective)
}

// Guards against overload in which every admitted job is late.
func TestMarginRefusesJobsInOverload(t *testing.T) {
	g := NewWithT(t)
	for _, loadDelay := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		without, with := simulate(200, loadDelay, nil), simulate(200, loadDelay, &Margin{})
		t.Logf("load delay %s: without a margin %+v, with %+v", loadDelay, without, with)
		g.Expect(with.inTime).To(BeNumerically(">", without.inTime))
		g.Expect(with.late).To(BeNumerically("<", without.late))
	}
}

// Guards against jobs that are refused after an overload, while capacity is free.
func TestMarginDecaysAfterOverload(t *testing.T) {
	g := NewWithT(t)
	m := &Margin{}
	now := time.Unix(1_800_000_000, 0)
	for range 1000 {
		m.RecordOutcome(now, 0, true)
	}
	g.Expect(m.For(now, objective)).To(BeNumerically("~", time.Duration(maxShare*float64(objective)), time.Millisecond))
	g.Expect(m.For(now.Add(5*halfLife), objective)).To(BeNumerically("<", objective/40))
}

// Guards against refusals without overload, when a few jobs are late only because their estimates
// were too short.
func TestFewLateJobsLeaveMarginSmall(t *testing.T) {
	g := NewWithT(t)
	m := &Margin{}
	now := time.Unix(1_800_000_000, 0)
	for n := range 1000 {
		now = now.Add(tick)
		m.RecordOutcome(now, 0, n%20 == 0)
	}
	g.Expect(m.For(now, objective)).To(BeNumerically("<", objective/30))
}

// Guards against less urgent work that uses the capacity which urgent jobs lack, and against urgent
// jobs that are refused because less urgent ones are late.
func TestLateUrgentJobsRaiseLessUrgentMargins(t *testing.T) {
	g := NewWithT(t)
	urgent, less := &Margin{Priority: 0}, &Margin{Priority: 1}
	now := time.Unix(1_800_000_000, 0)
	for range 20 {
		for _, m := range []*Margin{urgent, less} {
			m.RecordOutcome(now, 1, true)
		}
	}
	g.Expect(urgent.For(now, objective)).To(BeZero())
	before := less.For(now, objective)
	less.RecordOutcome(now, 0, true)
	g.Expect(less.For(now, objective)).To(BeNumerically(">", before))
}
