package runs

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// BenchmarkOrder measures the time that the control state takes for an order from its receipt to
// its outcome, with ten other tasks running and a load report for each order.
func BenchmarkOrder(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	target := &fakeTarget{}
	t := New(Options{Log: logr.Discard(), Target: target, Outbox: discard{}, Lease: testLease})
	t.Announce(now, Announcement{Incarnation: Incarnation{Name: "t"}, Service: "s", Capacity: job.Demand{CPUMilli: 64_000, MemoryMB: 1 << 20}, ClockMs: 5000, Seq: 1})
	call, _ := t.NextRenewal(now)
	t.Renewed(now, now, call, Listing{ClockMs: 5000})
	t.Connect(now, 1, wire.DescribedFeatures)
	order := func(i int) {
		t.Receive(now, 1, &wire.LeasedToAgent{Orders: []wire.Order{{Seq: uint64(i + 1), Job: fmt.Sprint(i), RunNumber: 1,
			Demand: job.Demand{CPUMilli: 5000}, EstimateMs: 60, SlackMs: 100, MaxWaitMs: 200, TimeoutMs: 60_000}}})
	}
	for i := range 10 {
		order(i)
	}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(5 * time.Millisecond)
		order(i + 10)
		for _, c := range target.starts {
			t.Started(now, c, Accepted, 0)
		}
		target.starts = target.starts[:0]
		call, _ := t.NextRenewal(now)
		ended := []EndedRun{{Seq: uint64(i + 1), Run: RunID{Task{Job: fmt.Sprint(i)}, 1}, End: Done}}
		running := make([]RunID, 0, 10)
		for k := range 10 {
			running = append(running, RunID{Task{Job: fmt.Sprint(i + 1 + k)}, 1})
		}
		t.Renewed(now, now, call, Listing{Running: running, Ended: ended})
		t.Flush(now)
	}
}

type discard struct{}

func (discard) Send(ConnID, *wire.ToEntry) {}
func (discard) Close(ConnID)               {}

func (discard) WantedAt(_ ConnID, now time.Time) time.Time { return now }
