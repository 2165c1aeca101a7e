package dispatch

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// replayed is what happened to the runs of a replayed load.
type replayed struct {
	soundStopped, incomplete, hung int
	foundAfterMs                   float64 // mean time from the order to the recall of a hung run of a usual job
}

// replayLoad runs 300 jobs of four tasks of 100 ms one after the other on eight targets. The share
// longShare of the jobs takes seven times as long, and the targets up to hanging hang one task in
// three.
func replayLoad(t *testing.T, hanging ConnID, longShare float64) (r replayed, counts Counts) {
	h, random, seen := newHarness(t, 8), rand.New(rand.NewPCG(9, 9)), map[ConnID]int{}
	type openRun struct{ startedMs, ranMs float64 }
	for n := range 300 {
		level := 1.0
		if random.Float64() < longShare {
			level = 7
		}
		j := h.newJob(fmt.Sprint("j", n), 4)
		j.Deadline = h.now.Add(20 * time.Second)
		caller, began := h.submit(j), h.now
		for open := map[ConnID]map[uint64]openRun{}; len(caller.answers) == 0; h.advance(10 * time.Millisecond) {
			nowMs := clock.Millis(h.now.Sub(began))
			for conn := ConnID(1); conn <= 8; conn++ {
				if open[conn] == nil {
					open[conn] = map[uint64]openRun{} // by order
				}
				for _, order := range h.out.orders[conn][seen[conn]:] {
					run := openRun{nowMs, level * 100 * math.Exp(0.19*random.NormFloat64())}
					if conn <= hanging && random.IntN(3) == 0 {
						run.ranMs = math.Inf(1)
					}
					open[conn][order.Seq] = run
				}
				seen[conn] = len(h.out.orders[conn])
				for _, seq := range slices.Sorted(maps.Keys(open[conn])) {
					run := open[conn][seq]
					end := wire.RunOutcome{Seq: seq, End: wire.EndDone, RunMs: run.ranMs}
					switch hung := math.IsInf(run.ranMs, 1); {
					case slices.Contains(h.out.recalls[conn], seq):
						end.End, end.RunMs = wire.EndStopped, 0
						if !hung {
							r.soundStopped++
						} else if level == 1 {
							r.hung++
							r.foundAfterMs += nowMs - run.startedMs
						}
					case nowMs < run.startedMs+run.ranMs:
						continue
					}
					delete(open[conn], seq)
					h.Receive(h.now, conn, &wire.LeasedToEntry{Load: h.fullLoad(0), Outcomes: []wire.RunOutcome{end}})
					h.setLoad(conn, h.idleLoad())
				}
			}
		}
		if caller.answers[0].Kind != AnswerComplete {
			r.incomplete++
		}
	}
	r.foundAfterMs /= float64(max(1, r.hung))
	t.Logf("%v long jobs, %d hanging targets: %+v, %+v", longShare, hanging, r, h.Counts())
	return r, h.Counts()
}

// Guards against the stop of sound runs: 3 jobs in 100 take seven times their estimate. By a fixed
// limit their runs were stopped after four times the estimate, and their jobs given up.
func TestRunsOfLongJobsAreKept(t *testing.T) {
	g := NewWithT(t)
	r, counts := replayLoad(t, 0, 0.03)
	g.Expect(r.soundStopped).To(BeNumerically("<=", 6))
	g.Expect(r.incomplete).To(BeNumerically("<=", 1))
	g.Expect(counts.EstimatesRevised).To(BeNumerically(">=", 4))
}

// Guards against hung runs of usual jobs that are found later than by the fixed limit of 4 times
// the expected time plus 60 ms, with and without a tail; the replay advances in steps of 10 ms.
func TestHungRunsOfUsualJobsAreFoundByTheUsualLimit(t *testing.T) {
	for _, longShare := range []float64{0, 0.03} {
		g := NewWithT(t)
		r, _ := replayLoad(t, 2, longShare)
		g.Expect(r.hung).To(BeNumerically(">", 50))
		g.Expect(r.foundAfterMs).To(BeNumerically("<=", 4*100+60+2*10))
	}
}

// Guards against a job that is given up by its first estimate: completions on two targets show
// that it takes four times as long, and a task of it is returned unstarted after that.
func TestEstimateOfALongJobIsRevised(t *testing.T) {
	h := newHarness(t, 4)
	j := h.newJob("j", 4)
	j.Deadline = h.now.Add(20 * time.Second)
	caller := h.submit(j)
	l := h.jobs.byID["j"]
	before := l.objective
	h.now = h.now.Add(460 * time.Millisecond)
	for id := ConnID(1); id <= 2; id++ {
		h.Receive(h.now, id, &wire.LeasedToEntry{Outcomes: []wire.RunOutcome{{Seq: 1, End: wire.EndDone, RunMs: 450}}})
	}
	h.Expect(l.objective.Sub(before)).To(BeNumerically("~", 1.6*350*float64(time.Millisecond), float64(5*time.Millisecond)))
	h.advance(60 * time.Millisecond)
	h.Expect(h.counts.Recalls).To(BeZero(), "the other runs are as long as their job")
	h.now = h.now.Add(230 * time.Millisecond)
	h.reportOutcome(3, 1, wire.EndNotRun, wire.NotRunNoAnswer)
	h.Expect(caller.answers).To(BeEmpty(), "by its first estimate, the answer would have no value any more")
	h.Expect(h.orderCount()).To(Equal(5))
}

