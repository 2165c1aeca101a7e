// Package grants implements credit-based flow control: it divides the slots of one target
// among the entries that start tasks on it, the owners of the credits. It runs in the agent
// beside the target.
//
// Several entries each hold a queue, and their loads differ and change within a second. If
// entries sent tasks freely, tasks would queue at the target, where nothing can reorder
// them, or be refused there, which wastes messages. If each entry had a fixed part of the
// slots, one entry would queue tasks while the part of another is idle.
//
// An entry starts a task only against a credit, and running tasks plus outstanding credits
// never exceed the slots, so no task waits at the target.
//   - Idle slots are granted evenly in advance, so that a start in an idle system needs no
//     additional round trip.
//   - A slot that becomes free is granted to the waiting entry whose best job has the lowest
//     rank, so that the queues act nearly as a single one.
//   - Idle credits are recalled while another entry waits, and one at a time while an entry
//     has none and another has several.
//   - All credits of a disconnected entry are free again at once.
//
// Ranks depend on the clocks and estimates of the entries. An entry whose clock lags, or
// one with a burst of tiny jobs, would always have the lowest rank and starve the others.
// Therefore every StarvationGuardInterval-th contested slot is granted to the entry that has
// been passed over most often.
package grants

import (
	"cmp"
	"slices"
)

// StarvationGuardInterval is the interval, in contested grants, at which a grant goes to the
// owner passed over most often and not to the one with the lowest rank. With an eighth of
// the slots, a starved entry waits some tens of milliseconds at most at a target of 8 slots,
// and the order by rank is hardly affected.
const StarvationGuardInterval = 8

// Change is an update that has to be sent to an owner.
type Change struct {
	Owner  uint64
	Total  uint64 // credits granted since the owner was added
	Recall int    // credits to return now, as far as they are unspent
}

// owner is the credit account of a connected entry.
type owner struct {
	id            uint64
	total         uint64 // credits granted
	sentTotal     uint64 // total in the latest Change
	spent         uint64
	returned      uint64
	waiting       int   // tasks waiting at the owner
	rankMs        int64 // rank of the best of them; the lowest goes first
	pendingRecall int   // recalled credits that are neither returned nor spent yet
	unsentRecall  int   // part of pendingRecall not yet in a Change
	passedOver    int   // contested grants to others while this owner waited
	retired       bool
}

// outstanding returns the number of credits that the owner can still spend.
func (o *owner) outstanding() int { return int(o.total - o.spent - o.returned) }

// uncovered returns the number of waiting tasks without an outstanding credit.
func (o *owner) uncovered() int { return max(o.waiting-o.outstanding(), 0) }

// idle returns the number of credits that are not recalled and not needed for a waiting
// task. A credit granted to a waiting owner is not idle while the start is in transit:
// otherwise it would be recalled at once for the next waiting owner, and with two of them
// the slot would alternate between both without being used.
func (o *owner) idle() int { return o.outstanding() - o.pendingRecall - o.waiting }

// eligible reports whether the owner can be granted credits. It can't while a recall is
// pending, because the recall could then apply to a later credit than intended and the
// counts of both sides would differ, nor when it is retired.
func (o *owner) eligible() bool { return o.pendingRecall == 0 && !o.retired }

// Allocator divides the slots of a target among owners. It is not safe for concurrent use.
type Allocator struct {
	slots      int
	running    int
	owners     []*owner // sorted by id
	idleCursor int      // index from which nextIdleOwner searches, modulo len(owners)
	contested  int      // number of grants for which several owners waited
}

// NewAllocator returns an allocator without slots and owners.
func NewAllocator() *Allocator { return &Allocator{} }

// SetSlots sets the number of tasks that the target runs at a time. 0 recalls all credits, as
// for a target that is leaving.
func (a *Allocator) SetSlots(n int) { a.slots = max(n, 0) }

// AddOwner adds an owner without credits; an existing one with the id is replaced.
func (a *Allocator) AddOwner(id uint64) {
	a.RemoveOwner(id)
	i, _ := a.find(id)
	a.owners = slices.Insert(a.owners, i, &owner{id: id})
}

// RemoveOwner removes an owner and frees its credits. Its running tasks keep their
// slots until Release.
func (a *Allocator) RemoveOwner(id uint64) {
	if i, ok := a.find(id); ok {
		a.owners = slices.Delete(a.owners, i, i+1)
	}
}

// SetRetired excludes an owner from grants and recalls its credits, so that its connection
// can be closed without losing a start in transit on it. With on false, the owner becomes
// eligible again.
func (a *Allocator) SetRetired(id uint64, on bool) {
	if i, ok := a.find(id); ok {
		a.owners[i].retired = on
	}
}

// Owners returns the number of owners.
func (a *Allocator) Owners() int { return len(a.owners) }

// Running returns the number of tasks that hold a slot.
func (a *Allocator) Running() int { return a.running }

// Outstanding returns the number of credits that owners can still spend.
func (a *Allocator) Outstanding() int {
	n := 0
	for _, o := range a.owners {
		n += o.outstanding()
	}
	return n
}

// SetDemand updates the demand of an owner: how many of its tasks wait, the rank of the
// best of them, and how many credits it has returned in total since it was added. Spend must
// be called first for starts in the same frame.
// It returns false, and changes nothing, if the owner returns more credits than it has.
func (a *Allocator) SetDemand(id uint64, waiting int, rankMs int64, returned uint64) bool {
	i, ok := a.find(id)
	if !ok {
		return true
	}
	o := a.owners[i]
	if returned < o.returned || returned-o.returned > uint64(o.outstanding()) {
		return false
	}
	returnedNow := int(returned - o.returned)
	o.returned = returned
	o.pendingRecall = min(max(o.pendingRecall-returnedNow, 0), o.outstanding())
	o.unsentRecall = min(o.unsentRecall, o.pendingRecall)
	o.waiting = max(waiting, 0)
	o.rankMs = rankMs
	if o.waiting == 0 {
		o.passedOver = 0
	}
	return true
}

