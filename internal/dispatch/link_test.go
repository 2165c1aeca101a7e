package dispatch

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/uplink"
)

// newWideJob returns a job of eight small tasks with a large spec. Placed on eight targets, it
// takes 10 kB on the link.
func (h *harness) newWideJob(id string) *Job {
	return &Job{ID: id, Queue: queue, Spec: strings.Repeat("x", 1200), Deadline: h.now.Add(2 * time.Second),
		Steps: []Step{{Count: 8, Demand: job.Demand{CPUMilli: 1000}, Estimate: 60 * time.Millisecond}}}
}

// agentsWithOrders returns how many agents were sent orders.
func (h *harness) agentsWithOrders() int {
	n := 0
	for _, orders := range h.sentOrders() {
		if len(orders) > 0 {
			n++
		}
	}
	return n
}

// Guards against sending the spec of a wide job to as many targets as it has tasks over a
// slow link, so that its last order is sent tens of milliseconds after the first.
func TestWideJobGoesToFewTargetsOverANarrowLink(t *testing.T) {
	wide, narrow := newHarness(t, 8), newHarness(t, 8)
	narrow.link = uplink.New(2)
	wide.submit(wide.newWideJob("1"))
	narrow.submit(narrow.newWideJob("1"))
	wide.Expect(wide.agentsWithOrders()).To(Equal(8))
	narrow.Expect(narrow.agentsWithOrders()).To(BeNumerically("<=", 3))
}

// Guards against admitting jobs whose orders exceed the bandwidth of the link: all of them
// would be late while their targets are idle.
func TestJobsBeyondTheLinkAreRefused(t *testing.T) {
	h := newHarness(t, 40)
	h.link = uplink.New(0.5)
	refused := 0
	for n := range 40 {
		for _, a := range h.submit(h.newWideJob(string(rune('a' + n)))).answers {
			h.Expect(a).To(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Overloaded)))
			refused++
		}
	}
	h.Expect(refused).To(BeNumerically(">", 20))
	h.advance(3 * time.Second)
	h.Expect(h.submit(h.newWideJob("later")).answers).To(BeEmpty(), "the link is free again")
}
