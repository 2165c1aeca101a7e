package gauges

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/control"
	"github.com/camphorrack/camphorrack/internal/event"
)

const (
	// slowTurnThreshold is the duration from which a turn of the control goroutine is
	// logged. It exceeds the tolerable delay of a heartbeat and, by far, the time for a
	// full batch.
	slowTurnThreshold = 100 * time.Millisecond
	// minSampledTurn is the duration from which a turn is sampled. Most turns take
	// microseconds, and sampling them would cost more than some of them take.
	minSampledTurn = time.Millisecond
	// turnSampleSize is the number of turns from which quantiles are computed.
	turnSampleSize = 1028
	// turnSampleDecay weights the sample towards the last five minutes.
	turnSampleDecay = 0.015
)

// TurnObserver returns a function for control.Options that samples the durations of the
// control goroutine's turns and logs slow ones. If a request timed out, a logged slow
// turn explains it; without one, the cause is a lack of CPU time or the network.
func (s Set) TurnObserver(log logr.Logger) func(control.Turn) {
	sample := metrics.NewRegisteredHistogram("control.turn_us", s.Registry, metrics.NewExpDecaySample(turnSampleSize, turnSampleDecay))
	return func(t control.Turn) {
		if t.Duration < minSampledTurn {
			return
		}
		sample.Update(t.Duration.Microseconds())
		if t.Duration >= slowTurnThreshold {
			event.Log(log, event.ControlSlow, "ms", t.Duration.Milliseconds(), "commands", t.Commands, "waiting", t.QueuedCommands)
		}
	}
}
