package agent

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// latencySamples is the size of the random sample that quantiles are taken from.
const latencySamples = 1028

// counters are what GET /metrics shows.
type counters struct {
	registry metrics.Registry
	sessions *session.Counters
	outcomes [wire.Unknown + 1]metrics.Counter
	runMs    metrics.Histogram
	retired  metrics.Counter
}

func newCounters(queued func() int) *counters {
	c := &counters{registry: metrics.NewRegistry(), sessions: &session.Counters{}}
	names := [...]string{wire.NotRun: "not_run", wire.Succeeded: "succeeded", wire.FailedRun: "failed", wire.Unknown: "unknown"}
	for state := wire.NotRun; state <= wire.Unknown; state++ {
		c.outcomes[state] = metrics.NewRegisteredCounter("calls."+names[state], c.registry)
	}
	c.runMs = metrics.NewRegisteredHistogram("calls.run_ms", c.registry, metrics.NewUniformSample(latencySamples))
	c.retired = metrics.NewRegisteredCounter("entries.retired", c.registry)
	c.gauge("control.queued_commands", func() int64 { return int64(queued()) })
	c.gauge("sessions.frames_in", c.sessions.FramesIn.Load)
	c.gauge("sessions.frames_out", c.sessions.FramesOut.Load)
	c.gauge("sessions.bytes_in", c.sessions.BytesIn.Load)
	c.gauge("sessions.bytes_out", c.sessions.BytesOut.Load)
	c.gauge("sessions.heartbeats", c.sessions.Heartbeats.Load)
	c.gauge("sessions.closed_silent", c.sessions.ClosedSilent.Load)
	c.gauge("invariants.broken", invariant.Breaches)
	c.gauge("process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	c.gauge("process.cpu_us", processorMicroseconds)
	return c
}

func (c *counters) gauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, c.registry, read)
}

// processorMicroseconds is the processor time that the process has used.
func processorMicroseconds() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Microseconds()
}

// outcome counts a call that ended.
func (c *counters) outcome(out attempt.Outcome) {
	c.outcomes[out.State].Inc(1)
	if out.State == wire.Succeeded {
		c.runMs.Update(int64(out.RunMs))
	}
}

// config shows which configuration is in force and how old it is.
func (c *counters) config(h *config.Holder) {
	c.gauge("config.version", func() int64 { return int64(h.Get().State.Version) })
	c.gauge("config.age_ms", func() int64 { return h.Age().Milliseconds() })
}

// members shows which entries the agent knows and keeps sessions with.
func (c *counters) members(d *dialers) {
	c.gauge("entries.known", func() int64 { return d.counts().known })
	c.gauge("entries.connected", func() int64 { return d.counts().connected })
	c.gauge("entries.connected_home", func() int64 { return d.counts().home })
	c.gauge("entries.down", func() int64 { return d.counts().down })
}

// update copies the control state's figures.
func (c *counters) update(s *attempt.Status) {
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge("attempts."+name, c.registry).Update(value)
	}
	remembered := 0
	for _, o := range s.Owners {
		remembered += o.Remembered
	}
	set("running", int64(s.Running))
	set("waiting", int64(s.Waiting))
	set("unspent_credits", int64(s.Unspent))
	set("granted_credits", int64(s.Granted))
	set("remembered", int64(remembered))
	set("owners", int64(len(s.Owners)))
}
