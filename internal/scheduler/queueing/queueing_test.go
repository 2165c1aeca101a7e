package queueing

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestQueueing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queueing")
}

var start = time.UnixMilli(1_800_000_000_000)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("the queueing order", func() {
	// Guards against first come, first served: a check of one task that follows a job of 290
	// tasks would wait for seconds behind unrelated work, and its answer would come after the
	// valve it is for has opened.
	It("ranks a short check before a large job that arrived earlier", func() {
		large := Job{RemainingMs: 290 * 500, LongestMs: 1000, Arrived: start}
		check := Job{RemainingMs: 100, LongestMs: 100, Arrived: after(50)}
		Expect(LeastWork.Rank(check)).To(BeNumerically("<", LeastWork.Rank(large)))
		Expect(FCFS.Rank(check)).To(BeNumerically(">", FCFS.Rank(large)))
	})

	// Guards against starvation: if small jobs arrive for minutes, a large job ranked by size
	// alone never gets a slot and ends at its deadline, although the system was never
	// overloaded.
	It("ranks a large job before small ones that arrive much later", func() {
		large := Job{RemainingMs: 64 * 500, LongestMs: 1000, Arrived: start}
		small := Job{RemainingMs: 100, LongestMs: 100, Arrived: after(AgeingFactor * 64 * 500)}
		Expect(LeastWork.Rank(large)).To(BeNumerically("<", LeastWork.Rank(small)))
	})

	// Under overload with an endless stream of small jobs, a large job would be started and
	// then overtaken until its deadline, which wastes the work done for it.
	It("lets no later job overtake a job in the last part of its time", func() {
		large := Job{RemainingMs: 64 * 500, LongestMs: 4000, Arrived: start, Deadline: after(10_000)}
		tiny := Job{RemainingMs: 1, LongestMs: 1, Arrived: after(10_000 * MaxOvertakeShare)}
		Expect(LeastWork.Rank(large)).To(BeNumerically("<", LeastWork.Rank(tiny)))
	})

	// Guards against new jobs that overtake a half-finished job again and again: the work done
	// for it has no use until the rest is done.
	It("lowers the rank of a job as its work gets done", func() {
		j := Job{RemainingMs: 8000, LongestMs: 500, Arrived: start}
		before := LeastWork.Rank(j)
		j.RemainingMs = 500
		Expect(LeastWork.Rank(j)).To(BeNumerically("<", before))
	})

	It("does not overflow on absurd declarations", func() {
		absurd := Job{RemainingMs: 1e300, LongestMs: 1e300, Arrived: start}
		Expect(LeastWork.Rank(absurd)).To(BeNumerically(">", LeastWork.Rank(Job{Arrived: start})))
	})
})

// The queue must always yield the lowest rank, in the order of arrival among equals, after
// any sequence of pushes, moves and removals: a job lost from it is an accepted job that
// never ends.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		queued := map[int]*Item[int]{}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				queued[next] = q.Push(next, rapid.Int64Range(0, 5).Draw(t, "rank"))
				next++
			},
			"fix": func(t *rapid.T) {
				if it := queued[rapid.IntRange(0, next).Draw(t, "which")]; it != nil {
					q.Fix(it, rapid.Int64Range(0, 5).Draw(t, "rank"))
				}
			},
			"remove": func(t *rapid.T) {
				n := rapid.IntRange(0, next).Draw(t, "which")
				if it := queued[n]; it != nil {
					q.Remove(it)
					q.Remove(it) // a second removal has no effect
					delete(queued, n)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(queued) {
					t.Fatalf("%d queued, want %d", q.Len(), len(queued))
				}
				var want *Item[int]
				for _, it := range queued {
					if want == nil || it.rank < want.rank || it.rank == want.rank && it.Value < want.Value {
						want = it
					}
				}
				if q.Min() != want {
					t.Fatalf("min is %v, want %v", q.Min(), want)
				}
			},
		})
	})
}
