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

// entry is an owner as the protocol wants it: it spends credits while it has
// work and hands back what is recalled as far as it is unspent.
type entry struct {
	id       uint64
	got      uint64 // credits granted
	used     uint64
	returned uint64
	waiting  int
	rankMs   int64
	started  int
}

func (e *entry) unspent() int { return int(e.got - e.used - e.returned) }

type fleet struct {
	s       *Allocator
	entries map[uint64]*entry
}

func newFleet(slots int, ids ...uint64) *fleet {
	f := &fleet{NewAllocator(), map[uint64]*entry{}}
	f.s.SetSlots(slots)
	for _, id := range ids {
		f.s.AddOwner(id)
		f.entries[id] = &entry{id: id}
	}
	return f
}

// settle passes changes and demands to and fro until nothing moves.
func (f *fleet) settle() {
	for range 100 {
		changes := f.s.Rebalance(nil)
		for _, c := range changes {
			e := f.entries[c.Owner]
			e.got = c.Total
			for e.waiting > 0 && e.unspent() > 0 {
				e.used++
				e.waiting--
				e.started++
				Expect(f.s.Spend(e.id)).To(BeTrue())
			}
			e.returned += uint64(min(c.Recall, e.unspent()))
		}
		for _, e := range f.entries {
			Expect(f.s.SetDemand(e.id, e.waiting, e.rankMs, e.returned)).To(BeTrue())
		}
		if len(changes) == 0 {
			return
		}
	}
	Fail("credits go to and fro without end")
}

func (f *fleet) want(id uint64, waiting int, rankMs int64) {
	e := f.entries[id]
	e.waiting, e.rankMs = waiting, rankMs
	f.s.SetDemand(id, waiting, rankMs, e.returned)
}

var _ = Describe("sharing the slots of a target", func() {
	// A system at rest gets one request. If its entry first had to ask for a slot,
	// each answer would be later by a round trip.
	It("hands idle slots out before anyone asks", func() {
		f := newFleet(8, 1, 2, 3)
		f.settle()
		for _, e := range f.entries {
			Expect(e.unspent()).To(BeNumerically(">=", 2))
		}
		Expect(f.s.Outstanding()).To(Equal(8))
	})

	// One entry has a queue and another has none but holds half of the slots.
	// Callers of the first wait for slots that stand idle.
	It("gives every slot to the one entry that has work", func() {
		f := newFleet(8, 1, 2)
		f.settle()
		f.want(1, 20, 100)
		f.settle()
		Expect(f.entries[1].started).To(Equal(8))
		Expect(f.entries[2].unspent()).To(BeZero())
	})

	// The single queues of several entries must act as one: the job that ranks
	// lowest anywhere goes first, or a check waits behind a large job only
	// because the balancer took it to another entry.
	It("gives a freed slot to the lowest rank", func() {
		f := newFleet(1, 1, 2, 3)
		f.want(1, 1, 300)
		f.want(2, 1, 100)
		f.want(3, 1, 200)
		f.settle()
		Expect(f.entries[2].started).To(Equal(1))
		f.s.Release()
		f.settle()
		Expect(f.entries[3].started).To(Equal(1))
	})

	// An entry's clock lags by an hour, so that all its jobs look an hour old. By
	// rank alone the other entries would get no slot while it has a burst, and
	// their callers' jobs all miss their deadlines.
	It("gives a starved entry an eighth of the contested slots", func() {
		f := newFleet(8, 1, 2)
		f.want(1, 1000, -3_600_000)
		f.want(2, 1000, 500)
		for range 160 {
			f.settle()
			f.s.Release()
		}
		Expect(f.entries[2].started).To(BeNumerically("~", 160/StarvationGuardInterval, 3))
		Expect(f.entries[1].started).To(BeNumerically(">", 130))
	})

	// An entry dies with credits in hand. Were they not taken back, the target
	// would run half empty for good and nobody would see why.
	It("takes back what a dead entry held", func() {
		f := newFleet(8, 1, 2)
		f.settle()
		f.s.RemoveOwner(1)
		delete(f.entries, 1)
		f.want(2, 8, 0)
		f.settle()
		Expect(f.entries[2].started).To(Equal(8))
	})

	// A leaving target must not get new work after a few seconds: credits in the
	// hands of idle entries would let them send it at any later time.
	It("calls every credit back from a leaving target", func() {
		f := newFleet(8, 1, 2)
		f.settle()
		f.s.SetSlots(0)
		f.settle()
		Expect(f.s.Outstanding()).To(BeZero())
		f.want(1, 5, 0)
		f.settle()
		Expect(f.entries[1].started).To(BeZero())
	})

	// At low load one entry has used up its credits on the fast target while
	// another sits on idle ones. Without a recall the first goes on to slower
	// targets although the fast one is free.
	It("evens out idle credits", func() {
		f := newFleet(8, 1, 2)
		f.settle()
		f.want(1, 4, 0)
		f.settle()
		Expect(f.entries[1].unspent()).To(BeNumerically(">=", 1))
		Expect(f.entries[2].unspent()).To(BeNumerically(">=", 1))
	})

	// An entry that owes a return goes silent while tasks of its own wait. Credits
	// called back for it from the others can't be given to it and go back to where
	// they came from, a message each round trip until the session is found silent.
	It("leaves idle credits alone while a silent entry owes a return", func() {
		s := NewAllocator()
		s.SetSlots(2)
		s.AddOwner(1)
		s.AddOwner(2)
		s.Rebalance(nil)
		Expect(s.SetDemand(2, 3, 0, 0)).To(BeTrue())
		s.Rebalance(nil)                             // owner 1 is asked for its credit and does not hear it
		Expect(s.SetDemand(1, 3, 0, 0)).To(BeTrue()) // crossed the recall
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

	It("refuses a return or a start beyond what an owner holds", func() {
		s := NewAllocator()
		s.AddOwner(1)
		Expect(s.Spend(1)).To(BeFalse())
		Expect(s.Spend(2)).To(BeFalse())
		Expect(s.SetDemand(1, 0, 0, 1)).To(BeFalse())
	})
})

// Frames between agent and entry are under way while both go on deciding. If the
// two counts of credits ever drifted apart, a target would be overrun, or a slot
// would be lost for as long as the connection lives. Here messages are delayed at
// random, in order on each connection, as on a real one.
func TestBothSidesCountAlike(t *testing.T) {
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
					t.Fatalf("the agent disowns a return of owner %d", e.id)
				}
			})
		}
		spend := func(e *entry) {
			for e.waiting > 0 && e.unspent() > 0 {
				e.used++
				e.waiting--
				up[e.id] = append(up[e.id], func(t *rapid.T) {
					if !s.Spend(e.id) {
						t.Fatalf("the agent disowns a start of owner %d", e.id)
					}
				})
			}
			sendDemand(e)
		}
		deliverDown := func(e *entry) {
			c := down[e.id][0]
			down[e.id] = down[e.id][1:]
			e.got = c.Total
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
					t.Fatalf("%d running and out at %d slots", n, slots)
				}
			},
		})
		// Let everything under way arrive, all tasks run, and see that no slot is lost.
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
				t.Fatalf("owner %d still waits for %d at an idle target", e.id, e.waiting)
			}
			held += e.unspent()
		}
		if held != s.Outstanding() || held != slots {
			t.Fatalf("owners hold %d, the agent counts %d, slots %d", held, s.Outstanding(), slots)
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
