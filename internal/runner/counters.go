package runner

import (
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/leased"
	"github.com/camphorrack/camphorrack/internal/runs"
)

// counters are the metrics of the runner.
type counters struct {
	leased.Counters
	startUs metrics.Histogram
	// proofAgeUs is the age of the proofs that dispatchers want their runs, when they take effect.
	proofAgeUs metrics.Histogram
}

func newCounters(queued func() int) *counters {
	c := &counters{Counters: leased.NewCounters(queued)}
	c.startUs = c.RegisterHistogram("target.start_us")
	c.proofAgeUs = c.RegisterHistogram("sessions.proof_age_us")
	return c
}

// update copies the figures of the control state to the gauges.
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
	c.SetGauge("runs.stops_repeated", n.StopsRepeated)
	c.SetGauge("runs.starts_delayed", n.StartsDelayed)
	c.SetGauge("runs.leases_withheld", n.LeasesWithheld)
	c.SetGauge("runs.concluded", n.Concluded)
	c.SetGauge("runs.outlived", n.Outlived)
	c.SetGauge("runs.carried_over", n.CarriedOver)
	c.SetGauge("target.adopted", n.Adopted)
	c.SetGauge("target.misdirected", n.Misdirected)
	c.SetGauge("target.superseded", n.Superseded)
	c.SetGauge("target.unconfirmed", n.Unconfirmed)
	c.SetGauge("runs.sessions_ended", n.SessionsEnded)
	c.SetGauge("runs.tail_p99", uint64(1000*t.TailP99()))
	c.SetGauge("runs.reservations", uint64(t.Reservations()))
	c.SetGauge("runs.offers_lapsed", n.OffersLapsed)
	c.SetGauge("runs.held_milli", uint64(t.HeldMilli()))
	c.SetGauge("runs.evacuated", boolGauge(t.Evacuated()))
}

// boolGauge returns the value of a gauge for a condition: 1 if it holds, 0 otherwise.
func boolGauge(holds bool) uint64 {
	if holds {
		return 1
	}
	return 0
}
