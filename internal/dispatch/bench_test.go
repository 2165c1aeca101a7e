package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// frameSink is an Outbox that keeps the orders of the last frame to each agent.
type frameSink struct{ orders map[ConnID][]wire.Order }

func (s *frameSink) Send(id ConnID, f *wire.ToAgent) { s.orders[id] = f.Leased.Orders }
func (s *frameSink) Close(ConnID)                    {}

// BenchmarkJob measures the time that the control state spends on a job of eight tasks from
// its submission to its answer, by the number of agents that the entry knows. Each agent
// with orders reports its load with their outcomes.
func BenchmarkJob(b *testing.B) {
	for _, agents := range []int{10, 60, 200, 760} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			out := &frameSink{orders: map[ConnID][]wire.Order{}}
			c := New(Options{Log: logr.Discard(), Outbox: out, LostRunLimit: 1200 * time.Millisecond, Now: func() time.Time { return now }})
			capacity := job.Demand{CPUMilli: 64_000, MemoryMB: 256_000}
			for i := range agents {
				id := ConnID(i + 1)
				c.Connect(now, id, &wire.Hello{Worker: fmt.Sprint(i)}, wire.DescribedFeatures)
				c.Receive(now, id, &wire.LeasedToEntry{Target: &wire.LeasedTarget{Name: fmt.Sprint("t", i), Service: "s", Capacity: capacity},
					Load: &wire.Load{Free: capacity, Speed: 1}})
			}
			step := Step{Count: 8, Demand: job.Demand{CPUMilli: 6000, MemoryMB: 64}, Estimate: 60 * time.Millisecond}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(5 * time.Millisecond)
				c.Submit(now, &Job{ID: fmt.Sprintf("%016x", i), Queue: queue, Deadline: now.Add(2 * time.Second), Steps: []Step{step}}, &Caller{}, func(Answer) {})
				c.Flush()
				for id, orders := range out.orders {
					outcomes := make([]wire.RunOutcome, len(orders))
					for k := range orders {
						outcomes[k] = wire.RunOutcome{Seq: orders[k].Seq, End: wire.EndDone, RunMs: 60}
					}
					c.Receive(now, id, &wire.LeasedToEntry{Outcomes: outcomes, Load: &wire.Load{Free: capacity, Speed: 1, LastSeq: 1 << 40}})
				}
				clear(out.orders)
				if i%64 == 0 {
					c.Tick(now)
				}
			}
		})
	}
}
