package gauges

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
)

// StallObserver returns a function to call on each tick of a control goroutine; ticks must
// be at most tickInterval apart. It logs a long pause of the process, such as a suspended
// host, and short pauses that add up, such as from a lack of CPU time.
func StallObserver(log logr.Logger, tickInterval time.Duration) func() {
	stall, starvation := clock.NewStallDetector(clock.StallThreshold), clock.NewStarvationDetector(tickInterval)
	return func() {
		lost := starvation.Check()
		if gap := stall.Check(); gap > 0 {
			event.Log(log, event.ProcessStalled, "ms", gap.Milliseconds())
			return
		}
		if lost > 0 {
			event.Log(log, event.ProcessStarved, "ms", lost.Milliseconds())
		}
	}
}
