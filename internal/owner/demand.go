package owner

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/scheduler/queueing"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// demandPause is how long no credits are requested from an agent after unused ones were
	// returned to it although tasks wait, because these are held for faster targets.
	// Otherwise two owners that hold tasks would request and return the same slot in turn,
	// one message per round trip. Half of the shortest usual task is a small loss if the slot
	// is needed after all.
	demandPause = 25 * time.Millisecond
	// rankChangeMs is the change of the best rank that justifies a message of its own. The
	// rank only decides between owners; an error of 100 ms delays the task that should go
	// first by about that much at most.
	rankChangeMs = 100
	// maxRankScan limits the jobs at the head of the ready queue that are searched for the
	// best rank of each class.
	maxRankScan = 64
)

// publishDemand reports the owner's demand to each connected agent if it has changed enough
// to affect the sharing of the agent's slots, or if a frame is sent to the agent anyway. The
// push policies use no credits and report no demand.
func (c *Core) publishDemand() {
	if c.options.Policy.pushes() {
		return
	}
	ranks := c.bestRanks()
	for _, a := range c.byConn {
		d := c.demandFor(a, ranks)
		if d == a.demand || !a.dirty && !demandChanged(a.demand, d) {
			continue
		}
		a.demand = d
		c.pendingFrame(a).Demand = &d
	}
}

// demandFor returns the demand for credits of an agent: the number of waiting tasks that it
// serves and the best rank among them.
func (c *Core) demandFor(a *agent, ranks map[string]int64) wire.Demand {
	d := wire.Demand{Returned: a.returned}
	if a.credits() > 0 || c.lastTick.Before(a.demandPausedUntil) {
		// Tasks that could start here have started; the others wait for other targets.
		// Demand for them would keep the agent from granting its slots to other owners.
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
	// Demand for more than a few times the agent's slots makes no difference to the agent.
	d.Waiting = min(d.Waiting, 4*max(a.target.Slots, 1))
	return d
}

// demandChanged reports whether the demand has changed enough to be reported. Small changes
// are ignored, because each would cost a message to every agent.
func demandChanged(was, is wire.Demand) bool {
	if (was.Waiting == 0) != (is.Waiting == 0) || was.Returned != is.Returned {
		return true
	}
	if is.Waiting == 0 {
		return false
	}
	change := is.RankMs - was.RankMs
	return is.Waiting < was.Waiting/2 || is.Waiting > was.Waiting*2 || change > rankChangeMs || change < -rankChangeMs
}

// bestRanks returns the lowest rank of each class among the first maxRankScan jobs of the
// queue. The key "" has the highest rank among them, for classes that are only further back.
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
		return seen < maxRankScan
	})
	return ranks
}
