package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/runtimes"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Connect opens a session with an agent; features are the fields of frames that it
// understands. An older session with the same host is closed. Its outcomes count until its
// connection has ended.
func (c *Core) Connect(now time.Time, conn ConnID, h *wire.Hello, features wire.Features) {
	c.now = now
	a := &agent{conn: conn, host: h.Worker, dataCentre: h.DataCentre, features: features, attempts: map[uint64]*attempt{}, loadAt: now}
	c.agents[conn] = a
	c.agentsByAge = append(c.agentsByAge, a)
	c.queueKnownCancellations(a)
	for _, other := range c.agentsByAge {
		if other != a && other.host == a.host {
			event.Log(c.log, event.SessionReplaced, "conn", uint64(other.conn), "host", a.host)
			other.replaced = true
			c.options.Outbox.Close(other.conn)
		}
	}
}

// Disconnect ends a session and gives up the jobs with open orders at its agent. Their runs
// are stopped by the agent or end with the lease of its target; until then their outcome
// is unknown.
func (c *Core) Disconnect(now time.Time, conn ConnID) {
	c.now = now
	a := c.agents[conn]
	if a == nil {
		return
	}
	delete(c.agents, conn)
	c.joinFleet(a, "", false)
	c.agentsByAge = slices.DeleteFunc(c.agentsByAge, func(o *agent) bool { return o == a })
	event.Log(c.log, event.AgentGone, "conn", uint64(conn), "host", a.host, "target", a.targetName(), "open", len(a.attempts))
	latestEnd := now.Add(c.options.LostRunLimit)
	for _, seq := range slices.Sorted(maps.Keys(a.attempts)) {
		at := a.attempts[seq]
		at.agent, at.latestEnd = nil, latestEnd
		at.job.mayHaveRun = true
		c.lostAttempts = append(c.lostAttempts, at)
		c.giveUp(at.job, fault.New(fault.OutcomeUnknown, "the host that ran a task of it can't be reached"))
	}
	c.dropSessionReservations(a)
	c.noteSessionLost()
}

// settleLostAttempts settles the attempts of ended sessions whose runs have certainly ended.
func (c *Core) settleLostAttempts() {
	for len(c.lostAttempts) > 0 && !c.now.Before(c.lostAttempts[0].latestEnd) {
		at := c.lostAttempts[0]
		c.lostAttempts = c.lostAttempts[1:]
		at.job.openAttempts--
		c.advanceJob(at.job)
	}
}

// Receive handles a frame from an agent.
func (c *Core) Receive(now time.Time, conn ConnID, f *wire.LeasedToEntry) {
	c.now = now
	a := c.agents[conn]
	if a == nil || f == nil {
		return
	}
	if f.Target != nil {
		if a.targetName() != f.Target.Name || a.target.Capacity != f.Target.Capacity {
			event.Log(c.log, event.TargetAnnounced, "host", a.host, "target", f.Target.Name, "service", f.Target.Service,
				"cpu_milli", f.Target.Capacity.CPUMilli, "was", a.targetName())
		}
		if a.targetName() != f.Target.Name {
			a.hungShare = runtimes.HungShare{}
		}
		a.target = f.Target
	}
	// The load is handled before the outcomes: tasks that the outcomes return must not be
	// placed on a target that became unavailable at the same time.
	if f.Load != nil {
		c.updateLoad(a, f.Load)
	}
	c.receiveCancellations(a, f.Cancellations)
	c.receiveRunTimes(a, f.RunTimes)
	c.updateFleet(a, f.QueueLoads)
	for i := range f.Crashes {
		c.recordCrash(a, &f.Crashes[i])
	}
	for i := range f.Outcomes {
		c.handleOutcome(a, &f.Outcomes[i])
	}
	c.handleOffers(a, f.Offers)
	if a.usable() {
		c.admitAwaiting()
	}
}

// updateLoad stores a load report and drops the uncounted orders that it includes.
func (c *Core) updateLoad(a *agent, load *wire.Load) {
	if load.Down != a.load.Down || load.Leaving != a.load.Leaving {
		event.Log(c.log, event.AgentRated, "host", a.host, "target", a.targetName(), "down", load.Down, "leaving", load.Leaving,
			"speed", load.Speed, "failed_rate", load.FailureRate)
	}
	if load.Down && !a.load.Down {
		a.downSince = c.now
	}
	a.load, a.loadAt = *load, c.now
	counted := 0
	for counted < len(a.uncounted) && a.uncounted[counted].seq <= load.LastSeq {
		counted++
	}
	a.uncounted = slices.Delete(a.uncounted, 0, counted)
}

// maxReturnWait is how long after it reports its target as down an agent may take to return
// the orders that have not started. It covers orders in flight at that time, whose round
// trip is two hops.
const maxReturnWait = 40 * time.Millisecond

// giveUpOnDownTargets gives up the jobs that have a task running on a target that is down.
// After maxReturnWait, orders that had not started have been returned and placed elsewhere.
// Those that had started end with the lease of the target, too late for most callers. Runs on a
// former target of the agent are not concerned: whether that one answers is not reported.
func (c *Core) giveUpOnDownTargets() {
	for _, a := range c.agentsByAge {
		if !a.load.Down || c.now.Sub(a.downSince) < maxReturnWait {
			continue
		}
		for _, seq := range slices.Sorted(maps.Keys(a.attempts)) {
			at := a.attempts[seq]
			if at.job.answered || at.job.givingUp || at.onFormerTarget(a) {
				continue
			}
			at.job.mayHaveRun = true
			c.giveUp(at.job, fault.New(fault.OutcomeUnknown, "the target that ran a task of it does not answer"))
		}
	}
}

// QueueConfigNote queues a configuration note for a session. It is merged with a note that
// is already queued.
func (c *Core) QueueConfigNote(conn ConnID, note wire.ConfigNote) {
	a := c.agents[conn]
	if a == nil {
		return
	}
	a.outgoing.Config, a.hasOutgoing = note.MergeWith(a.outgoing.Config), true
}

// Evacuate excludes the targets of a data centre from placement, or includes them again if
// lifted is set. Orders that wait there are returned by their agents.
func (c *Core) Evacuate(now time.Time, dataCentre string, lifted bool) {
	c.now = now
	if lifted {
		delete(c.evacuated, dataCentre)
		return
	}
	c.evacuated[dataCentre] = struct{}{}
}

// EvacuatedDataCentres returns the number of evacuated data centres.
func (c *Core) EvacuatedDataCentres() int { return len(c.evacuated) }

// QueueEvacuations queues evacuation statements for a session.
func (c *Core) QueueEvacuations(conn ConnID, statements []wire.Evacuation) {
	a := c.agents[conn]
	if a == nil {
		return
	}
	a.outgoing.Evacuations, a.hasOutgoing = append(a.outgoing.Evacuations, statements...), true
}

// QueueLoadInterval queues, for a session, the shortest interval at which its agent may
// report its load. Zero and negative intervals are ignored.
func (c *Core) QueueLoadInterval(conn ConnID, interval time.Duration) {
	a := c.agents[conn]
	if a == nil || interval <= 0 {
		return
	}
	a.outgoing.LoadIntervalMs, a.hasOutgoing = max(1, interval.Milliseconds()), true
}
