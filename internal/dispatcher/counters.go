package dispatcher

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/gauges"
	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/session"
)

// counters are what the metrics page shows.
type counters struct {
	gauges.Set
	sessions *session.Counters
	answerUs metrics.Histogram
}

func newCounters(queued func() int) *counters {
	c := &counters{sessions: &session.Counters{}}
	c.Set = gauges.New(c.sessions, queued)
	c.answerUs = leased.NewHistogram("http.answer_us", c.Registry)
	return c
}

// request counts an answer.
func (c *counters) request(status int, took time.Duration) {
	metrics.GetOrRegisterCounter("http.responses."+strconv.Itoa(status), c.Registry).Inc(1)
	c.answerUs.Update(took.Microseconds())
}

// update copies the control state's figures.
func (c *counters) update(core *dispatch.Core) {
	set := func(name string, value uint64) {
		metrics.GetOrRegisterGauge("dispatch."+name, c.Registry).Update(int64(value))
	}
	n := core.Counts()
	set("agents_usable", uint64(core.Usable()))
	set("jobs_live", uint64(core.Live()))
	set("jobs_accepted", n.Accepted)
	set("jobs_refused", n.Refused)
	set("jobs_complete", n.Complete)
	set("jobs_failed", n.Failed)
	set("jobs_unknown", n.Unknown)
	set("jobs_abandoned", n.Abandoned)
	set("jobs_repeated", n.Repeated)
	set("orders", n.Orders)
	set("recalls", n.Recalls)
	set("orders_not_run", n.NotRun)
	set("orders_moved", n.Moved)
}
