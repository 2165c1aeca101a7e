package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// reportedSums returns the non-zero results of a detector whose checks follow each other at the
// given gaps.
func reportedSums(gaps ...time.Duration) []time.Duration {
	s := &StarvationDetector{interval: 100 * time.Millisecond}
	var sums []time.Duration
	now := int64(0)
	for _, gap := range gaps {
		now += int64(gap)
		if lost := s.check(now); lost > 0 {
			sums = append(sums, lost)
		}
	}
	return sums
}

// Guards against a series of short pauses that ends sessions and is not logged.
func TestSeriesOfShortPausesIsReported(t *testing.T) {
	g := NewWithT(t)
	const pause, pace = 350 * time.Millisecond, 100 * time.Millisecond
	g.Expect(reportedSums(pause, pace, pause, pace, pause)).To(HaveLen(1))
	g.Expect(reportedSums(pause)).To(BeEmpty(), "a single pause is harmless")
}

// Guards against a log line for each late tick on a busy host.
func TestLateTicksAreNotReported(t *testing.T) {
	g := NewWithT(t)
	var late, seldom []time.Duration
	for range 200 {
		late = append(late, 115*time.Millisecond)
		seldom = append(seldom, 350*time.Millisecond)
		for range 30 {
			seldom = append(seldom, 100*time.Millisecond)
		}
	}
	g.Expect(reportedSums(late...)).To(BeEmpty())
	g.Expect(reportedSums(seldom...)).To(BeEmpty())
}