// Spend turns one of the owner's credits into a running task. It returns false, and changes
// nothing, if the owner has no credit.
func (a *Allocator) Spend(id uint64) bool {
	i, ok := a.find(id)
	if !ok || a.owners[i].outstanding() == 0 {
		return false
	}
	o := a.owners[i]
	o.spent++
	o.waiting = max(o.waiting-1, 0)
	o.pendingRecall = min(o.pendingRecall, o.outstanding())
	o.unsentRecall = min(o.unsentRecall, o.pendingRecall)
	a.running++
	return true
}

// Release frees the slot of a running task.
func (a *Allocator) Release() { a.running = max(a.running-1, 0) }

// Rebalance grants the free slots, recalls credits that are needed elsewhere, and appends to
// dst the changes that have to be sent to owners.
func (a *Allocator) Rebalance(dst []Change) []Change {
	a.grant()
	a.recall()
	for _, o := range a.owners {
		if o.total != o.sentTotal || o.unsentRecall > 0 {
			dst = append(dst, Change{o.id, o.total, o.unsentRecall})
			o.sentTotal, o.unsentRecall = o.total, 0
		}
	}
	return dst
}

// free returns the number of slots without a running task or a credit; it is negative after the
// number of slots has been reduced.
func (a *Allocator) free() int { return a.slots - a.running - a.Outstanding() }

func (a *Allocator) grant() {
	for n := a.free(); n > 0; n-- {
		o := a.nextOwner()
		if o == nil {
			return
		}
		o.total++
	}
}

// nextOwner returns the owner to which the next free slot is granted, or nil.
func (a *Allocator) nextOwner() *owner {
	waiting := 0
	for _, o := range a.owners {
		if o.uncovered() > 0 && o.eligible() {
			waiting++
		}
	}
	switch waiting {
	case 0:
		return a.nextIdleOwner()
	case 1:
		return a.bestWaiting(byRank)
	}
	a.contested++
	order := byRank
	if a.contested%StarvationGuardInterval == 0 {
		order = byPassedOver
	}
	winner := a.bestWaiting(order)
	for _, o := range a.owners {
		if o.uncovered() > 0 {
			o.passedOver++
		}
	}
	winner.passedOver = 0
	return winner
}

func byRank(a, b *owner) int { return cmp.Compare(a.rankMs, b.rankMs) }

func byPassedOver(a, b *owner) int {
	return cmp.Or(cmp.Compare(b.passedOver, a.passedOver), byRank(a, b))
}

// bestWaiting returns the first, by the given order, of the eligible owners with uncovered
// tasks.
func (a *Allocator) bestWaiting(order func(a, b *owner) int) *owner {
	var best *owner
	for _, o := range a.owners {
		if o.uncovered() > 0 && o.eligible() && (best == nil || order(o, best) < 0) {
			best = o
		}
	}
	return best
}

// nextIdleOwner returns the eligible owner with the fewest credits, in round-robin order among
// equals.
func (a *Allocator) nextIdleOwner() *owner {
	var best *owner
	for n := range a.owners {
		o := a.owners[(a.idleCursor+n)%len(a.owners)]
		if o.eligible() && (best == nil || o.outstanding() < best.outstanding()) {
			best = o
		}
	}
	a.idleCursor++
	return best
}

// recall recalls all credits of retired owners. Of the others it recalls the credits that exceed
// the slots; else as many idle credits as other owners wait for; else, if an owner has none,
// one credit from an owner with several idle ones.
func (a *Allocator) recall() {
	for _, o := range a.owners {
		if held := o.outstanding() - o.pendingRecall; o.retired && held > 0 {
			o.pendingRecall += held
			o.unsentRecall += held
		}
	}
	pending, wanted := 0, 0
	empty := false
	for _, o := range a.owners {
		pending += o.pendingRecall
		if o.eligible() {
			// An owner with a pending recall is not granted credits. Credits recalled
			// for it would be granted to their former owner again, in every round until
			// the unresponsive owner answers.
			wanted += o.uncovered()
		}
		empty = empty || o.outstanding() == 0 && o.eligible()
	}
	if excess := -a.free() - pending; excess > 0 {
		a.recallCredits(excess, func(o *owner) int { return o.outstanding() - o.pendingRecall })
		return
	}
	if wanted > pending {
		a.recallCredits(wanted-pending, (*owner).idle)
		return
	}
	if wanted == 0 && pending == 0 && empty && a.free() <= 0 {
		a.recallCredits(1, func(o *owner) int { return o.idle() - 1 })
	}
}

// recallCredits recalls n credits, each from the owner that can spare most.
func (a *Allocator) recallCredits(n int, spare func(*owner) int) {
	for ; n > 0; n-- {
		var most *owner
		for _, o := range a.owners {
			if spare(o) > 0 && (most == nil || spare(o) > spare(most)) {
				most = o
			}
		}
		if most == nil {
			return
		}
		most.pendingRecall++
		most.unsentRecall++
	}
}

func (a *Allocator) find(id uint64) (int, bool) {
	return slices.BinarySearchFunc(a.owners, id, func(o *owner, id uint64) int {
		return cmp.Compare(o.id, id)
	})
}
