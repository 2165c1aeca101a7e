package owner

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

var benchKey = job.Key("0123456789abcdef")

// echoOutbox is an Outbox that collects a report of success for every start. deliverReports
// hands the reports to the core.
type echoOutbox struct {
	frames map[ConnID]*wire.ToEntry
	starts int
}

func (e *echoOutbox) Close(ConnID) {}

func (e *echoOutbox) Send(conn ConnID, f *wire.ToAgent) {
	for i := range f.Starts {
		reply := e.frames[conn]
		if reply == nil {
			reply = &wire.ToEntry{}
			e.frames[conn] = reply
		}
		reply.Reports = append(reply.Reports, wire.Report{Seq: f.Starts[i].Seq, State: wire.Succeeded, RunMs: 100})
		e.starts++
	}
}

func newBenchCore(agents int) (*Core, *echoOutbox) {
	out := &echoOutbox{frames: map[ConnID]*wire.ToEntry{}}
	c := New(Options{
		Owner:  job.Owner{Incarnation: 7, Addr: netip.MustParseAddrPort("127.0.0.1:7000")},
		Outbox: out, Log: logr.Discard(),
	})
	now := time.UnixMilli(1_800_000_000_000)
	c.Tick(now)
	for i := range agents {
		c.Connect(now, ConnID(i+1), &wire.Hello{
			Version: wire.Version, Incarnation: job.Incarnation(i + 1), Worker: fmt.Sprintf("worker-%d", i),
			Target: wire.Target{Name: fmt.Sprintf("target-%d", i), Slots: 8, Speed: 1 + float64(i%3)},
		})
		_ = c.Receive(now, ConnID(i+1), &wire.ToEntry{Credits: &wire.Credits{Total: 8, Owners: 2}})
	}
	return c, out
}

// deliverReports delivers the collected reports and grants the spent credits again.
func (e *echoOutbox) deliverReports(c *Core, now time.Time, granted map[ConnID]uint64) {
	for conn, f := range e.frames {
		granted[conn] += uint64(len(f.Reports))
		f.Credits = &wire.Credits{Total: 8 + granted[conn], Owners: 2}
		delete(e.frames, conn)
		_ = c.Receive(now, conn, f)
	}
}

// BenchmarkTaskStart measures the owner's processor time for one task, from the acceptance
// of its job to the answer, by the number of agents. A job has 14 tasks, the mean of the
// users' mix.
func BenchmarkTaskStart(b *testing.B) {
	for _, agents := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			c, out := newBenchCore(agents)
			now := time.UnixMilli(1_800_000_000_000)
			granted := map[ConnID]uint64{}
			token := c.options.Owner.Token(benchKey)
			b.ResetTimer()
			for i := 0; out.starts < b.N; i++ {
				now = now.Add(time.Millisecond)
				id, _ := job.NewID(token, now.Add(5*time.Second), fmt.Sprintf("j%d", i), benchKey)
				s := &job.Submission{ID: id, Team: "team", Class: "class", Tasks: make([]job.Task, 14)}
				_, _ = c.Submit(now, s, func(job.Answer) {})
				c.Flush()
				for len(out.frames) > 0 {
					out.deliverReports(c, now, granted)
					c.Flush()
				}
				if i%10 == 0 {
					c.Tick(now)
				}
			}
		})
	}
}

// BenchmarkIDHeld measures the memory of one id that has its answer and is held until its
// retention is over.
func BenchmarkIDHeld(b *testing.B) {
	c, _ := newBenchCore(1)
	token := c.options.Owner.Token(benchKey)
	now := time.UnixMilli(1_800_000_000_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		id, _ := job.NewID(token, now.Add(5*time.Second), fmt.Sprintf("j%d", i), benchKey)
		s := &job.Submission{ID: id, Team: "team", Class: "class", Tasks: make([]job.Task, 14)}
		_, _ = c.Submit(now, s, func(job.Answer) {})
		_ = c.Cancel(now, id)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/id")
	runtime.KeepAlive(c)
}
