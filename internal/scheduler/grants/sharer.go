// Package grants divides the slots of one target among the entries that want
// them. It runs in the agent beside the target.
//
// The pattern of load: several entries each hold a queue, and their loads differ
// and change within a second. If entries send as they like, tasks line up at the
// target or are turned away there: messages wasted, and a line that nobody can
// reorder. If slots are split in fixed parts, one entry queues while another's
// part lies idle.
//
// Why this works: an entry starts a task only against a credit, and running
// tasks plus credits out never exceed the slots, so nothing ever waits here.
//   - Idle slots are handed out evenly before anyone asks, so that in an idle
//     system a start costs no extra round trip.
//   - A slot that frees goes to the waiting entry whose best job ranks lowest,
//     which makes several queues act nearly as one.
//   - Idle credits are called back while another entry waits, and one at a time
//     when an entry has none left and another holds several.
//   - All credits of an entry that is gone are free again at once.
//
// Ranks contain the entries' clocks and estimates. An entry whose clock lags, or
// one with a burst of tiny jobs, would rank lowest for ever and starve the
// others; so every StarvationGuardInterval-th contested slot goes to the entry that has waited
// through the most grants.
package grants

import (
	"cmp"
	"slices"
)

// StarvationGuardInterval is how often a contested slot goes by turn and not by rank. An
// eighth of the slots bounds the wait of a starved entry to some tens of
// milliseconds at a target of 8 slots, and costs the order little.
const StarvationGuardInterval = 8

// Change is what an owner has to be told.
type Change struct {
	Owner  uint64
	Total  uint64 // credits granted since the owner came up
	Recall int    // credits to hand back now, as far as they are unspent
}

type owner struct {
	id       uint64
	total    uint64
	told     uint64 // total when the owner was last told
	spent    uint64
	returned uint64
	waiting  int
	rankMs   int64
	recalled int // asked back and neither returned nor spent yet
	askBack  int // part of recalled that the owner has not been told of
	passed   int // contested grants to others while this one waited
	retired  bool
}

// outstanding is the number of credits the owner may still spend.
func (o *owner) outstanding() int { return int(o.total - o.spent - o.returned) }

// unmet is the number of waiting tasks that no credit in hand or under way covers.
func (o *owner) unmet() int { return max(o.waiting-o.outstanding(), 0) }

// idle is the number of credits that no waiting task needs and that were not
// asked back yet. A credit granted to a waiting owner must not count as idle
// while the start is under way: it would be called back at once for the next
// waiting owner, and with two of them the slot would go to and fro for ever.
func (o *owner) idle() int { return o.outstanding() - o.recalled - o.waiting }

// settled reports whether no recall is under way. While one is, the owner gets
// nothing new: the recall could then take back a later credit than was meant,
// and both sides would count differently.
// A retired owner gets nothing at all.
func (o *owner) settled() bool { return o.recalled == 0 && !o.retired }

// Allocator divides slots. It is not safe for concurrent use.
type Allocator struct {
	slots     int
	running   int
	owners    []*owner // in the order of their ids
	turn      int      // where the next idle slot goes
	contested int
}

// NewAllocator returns a sharer without slots and owners.
func NewAllocator() *Allocator { return &Allocator{} }

// SetSlots sets how many tasks the target runs at a time. 0 calls every credit
// back, as for a target that is leaving.
func (s *Allocator) SetSlots(n int) { s.slots = max(n, 0) }

// AddOwner adds an owner; one that is already up starts again from zero.
func (s *Allocator) AddOwner(id uint64) {
	s.RemoveOwner(id)
	i, _ := s.find(id)
	s.owners = slices.Insert(s.owners, i, &owner{id: id})
}

// RemoveOwner removes an owner and frees its credits. Its running tasks keep their
// slots until they finish.
func (s *Allocator) RemoveOwner(id uint64) {
	if i, ok := s.find(id); ok {
		s.owners = slices.Delete(s.owners, i, i+1)
	}
}

// SetRetired stops granting to an owner and calls back what it holds, so that its
// connection can be closed without losing a start that is under way on it. With
// on false, the owner takes part again.
func (s *Allocator) SetRetired(id uint64, on bool) {
	if i, ok := s.find(id); ok {
		s.owners[i].retired = on
	}
}

// Owners returns the number of owners.
func (s *Allocator) Owners() int { return len(s.owners) }

// Running returns the number of tasks that hold a slot.
func (s *Allocator) Running() int { return s.running }

// Outstanding returns the number of credits that are out.
func (s *Allocator) Outstanding() int {
	n := 0
	for _, o := range s.owners {
		n += o.outstanding()
	}
	return n
}

