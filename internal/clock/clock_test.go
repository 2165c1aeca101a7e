package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an owner that, after a suspension of its host, returns expired answers
// because its clock did not count the suspended time.
func TestClockThroughSuspendCountsTheSuspension(t *testing.T) {
	g := NewWithT(t)
	nanos := int64(1)
	c := throughSuspend(func() int64 { return nanos })
	before := c.Now()
	nanos += time.Hour.Nanoseconds()
	g.Expect(c.Now().Sub(before)).To(Equal(time.Hour))
	g.Expect(NewAnchoredThroughSuspend().Now()).To(BeTemporally("~", time.Now(), time.Minute))
}
