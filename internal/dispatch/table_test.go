package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