// Guards the order of a stop and a new run for a run that was kept first: the task has one
// unsettled run at any time.
func TestKeptRunIsPlacedAgainOnlyAfterItsStop(t *testing.T) {
	h := newHarness(t, 3)
	j := h.newJob("j", 3)
	j.Deadline = h.now.Add(20 * time.Second)
	h.submit(j)
	h.advance(480 * time.Millisecond)
	h.Expect(h.Counts().RunsKept).To(Equal(uint64(3)), "on three targets, it is more likely long")
	for id := ConnID(1); id <= 2; id++ {
		h.Receive(h.now, id, &wire.LeasedToEntry{Outcomes: []wire.RunOutcome{{Seq: 1, End: wire.EndDone, RunMs: 110}}})
	}
	h.advance(time.Millisecond)
	h.Expect(h.out.recalls[3]).To(HaveLen(1), "the others turn out to have ended at their usual time")
	h.advance(20 * time.Millisecond)
	h.Expect(h.orderCount()).To(Equal(3))
	h.reportOutcome(3, 1, wire.EndStopped, 0)
	h.Expect(h.orderCount()).To(Equal(4))
}

// Guards against an entry that restarts and stops sound runs until it has learned the tail, and
// against summaries that distort its judgement or its memory.
func TestSummariesOfAgentsAreCheckedAndMerged(t *testing.T) {
	h := newHarness(t, 1)
	good := []float32{0.6, 1, 1.3, 1.7, 2.1, 6.5, 7.5, 12}
	falling := []float32{8, 7, 6, 5, 4, 3, 2, 1}
	for i := range 3 * wire.MaxRunTimes {
		h.Receive(h.now, 1, &wire.LeasedToEntry{RunTimes: []wire.RunTimes{{Queue: "falling", Count: 900, Quantiles: falling},
			{Queue: "", Count: 900, Quantiles: good}, {Queue: fmt.Sprint("q", i), Count: 900, Quantiles: good}}})
	}
	h.advance(mergeInterval)
	h.Expect(h.runTimesOf("q0").HasTail()).To(BeTrue())
	h.Expect(h.agents[1].runTimes).To(And(HaveLen(wire.MaxRunTimes), Not(HaveKey("")), Not(HaveKey("falling"))))
	for i := range 3 * minRunTimeQueues {
		h.runTimesOf(fmt.Sprint("other-", i))
	}
	h.Expect(h.runTimes.queues.Len()).To(BeNumerically("<=", minRunTimeQueues))
}

// Guards against distributions that are dropped before they are used again: 140 teams have more queues than
// the limit for small configurations.
func TestDistributionsOfAllQueuesAreKept(t *testing.T) {
	h := newHarness(t, 1)
	h.SetQueueCount(140)
	first := h.runTimesOf("q0")
	for i := range 140 {
		h.runTimesOf(fmt.Sprint("q", i))
	}
	h.Expect(h.runTimesOf("q0")).To(BeIdenticalTo(first))
	h.SetQueueCount(3)
	h.Expect(h.runTimes.queues.Len()).To(Equal(minRunTimeQueues))
}

// Guards against a hung run that is found late because its job's estimate was raised by mistake:
// both runs of a job hang, so that its estimate is raised. One of the new runs ends at its usual
// time, the other one hangs.
func TestRaisedEstimateDoesNotDelayTheStopOfAHungRun(t *testing.T) {
	h := newHarness(t, 4)
	j := h.newJob("j", 2)
	j.Deadline = h.now.Add(20 * time.Second)
	h.submit(j)
	first := slices.Collect(maps.Keys(h.out.orders))
	h.Expect(first).To(HaveLen(2))
	for stopReported := map[ConnID]bool{}; h.orderCount() < 4 && len(stopReported) < 2; {
		h.advance(10 * time.Millisecond)
		for _, conn := range first {
			if len(h.out.recalls[conn]) > 0 && !stopReported[conn] {
				stopReported[conn] = true
				h.reportOutcome(conn, 1, wire.EndStopped, 0)
			}
		}
	}
	placed := slices.DeleteFunc([]ConnID{1, 2, 3, 4}, func(conn ConnID) bool { return slices.Contains(first, conn) || len(h.out.orders[conn]) == 0 })
	h.Expect(placed).To(HaveLen(2), "targets of the new runs")
	h.Expect(h.Counts().EstimatesRevised).NotTo(BeZero())
	h.Receive(h.now, placed[0], &wire.LeasedToEntry{Outcomes: []wire.RunOutcome{{Seq: 1, End: wire.EndDone, RunMs: 110}}})
	h.advance(4*110*time.Millisecond + overdueMargin)
	h.Expect(h.out.recalls[placed[1]]).To(HaveLen(1))
}

// Guards against processor time that grows with the cube of a long job's tasks: a completion that is
// as long as the others must not make the entry compare all its kept runs with each other again.
func TestLongCompletionDoesNotJudgeAllRunsAgain(t *testing.T) {
	h := newHarness(t, 3)
	j := h.newJob("j", 3)
	j.Deadline = h.now.Add(20 * time.Second)
	h.submit(j)
	h.advance(480 * time.Millisecond)
	h.Expect(h.Counts().RunsKept).To(Equal(uint64(3)))
	h.Receive(h.now, 1, &wire.LeasedToEntry{Outcomes: []wire.RunOutcome{{Seq: 1, End: wire.EndDone, RunMs: 480}}})
	for _, at := range []*attempt{h.agents[2].attempts[1], h.agents[3].attempts[1]} {
		h.Expect(at.keepUntil).To(BeTemporally(">", h.now))
	}
}
