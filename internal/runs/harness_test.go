package runs

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// fakeTarget records the calls made to it.
type fakeTarget struct {
	starts   []StartCall
	stops    []StopCall
	renewals []RenewCall
}

func (f *fakeTarget) Start(c StartCall) { f.starts = append(f.starts, c) }
func (f *fakeTarget) Stop(c StopCall)   { f.stops = append(f.stops, c) }
func (f *fakeTarget) Renew(c RenewCall) { f.renewals = append(f.renewals, c) }
func (f *fakeTarget) Ended(uint64)      {}

// fakeOutbox records the frames sent and the sessions closed.
type fakeOutbox struct {
	sent   map[ConnID][]*wire.LeasedToEntry
	closed []ConnID
	wanted map[ConnID]time.Time // by session; without an entry, it is wanted until now
}

func (f *fakeOutbox) Send(conn ConnID, frame *wire.ToEntry) {
	f.sent[conn] = append(f.sent[conn], frame.Leased)
}
func (f *fakeOutbox) Close(conn ConnID) { f.closed = append(f.closed, conn) }

func (f *fakeOutbox) WantedAt(conn ConnID, now time.Time) time.Time {
	if at, known := f.wanted[conn]; known {
		return at
	}
	return now
}

// testLease is longer than NewTerms allows, for the tests that don't concern the end of a lease.
var testLease = lease.Terms{Limit: time.Second, RunLimit: 2 * time.Second}

// harness is a table with a target of ten cores, one session and a clock of its own.
type harness struct {
	*WithT
	*Table
	target      *fakeTarget
	outbox      *fakeOutbox
	now         time.Time
	incarnation Incarnation
	lastEnd     uint64
}

const testConn ConnID = 1

func newHarness(t *testing.T) *harness {
	h := &harness{WithT: NewWithT(t), target: &fakeTarget{}, outbox: &fakeOutbox{sent: map[ConnID][]*wire.LeasedToEntry{}, wanted: map[ConnID]time.Time{}},
		now: time.Unix(1_800_000_000, 0), incarnation: Incarnation{Name: "t-1", StartedMs: 1000}}
	h.Table = New(Options{Log: logr.Discard(), Target: h.target, Outbox: h.outbox, Lease: testLease})
	h.announce(1, false)
	h.renewWith()
	h.Connect(h.now, testConn, wire.DescribedFeatures)
	return h
}

func (h *harness) announce(seq uint64, leaving bool) {
	h.Announce(h.now, Announcement{Incarnation: h.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000},
		ClockMs: h.clockMs(), Seq: seq, Leaving: leaving})
	h.answerProbes(h.clockMs())
}

// answerProbes answers the probes for the present incarnation, and with 421 those for others.
func (h *harness) answerProbes(clockMs int64) {
	for len(h.target.renewals) > 0 {
		c := h.target.renewals[0]
		h.target.renewals = h.target.renewals[1:]
		switch {
		case !c.Probe:
		case c.Incarnation.Name == h.incarnation.Name:
			h.Renewed(h.now, h.now, c, Listing{ClockMs: clockMs, StartedMs: h.incarnation.StartedMs})
		default:
			h.RenewFailed(h.now, c, Replaced)
		}
	}
}

// clockMs returns the clock of the target.
func (h *harness) clockMs() int64 {
	return 60_000 + h.now.Sub(time.Unix(1_800_000_000, 0)).Milliseconds()
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.Tick(h.now)
}

// Receive passes on a frame of an entry that has placed its orders by the newest description of the target.
func (h *harness) Receive(now time.Time, conn ConnID, f *wire.LeasedToAgent) {
	for i := range f.Orders {
		f.Orders[i].Description = h.description
	}
	for i := range f.Reservations {
		f.Reservations[i].Description = h.description
	}
	h.Table.Receive(now, conn, f)
}

// sendOrder sends an order for 4 cores.
func (h *harness) sendOrder(conn ConnID, seq uint64, task Task, run uint64) {
	h.Receive(h.now, conn, &wire.LeasedToAgent{Orders: []wire.Order{{
		Seq: seq, Job: task.Job, Step: task.Step, Index: task.Index, RunNumber: run, Demand: job.Demand{CPUMilli: 4000},
		EstimateMs: 100, SlackMs: 100, MaxWaitMs: maxWait.Milliseconds(), TimeoutMs: 3000,
	}}})
}

// renewWith answers a renewal with the runs in progress, and renewWithEnds also with ended ones.
func (h *harness) renewWith(running ...RunID) { h.renewWithEnds(nil, running...) }

func (h *harness) renewWithEnds(ended []EndedRun, running ...RunID) {
	call, known := h.NextRenewal(h.now)
	h.Expect(known).To(BeTrue())
	calledAt := h.now
	h.now = h.now.Add(time.Millisecond)
	h.Renewed(h.now, calledAt, call, Listing{ClockMs: h.clockMs(), StartedMs: h.incarnation.StartedMs, Running: running, Ended: ended})
}

func (h *harness) nextEnd(run RunID, end End) EndedRun {
	h.lastEnd++
	return EndedRun{Seq: h.lastEnd, Run: run, End: end}
}

// answerStart answers the n-th start.
func (h *harness) answerStart(n int, a Answer) { h.Started(h.now, h.target.starts[n], a, h.clockMs()) }

// maxWait is how long an order of sendOrder may be queued.
const maxWait = 300 * time.Millisecond

// loseStartAnswers leaves the first start and its repetitions without an answer, until its task can't be in
// time any more.
func (h *harness) loseStartAnswers() {
	h.now = h.now.Add(maxWait)
	for n := range 1 + minStartRetries {
		h.Expect(h.target.stops).To(BeEmpty())
		h.answerStart(n, NoAnswer)
	}
}

// loseRenewals makes a number of consecutive renewals fail, each after the given time.
func (h *harness) loseRenewals(times int, after time.Duration, failure RenewFailure) {
	for range times {
		call, _ := h.NextRenewal(h.now)
		h.now = h.now.Add(after)
		h.RenewFailed(h.now, call, failure)
	}
}

// outcomes returns the outcomes that a session was sent, by the sequence number of the order.
func (h *harness) outcomes(conn ConnID) map[uint64]wire.RunOutcome {
	h.Flush(h.now)
	all := map[uint64]wire.RunOutcome{}
	for _, f := range h.outbox.sent[conn] {
		for _, o := range f.Outcomes {
			h.Expect(all).NotTo(HaveKey(o.Seq), "an order has one outcome")
			all[o.Seq] = o
		}
	}
	return all
}

func task(id string, index int) Task { return Task{Job: id, Index: index} }
