package runner

import (
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/runs"
)

// counters are what the metrics page shows.
type counters struct {
	leased.Counters
	startUs metrics.Histogram
}

func newCounters(queued func() int) *counters {
	c := &counters{Counters: leased.NewCounters(queued)}
	c.startUs = c.Histogram("target.start_us")
	return c
}

// update copies the control state's figures.
func (c *counters) update(t *runs.Table) {
	n := t.Counts()
	c.SetGauge("runs.open", uint64(t.Runs()))
	c.SetGauge("runs.waiting", uint64(t.Waiting()))
	c.SetGauge("runs.orders", n.Orders)
	c.SetGauge("runs.starts", n.Starts)
	c.SetGauge("runs.done", n.Done)
	c.SetGauge("runs.failed", n.Failed)
	c.SetGauge("runs.stopped", n.Stopped)
	c.SetGauge("runs.not_run", n.NotRun)
	c.SetGauge("runs.starts_unanswered", n.Unanswered)
	c.SetGauge("runs.sessions_ended", n.SessionsEnded)
	c.SetGauge("runs.evacuated", flag(t.Evacuated()))
}

// flag is a gauge of something that is so, 1, or not, 0.
func flag(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}
