package cancellation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a cancellation that is forgotten before the copies of its request have arrived, and against sets that
// grow without bound.
func TestSetKeepsIDsForItsRetention(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	s := NewSet(10 * time.Second)
	g.Expect(s.Add(now, "a")).To(BeTrue())
	g.Expect(s.Add(now.Add(time.Second), "a")).To(BeFalse())
	g.Expect(s.Add(now.Add(time.Second), "b")).To(BeTrue())
	g.Expect(s.Has(now.Add(10*time.Second-1), "a")).To(BeTrue())
	g.Expect(s.Has(now.Add(10*time.Second), "a")).To(BeFalse())
	g.Expect(slices.Collect(s.IDs(now.Add(10 * time.Second)))).To(Equal([]string{"b"}))
	for i := range maxIDs {
		s.Add(now.Add(10*time.Second), fmt.Sprint(i))
	}
	g.Expect(s.addedAt.Len()).To(Equal(maxIDs))
	g.Expect(s.Has(now.Add(10*time.Second), "b")).To(BeFalse())
}
