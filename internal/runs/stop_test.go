package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A target goes down and up by turns, and while it is down each connection is reset at once. The
// stops of its runs used to be called again with every tick: three in four of all new
// connections of a fleet's day were these, on hosts that had trouble enough.
func TestAStopThatFailsAtOnceIsNotCalledWithEveryTick(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.Disconnect(w.now, session)
	for range 100 {
		last := len(w.target.stops) - 1
		if w.runs[RunID{task("a", 0), 7}].stopCalled {
			w.Stopped(w.now, w.target.stops[last], NoAnswer)
		}
		w.pass(10 * time.Millisecond)
	}
	w.Expect(len(w.target.stops)).To(BeNumerically("<=", 12))
	w.Expect(len(w.target.stops)).To(BeNumerically(">=", 8), "it must be fenced off as soon as the target is back")
}
