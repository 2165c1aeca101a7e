package owner

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/scheduler/queueing"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// declinePause is how long no credits are asked of an agent after some came back
	// unused although tasks wait: those are held for faster targets. Two owners that
	// hold tasks would otherwise ask for the same slot in turn and give it back, a
	// message each round trip. Half of the shortest usual task loses little should
	// the slot be wanted after all.
	declinePause = 25 * time.Millisecond
	// rankStepMs is the change of the best rank that is worth a message of its own.
	// The rank decides between owners only; being 100 ms off costs a task of the
	// lower rank at most about that much.
	rankStepMs = 100
	// rankScan bounds how far into the ready queue a class's best rank is sought.
	rankScan = 64
)

// publishDemand tells agents how much waits for them, where that has changed
// enough to matter for the sharing of their slots, or where a frame goes out anyway.
func (c *Core) publishDemand() {
	if c.opts.Policy.push() {
		return
	}
	ranks := c.bestRanks()
	for _, a := range c.byConn {
		d := c.demandFor(a, ranks)
		if d == a.demand || !a.dirty && !demandChanged(a.demand, d) {
			continue
		}
		a.demand = d
		c.touch(a).Demand = &d
	}
}

func (c *Core) demandFor(a *agent, ranks map[string]int64) wire.Demand {
	d := wire.Demand{Returned: a.returned}
	if a.credits() > 0 || c.ticked.Before(a.declinedUntil) {
		// What could start here has started; the rest waits for other targets. Asking
		// for it here would keep the agent from giving the slots to other owners.
		return d
	}
	for class, n := range c.waitingTasks {
		if n == 0 || !a.serves(class) {
			continue
		}
		rank, seen := ranks[class]
		if !seen {
			rank = ranks[""]
		}
		if d.Waiting == 0 || rank < d.RankMs {
			d.RankMs = rank
		}
		d.Waiting += n
	}
	// More than a few rounds of the agent's slots make no difference to it.
	d.Waiting = min(d.Waiting, 4*max(a.target.Slots, 1))
	return d
}

// demandChanged ignores small changes: each costs a message to every agent.
func demandChanged(was, is wire.Demand) bool {
	if (was.Waiting == 0) != (is.Waiting == 0) || was.Returned != is.Returned {
		return true
	}
	if is.Waiting == 0 {
		return false
	}
	change := is.RankMs - was.RankMs
	return is.Waiting < was.Waiting/2 || is.Waiting > was.Waiting*2 || change > rankStepMs || change < -rankStepMs
}

// bestRanks returns the lowest rank of each class among the head of the queue;
// under "" it holds the highest rank seen, for classes further back.
func (c *Core) bestRanks() map[string]int64 {
	ranks := map[string]int64{}
	seen := 0
	c.ready.Each(func(it *queueing.Item[*liveJob]) bool {
		class, rank := it.Value.sub.Class, it.Rank()
		if best, known := ranks[class]; !known || rank < best {
			ranks[class] = rank
		}
		if last, known := ranks[""]; !known || rank > last {
			ranks[""] = rank
		}
		seen++
		return seen < rankScan
	})
	return ranks
}
