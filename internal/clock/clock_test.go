package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// An owner whose host was suspended past a deadline gives a complete answer by a clock
// that stood still, after another entry has called the outcome unknown.
func TestClockThroughSuspendCountsTheSuspension(t *testing.T) {
	g := NewWithT(t)
	nanos := int64(1)
	c := throughSuspend(func() int64 { return nanos })
	before := c.Now()
	nanos += time.Hour.Nanoseconds()
	g.Expect(c.Now().Sub(before)).To(Equal(time.Hour))
	g.Expect(NewAnchoredThroughSuspend().Now()).To(BeTemporally("~", time.Now(), time.Minute))
}
