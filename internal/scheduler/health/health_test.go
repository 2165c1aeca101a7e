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
	// observeAll records one outcome for every agent but one.
	observeAll := func(except uint64, ok bool) {
		for id := range uint64(agents) {
			if id != except {
				tr.Observe(id, ok, Failed, now)
			}
		}
	}
	// failUntilEjected records failures of an agent and returns how many eject it; 0: none.
	failUntilEjected := func(id uint64) int {
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
			observeAll(agents, true)
		}
	})

	// Guards against a target that fails each task within a millisecond: its slots are
	// always free, so it attracts work, and within a second most jobs contain a failed task.
	It("ejects a target that fails every task after a few failures", func() {
		Expect(failUntilEjected(3)).To(BeNumerically("<=", 5))
		Expect(tr.MaxInFlight(3, now)).To(BeZero())
		Expect(tr.MaxInFlight(4, now)).To(Equal(Unlimited))
	})

	// Guards against ejecting all targets when the tasks of a broken class fail on every
	// target: the healthy classes would then have no target.
	It("ejects no agent when all of them fail", func() {
		for range 100 {
			observeAll(agents, false)
		}
		for id := range uint64(agents) {
			Expect(tr.Rating(id)).To(Equal(Healthy))
		}
	})

	// One failure in twenty results is normal. Ejecting targets for it would make the
	// capacity fluctuate without a cause.
	It("tolerates single failures", func() {
		for n := range 400 {
			tr.Observe(5, n%20 != 0, Failed, now)
		}
		Expect(tr.Rating(5)).To(Equal(Healthy))
	})

	// Guards against a target that gets all its work back while it is still broken: it
	// would fail as many tasks as it has slots each time.
	It("readmits a target through single trials", func() {
		failUntilEjected(3)
		tr.Observe(3, false, Failed, now) // a task that was in flight at the ejection
		now = now.Add(InitialTrialInterval)
		Expect(tr.MaxInFlight(3, now)).To(Equal(1))
		limit := 1
		for n := 0; tr.Rating(3) != Healthy; n++ {
			Expect(n).To(BeNumerically("<", 10))
			tr.Observe(3, true, Succeeded, now)
			Expect(tr.MaxInFlight(3, now)).To(BeNumerically(">", limit))
			limit = tr.MaxInFlight(3, now)
		}
	})

	// A target may stay broken for hours, and each trial task may fail a job.
	It("tries a broken target less and less often", func() {
		failUntilEjected(3)
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

	// A network fault makes the targets fail one after the other. If most of them were
	// ejected, the remaining ones would be overloaded.
	It("never ejects more than half of the agents", func() {
		for id := range uint64(agents) {
			failUntilEjected(id)
		}
		ejected := 0
		for id := range uint64(agents) {
			if tr.Rating(id) == Ejected {
				ejected++
			}
		}
		Expect(ejected).To(BeNumerically("<=", agents/2))
		for id := range uint64(agents) {
			tr.Forget(id)
		}
		Expect(tr.known + tr.ejected).To(BeZero())
	})

	// Guards against a fast target that hangs: its speed is measured on tasks that have
	// ended, so it would rank as the fastest for as long as no task ends there.
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
