package warmup

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_800_000_000, 0)

const ms = time.Millisecond

// jobAt returns a job that arrives after a time, runs for 60 ms, and is wanted within 156 ms.
func jobAt(after time.Duration) *Job {
	arrived := start.Add(after)
	return &Job{Path: 60 * ms, Objective: arrived.Add(156 * ms), Useful: arrived.Add(468 * ms), Deadline: arrived.Add(1500 * ms)}
}

// Guards against waiting for targets that are not about to connect, and for longer than an answer is of
// use to the caller: what is known to be hopeless is refused at once.
func TestWaitIsBounded(t *testing.T) {
	g := NewWithT(t)
	wait := func(j *Job, after time.Duration) time.Duration {
		until, ok := WaitUntil(start.Add(after), start, j)
		if !ok {
			return 0
		}
		return until.Sub(start)
	}
	g.Expect(wait(jobAt(20*ms), 20*ms)).To(Equal(428*ms), "then it would end when it is of no use")
	g.Expect(wait(jobAt(200*ms), 200*ms)).To(Equal(Limit))
	g.Expect(wait(jobAt(Limit), Limit)).To(BeZero())
	impatient := jobAt(0)
	impatient.Deadline = start.Add(50 * ms)
	g.Expect(wait(impatient, 0)).To(BeZero())
	_, ok := WaitUntil(start.Add(time.Hour), time.Time{}, jobAt(time.Hour))
	g.Expect(ok).To(BeFalse())
}

// Guards against late jobs that take the place of others, and against an answer after the caller has left.
func TestLateJobsAreAdmittedToIdleTargetsOnly(t *testing.T) {
	g := NewWithT(t)
	j := jobAt(0)
	g.Expect(Admits(j, j.Useful, true)).To(BeTrue())
	g.Expect(Admits(j, j.Useful, false)).To(BeFalse())
	g.Expect(Admits(j, j.Useful.Add(1), true)).To(BeFalse())
	j.Deadline = j.Objective
	g.Expect(Admits(j, j.Useful, true)).To(BeFalse())
}

// Guards against urgent jobs behind those that have waited longer.
func TestUrgentJobsAreFirst(t *testing.T) {
	g := NewWithT(t)
	first, second, urgent := jobAt(0), jobAt(ms), jobAt(2*ms)
	first.Priority, second.Priority = 1, 1
	jobs := []*Job{second, first, urgent}
	slices.SortFunc(jobs, Compare)
	g.Expect(jobs).To(Equal([]*Job{urgent, first, second}))
}
