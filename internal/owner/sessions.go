package owner

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// ProtocolError is a frame that breaks the protocol; the connection is closed.
type ProtocolError struct{ Violation string }

// Error implements error.
func (e *ProtocolError) Error() string { return "protocol: " + e.Violation }

func breach(what string) error { return errors.WithStack(&ProtocolError{Violation: what}) }

// Connect takes an agent's Hello. A new connection of a known incarnation takes
// over from the older one: credits start again at zero and every open attempt is
// asked about, because a start may have been lost with the old connection. Another
// incarnation of the same worker proves the former one dead.
func (c *Core) Connect(now time.Time, conn ConnID, h *wire.Hello) {
	c.learn(now, h.Entries)
	a, known := c.agents[h.Incarnation]
	if !known {
		a = &agent{incarnation: h.Incarnation, worker: h.Worker, attempts: map[uint64]*attempt{}}
		c.addAgent(a)
		c.replaceWorker(now, a)
	}
	if a.conn != 0 {
		event.Log(c.log, event.SessionReplaced, "worker", a.worker, "conn", uint64(conn))
		delete(c.byConn, a.conn)
		c.opts.Outbox.Close(a.conn)
	}
	a.conn, a.lastSeen = conn, now
	a.dataCentre, a.rack, a.target = h.DataCentre, h.Rack, h.Target
	c.configureAgent(a)
	a.granted, a.spent, a.returned = 0, 0, 0
	a.demand = wire.Demand{}
	a.out = wire.ToAgent{}
	c.byConn[conn] = a
	out := c.touch(a)
	out.Welcome = &wire.Welcome{
		Version:     wire.Version,
		Incarnation: c.opts.Owner.Incarnation,
		Addr:        c.opts.Owner.Addr.String(),
		Entries:     c.peers.list(),
		DataCentre:  c.opts.DataCentre,
		Leaving:     c.draining,
	}
	out.Queries = a.open()
	out.Cancels = a.abandoned()
	event.Log(c.log, event.SessionOpened, "worker", a.worker, "incarnation", a.incarnation.String(),
		"target", a.target.Name, "open_attempts", len(out.Queries))
}

// open returns the numbers of the attempts that are not settled, rising.
func (a *agent) open() []uint64 {
	var open []uint64
	for _, seq := range a.order {
		if _, ok := a.attempts[seq]; ok {
			open = append(open, seq)
		}
	}
	return open
}

// abandoned returns the open attempts whose outcome no longer matters; they are
// cancelled again, since the first cancellation may have been lost.
func (a *agent) abandoned() []uint64 {
	var seqs []uint64
	for _, seq := range a.open() {
		if a.attempts[seq].live == nil {
			seqs = append(seqs, seq)
		}
	}
	return seqs
}

func (c *Core) replaceWorker(now time.Time, a *agent) {
	former := c.byWorker[a.worker]
	c.byWorker[a.worker] = a
	if former == nil {
		return
	}
	if former.conn != 0 {
		delete(c.byConn, former.conn)
		c.opts.Outbox.Close(former.conn)
		former.conn = 0
	}
	event.Log(c.log, event.AgentGone, "worker", a.worker, "incarnation", former.incarnation.String(),
		"open_attempts", len(former.attempts))
	for _, seq := range former.open() {
		at := former.attempts[seq]
		c.close(at)
		if at.live == nil {
			continue
		}
		at.live.tasks[at.task].attempt = nil
		c.retryOrFail(now, at.live, at.task, fault.Newf(fault.OutcomeUnknown, "task %d: the agent on %s ended", at.task, a.worker))
	}
	c.removeAgent(former)
	c.byWorker[a.worker] = a
}

// Receive takes a frame of an agent. After an error the caller closes the connection.
func (c *Core) Receive(now time.Time, conn ConnID, f *wire.ToEntry) error {
	a, ok := c.byConn[conn]
	if !ok {
		return breach("a frame before hello, or on a connection that was replaced")
	}
	a.lastSeen = now
	if f.Hello != nil {
		return breach("a second hello")
	}
	c.learn(now, f.Entries)
	if f.Target != nil {
		a.target = *f.Target
		c.configureAgent(a)
	}
	if err := c.credit(now, a, f.Credits); err != nil {
		return err
	}
	for i := range f.Reports {
		c.settle(now, a, &f.Reports[i])
	}
	c.dispatch(now)
	return nil
}

// credit applies a grant and gives back what the agent recalls.
func (c *Core) credit(now time.Time, a *agent, k *wire.Credits) error {
	if k == nil {
		return nil
	}
	a.owners = k.Owners
	if k.Total < a.granted {
		return breach("credits went back")
	}
	if k.Total > a.granted {
		a.gap.ObserveGrant(int(k.Total-a.granted), now)
	}
	a.granted = k.Total
	if back := min(k.Recall, a.credits()); back > 0 {
		a.returned += uint64(back)
		a.declinedUntil = now.Add(declinePause)
	}
	return nil
}

// Disconnect notes that a connection ended. Open attempts stay as they are: the
// agent may be alive and running them. Only an idempotent request goes elsewhere.
func (c *Core) Disconnect(now time.Time, conn ConnID) {
	a, ok := c.byConn[conn]
	if !ok {
		return
	}
	delete(c.byConn, conn)
	a.conn, a.lastSeen = 0, now
	a.granted, a.spent, a.returned = 0, 0, 0
	event.Log(c.log, event.SessionClosed, "worker", a.worker, "open_attempts", len(a.attempts))
	for _, seq := range a.open() {
		at := a.attempts[seq]
		if at.live != nil && at.live.sub.Idempotent {
			l := at.live
			c.abandon(at)
			c.retryOrFail(now, l, at.task, fault.Newf(fault.OutcomeUnknown, "task %d: %s can't be reached", at.task, a.worker))
		}
	}
	c.dispatch(now)
}
