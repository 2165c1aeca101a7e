package grants

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestGrants(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "grants")
}

// entry is an owner that follows the protocol: it spends credits while it has waiting tasks
// and returns recalled credits as far as they are unspent.
type entry struct {
	id       uint64
	granted  uint64
	spent    uint64
	returned uint64
	waiting  int
	rankMs   int64
	started  int
}

func (e *entry) unspent() int { return int(e.granted - e.spent - e.returned) }

type fleet struct {
	allocator *Allocator
	entries   map[uint64]*entry
}

func newFleet(slots int, ids ...uint64) *fleet {
	f := &fleet{NewAllocator(), map[uint64]*entry{}}
	f.allocator.SetSlots(slots)
	for _, id := range ids {
		f.allocator.AddOwner(id)
		f.entries[id] = &entry{id: id}
	}
	return f
}

// exchange delivers changes and demands between the allocator and the entries until there are
// no more changes.
func (f *fleet) exchange() {
	for range 100 {
		changes := f.allocator.Rebalance(nil)
		for _, c := range changes {
			e := f.entries[c.Owner]
			e.granted = c.Total
			for e.waiting > 0 && e.unspent() > 0 {
				e.spent++
				e.waiting--
				e.started++
				Expect(f.allocator.Spend(e.id)).To(BeTrue())
			}
			e.returned += uint64(min(c.Recall, e.unspent()))
		}
		for _, e := range f.entries {
			Expect(f.allocator.SetDemand(e.id, e.waiting, e.rankMs, e.returned)).To(BeTrue())
		}
		if len(changes) == 0 {
			return
		}
	}
	Fail("the allocator keeps moving credits between entries")
}

func (f *fleet) setWaiting(id uint64, waiting int, rankMs int64) {
	e := f.entries[id]
	e.waiting, e.rankMs = waiting, rankMs
	f.allocator.SetDemand(id, waiting, rankMs, e.returned)
}

var _ = Describe("sharing the slots of a target", func() {
	// Guards against an additional round trip for each request to an idle system, which would be
	// needed if the entry first had to request a slot.
	It("grants idle slots in advance", func() {
		f := newFleet(8, 1, 2, 3)
		f.exchange()
		for _, e := range f.entries {
			Expect(e.unspent()).To(BeNumerically(">=", 2))
		}
		Expect(f.allocator.Outstanding()).To(Equal(8))
	})

	// One entry has a queue; another has none but half of the credits. Guards against callers of
	// the first that wait while slots are idle.
	It("grants every slot to the only entry with waiting tasks", func() {
		f := newFleet(8, 1, 2)
		f.exchange()
		f.setWaiting(1, 20, 100)
		f.exchange()
		Expect(f.entries[1].started).To(Equal(8))
		Expect(f.entries[2].unspent()).To(BeZero())
	})

	// The queues of several entries must act as one: the job with the lowest rank of all goes
	// first. Guards against a safety check that waits behind a large job only because the load
	// balancer routed it to another entry.
	It("grants a freed slot to the lowest rank", func() {
		f := newFleet(1, 1, 2, 3)
		f.setWaiting(1, 1, 300)
		f.setWaiting(2, 1, 100)
		f.setWaiting(3, 1, 200)
		f.exchange()
		Expect(f.entries[2].started).To(Equal(1))
		f.allocator.Release()
		f.exchange()
		Expect(f.entries[3].started).To(Equal(1))
	})

	// An entry's clock lags by an hour, so that all its jobs seem to be an hour old. By rank
	// alone, the other entries would be granted no slot during its burst, and all their jobs
	// would miss their deadlines.
	It("grants a starved entry an eighth of the contested slots", func() {
		f := newFleet(8, 1, 2)
		f.setWaiting(1, 1000, -3_600_000)
		f.setWaiting(2, 1000, 500)
		for range 160 {
			f.exchange()
			f.allocator.Release()
		}
		Expect(f.entries[2].started).To(BeNumerically("~", 160/StarvationGuardInterval, 3))
		Expect(f.entries[1].started).To(BeNumerically(">", 130))
	})

	// Guards against the loss of the credits of a crashed entry, which would leave half of the
	// target's slots unused permanently without any visible reason.
	It("frees the credits of a crashed entry", func() {
		f := newFleet(8, 1, 2)
		f.exchange()
		f.allocator.RemoveOwner(1)
		delete(f.entries, 1)
		f.setWaiting(2, 8, 0)
		f.exchange()
		Expect(f.entries[2].started).To(Equal(8))
	})

	// A leaving target must not receive new tasks after a few seconds. With the credits they
	// hold, idle entries could send some at any later time.
	It("recalls all credits of a leaving target", func() {
		f := newFleet(8, 1, 2)
		f.exchange()
		f.allocator.SetSlots(0)
		f.exchange()
		Expect(f.allocator.Outstanding()).To(BeZero())
		f.setWaiting(1, 5, 0)
		f.exchange()
		Expect(f.entries[1].started).To(BeZero())
	})

	// At low load, one entry has spent its credits for the fast target while another has idle
	// ones. Without a recall, the first would use slower targets although the fast one is free.
	It("redistributes idle credits", func() {
		f := newFleet(8, 1, 2)
		f.exchange()
		f.setWaiting(1, 4, 0)
		f.exchange()
		Expect(f.entries[1].unspent()).To(BeNumerically(">=", 1))
		Expect(f.entries[2].unspent()).To(BeNumerically(">=", 1))
	})

	// An entry with a pending recall becomes unresponsive while its own tasks wait. Credits
	// recalled for it from the others can't be granted to it and would be granted to their
	// former owner again, with a message per round trip until the session is closed as silent.
	It("does not recall idle credits for an unresponsive entry with a pending recall", func() {
		s := NewAllocator()
		s.SetSlots(2)
		s.AddOwner(1)
		s.AddOwner(2)
		s.Rebalance(nil)
		Expect(s.SetDemand(2, 3, 0, 0)).To(BeTrue())
		s.Rebalance(nil)                             // recalls the credit of owner 1, which does not receive the change
		Expect(s.SetDemand(1, 3, 0, 0)).To(BeTrue()) // sent before the recall arrived
		Expect(s.SetDemand(2, 0, 0, 0)).To(BeTrue())
		returned := uint64(0)
		for range 100 {
			for _, c := range s.Rebalance(nil) {
				Expect(c.Owner).To(Equal(uint64(2)))
				returned += uint64(c.Recall)
				Expect(s.SetDemand(2, 0, 0, returned)).To(BeTrue())
			}
		}
		Expect(returned).To(BeNumerically("<=", 1))
	})

	It("rejects a return or a start without an outstanding credit", func() {
		s := NewAllocator()
		s.AddOwner(1)
		Expect(s.Spend(1)).To(BeFalse())
		Expect(s.Spend(2)).To(BeFalse())
		Expect(s.SetDemand(1, 0, 0, 1)).To(BeFalse())
	})
})

