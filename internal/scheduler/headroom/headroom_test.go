package headroom

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The load of this file: a queue at a capacity of 100 jobs a second whose predictions are too early
// by a time that nobody knows, because what others send is on its way.

const (
	capacity  = 100
	objective = 200 * time.Millisecond
	usualRun  = 100 * time.Millisecond
	tick      = 10 * time.Millisecond
)

// result is what a second's callers got, in the last half of a play.
type result struct{ inTime, late, refused int }

// play lets jobs come at a rate, and refuses with a margin, or with none where it is nil. A prediction knows of the queue only what is older than blind.
func play(perSecond float64, blind time.Duration, margin *Margin) result {
	x := rand.New(rand.NewPCG(4, 2))
	now := time.Unix(1_800_000_000, 0)
	const ticks = 2000
	history := make([]float64, ticks) // work that waits, in seconds
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
			seen := history[max(0, n-int(blind/tick))]
			predicted := time.Duration(seen*float64(time.Second)) + usualRun
			wait := time.Duration(backlog * float64(time.Second))
			count := n > ticks/2
			if seen > 0 && predicted > objective-of(margin, now) {
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

// of returns what a margin takes off the objective; nil takes nothing.
func of(m *Margin, now time.Time) time.Duration {
	if m == nil {
		return 0
	}
	return m.For(now, objective)
}

// Guards against overload in which everything that is let in comes late.
func TestOverloadIsRefusedRatherThanLate(t *testing.T) {
	g := NewWithT(t)
	for _, blind := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		without, with := play(200, blind, nil), play(200, blind, &Margin{})
		t.Logf("blind for %s: without a margin %+v, with %+v", blind, without, with)
		g.Expect(with.inTime).To(BeNumerically(">", without.inTime))
		g.Expect(with.late).To(BeNumerically("<", without.late))
	}
}

// Guards against jobs that are refused while there is room, once an overload has passed.
func TestMarginFadesAfterAnOverload(t *testing.T) {
	g := NewWithT(t)
	m := &Margin{}
	now := time.Unix(1_800_000_000, 0)
	for range 1000 {
		m.RecordOutcome(now, 0, true)
	}
	g.Expect(m.For(now, objective)).To(BeNumerically("~", time.Duration(mostShare*float64(objective)), time.Millisecond))
	g.Expect(m.For(now.Add(5*halfLife), objective)).To(BeNumerically("<", objective/40))
}

// Guards against refusals in calm times, when a few jobs are late because their run times were
// not known.
func TestFewLateJobsCostNothing(t *testing.T) {
	g := NewWithT(t)
	m := &Margin{}
	now := time.Unix(1_800_000_000, 0)
	for n := range 1000 {
		now = now.Add(tick)
		m.RecordOutcome(now, 0, n%20 == 0)
	}
	g.Expect(m.For(now, objective)).To(BeNumerically("<", objective/30))
}

// Guards against less urgent work that takes the room which urgent jobs lack, and against urgent
// work that is refused for what is less urgent.
func TestLessUrgentQueuesWaitForUrgentOnes(t *testing.T) {
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
