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

// wideJob is a job of eight small tasks with a large body: on eight targets, it takes 10 kB of the
// link.
func (w *world) wideJob(id string) *Job {
	return &Job{ID: id, Queue: queue, Spec: strings.Repeat("x", 1200), Deadline: w.now.Add(2 * time.Second),
		Steps: []Step{{Count: 8, Demand: job.Demand{CPUMilli: 1000}, Estimate: 60 * time.Millisecond}}}
}

// agentsUsed returns how many agents were sent orders.
func (w *world) agentsUsed() int {
	n := 0
	for _, orders := range w.sent() {
		if len(orders) > 0 {
			n++
		}
	}
	return n
}

// Guards against a wide job's body that is sent to a target for each of its tasks over a narrow
// link, so that its last task leaves tens of milliseconds after the first.
func TestWideJobGoesToFewTargetsOverANarrowLink(t *testing.T) {
	wide, narrow := newWorld(t, 8), newWorld(t, 8)
	narrow.link = uplink.New(2)
	wide.submit(wide.wideJob("1"))
	narrow.submit(narrow.wideJob("1"))
	wide.Expect(wide.agentsUsed()).To(Equal(8))
	narrow.Expect(narrow.agentsUsed()).To(BeNumerically("<=", 3))
}

// Guards against jobs that are let in although there is no link left for their orders: all of
// them come late while their targets are idle.
func TestJobsBeyondTheLinkAreRefused(t *testing.T) {
	w := newWorld(t, 40)
	w.link = uplink.New(0.5)
	refused := 0
	for n := range 40 {
		for _, a := range w.submit(w.wideJob(string(rune('a' + n)))).got {
			w.Expect(a).To(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Overloaded)))
			refused++
		}
	}
	w.Expect(refused).To(BeNumerically(">", 20))
	w.pass(3 * time.Second)
	w.Expect(w.submit(w.wideJob("later")).got).To(BeEmpty(), "the link is free again")
}
