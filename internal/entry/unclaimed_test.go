package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Callers that got the answer "pending" and never ask again must not delay a drain, or occupy
// memory, past their deadlines.
func TestUnclaimedAnswersExpireAtTheirDeadlines(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_800_000_000_000)
	u := newUnclaimed()
	u.add(now, "a", now.Add(time.Second))
	u.add(now, "b", now.Add(time.Minute))
	u.add(now, "c", now.Add(time.Minute))
	u.remove("c")
	g.Expect(u.len(now)).To(Equal(2))
	g.Expect(u.len(now.Add(time.Second + time.Millisecond))).To(Equal(1))
	u.add(now.Add(2*time.Minute), "d", now.Add(3*time.Minute))
	g.Expect(u.deadlines).To(HaveLen(1))
}
