package attempt

import (
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/grants"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// granter grants the target's free slots to the connected owners as credits. Package
// grants decides how many each owner gets; granter applies those decisions and keeps its
// own counts, against which the allocator's are checked.
type granter struct{ *tableState }

// addOwner starts an owner's credits at zero, as both sides do on a new connection.
func (g granter) addOwner(o *owner) {
	o.credits = credits{}
	g.allocator.AddOwner(uint64(o.incarnation))
}

// removeOwner frees the owner's unspent credits.
func (g granter) removeOwner(o *owner) { g.allocator.RemoveOwner(uint64(o.incarnation)) }

// updateDemand applies an owner's demand and returned credits. The error is a
// *ProtocolError.
func (g granter) updateDemand(o *owner, d *wire.Demand) error {
	if d == nil || g.policy == Push {
		return nil
	}
	if d.Waiting < 0 {
		return &ProtocolError{Owner: o.incarnation, Violation: NegativeDemand}
	}
	if !g.allocator.SetDemand(uint64(o.incarnation), d.Waiting, d.RankMs, d.Returned) {
		return &ProtocolError{Owner: o.incarnation, Violation: ExcessReturn}
	}
	if d.Returned > o.credits.returned {
		g.history.add(g.now, opReturn, Key{Owner: o.incarnation}, int(d.Returned-o.credits.returned))
	}
	o.credits.returned = d.Returned
	o.waitingTasks = d.Waiting
	return nil
}

// spendCredit uses one of the owner's credits for a start. The error is a
// *ProtocolError.
func (g granter) spendCredit(o *owner, seq uint64) error {
	if g.policy == Push {
		return nil
	}
	if !g.allocator.Spend(uint64(o.incarnation)) {
		return &ProtocolError{Owner: o.incarnation, Violation: StartWithoutCredit, Seq: seq}
	}
	o.credits.spent++
	return nil
}

// releaseSlot frees the slot of a start that was refused or whose call has ended.
func (g granter) releaseSlot() {
	if g.policy != Push {
		g.allocator.Release()
	}
}

// rebalance grants every free slot and recalls credits that other owners need more.
func (g granter) rebalance() {
	if g.policy == Push {
		return
	}
	slots := 0
	if g.acceptsWork() {
		slots = g.target.Slots
	}
	g.allocator.SetSlots(slots)
	g.creditChanges = g.allocator.Rebalance(g.creditChanges[:0])
	for i := range g.creditChanges {
		g.applyChange(&g.creditChanges[i])
	}
	invariant.Check(g.creditsConserved(), g.log, "credits are conserved", &g.history)
}

func (g granter) applyChange(c *grants.Change) {
	o := g.owners[job.Incarnation(c.Owner)]
	granted := int(c.Total - o.credits.granted)
	o.credits.granted = c.Total
	o.pendingRecall += c.Recall
	o.sendCredits = true
	g.grantedCredits += uint64(granted)
	if granted > 0 {
		g.history.add(g.now, opGrant, Key{Owner: o.incarnation}, granted)
	}
	if c.Recall > 0 {
		g.history.add(g.now, opRecall, Key{Owner: o.incarnation}, c.Recall)
	}
	if log, enabled := g.decisionLog(); enabled {
		event.Log(log, event.CreditsChanged, "owner", o.incarnation.String(), "granted", granted,
			"recalled", c.Recall, "waiting_at_owner", o.waitingTasks, "unspent", o.credits.unspent(), "owners", len(g.connected))
	}
}

// creditsConserved reports whether unspent credits and running attempts agree with the
// allocator's counts.
func (g granter) creditsConserved() bool {
	unspent := 0
	for _, o := range g.connected {
		unspent += o.credits.unspent()
	}
	return unspent == g.allocator.Outstanding() && g.runningCount == g.allocator.Running() && g.runningCount == len(g.runningAttempts)
}
