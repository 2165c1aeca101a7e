package owner

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// ProtocolError reports a frame that violates the protocol. The connection must be closed.
type ProtocolError struct{ Violation string }

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol violation: " + e.Violation }

func protocolError(violation string) error {
	return errors.WithStack(&ProtocolError{Violation: violation})
}

// Connect handles the Hello of an agent's new connection. For a known incarnation the new
// connection replaces the previous one: credits restart at zero, and the agent is queried
// about every open attempt, because a start may have been lost with the previous connection.
// A new incarnation of a worker proves that the previous incarnation has ended.
func (c *Core) Connect(now time.Time, conn ConnID, h *wire.Hello) {
	c.addPeers(now, h.Entries)
	a, known := c.agents[h.Incarnation]
	if !known {
		a = &agent{incarnation: h.Incarnation, worker: h.Worker, attempts: map[uint64]*attempt{}}
		c.addAgent(a)
		c.replaceIncarnation(now, a)
	}
	if a.conn != 0 {
		event.Log(c.log, event.SessionReplaced, "worker", a.worker, "conn", uint64(conn))
		delete(c.byConn, a.conn)
		c.options.Outbox.Close(a.conn)
	}
	a.conn, a.lastSeen = conn, now
	a.dataCentre, a.rack, a.target = h.DataCentre, h.Rack, h.Target
	c.updateDrained(a)
	a.granted, a.spent, a.returned = 0, 0, 0
	a.demand = wire.Demand{}
	a.out = wire.ToAgent{}
	c.byConn[conn] = a
	out := c.pendingFrame(a)
	out.Welcome = &wire.Welcome{
		Version:     wire.Version,
		Incarnation: c.options.Owner.Incarnation,
		Addr:        c.options.Owner.Addr.String(),
		Entries:     c.peers.list(),
		DataCentre:  c.options.DataCentre,
		Leaving:     c.draining,
	}
	out.Queries = a.openAttempts()
	out.Cancels = a.cancelledAttempts()
	event.Log(c.log, event.SessionOpened, "worker", a.worker, "incarnation", a.incarnation.String(),
		"target", a.target.Name, "open_attempts", len(out.Queries))
}

// openAttempts returns the sequence numbers of the unsettled attempts, in ascending order.
func (a *agent) openAttempts() []uint64 {
	var open []uint64
	for _, seq := range a.attemptSeqs {
		if _, ok := a.attempts[seq]; ok {
			open = append(open, seq)
		}
	}
	return open
}

// cancelledAttempts returns the sequence numbers of the open attempts that were cancelled.
// They are cancelled again on a new connection, since the first cancellation may have been
// lost.
func (a *agent) cancelledAttempts() []uint64 {
	var seqs []uint64
	for _, seq := range a.openAttempts() {
		if a.attempts[seq].job == nil {
			seqs = append(seqs, seq)
		}
	}
	return seqs
}

// replaceIncarnation registers a as the agent of its worker. An earlier incarnation of the
// worker has ended: it is removed, and the outcome of its open attempts is unknown, so their
// tasks are retried or their jobs fail.
func (c *Core) replaceIncarnation(now time.Time, a *agent) {
	previous := c.byWorker[a.worker]
	c.byWorker[a.worker] = a
	if previous == nil {
		return
	}
	if previous.conn != 0 {
		delete(c.byConn, previous.conn)
		c.options.Outbox.Close(previous.conn)
		previous.conn = 0
	}
	event.Log(c.log, event.AgentGone, "worker", a.worker, "incarnation", previous.incarnation.String(),
		"open_attempts", len(previous.attempts))
	for _, seq := range previous.openAttempts() {
		at := previous.attempts[seq]
		c.close(at)
		if at.job == nil {
			continue
		}
		at.job.tasks[at.task].attempt = nil
		c.retryOrFail(now, at.job, at.task, fault.Newf(fault.OutcomeUnknown, "task %d: the agent on %s ended", at.task, a.worker))
	}
	c.removeAgent(previous)
	c.byWorker[a.worker] = a
}

// Receive handles a frame from an agent. After an error, a *ProtocolError, the caller must
// close the connection.
func (c *Core) Receive(now time.Time, conn ConnID, f *wire.ToEntry) error {
	a, ok := c.byConn[conn]
	if !ok {
		return protocolError("frame before hello, or on a replaced connection")
	}
	a.lastSeen = now
	if f.Hello != nil {
		return protocolError("second hello on a connection")
	}
	c.addPeers(now, f.Entries)
	if f.Target != nil {
		a.target = *f.Target
		c.updateDrained(a)
	}
	if err := c.applyCredits(now, a, f.Credits); err != nil {
		return err
	}
	for i := range f.Reports {
		c.handleReport(now, a, &f.Reports[i])
	}
	c.dispatch(now)
	return nil
}

// applyCredits applies a grant of credits and returns unspent credits that the agent
// recalls.
func (c *Core) applyCredits(now time.Time, a *agent, grant *wire.Credits) error {
	if grant == nil {
		return nil
	}
	a.ownerCount = grant.Owners
	if grant.Total < a.granted {
		return protocolError("the total of granted credits decreased")
	}
	if grant.Total > a.granted {
		a.creditInterval.ObserveGrant(int(grant.Total-a.granted), now)
	}
	a.granted = grant.Total
	if returned := min(grant.Recall, a.credits()); returned > 0 {
		a.returned += uint64(returned)
		a.demandPausedUntil = now.Add(demandPause)
	}
	return nil
}

// Disconnect handles the end of a connection. Open attempts stay open, because the agent may
// still be running them; only an idempotent request is retried immediately.
func (c *Core) Disconnect(now time.Time, conn ConnID) {
	a, ok := c.byConn[conn]
	if !ok {
		return
	}
	delete(c.byConn, conn)
	a.conn, a.lastSeen = 0, now
	a.granted, a.spent, a.returned = 0, 0, 0
	event.Log(c.log, event.SessionClosed, "worker", a.worker, "open_attempts", len(a.attempts))
	for _, seq := range a.openAttempts() {
		at := a.attempts[seq]
		if at.job != nil && at.job.sub.Idempotent {
			l := at.job
			c.cancelAttempt(at)
			c.retryOrFail(now, l, at.task, fault.Newf(fault.OutcomeUnknown, "task %d: %s can't be reached", at.task, a.worker))
		}
	}
	c.dispatch(now)
}
