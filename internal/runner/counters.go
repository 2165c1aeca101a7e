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
	c.Copy("runs.open", uint64(t.Runs()))
	c.Copy("runs.waiting", uint64(t.Waiting()))
	c.Copy("runs.orders", n.Orders)
	c.Copy("runs.starts", n.Starts)
	c.Copy("runs.done", n.Done)
	c.Copy("runs.failed", n.Failed)
	c.Copy("runs.stopped", n.Stopped)
	c.Copy("runs.not_run", n.NotRun)
	c.Copy("runs.starts_unanswered", n.Unanswered)
	c.Copy("runs.sessions_ended", n.SessionsEnded)
	c.Copy("runs.evacuated", flag(t.Evacuated()))
}

// flag is a gauge of something that is so, 1, or not, 0.
func flag(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}
