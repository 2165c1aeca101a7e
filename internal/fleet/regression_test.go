package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// An entry is frozen past the deadline of a job with waiting tasks. When it wakes,
// frames of agents are read before its first tick. It then started the dead job's
// tasks, agents turned them away as late, and it started them again, a message
// each round trip, until the tick. Operators saw a burst of thousands of wasted
// messages after each pause.
func TestWakePastDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1, 1)
		e := w.entries[0]
		w.submit(w.newSubmission(e, 5, 50*time.Millisecond, false), e, false)
		e.frozen = true
		w.advance(time.Second)
		w.deliverAll()
		a := w.agents[0]
		for len(a.running) > 0 {
			w.finish(a, 0, wire.Succeeded)
		}
		w.wake(e)
		w.deliverAll()
	})
}

// An agent's clock is ahead of its entry's. Near a deadline the agent turns every
// start away as late while the entry still thinks there is time, and the two
// exchange a start and a refusal each round trip until the deadline.
func TestAgentClockAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1, 1)
		e, a := w.entries[0], w.agents[0]
		a.ahead = time.Minute
		w.submit(w.newSubmission(e, 5, 10*time.Second, false), e, false)
		w.deliverAll()
		if starts := e.core.Status().Counts.Starts; starts > 10 {
			t.Fatalf("%d starts for 5 tasks at one moment", starts)
		}
	})
}
