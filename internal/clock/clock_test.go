package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an owner that gives answers by a clock that stood still with its host.
func TestClockThroughSuspendCountsTheSuspension(t *testing.T) {
	g := NewWithT(t)
	nanos := int64(1)
	c := throughSuspend(func() int64 { return nanos })
	before := c.Now()
	nanos += time.Hour.Nanoseconds()
	g.Expect(c.Now().Sub(before)).To(Equal(time.Hour))
	g.Expect(NewAnchoredThroughSuspend().Now()).To(BeTemporally("~", time.Now(), time.Minute))
}
