package agent

import (
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/gauges"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// latencySamples is the size of the random sample from which quantiles are computed.
const latencySamples = 1028

// counters are the metrics of GET /metrics.
type counters struct {
	gauges.Set
	sessions *session.Counters
	outcomes [wire.Unknown + 1]metrics.Counter
	runMs    metrics.Histogram
	retired  metrics.Counter
}

func newCounters(queued func() int) *counters {
	c := &counters{sessions: &session.Counters{}}
	c.Set = gauges.New(c.sessions, queued)
	names := [...]string{wire.NotRun: "not_run", wire.Succeeded: "succeeded", wire.FailedRun: "failed", wire.Unknown: "unknown"}
	for state := wire.NotRun; state <= wire.Unknown; state++ {
		c.outcomes[state] = metrics.NewRegisteredCounter("calls."+names[state], c.Registry)
	}
	c.runMs = metrics.NewRegisteredHistogram("calls.run_ms", c.Registry, metrics.NewUniformSample(latencySamples))
	c.retired = metrics.NewRegisteredCounter("entries.retired", c.Registry)
	return c
}

// recordOutcome counts a finished call, and records the run time of a success.
func (c *counters) recordOutcome(out attempt.Outcome) {
	c.outcomes[out.State].Inc(1)
	if out.State == wire.Succeeded {
		c.runMs.Update(int64(out.RunMs))
	}
}

// registerEntryGauges adds gauges of the known, connected and failed entries.
func (c *counters) registerEntryGauges(d *dialers) {
	c.RegisterGauge("entries.known", func() int64 { return d.counts().known })
	c.RegisterGauge("entries.connected", func() int64 { return d.counts().connected })
	c.RegisterGauge("entries.connected_home", func() int64 { return d.counts().local })
	c.RegisterGauge("entries.down", func() int64 { return d.counts().down })
}

// updateAttemptGauges sets gauges from the status of the attempt table.
func (c *counters) updateAttemptGauges(s *attempt.Status) {
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge("attempts."+name, c.Registry).Update(value)
	}
	remembered := 0
	for _, o := range s.Owners {
		remembered += o.RememberedAttempts
	}
	set("running", int64(s.Running))
	set("waiting", int64(s.Waiting))
	set("unspent_credits", int64(s.UnspentCredits))
	set("granted_credits", int64(s.GrantedCredits))
	set("remembered", int64(remembered))
	set("owners", int64(len(s.Owners)))
}
