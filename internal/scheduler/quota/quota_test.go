package quota

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

var _ = Describe("the limiter", func() {
	var l *Limiter
	BeforeEach(func() {
		l = New()
		l.SetSlots(80)
	})
	startAll := func(team string) int {
		n := 0
		for ; n < 1000 && l.MayStart(team); n++ {
			l.Started(team)
		}
		return n
	}

	// Four entries share a quota without communication. If each allowed the whole quota, the
	// team would run four times as many tasks as agreed.
	It("enforces its part of a quota", func() {
		l.SetLimits(map[string]int{"big": 42, "tiny": 2, "none": 0})
		l.SetOwners(4)
		Expect(startAll("big")).To(Equal(10))
		Expect(startAll("tiny")).To(Equal(1))
		Expect(startAll("none")).To(BeZero())
		l.SetOwners(2)
		Expect(startAll("big")).To(Equal(11))
		l.Finished("big")
		Expect(l.MayStart("big")).To(BeTrue())
	})

	// One team that sends 90 % of the work fills every slot, and the others wait behind its
	// long tasks. While no other team waits it may use all slots.
	It("limits a team without a quota to its share while others wait", func() {
		l.SetContended(true)
		l.SetWaiting("flood", 1000)
		Expect(startAll("flood")).To(Equal(1000))
		for range 920 {
			l.Finished("flood")
		}
		for n := range 4 {
			l.SetWaiting(fmt.Sprint("small", n), 1)
		}
		Expect(l.MayStart("flood")).To(BeFalse())
		for range 80 - FairShareFactor*80/5 + 1 {
			l.Finished("flood")
		}
		Expect(l.MayStart("flood")).To(BeTrue())
		Expect(l.MayStart("small1")).To(BeTrue())
		l.SetContended(false)
		Expect(startAll("flood")).To(Equal(1000)) // as many as startAll tries
	})

	It("removes teams without tasks", func() {
		for n := range 1000 {
			name := fmt.Sprint(n)
			l.SetWaiting(name, 1)
			l.Started(name)
			l.SetWaiting(name, 0)
			l.Finished(name)
		}
		Expect(l.teams).To(BeEmpty())
		Expect(l.waitingTeams).To(BeZero())
	})
})
