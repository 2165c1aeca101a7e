package runtimes

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_800_000_000, 0)

// load is a replayed load: jobs of several tasks, each on another one of 65 targets, of which the
// first ones hang one task in three.
type load struct {
	tasks, hanging int
	longShare      float64 // of jobs; they take seven times as long
}

// result is what a rule did to the runs of a load.
type result struct {
	sound, soundStopped, hung int
	wasted, foundAt           float64 // run times of stopped sound runs; sum of the ratios at which hung runs of usual jobs were stopped
}

// replay runs 12,000 tasks. Each run that is past the limit of 4 is judged; the earlier rule stops
// it.
func (l load) replay(judge func(Evidence) Verdict) (r result) {
	random, d, shares := rand.New(rand.NewPCG(7, 1)), New(), make([]HungShare, 65)
	for range 12_000 / l.tasks {
		level := math.Exp(0.4*random.NormFloat64() - 0.08)
		if random.Float64() < l.longShare {
			level *= 7
		}
		places, ends := random.Perm(len(shares))[:l.tasks], make([]float64, l.tasks) // ends: infinite if hung
		for i, place := range places {
			ends[i] = level * math.Exp(0.19*random.NormFloat64())
			if place < l.hanging && random.IntN(3) == 0 {
				ends[i] = math.Inf(1)
			} else {
				r.sound++
			}
		}
		stopped, recorded := make([]bool, l.tasks), false
		for at := 0.1; at < 150; at += 0.1 {
			for i, end := range ends {
				switch {
				case stopped[i] || end <= at-0.1:
					continue
				case end <= at:
					d.Record(start, end)
					shares[places[i]].Record(false)
					continue
				case at <= tailRatio:
					continue
				}
				e := Evidence{Ratio: at, HungShare: shares[places[i]].Value(), Distribution: d}
				for k := range ends {
					if ends[k] <= at {
						e.Completed = append(e.Completed, Completed{Ratio: ends[k]})
					} else if k != i {
						e.AsLong = append(e.AsLong, shares[places[k]].Value())
					}
				}
				if judge(e).Keep {
					continue
				}
				stopped[i] = true
				if len(e.AsLong) > 0 && len(e.Completed) == 0 && !recorded {
					recorded = true
					d.RecordAtLeast(start, at)
				}
				switch hung := math.IsInf(end, 1); {
				case !hung:
					r.soundStopped++
					r.wasted += at
				case level < LongJobLevel:
					r.hung++
					r.foundAt += at
					shares[places[i]].Record(true)
				}
			}
		}
	}
	r.foundAt /= float64(max(1, r.hung))
	return r
}

// Guards against the stop of sound runs: in a load with 3 jobs in 100 that take seven times as
// long, a limit of four times the expected time stops nearly all runs of these jobs. Also guards
// against hung runs that are found later than by that limit, with and without such jobs.
func TestLongRunsAreKeptAndHungOnesFound(t *testing.T) {
	for _, l := range []load{{2, 0, 0.03}, {4, 0, 0.03}, {8, 0, 0.03}, {4, 5, 0.03}, {4, 5, 0}} {
		g := NewWithT(t)
		before, now := l.replay(func(Evidence) Verdict { return Verdict{} }), l.replay(Judge)
		t.Logf("%+v: of %d sound runs, %d stopped before (%.0f run times), %d now (%.0f); %d and %d hung runs found at %.2f and %.2f times the expected time",
			l, now.sound, before.soundStopped, before.wasted, now.soundStopped, now.wasted, before.hung, now.hung, before.foundAt, now.foundAt)
		g.Expect(now.hung).To(Equal(before.hung))
		g.Expect(now.foundAt).To(BeNumerically("<=", before.foundAt+0.001))
		if l.longShare > 0 {
			g.Expect(float64(now.soundStopped)).To(BeNumerically("<", 0.1*float64(before.soundStopped)))
		}
	}
}

