package health

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

var _ = Describe("the tracker", func() {
	const agents = 10
	var (
		tr  *Tracker
		now time.Time
	)
	// round lets every agent but one return a result.
	round := func(except uint64, ok bool) {
		for id := range uint64(agents) {
			if id != except {
				tr.Observe(id, ok, Failed, now)
			}
		}
	}
	failUntilOut := func(id uint64) int {
		for n := 1; n <= 50; n++ {
			if tr.Observe(id, false, Failed, now); tr.Rating(id) == Ejected {
				return n
			}
		}
		return 0
	}
	BeforeEach(func() {
		tr = New()
		now = time.Unix(1000, 0)
		for range 20 {
			round(agents, true)
		}
	})

	// A target fails each task within a millisecond. It has free slots all the
	// time, so work flows to it, and within a second most jobs contain a failed task.
	It("takes the work from a target that fails everything after a handful", func() {
		Expect(failUntilOut(3)).To(BeNumerically("<=", 5))
		Expect(tr.MaxInFlight(3, now)).To(BeZero())
		Expect(tr.MaxInFlight(4, now)).To(Equal(Unlimited))
	})

	// A class is broken: its tasks fail wherever they run. Were each target judged
	// alone, all would be thrown out and sound classes would find no target.
	It("keeps everybody when everybody fails", func() {
		for range 100 {
			round(agents, false)
		}
		for id := range uint64(agents) {
			Expect(tr.Rating(id)).To(Equal(Healthy))
		}
	})

	// A failure in twenty results is ordinary. Were targets thrown out for it,
	// capacity would come and go for no reason.
	It("bears single failures", func() {
		for n := range 400 {
			tr.Observe(5, n%20 != 0, Failed, now)
		}
		Expect(tr.Rating(5)).To(Equal(Healthy))
	})

	// A target that is out is mended, or is not. Given all its work back at once
	// and still broken, it would fail a whole round of tasks each time.
	It("brings a target back through single trials", func() {
		failUntilOut(3)
		tr.Observe(3, false, Failed, now) // a task that was still under way
		now = now.Add(InitialTrialInterval)
		Expect(tr.MaxInFlight(3, now)).To(Equal(1))
		allowed := 1
		for n := 0; tr.Rating(3) != Healthy; n++ {
			Expect(n).To(BeNumerically("<", 10))
			tr.Observe(3, true, Succeeded, now)
			Expect(tr.MaxInFlight(3, now)).To(BeNumerically(">", allowed))
			allowed = tr.MaxInFlight(3, now)
		}
	})

	// A target stays broken for hours. Each trial is a task that may fail a job.
	It("tries a broken target ever more seldom", func() {
		failUntilOut(3)
		trials := 0
		for range 3600 {
			if tr.MaxInFlight(3, now) > 0 {
				trials++
				tr.Observe(3, false, Failed, now)
			}
			now = now.Add(time.Second)
		}
		Expect(trials).To(BeNumerically("<", 130))
		Expect(trials).To(BeNumerically(">", 100))
	})

	// A network fault makes targets fail one after the other. With most of them
	// thrown out, the few that are left are overrun.
	It("never puts out more than half", func() {
		for id := range uint64(agents) {
			failUntilOut(id)
		}
		out := 0
		for id := range uint64(agents) {
			if tr.Rating(id) == Ejected {
				out++
			}
		}
		Expect(out).To(BeNumerically("<=", agents/2))
		for id := range uint64(agents) {
			tr.Forget(id)
		}
		Expect(tr.known + tr.out).To(BeZero())
	})

	// A fast target hangs. Its measured speed comes from tasks that ended, so it
	// keeps its rank as the fastest for as long as nothing ends there.
	It("counts a target with an overdue task as slow", func() {
		Expect(StragglerSpeed(3, 200, 100)).To(BeNumerically("==", 3))
		Expect(StragglerSpeed(3, 3000, 100)).To(BeNumerically("~", 0.1, 0.01))
	})
})

func BenchmarkObserve(b *testing.B) {
	tr := New()
	now := time.Unix(0, 0)
	for id := range uint64(200) {
		tr.Observe(id, true, Succeeded, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		tr.Observe(7, true, Succeeded, now)
	}
}
