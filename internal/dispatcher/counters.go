package dispatcher

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/handover"
	"github.com/camphorrack/camphorrack/internal/leased"
)

// counters are the metrics of the daemon.
type counters struct {
	leased.Counters
	answerUs    metrics.Histogram
	queuesShown map[string]struct{} // queues that have gauges
}

func newCounters(queued func() int) *counters {
	c := &counters{Counters: leased.NewCounters(queued)}
	c.answerUs = c.RegisterHistogram("http.answer_us")
	return c
}

// observeResponse counts a response by its HTTP status and records its duration.
func (c *counters) observeResponse(status int, took time.Duration) {
	metrics.GetOrRegisterCounter("http.responses."+strconv.Itoa(status), c.Registry).Inc(1)
	c.answerUs.Update(took.Microseconds())
}

// update copies the core's counters and gauges into the registry.
func (c *counters) update(core *dispatch.Core) {
	n := core.Counts()
	c.SetGauge("dispatch.agents_usable", uint64(core.UsableAgents()))
	c.SetGauge("dispatch.evacuated_data_centres", uint64(core.EvacuatedDataCentres()))
	c.SetGauge("dispatch.jobs_live", uint64(core.UnansweredJobs()))
	c.SetGauge("dispatch.job_bytes", uint64(core.JobBytes()))
	c.SetGauge("dispatch.job_bytes_limit", uint64(core.MemoryBytes()))
	c.SetGauge("dispatch.jobs_accepted", n.Accepted)
	c.SetGauge("dispatch.jobs_refused", n.Refused)
	c.SetGauge("dispatch.jobs_complete", n.Complete)
	c.SetGauge("dispatch.jobs_failed", n.Failed)
	c.SetGauge("dispatch.jobs_unknown", n.Unknown)
	c.SetGauge("dispatch.jobs_abandoned", n.Abandoned)
	c.SetGauge("dispatch.jobs_repeated", n.Repeated)
	c.SetGauge("dispatch.jobs_awaited_targets", n.AwaitedTargets)
	c.SetGauge("dispatch.orders", n.Orders)
	c.SetGauge("dispatch.recalls", n.Recalls)
	c.SetGauge("dispatch.orders_not_run", n.NotRun)
	c.SetGauge("dispatch.orders_moved", n.Moved)
	c.SetGauge("dispatch.runs_kept", n.RunsKept)
	c.SetGauge("dispatch.runs_judged_hung", n.RunsJudgedHung)
	c.SetGauge("dispatch.estimates_revised", n.EstimatesRevised)
	c.SetGauge("dispatch.fleets_short", uint64(core.ShortFleets()))
	c.SetGauge("dispatch.reservations", n.Reservations)
	c.SetGauge("dispatch.offers", n.Offers)
	c.SetGauge("dispatch.offers_unused", n.OffersUnused)
	c.updateQueues(core)
}

// updateSessions copies the figures of the sessions with runners.
func (c *counters) updateSessions(s *sessions, knownEntries int) {
	c.SetGauge("sessions.open", uint64(len(s.runners)))
	c.SetGauge("sessions.limit", uint64(s.limit))
	c.SetGauge("sessions.turned_away", s.turnedAway)
	c.SetGauge("membership.entries_known", uint64(knownEntries))
}

// updateHandover copies the counters and gauges of the hand-over into the registry.
func (c *counters) updateHandover(h *handover.Endpoint) {
	sent := h.Counts()
	c.SetGauge("handover.sent", sent.Sent.Load())
	c.SetGauge("handover.answered", sent.Answered.Load())
	c.SetGauge("handover.refused", sent.Refused.Load())
	c.SetGauge("handover.lost", sent.Lost.Load())
	c.SetGauge("handover.taken", sent.Taken.Load())
	c.SetGauge("handover.sessions", uint64(h.Sessions()))
}