// Guards the limits of a load without a tail: once its distribution is known, no evidence but
// long completions elsewhere keeps a run beyond four times its expected time, or beyond twice
// that at a target that rejects work.
func TestWithoutATailTheLimitsAreTheEarlierOnes(t *testing.T) {
	d, random := New(), rand.New(rand.NewPCG(3, 3))
	for range 1500 {
		d.Record(start, math.Exp(0.3*random.NormFloat64()))
	}
	for _, c := range []struct {
		e    Evidence
		keep bool
	}{
		{Evidence{Ratio: 4.01}, false},
		{Evidence{Ratio: 4.01, AsLong: []float64{0, 0, 0}}, false},
		{Evidence{Ratio: 2.01, Rejecting: true}, false},
		{Evidence{Ratio: 2.01, Rejecting: true, AsLong: []float64{0, 0, 0}}, false},
		{Evidence{Ratio: 4.01, Completed: []Completed{{Ratio: 6}}}, true},
		{Evidence{Ratio: 4.01, Completed: []Completed{{Ratio: 6, SameTarget: true}}}, false}, // the target may be slow
		{Evidence{Ratio: 4.01, Completed: []Completed{{Ratio: 6}, {Ratio: 1, SameTarget: true}}}, false},
	} {
		c.e.Distribution = d
		NewWithT(t).Expect(Judge(c.e).Keep).To(Equal(c.keep), "%+v", c.e)
	}
}

// Guards the statistics against values known from the load, a tail that is remembered after the
// load has changed, and an entry that stops sound runs again after its restart: the summaries of
// its agents give it the tail from its first load on, and old ones lose weight.
func TestTailIsLearnedMergedAndForgotten(t *testing.T) {
	g := NewWithT(t)
	g.Expect(New().Remainder(1)).To(BeNumerically("~", 0.42, 0.04), "of a log-normal spread of two fifths")
	d, random := New(), rand.New(rand.NewPCG(5, 5))
	for i := range 2500 {
		d.Record(start, math.Exp(0.4*random.NormFloat64())*[]float64{1, 7}[(i%33)/32])
	}
	g.Expect(d.Survival(4)).To(BeNumerically("~", 0.028, 0.006))
	g.Expect(d.Quantile(0.5)).To(BeNumerically("~", 1.02, 0.1))
	g.Expect(d.Quantile(0.99)).To(BeNumerically("~", 7.7, 1.5))
	g.Expect(d.Remainder(3)).To(BeNumerically(">", 2.5))
	summary, restarted := d.Summary(), New()
	g.Expect(summary.Validate()).To(Succeed())
	g.Expect(summary.Differs(New().Summary())).To(BeTrue())
	restarted.SetMerged([]AgedSummary{{Summary: summary}, {Summary: summary}})
	g.Expect(restarted.Survival(4)).To(BeNumerically("~", 0.026, 0.008))
	restarted.SetMerged([]AgedSummary{{Summary: summary, Age: time.Hour}})
	g.Expect(restarted.HasTail()).To(BeFalse())
	for range 2 * generationCount {
		d.Record(start.Add(time.Hour), 1)
	}
	g.Expect(d.HasTail()).To(BeFalse())
}

// Guards against a process that ends with a panic because a question is asked for a run without an
// expected time, whose ratio is infinite or not a number.
func TestEveryRatioHasAnAnswer(t *testing.T) {
	g := NewWithT(t)
	d := New()
	for _, ratio := range []float64{math.Inf(1), math.Inf(-1), math.NaN(), math.MaxFloat64, -1, 0, maxRatio, math.Nextafter(maxRatio, 0)} {
		g.Expect(d.Survival(ratio)).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1)), "ratio %g", ratio)
		g.Expect(d.Remainder(ratio)).To(And(BeNumerically(">=", 0), BeNumerically("<", maxRatio)), "ratio %g", ratio)
	}
	g.Expect(d.Survival(math.Inf(1))).To(Equal(d.Survival(maxRatio)))
}

// Guards against values and summaries that would distort the judgement of every run of a queue.
func TestMalformedValuesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	d := New()
	for _, ratio := range []float64{math.NaN(), math.Inf(1), 0, -1} {
		d.Record(start, ratio)
	}
	g.Expect(d.Count()).To(BeZero())
	good := []float64{0.6, 1, 1.3, 1.7, 2.1, 6.5, 7.5, 12}
	g.Expect(Summary{5, good}.Validate()).To(Succeed())
	g.Expect(Summary{-1, good}.Validate()).NotTo(Succeed())
	g.Expect(Summary{5, good[1:]}.Validate()).NotTo(Succeed())
	for _, bad := range []float64{math.NaN(), math.Inf(1), 0, 0.5} {
		g.Expect(Summary{5, append(append([]float64(nil), good[:7]...), bad)}.Validate()).NotTo(Succeed())
	}
}
