package attempt_test

import (
	"runtime"
	"testing"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// benchOutbox is an Outbox that keeps only the calls and the credits that the benchmarks
// need.
type benchOutbox struct {
	running []attempt.Key
	granted uint64
}

func (s *benchOutbox) Close(attempt.ConnID)            {}
func (s *benchOutbox) Abort(attempt.Key)               {}
func (s *benchOutbox) Run(k attempt.Key, _ wire.Start) { s.running = append(s.running, k) }
func (s *benchOutbox) Send(_ attempt.ConnID, f *wire.ToEntry) {
	if f.Credits != nil {
		s.granted = f.Credits.Total
	}
}

// BenchmarkAttempt takes one attempt after another from start to settled, with a flush
// after each step as on a lightly loaded target.
func BenchmarkAttempt(b *testing.B) {
	out := &benchOutbox{}
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

// BenchmarkRemembered reports the memory per finished attempt in bytes: B/report while it
// is unacknowledged, B/tombstone while it is acknowledged but not settled.
func BenchmarkRemembered(b *testing.B) {
	for b.Loop() {
		const count = 1 << 16
		out := &benchOutbox{}
		table := newTable(out, attempt.Grants, 8)
		table.Connect(epoch, 1, &wire.Welcome{Incarnation: ownerA})
		table.Flush()
		acks := make([]uint64, 0, count)
		before := heapBytes()
		for seq := uint64(1); seq <= count; seq++ {
			if err := table.Receive(epoch, 1, &wire.ToAgent{Starts: []wire.Start{start(seq)}}); err != nil {
				b.Fatal(err)
			}
			table.CompleteCall(epoch, out.running[0], attempt.Outcome{State: wire.Succeeded})
			out.running = out.running[:0]
			acks = append(acks, seq)
			table.Flush()
		}
		b.ReportMetric(float64(heapBytes()-before)/count, "B/report")
		if err := table.Receive(epoch, 1, &wire.ToAgent{Acks: acks}); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(heapBytes()-before)/count, "B/tombstone")
		runtime.KeepAlive(table)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
