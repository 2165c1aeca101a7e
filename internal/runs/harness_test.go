package runs

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// fakeTarget keeps the calls that were made.
type fakeTarget struct {
	starts []StartCall
	stops  []StopCall
}

func (f *fakeTarget) Start(c StartCall) { f.starts = append(f.starts, c) }
func (f *fakeTarget) Stop(c StopCall)   { f.stops = append(f.stops, c) }

// fakeOutbox keeps what was sent.
type fakeOutbox struct {
	sent   map[ConnID][]*wire.LeasedToEntry
	closed []ConnID
}

func (f *fakeOutbox) Send(conn ConnID, frame *wire.ToEntry) {
	f.sent[conn] = append(f.sent[conn], frame.Leased)
}
func (f *fakeOutbox) Close(conn ConnID) { f.closed = append(f.closed, conn) }

// world is a table with a target of ten cores and one session, and a clock of its own.
type world struct {
	*WithT
	*Table
	target *fakeTarget
	out    *fakeOutbox
	now    time.Time
	life   Incarnation
	ends   uint64
}

const session ConnID = 1

func newWorld(t *testing.T) *world {
	w := &world{WithT: NewWithT(t), target: &fakeTarget{}, out: &fakeOutbox{sent: map[ConnID][]*wire.LeasedToEntry{}},
		now: time.Unix(1_800_000_000, 0), life: Incarnation{Name: "t-1", StartedMs: 1000}}
	w.Table = New(Options{Log: logr.Discard(), Target: w.target, Outbox: w.out, LeaseLimit: time.Second})
	w.announce(1, false)
	w.list()
	w.Connect(w.now, session)
	return w
}

func (w *world) announce(seq uint64, leaving bool) {
	w.Announce(w.now, Announcement{Incarnation: w.life, Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000},
		ClockMs: 50_000 + w.now.Unix()%1000, Seq: seq, Leaving: leaving})
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.Tick(w.now)
}

// order sends an order for 4 cores.
func (w *world) order(conn ConnID, seq uint64, task Task, run uint64) {
	w.Receive(w.now, conn, &wire.LeasedToAgent{Orders: []wire.Order{{
		Seq: seq, Job: task.Job, Step: task.Step, Index: task.Index, Run: run, Demand: job.Demand{CPUMilli: 4000},
		EstimateMs: 100, SlackMs: 100, GiveUpMs: 300, LimitMs: 3000,
	}}})
}

// list answers a renewal with what the target runs and what has ended.
func (w *world) list(running ...RunID) { w.listEnds(nil, running...) }

func (w *world) listEnds(ended []EndedRun, running ...RunID) {
	call, known := w.NextRenewal(w.now)
	w.Expect(known).To(BeTrue())
	asked := w.now
	w.now = w.now.Add(time.Millisecond)
	w.Renewed(w.now, asked, call, Listing{ClockMs: 60_000, StartedMs: w.life.StartedMs, Running: running, Ended: ended})
}

func (w *world) end(run RunID, how End) EndedRun {
	w.ends++
	return EndedRun{Seq: w.ends, Run: run, End: how}
}

// accepted answers the n-th start.
func (w *world) answer(n int, a Answer) { w.Started(w.now, w.target.starts[n], a, 60_000) }

// neverAnswered leaves the first start and its repetitions without an answer.
func (w *world) neverAnswered() {
	for n := range 1 + mostRepeats {
		w.Expect(w.target.stops).To(BeEmpty())
		w.answer(n, NoAnswer)
	}
}

// loseRenewals lets some renewals in a row fail, each after a time.
func (w *world) loseRenewals(times int, after time.Duration, why RenewFailure) {
	for range times {
		call, _ := w.NextRenewal(w.now)
		w.now = w.now.Add(after)
		w.RenewFailed(w.now, call, why)
	}
}

// outcomes returns what the session was told, by order.
func (w *world) outcomes(conn ConnID) map[uint64]wire.RunOutcome {
	w.Flush(w.now)
	all := map[uint64]wire.RunOutcome{}
	for _, f := range w.out.sent[conn] {
		for _, o := range f.Outcomes {
			w.Expect(all).NotTo(HaveKey(o.Seq), "an order has one outcome")
			all[o.Seq] = o
		}
	}
	return all
}

func task(id string, index int) Task { return Task{Job: id, Index: index} }
