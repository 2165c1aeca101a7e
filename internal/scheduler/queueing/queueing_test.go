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

var _ = Describe("the order", func() {
	// A job of 290 tasks is let in and a check of one task follows. Served in the
	// order they came, the check waits for seconds behind work it has nothing to
	// do with, and its answer comes after the valve has opened.
	It("lets a short check pass a large job that came before it", func() {
		large := Job{RemainingMs: 290 * 500, LongestMs: 1000, Arrived: start}
		check := Job{RemainingMs: 100, LongestMs: 100, Arrived: after(50)}
		Expect(LeastWork.Rank(check)).To(BeNumerically("<", LeastWork.Rank(large)))
		Expect(FCFS.Rank(check)).To(BeNumerically(">", FCFS.Rank(large)))
	})

	// Small jobs keep coming for minutes. By size alone a large job would never
	// get a slot, and its caller sees it end at its deadline although the system
	// was never overloaded.
	It("lets a large job pass later small ones in the end", func() {
		large := Job{RemainingMs: 64 * 500, LongestMs: 1000, Arrived: start}
		small := Job{RemainingMs: 100, LongestMs: 100, Arrived: after(AgeingFactor * 64 * 500)}
		Expect(LeastWork.Rank(large)).To(BeNumerically("<", LeastWork.Rank(small)))
	})

	// Callers bring more than the targets can do, small jobs without end among it. A
	// large job is begun, overtaken until its deadline, and what has run is wasted.
	It("lets nothing overtake a job in the later part of its time", func() {
		large := Job{RemainingMs: 64 * 500, LongestMs: 4000, Arrived: start, Deadline: after(10_000)}
		tiny := Job{RemainingMs: 1, LongestMs: 1, Arrived: after(10_000 * MaxOvertakeShare)}
		Expect(LeastWork.Rank(large)).To(BeNumerically("<", LeastWork.Rank(tiny)))
	})

	// A job half done is overtaken by fresh ones again and again: what has run of
	// it is of no use to anyone until the rest has run.
	It("moves a job forward as its work gets done", func() {
		j := Job{RemainingMs: 8000, LongestMs: 500, Arrived: start}
		before := LeastWork.Rank(j)
		j.RemainingMs = 500
		Expect(LeastWork.Rank(j)).To(BeNumerically("<", before))
	})

	It("survives absurd declarations", func() {
		absurd := Job{RemainingMs: 1e300, LongestMs: 1e300, Arrived: start}
		Expect(LeastWork.Rank(absurd)).To(BeNumerically(">", LeastWork.Rank(Job{Arrived: start})))
	})
})

// The heap must always yield the lowest rank, first come first among equals,
// whatever is pushed, moved and removed in between: a job lost from it is an
// accepted job that never ends.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		held := map[int]*Item[int]{}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				held[next] = q.Push(next, rapid.Int64Range(0, 5).Draw(t, "rank"))
				next++
			},
			"fix": func(t *rapid.T) {
				if it := held[rapid.IntRange(0, next).Draw(t, "which")]; it != nil {
					q.Fix(it, rapid.Int64Range(0, 5).Draw(t, "rank"))
				}
			},
			"remove": func(t *rapid.T) {
				n := rapid.IntRange(0, next).Draw(t, "which")
				if it := held[n]; it != nil {
					q.Remove(it)
					q.Remove(it) // a second removal changes nothing
					delete(held, n)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(held) {
					t.Fatalf("%d queued, want %d", q.Len(), len(held))
				}
				var want *Item[int]
				for _, it := range held {
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
