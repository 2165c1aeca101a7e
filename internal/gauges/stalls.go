package gauges

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
)

// StallObserver returns an observer of the ticks of a control goroutine, which come every pace at
// the most. It logs when the process stood still, for long or for short times in a row.
func StallObserver(log logr.Logger, pace time.Duration) func() {
	stall, starvation := clock.NewStallDetector(clock.StallThreshold), clock.NewStarvationDetector(pace)
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
