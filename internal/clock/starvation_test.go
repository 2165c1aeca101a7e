package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// told returns the sums that a detector tells over a series of gaps between its looks.
func told(gaps ...time.Duration) []time.Duration {
	s := &StarvationDetector{pace: 100 * time.Millisecond}
	var sums []time.Duration
	now := int64(0)
	for _, gap := range gaps {
		now += int64(gap)
		if lost := s.look(now); lost > 0 {
			sums = append(sums, lost)
		}
	}
	return sums
}

// Guards against a row of short pauses that ends sessions and leaves no line.
func TestRowOfShortPausesIsTold(t *testing.T) {
	g := NewWithT(t)
	const pause, pace = 350 * time.Millisecond, 100 * time.Millisecond
	g.Expect(told(pause, pace, pause, pace, pause)).To(HaveLen(1))
	g.Expect(told(pause)).To(BeEmpty(), "one alone does no harm")
}

// Guards against a line for each late turn of a busy host.
func TestLateTurnsAreNotTold(t *testing.T) {
	g := NewWithT(t)
	var late, seldom []time.Duration
	for range 200 {
		late = append(late, 115*time.Millisecond)
		seldom = append(seldom, 350*time.Millisecond)
		for range 30 {
			seldom = append(seldom, 100*time.Millisecond)
		}
	}
	g.Expect(told(late...)).To(BeEmpty())
	g.Expect(told(seldom...)).To(BeEmpty())
}
