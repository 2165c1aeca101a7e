package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// An entry that was frozen past the deadline of a job with waiting tasks must not start them.
// After a pause, agents' frames are read before the first tick. If the entry starts tasks of the
// expired job then, agents reject the starts as late and the entry repeats them once per round
// trip until the tick: a burst of thousands of useless messages after each pause.
func TestWakePastDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 1, 1)
		e := sim.entries[0]
		sim.submit(sim.newSubmission(e, 5, 50*time.Millisecond, false), e, false)
		e.frozen = true
		sim.advance(time.Second)
		sim.deliverAll()
		a := sim.agents[0]
		for len(a.running) > 0 {
			sim.finish(a, 0, wire.Succeeded)
		}
		sim.resume(e)
		sim.deliverAll()
	})
}

// An entry must not repeat a start without end if the agent's clock is ahead of its own. Near a
// deadline, the agent rejects every start as late while by the entry's clock the deadline is not
// reached, and the two would exchange a start and a rejection per round trip until the deadline.
func TestAgentClockAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 1, 1)
		e, a := sim.entries[0], sim.agents[0]
		a.clockAhead = time.Minute
		sim.submit(sim.newSubmission(e, 5, 10*time.Second, false), e, false)
		sim.deliverAll()
		if starts := e.core.Status().Counts.Starts; starts > 10 {
			t.Fatalf("%d starts for 5 tasks at the same time", starts)
		}
	})
}
