package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// Guards against a job that runs twice at once: it is submitted again while its earlier answer
// is kept, and then the retention of that answer ends. If the resubmission were dropped with
// it, a further copy of the request would start the job a second time.
func TestExpiryOfAJobKeepsItsResubmission(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	table := newTable()
	first := &liveJob{Job: &Job{ID: "a"}, keepUntil: now}
	table.add(first)
	table.noteAnswer()
	table.settle(first)
	table.remove(first)
	second := &liveJob{Job: &Job{ID: "a"}}
	table.add(second)
	table.expire(now.Add(time.Hour))
	g.Expect(table.byID).To(HaveKeyWithValue("a", second))
	g.Expect(table.unsettled.Len()).To(Equal(1))
	g.Expect(table.unanswered).To(Equal(1))
}

// Guards against unbounded memory: an entry gets two hundred jobs a second and keeps each
// answer for seconds. If settled jobs stayed, its memory would grow until the host kills it.
func TestSettledJobsAreDropped(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	table := newTable()
	for _, id := range []string{"a", "b"} {
		l := &liveJob{Job: &Job{ID: id}, keepUntil: now}
		table.add(l)
		table.noteAnswer()
		table.settle(l)
		now = now.Add(time.Second)
	}
	table.expire(now.Add(-500 * time.Millisecond))
	g.Expect(table.byID).To(HaveLen(0))
	g.Expect(table.settled).To(BeEmpty())
	g.Expect(table.unanswered).To(BeZero())
}

// Guards against accepted jobs of many tasks that fill the memory of the host, and against a budget that
// fills up for good: a copy of an accepted job takes no further room, and what is settled takes none.
func TestMemoryOfAcceptedJobsIsLimited(t *testing.T) {
	h := newHarness(t, 1)
	wide := func(id string) *Job {
		j := h.newJob(id, 1)
		j.Steps = append(j.Steps, Step{Count: 1000, Demand: job.Demand{CPUMilli: 10}, Estimate: time.Millisecond, DependsOn: []int{0}})
		return j
	}
	h.SetMemoryBytes(wide("a").memoryBytes() * 3 / 2)
	first := h.submit(wide("a"))
	h.Expect(first.answers).To(BeEmpty())
	h.Expect(h.submit(wide("a")).answers).To(BeEmpty(), "a copy waits for the same answer")
	refused := h.submit(wide("b"))
	h.Expect(refused.answers).To(HaveLen(1))
	h.Expect(refused.answers[0].Kind).To(Equal(AnswerNotRun))
	h.Expect(refused.answers[0].Fault.Code).To(Equal(fault.TooManyJobs))
	h.Expect(h.submit(h.newJob("c", 1)).answers).To(BeEmpty(), "there is room for a usual job")
	h.now = h.now.Add(time.Minute)
	h.Tick(h.now)
	h.Expect(first.answers).To(HaveLen(1))
	h.now = h.now.Add(time.Minute)
	h.Disconnect(h.now, 1)
	for range 5 {
		h.now = h.now.Add(time.Second)
		h.Tick(h.now)
	}
	h.Expect(h.JobBytes()).To(BeZero())
}
