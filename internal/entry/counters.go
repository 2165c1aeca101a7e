package entry

import (
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/gauges"
	"github.com/camphorrack/camphorrack/internal/owner"
	"github.com/camphorrack/camphorrack/internal/session"
)

// counters holds the metrics that GET /metrics shows.
type counters struct {
	gauges.Set
	requests metrics.Counter
	panics   metrics.Counter
	byClass  [6]metrics.Counter // responses by the first digit of their status
	sessions *session.Counters
	forward  *forward.Counters
}

func newCounters(queued func() int) (*counters, error) {
	c := &counters{sessions: &session.Counters{}, forward: forward.NewCounters()}
	c.Set = gauges.New(c.sessions, queued)
	c.requests = metrics.NewRegisteredCounter("http.requests", c.Registry)
	c.panics = metrics.NewRegisteredCounter("http.panics", c.Registry)
	for class := 2; class < len(c.byClass); class++ {
		c.byClass[class] = metrics.NewRegisteredCounter("http.responses."+strconv.Itoa(class)+"xx", c.Registry)
	}
	return c, c.forward.Register(c.Registry)
}

// countResponse counts a response by its status class.
func (c *counters) countResponse(status int) {
	if class := status / 100; class >= 2 && class < len(c.byClass) {
		c.byClass[class].Inc(1)
	}
}

// countFault counts a fault that this entry replied with. A fault in a reply that it
// forwarded is counted by the entry that replied with it.
func (c *counters) countFault(name string) {
	metrics.GetOrRegisterCounter("faults."+name, c.Registry).Inc(1)
}

// update copies the control state's figures into gauges.
func (c *counters) update(s owner.Status) {
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge("owner."+name, c.Registry).Update(value)
	}
	set("pending_jobs", int64(s.PendingJobs))
	set("waiting_tasks", int64(s.WaitingTasks))
	set("open_attempts", int64(s.OpenAttempts))
	set("known_ids", int64(s.KnownIDs))
	set("agents", int64(s.Agents))
	set("accepted", int64(s.Counts.Accepted))
	set("attached", int64(s.Counts.Attached))
	set("refused", int64(s.Counts.Refused))
	set("complete", int64(s.Counts.Complete))
	set("failed", int64(s.Counts.Failed))
	set("starts", int64(s.Counts.Starts))
	set("not_run", int64(s.Counts.NotRun))
	set("cancels", int64(s.Counts.Cancels))
	set("unused_outcomes", int64(s.Counts.UnusedOutcomes))
}
