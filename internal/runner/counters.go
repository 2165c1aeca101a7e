package runner

import (
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/gauges"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/session"
)

// counters are what the metrics page shows.
type counters struct {
	gauges.Set
	sessions *session.Counters
	startUs  metrics.Histogram
}

func newCounters(queued func() int) *counters {
	c := &counters{sessions: &session.Counters{}}
	c.Set = gauges.New(c.sessions, queued)
	c.startUs = leased.NewHistogram("target.start_us", c.Registry)
	return c
}

// update copies the control state's figures.
func (c *counters) update(t *runs.Table) {
	set := func(name string, value uint64) {
		metrics.GetOrRegisterGauge("runs."+name, c.Registry).Update(int64(value))
	}
	n := t.Counts()
	set("open", uint64(t.Runs()))
	set("waiting", uint64(t.Waiting()))
	set("orders", n.Orders)
	set("starts", n.Starts)
	set("done", n.Done)
	set("failed", n.Failed)
	set("stopped", n.Stopped)
	set("not_run", n.NotRun)
	set("starts_unanswered", n.Unanswered)
	set("sessions_ended", n.SessionsEnded)
}