// Guards against credit counts of agent and entry that differ: the target would be overloaded,
// or a slot would be lost for the lifetime of the connection. Both sides make decisions while
// frames are in transit. Here messages are delayed at random, in order on each connection, as
// on a real one.
func TestCreditCountsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewAllocator()
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		s.SetSlots(slots)
		entries := map[uint64]*entry{}
		down := map[uint64][]Change{}       // agent to entry
		up := map[uint64][]func(*rapid.T){} // entry to agent
		var ids []uint64
		for id := range uint64(rapid.IntRange(1, 4).Draw(t, "owners")) {
			s.AddOwner(id)
			entries[id] = &entry{id: id}
			ids = append(ids, id)
		}
		sendDemand := func(e *entry) {
			waiting, rank, returned := e.waiting, e.rankMs, e.returned
			up[e.id] = append(up[e.id], func(t *rapid.T) {
				if !s.SetDemand(e.id, waiting, rank, returned) {
					t.Fatalf("the agent rejects a return of owner %d", e.id)
				}
			})
		}
		spend := func(e *entry) {
			for e.waiting > 0 && e.unspent() > 0 {
				e.spent++
				e.waiting--
				up[e.id] = append(up[e.id], func(t *rapid.T) {
					if !s.Spend(e.id) {
						t.Fatalf("the agent rejects a start of owner %d", e.id)
					}
				})
			}
			sendDemand(e)
		}
		deliverDown := func(e *entry) {
			c := down[e.id][0]
			down[e.id] = down[e.id][1:]
			e.granted = c.Total
			e.returned += uint64(min(c.Recall, e.unspent()))
			spend(e)
		}
		change := func() {
			for _, c := range s.Rebalance(nil) {
				down[c.Owner] = append(down[c.Owner], c)
			}
		}
		any := func(t *rapid.T) *entry { return entries[rapid.SampledFrom(ids).Draw(t, "owner")] }
		t.Repeat(map[string]func(*rapid.T){
			"work": func(t *rapid.T) {
				e := any(t)
				e.waiting += rapid.IntRange(1, 12).Draw(t, "tasks")
				e.rankMs = rapid.Int64Range(0, 3).Draw(t, "rank")
				spend(e)
			},
			"down": func(t *rapid.T) {
				if e := any(t); len(down[e.id]) > 0 {
					deliverDown(e)
				}
			},
			"up": func(t *rapid.T) {
				if e := any(t); len(up[e.id]) > 0 {
					up[e.id][0](t)
					up[e.id] = up[e.id][1:]
				}
			},
			"finish": func(t *rapid.T) {
				if s.Running() > 0 {
					s.Release()
				}
			},
			"slots":  func(t *rapid.T) { s.SetSlots(rapid.IntRange(1, slots).Draw(t, "slots")) },
			"change": func(*rapid.T) { change() },
			"": func(t *rapid.T) {
				if n := s.Running() + s.Outstanding(); n > slots {
					t.Fatalf("%d running tasks and outstanding credits at %d slots", n, slots)
				}
			},
		})
		// Deliver all messages in transit, let all tasks finish, and check that no slot is lost.
		s.SetSlots(slots)
		for range 2000 {
			change()
			for _, id := range ids {
				for len(down[id]) > 0 {
					deliverDown(entries[id])
				}
				for _, f := range up[id] {
					f(t)
				}
				up[id] = nil
			}
			for s.Running() > 0 {
				s.Release()
			}
		}
		held := 0
		for _, e := range entries {
			if e.waiting > 0 {
				t.Fatalf("owner %d still has %d waiting tasks at an idle target", e.id, e.waiting)
			}
			held += e.unspent()
		}
		if held != s.Outstanding() || held != slots {
			t.Fatalf("owners hold %d credits, the agent counts %d, slots %d", held, s.Outstanding(), slots)
		}
	})
}

func BenchmarkContestedSlot(b *testing.B) {
	s := NewAllocator()
	s.SetSlots(8)
	const owners = 40
	for id := range uint64(owners) {
		s.AddOwner(id)
		s.SetDemand(id, 1<<30, int64(id), 0)
	}
	changes := s.Rebalance(nil)
	b.ReportAllocs()
	for b.Loop() {
		for _, c := range changes {
			s.Spend(c.Owner)
			s.Release()
		}
		changes = s.Rebalance(changes[:0])
	}
}
