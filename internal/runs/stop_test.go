package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A target goes down and up repeatedly, and while it is down each connection is reset at once.
// When the stops of its runs were repeated at every Tick, they were three in four of all new
// connections of a fleet's day, on hosts that were already in trouble.
func TestFailedStopIsNotRepeatedAtEveryTick(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.Disconnect(h.now, testConn)
	for range 100 {
		last := len(h.target.stops) - 1
		if h.run(RunID{task("a", 0), 7}).stopInFlight {
			h.Stopped(h.now, h.target.stops[last], NoAnswer)
		}
		h.advance(10 * time.Millisecond)
	}
	h.Expect(len(h.target.stops)).To(BeNumerically("<=", 12))
	h.Expect(len(h.target.stops)).To(BeNumerically(">=", 8), "it must be fenced off as soon as the target is back")
}
