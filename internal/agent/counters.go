package agent

import (
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/gauges"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// latencySamples is the size of the random sample that quantiles are taken from.
const latencySamples = 1028

// counters are what GET /metrics shows.
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

// outcome counts a call that ended.
func (c *counters) outcome(out attempt.Outcome) {
	c.outcomes[out.State].Inc(1)
	if out.State == wire.Succeeded {
		c.runMs.Update(int64(out.RunMs))
	}
}

// members shows which entries the agent knows and keeps sessions with.
func (c *counters) members(d *dialers) {
	c.RegisterGauge("entries.known", func() int64 { return d.counts().known })
	c.RegisterGauge("entries.connected", func() int64 { return d.counts().connected })
	c.RegisterGauge("entries.connected_home", func() int64 { return d.counts().home })
	c.RegisterGauge("entries.down", func() int64 { return d.counts().down })
}

// update copies the control state's figures.
func (c *counters) update(s *attempt.Status) {
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
