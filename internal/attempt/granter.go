package attempt

import (
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/grants"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// granter shares the target's free slots among the connected owners as credits.
// Package grants decides who gets what; this carries it out and keeps counts of
// its own, against which the sharer's are checked.
type granter struct{ *board }

// up starts an owner's credits at zero, as its new connection does.
func (g granter) up(o *owner) {
	o.credits = credits{}
	g.sharer.AddOwner(uint64(o.incarnation))
}

// down frees the owner's unspent credits.
func (g granter) down(o *owner) { g.sharer.RemoveOwner(uint64(o.incarnation)) }

// hear takes an owner's demand. The error is a *ProtocolError.
func (g granter) hear(o *owner, d *wire.Demand) error {
	if d == nil || g.policy == Push {
		return nil
	}
	if d.Waiting < 0 {
		return &ProtocolError{Owner: o.incarnation, Violation: NegativeDemand}
	}
	if !g.sharer.SetDemand(uint64(o.incarnation), d.Waiting, d.RankMs, d.Returned) {
		return &ProtocolError{Owner: o.incarnation, Violation: ExcessReturn}
	}
	if d.Returned > o.credits.returned {
		g.history.add(g.now, stepReturn, Key{Owner: o.incarnation}, int(d.Returned-o.credits.returned))
	}
	o.credits.returned = d.Returned
	o.waiting = d.Waiting
	return nil
}

// spend takes a credit for one start. The error is a *ProtocolError.
func (g granter) spend(o *owner, seq uint64) error {
	if g.policy == Push {
		return nil
	}
	if !g.sharer.Spend(uint64(o.incarnation)) {
		return &ProtocolError{Owner: o.incarnation, Violation: StartWithoutCredit, Seq: seq}
	}
	o.credits.spent++
	return nil
}

// free gives back the slot of a start that was refused or whose call has ended.
func (g granter) free() {
	if g.policy != Push {
		g.sharer.Release()
	}
}

// grant hands out every free slot and recalls what is better used elsewhere.
func (g granter) grant() {
	if g.policy == Push {
		return
	}
	slots := 0
	if g.takesWork() {
		slots = g.target.Slots
	}
	g.sharer.SetSlots(slots)
	g.changes = g.sharer.Rebalance(g.changes[:0])
	for i := range g.changes {
		g.apply(&g.changes[i])
	}
	invariant.Check(g.conserved(), g.log, "credits are conserved", &g.history)
}

func (g granter) apply(c *grants.Change) {
	o := g.owners[job.Incarnation(c.Owner)]
	more := int(c.Total - o.credits.granted)
	o.credits.granted = c.Total
	o.recallNow += c.Recall
	o.sendCredits = true
	g.granted += uint64(more)
	if more > 0 {
		g.history.add(g.now, stepGrant, Key{Owner: o.incarnation}, more)
	}
	if c.Recall > 0 {
		g.history.add(g.now, stepRecall, Key{Owner: o.incarnation}, c.Recall)
	}
	if log, wanted := g.decisions(); wanted {
		event.Log(log, event.CreditsChanged, "owner", o.incarnation.String(), "granted", more,
			"recalled", c.Recall, "waiting_at_owner", o.waiting, "unspent", o.credits.unspent(), "owners", len(g.connected))
	}
}

// conserved reports whether credits and running attempts still agree with the
// sharer's counts, and with the slots unless those have just shrunk.
func (g granter) conserved() bool {
	unspent := 0
	for _, o := range g.connected {
		unspent += o.credits.unspent()
	}
	return unspent == g.sharer.Outstanding() && g.running == g.sharer.Running() && g.running == len(g.runningBy)
}
