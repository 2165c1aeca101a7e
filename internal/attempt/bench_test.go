package attempt_test

import (
	"runtime"
	"testing"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// sink is an Outbox that keeps only what the benchmark must answer.
type sink struct {
	running []attempt.Key
	granted uint64
}

func (s *sink) Close(attempt.ConnID)            {}
func (s *sink) Abort(attempt.Key)               {}
func (s *sink) Run(k attempt.Key, _ wire.Start) { s.running = append(s.running, k) }
func (s *sink) Send(_ attempt.ConnID, f *wire.ToEntry) {
	if f.Credits != nil {
		s.granted = f.Credits.Total
	}
}

// BenchmarkAttempt takes one attempt after the other from start to settled, with
// a flush after each step as on a target that is lightly loaded.
func BenchmarkAttempt(b *testing.B) {
	out := &sink{}
	table := newTable(out, attempt.Grants, 8)
	table.Connect(epoch, 1, &wire.Welcome{Incarnation: ownerA})
	table.Flush()
	b.ReportAllocs()
	for seq := uint64(1); b.Loop(); seq++ {
		f := &wire.ToAgent{Starts: []wire.Start{start(seq)}, Settled: seq}
		if seq > 1 {
			f.Acks = []uint64{seq - 1}
		}
		if err := table.Receive(epoch, 1, f); err != nil {
			b.Fatal(err)
		}
		table.Flush()
		table.CompleteCall(epoch, out.running[0], succeeded)
		out.running = out.running[:0]
		table.Flush()
	}
}

// BenchmarkRemembered reports the memory of an attempt that has ended and is not
// acknowledged (report), and of one that is but not yet settled (tombstone).
func BenchmarkRemembered(b *testing.B) {
	for b.Loop() {
		const count = 1 << 16
		out := &sink{}
		table := newTable(out, attempt.Grants, 8)
		table.Connect(epoch, 1, &wire.Welcome{Incarnation: ownerA})
		table.Flush()
		acks := make([]uint64, 0, count)
		before := heap()
		for seq := uint64(1); seq <= count; seq++ {
			if err := table.Receive(epoch, 1, &wire.ToAgent{Starts: []wire.Start{start(seq)}}); err != nil {
				b.Fatal(err)
			}
			table.CompleteCall(epoch, out.running[0], attempt.Outcome{State: wire.Succeeded})
			out.running = out.running[:0]
			acks = append(acks, seq)
			table.Flush()
		}
		b.ReportMetric(float64(heap()-before)/count, "B/report")
		if err := table.Receive(epoch, 1, &wire.ToAgent{Acks: acks}); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(heap()-before)/count, "B/tombstone")
		runtime.KeepAlive(table)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
