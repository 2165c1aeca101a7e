package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A copy of a request comes while the answer of its first coming is kept, is begun
// anew, and then the time of the first is over. Were the second dropped with it, a
// further copy would start the job beside it.
func TestExpiryOfAJobLeavesItsNextComing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	table := newTable()
	first := &liveJob{Job: &Job{ID: "a"}, keepUntil: now}
	table.add(first)
	table.answered()
	table.settle(first)
	table.forget(first)
	second := &liveJob{Job: &Job{ID: "a"}}
	table.add(second)
	table.expire(now.Add(time.Hour))
	g.Expect(table.byID).To(HaveKeyWithValue("a", second))
	g.Expect(table.unsettled).To(HaveLen(1))
	g.Expect(table.live).To(Equal(1))
}

// An entry takes two hundred jobs a second and keeps each answer for seconds. If the
// settled ones stayed, its memory would grow until its host kills it.
func TestSettledJobsAreDropped(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	table := newTable()
	for _, id := range []string{"a", "b"} {
		l := &liveJob{Job: &Job{ID: id}, keepUntil: now}
		table.add(l)
		table.answered()
		table.settle(l)
		now = now.Add(time.Second)
	}
	table.expire(now.Add(-500 * time.Millisecond))
	g.Expect(table.byID).To(HaveLen(0))
	g.Expect(table.kept).To(BeEmpty())
	g.Expect(table.live).To(BeZero())
}
