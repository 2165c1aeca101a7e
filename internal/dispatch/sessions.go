package dispatch

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Connect opens a session with an agent.
func (c *Core) Connect(now time.Time, conn ConnID, h *wire.Hello) {
	c.now = now
	a := &agent{conn: conn, host: h.Worker, dataCentre: h.DataCentre, attempts: map[uint64]*attempt{}, loadAt: now}
	c.agents[conn] = a
	c.roster = append(c.roster, a)
	for _, other := range c.roster {
		if other != a && other.host == a.host {
			event.Log(c.log, event.SessionReplaced, "conn", uint64(other.conn), "host", a.host)
			c.o.Outbox.Close(other.conn)
		}
	}
}

// Disconnect ends a session. What the agent ran is stopped by it, or ends with the
// lease; until then nothing is known of it.
func (c *Core) Disconnect(now time.Time, conn ConnID) {
	c.now = now
	a := c.agents[conn]
	if a == nil {
		return
	}
	delete(c.agents, conn)
	c.roster = slices.DeleteFunc(c.roster, func(o *agent) bool { return o == a })
	event.Log(c.log, event.AgentGone, "conn", uint64(conn), "host", a.host, "target", a.targetName(), "open", len(a.attempts))
	over := now.Add(c.overAfter())
	for _, at := range a.attempts {
		at.agent, at.overAt = nil, over
		at.job.mayHave = true
		c.lost = append(c.lost, at)
		c.giveUp(at.job, fault.New(fault.OutcomeUnknown, "the host that ran a task of it can't be reached"))
	}
}

// overLost settles the attempts of ended sessions once they are surely over.
func (c *Core) overLost() {
	for len(c.lost) > 0 && !c.now.Before(c.lost[0].overAt) {
		at := c.lost[0]
		c.lost = c.lost[1:]
		at.job.open--
		c.look(at.job)
	}
}

// Receive takes a session's frame.
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
		a.target = f.Target
	}
	// The load comes first: what the outcomes send back must not go to a target that
	// went away with them.
	if f.Load != nil {
		c.hearLoad(a, f.Load)
	}
	for i := range f.Crashes {
		c.hearCrash(a, &f.Crashes[i])
	}
	for i := range f.Outcomes {
		c.outcome(a, &f.Outcomes[i])
	}
}

func (c *Core) hearLoad(a *agent, load *wire.Load) {
	if load.Down != a.load.Down || load.Leaving != a.load.Leaving {
		event.Log(c.log, event.AgentRated, "host", a.host, "target", a.targetName(), "down", load.Down, "leaving", load.Leaving,
			"speed", load.Speed, "failed_rate", load.FailedRate)
	}
	if load.Down && !a.load.Down {
		a.downAt = c.now
	}
	a.load, a.loadAt = *load, c.now
	seen := 0
	for seen < len(a.unseen) && a.unseen[seen].seq <= load.Seen {
		seen++
	}
	a.unseen = slices.Delete(a.unseen, 0, seen)
}

// downWait is how long after its word that its target is away an agent may take to
// send back what has not begun: the orders on their way there, a hop and back.
const downWait = 40 * time.Millisecond

// downTargets gives up the jobs that have a task at work on a target that went away.
// What has not begun there has come back by then and runs elsewhere; what has is over
// when its lease ends, which is too late for most callers.
func (c *Core) downTargets() {
	for _, a := range c.roster {
		if !a.load.Down || c.now.Sub(a.downAt) < downWait {
			continue
		}
		for _, at := range a.attempts {
			if at.job.answered || at.job.ending {
				continue
			}
			at.job.mayHave = true
			c.giveUp(at.job, fault.New(fault.OutcomeUnknown, "the target that ran a task of it does not answer"))
		}
	}
}

// QueueConfigNote queues a note on the configuration for a session.
func (c *Core) QueueConfigNote(conn ConnID, note wire.ConfigNote) {
	a := c.agents[conn]
	if a == nil {
		return
	}
	a.out.Config, a.dirty = note.After(a.out.Config), true
}

// Evacuate lets no more work go to the targets of a data centre, or, where that is lifted,
// lets it go there again. What waits there comes back from its agents.
func (c *Core) Evacuate(now time.Time, dataCentre string, lifted bool) {
	c.now = now
	if lifted {
		delete(c.evacuated, dataCentre)
		return
	}
	c.evacuated[dataCentre] = struct{}{}
}

// EvacuatedDataCentres returns how many data centres are evacuated.
func (c *Core) EvacuatedDataCentres() int { return len(c.evacuated) }

// QueueEvacuations queues statements on evacuations for a session.
func (c *Core) QueueEvacuations(conn ConnID, statements []wire.Evacuation) {
	a := c.agents[conn]
	if a == nil {
		return
	}
	a.out.Evacuations, a.dirty = append(a.out.Evacuations, statements...), true
}

// QueueLoadInterval asks an agent to report its load at most that often.
func (c *Core) QueueLoadInterval(conn ConnID, every time.Duration) {
	a := c.agents[conn]
	if a == nil || every <= 0 {
		return
	}
	a.out.LoadEveryMs, a.dirty = max(1, every.Milliseconds()), true
}