// SetDemand notes what an owner wants: how many of its tasks wait, the rank of the
// best of them, and how many credits it has handed back since it came up. Starts
// that came in the same frame are to be counted with Spend first.
// It reports false when the owner claims to return more than it holds.
func (s *Allocator) SetDemand(id uint64, waiting int, rankMs int64, returned uint64) bool {
	i, ok := s.find(id)
	if !ok {
		return true
	}
	o := s.owners[i]
	if returned < o.returned || returned-o.returned > uint64(o.outstanding()) {
		return false
	}
	back := int(returned - o.returned)
	o.returned = returned
	o.recalled = min(max(o.recalled-back, 0), o.outstanding())
	o.askBack = min(o.askBack, o.recalled)
	o.waiting = max(waiting, 0)
	o.rankMs = rankMs
	if o.waiting == 0 {
		o.passed = 0
	}
	return true
}

// Spend turns one of the owner's credits into a running task. It reports false
// when the owner has none, and then changes nothing.
func (s *Allocator) Spend(id uint64) bool {
	i, ok := s.find(id)
	if !ok || s.owners[i].outstanding() == 0 {
		return false
	}
	o := s.owners[i]
	o.spent++
	o.waiting = max(o.waiting-1, 0)
	o.recalled = min(o.recalled, o.outstanding())
	o.askBack = min(o.askBack, o.recalled)
	s.running++
	return true
}

// Release frees the slot of a running task.
func (s *Allocator) Release() { s.running = max(s.running-1, 0) }

// Rebalance hands out free slots, decides on recalls, and appends to dst what each
// owner must be told.
func (s *Allocator) Rebalance(dst []Change) []Change {
	s.grant()
	s.recall()
	for _, o := range s.owners {
		if o.total != o.told || o.askBack > 0 {
			dst = append(dst, Change{o.id, o.total, o.askBack})
			o.told, o.askBack = o.total, 0
		}
	}
	return dst
}

func (s *Allocator) free() int { return s.slots - s.running - s.Outstanding() }

func (s *Allocator) grant() {
	for n := s.free(); n > 0; n-- {
		o := s.next()
		if o == nil {
			return
		}
		o.total++
	}
}

// next returns the owner that gets the next free slot, or nil.
func (s *Allocator) next() *owner {
	waiting := 0
	for _, o := range s.owners {
		if o.unmet() > 0 && o.settled() {
			waiting++
		}
	}
	switch waiting {
	case 0:
		return s.nextIdle()
	case 1:
		return s.best(byRank)
	}
	s.contested++
	rule := byRank
	if s.contested%StarvationGuardInterval == 0 {
		rule = byPassed
	}
	winner := s.best(rule)
	for _, o := range s.owners {
		if o.unmet() > 0 {
			o.passed++
		}
	}
	winner.passed = 0
	return winner
}

func byRank(a, b *owner) int { return cmp.Compare(a.rankMs, b.rankMs) }

func byPassed(a, b *owner) int {
	return cmp.Or(cmp.Compare(b.passed, a.passed), byRank(a, b))
}

func (s *Allocator) best(rule func(a, b *owner) int) *owner {
	var best *owner
	for _, o := range s.owners {
		if o.unmet() > 0 && o.settled() && (best == nil || rule(o, best) < 0) {
			best = o
		}
	}
	return best
}

// nextIdle returns the owner with the fewest credits, by turn among equals.
func (s *Allocator) nextIdle() *owner {
	var best *owner
	for n := range s.owners {
		o := s.owners[(s.turn+n)%len(s.owners)]
		if o.settled() && (best == nil || o.outstanding() < best.outstanding()) {
			best = o
		}
	}
	s.turn++
	return best
}

// recall asks credits back: all that exceed the slots, else from owners that
// don't wait as many as others wait for, else one to even out.
func (s *Allocator) recall() {
	for _, o := range s.owners {
		if back := o.outstanding() - o.recalled; o.retired && back > 0 {
			o.recalled += back
			o.askBack += back
		}
	}
	pending, wanted := 0, 0
	empty := false
	for _, o := range s.owners {
		pending += o.recalled
		if o.settled() {
			// An owner with a recall under way is granted nothing. Calling credits back
			// for it would only hand them to their holder again, round after round, for
			// as long as the owner is silent.
			wanted += o.unmet()
		}
		empty = empty || o.outstanding() == 0 && o.settled()
	}
	if over := -s.free() - pending; over > 0 {
		s.callBack(over, func(o *owner) int { return o.outstanding() - o.recalled })
		return
	}
	if wanted > pending {
		s.callBack(wanted-pending, (*owner).idle)
		return
	}
	if wanted == 0 && pending == 0 && empty && s.free() <= 0 {
		s.callBack(1, func(o *owner) int { return o.idle() - 1 })
	}
}

// callBack asks for n credits, one by one from the owner that can spare most.
func (s *Allocator) callBack(n int, spare func(*owner) int) {
	for ; n > 0; n-- {
		var most *owner
		for _, o := range s.owners {
			if spare(o) > 0 && (most == nil || spare(o) > spare(most)) {
				most = o
			}
		}
		if most == nil {
			return
		}
		most.recalled++
		most.askBack++
	}
}

func (s *Allocator) find(id uint64) (int, bool) {
	return slices.BinarySearchFunc(s.owners, id, func(o *owner, id uint64) int {
		return cmp.Compare(o.id, id)
	})
}
