package gauges

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/control"
	"github.com/camphorrack/camphorrack/internal/event"
)

const (
	// slowTurn is the length from which a turn of the control goroutine is logged:
	// longer than a heartbeat may be late, and far beyond a full batch.
	slowTurn = 100 * time.Millisecond
	// countedTurn is the length from which a turn is sampled. Most take microseconds,
	// and sampling those would cost more than some of them do.
	countedTurn = time.Millisecond
	// turnSamples is the size of the sample that quantiles are taken from.
	turnSamples = 1028
	// turnDecay favours the last five minutes.
	turnDecay = 0.015
)

// TurnObserver returns an observer of the control goroutine for control.Options. A request
// that got no answer in time is explained by a slow turn where one is logged, and by
// the want of a processor, or by the network, where none is.
func (s Set) TurnObserver(log logr.Logger) func(control.Turn) {
	sample := metrics.NewRegisteredHistogram("control.turn_us", s.Registry, metrics.NewExpDecaySample(turnSamples, turnDecay))
	return func(t control.Turn) {
		if t.Duration < countedTurn {
			return
		}
		sample.Update(t.Duration.Microseconds())
		if t.Duration >= slowTurn {
			event.Log(log, event.ControlSlow, "ms", t.Duration.Milliseconds(), "commands", t.Commands, "waiting", t.QueuedCommands)
		}
	}
}
