package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a suspension that is too short to be a stall and that nothing counts: a lease that was
// computed across it ends too late.
func TestShortSuspensionIsDetected(t *testing.T) {
	g := NewWithT(t)
	boot, mono := int64(1000), int64(0)
	s := newStallDetector(StallThreshold, func() int64 { return boot }, func() int64 { return mono })
	pass := func(running, suspended time.Duration) {
		boot, mono = boot+int64(running+suspended), mono+int64(running)
	}
	pass(300*time.Millisecond, 0)
	g.Expect(s.Check()).To(BeZero(), "the process was only paused")
	pass(20*time.Millisecond, 150*time.Millisecond)
	g.Expect(s.Check()).To(Equal(150 * time.Millisecond))
	pass(20*time.Millisecond, 0)
	g.Expect(s.Check()).To(BeZero(), "each suspension is reported once")
	mono += int64(90 * time.Millisecond) // paused between the readings of the clocks
	g.Expect(s.Check()).To(BeZero())
	boot += int64(90 * time.Millisecond)
	g.Expect(s.Check()).To(BeZero())
	pass(50*time.Millisecond, time.Second)
	g.Expect(s.Check()).To(BeNumerically(">", time.Second))
	g.Expect(NewStallDetector(StallThreshold).Check()).To(BeZero())
}
