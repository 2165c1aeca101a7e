package attempt_test

import (
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

func TestAttempt(t *testing.T) {
	RegisterFailHandler(Fail)
	invariant.SetCrashOnBreach(true)
	RunSpecs(t, "attempt")
}

// recordingOutbox is an Outbox that records the table's calls.
type recordingOutbox struct {
	frames    map[attempt.ConnID][]*wire.ToEntry
	closed    []attempt.ConnID
	runCounts map[attempt.Key]int
	runOrder  []attempt.Key
	aborted   []attempt.Key
}

func newRecordingOutbox() *recordingOutbox {
	return &recordingOutbox{frames: map[attempt.ConnID][]*wire.ToEntry{}, runCounts: map[attempt.Key]int{}}
}

func (r *recordingOutbox) Send(c attempt.ConnID, f *wire.ToEntry) {
	r.frames[c] = append(r.frames[c], f)
}
func (r *recordingOutbox) Close(c attempt.ConnID) { r.closed = append(r.closed, c) }
func (r *recordingOutbox) Abort(k attempt.Key)    { r.aborted = append(r.aborted, k) }
func (r *recordingOutbox) Run(k attempt.Key, _ wire.Start) {
	r.runCounts[k]++
	r.runOrder = append(r.runOrder, k)
}

// lastReport returns the last report of an attempt on a connection, or the zero Report.
func (r *recordingOutbox) lastReport(c attempt.ConnID, seq uint64) wire.Report {
	var last wire.Report
	for _, f := range r.frames[c] {
		for _, report := range f.Reports {
			if report.Seq == seq {
				last = report
			}
		}
	}
	return last
}

// credits returns the numbers of credits granted and recalled on a connection.
func (r *recordingOutbox) credits(c attempt.ConnID) (total uint64, recalled int) {
	for _, f := range r.frames[c] {
		if f.Credits != nil {
			total = f.Credits.Total
			recalled += f.Credits.Recall
		}
	}
	return total, recalled
}

const (
	ownerA job.Incarnation = 0xa
	ownerB job.Incarnation = 0xb
)

var epoch = time.UnixMilli(1_000_000)

func start(seq uint64) wire.Start {
	return wire.Start{Seq: seq, Job: "j", DeadlineMs: epoch.Add(10 * time.Second).UnixMilli()}
}

func starts(seqs ...uint64) *wire.ToAgent {
	f := &wire.ToAgent{}
	for _, seq := range seqs {
		f.Starts = append(f.Starts, start(seq))
	}
	return f
}

func newTable(out attempt.Outbox, policy attempt.Policy, slots int) *attempt.Table {
	t := attempt.New(attempt.Options{Incarnation: 1, Log: logr.Discard(), Outbox: out, Policy: policy})
	t.SetTarget(epoch, wire.Target{Name: "t", Slots: slots, Speed: 1, Capacity: job.Demand{CPUMilli: 1000}})
	return t
}

var succeeded = attempt.Outcome{State: wire.Succeeded, Result: []byte("r")}

var _ = Describe("an agent's attempts", func() {
	var (
		out   *recordingOutbox
		table *attempt.Table
	)
	connect := func(conn attempt.ConnID, owner job.Incarnation) {
		table.Connect(epoch, conn, &wire.Welcome{Incarnation: owner})
		table.Flush()
	}
	receive := func(conn attempt.ConnID, f *wire.ToAgent) {
		GinkgoHelper()
		Expect(table.Receive(epoch, conn, f)).To(Succeed())
		table.Flush()
	}
	BeforeEach(func() {
		out = newRecordingOutbox()
		table = newTable(out, attempt.Grants, 4)
	})

	// A middlebox drops a connection from its tables; the entry opens a new one, queries
	// its attempts and moves those that the agent never received. Minutes later the old
	// connection delivers the original starts, and tasks would run twice.
	It("ignores a replaced connection and starts that it has refused", func() {
		connect(1, ownerA)
		connect(2, ownerA)
		Expect(out.closed).To(Equal([]attempt.ConnID{1}))
		receive(2, &wire.ToAgent{Queries: []uint64{7, 5}})
		Expect(out.lastReport(2, 5)).To(Equal(wire.Report{Seq: 5, State: wire.NotRun, Reason: wire.ReasonNeverSeen}))
		Expect(out.lastReport(2, 7).State).To(Equal(wire.NotRun))

		receive(1, starts(5, 7))
		receive(2, starts(5, 7, 6)) // 6 arrives after 7: out of order, so it is refused too
		Expect(out.runCounts).To(BeEmpty())
		Expect(out.lastReport(2, 6).State).To(Equal(wire.NotRun))
		receive(2, starts(8))
		receive(2, starts(8))
		Expect(out.runCounts).To(Equal(map[attempt.Key]int{{Owner: ownerA, Seq: 8}: 1}))
	})

	// The connection breaks while a task runs, and the entry reconnects before or after
	// the retention of reports ends. If the agent reported a forgotten attempt as not
	// run, the entry would run the task a second time.
	It("retains final reports for a while and never reports a forgotten attempt as not run", func() {
		connect(1, ownerA)
		receive(1, starts(1, 2))
		table.Disconnect(epoch, 1)
		table.CompleteCall(epoch, attempt.Key{Owner: ownerA, Seq: 1}, succeeded)
		connect(2, ownerA)
		receive(2, &wire.ToAgent{Queries: []uint64{1}})
		Expect(out.lastReport(2, 1).Result).To(Equal([]byte("r")))
		Expect(out.frames[2]).To(HaveLen(1), "the result is sent once per connection")
		table.Disconnect(epoch, 2)

		late := epoch.Add(time.Minute)
		table.Tick(late)
		Expect(out.aborted).To(ConsistOf(attempt.Key{Owner: ownerA, Seq: 2}))
		table.CompleteCall(late, attempt.Key{Owner: ownerA, Seq: 2}, attempt.Outcome{State: wire.Unknown})
		table.Tick(late)
		Expect(table.Status().Owners).To(BeEmpty())
		connect(3, ownerA)
		receive(3, &wire.ToAgent{Queries: []uint64{1, 2, 3}})
		Expect(out.lastReport(3, 1).State).To(Equal(wire.Unknown))
		Expect(out.lastReport(3, 2).State).To(Equal(wire.Unknown))
		Expect(out.lastReport(3, 3).State).To(Equal(wire.NotRun))
	})

	// A caller cancels many jobs at once; some of their tasks run, and some of their starts
	// were lost. Slots that are not freed would stay idle while other tasks wait.
	It("aborts running attempts and refuses unseen ones when many are cancelled", func() {
		connect(1, ownerA)
		receive(1, starts(1, 2, 3, 4))
		receive(1, &wire.ToAgent{Cancels: []uint64{1, 2, 3, 4, 5}})
		Expect(out.aborted).To(HaveLen(4))
		for seq := uint64(1); seq <= 4; seq++ {
			table.CompleteCall(epoch, attempt.Key{Owner: ownerA, Seq: seq}, attempt.Outcome{State: wire.Unknown})
		}
		table.Flush()
		Expect(out.lastReport(1, 1).State).To(Equal(wire.Unknown))
		Expect(out.lastReport(1, 5).Reason).To(Equal(wire.ReasonCancelled))
		total, _ := out.credits(1)
		Expect(total).To(BeEquivalentTo(8))
	})

	// An entry freezes while it holds credits. Until the credits are released, their slots
	// stay idle. If it could still spend them after it resumes, the target would get more
	// tasks than it has slots.
	It("grants a frozen owner's credits to others and refuses its starts when it resumes", func() {
		connect(1, ownerA)
		connect(2, ownerB)
		a, _ := out.credits(1)
		Expect(a).To(BeEquivalentTo(4))
		receive(2, &wire.ToAgent{Demand: &wire.Demand{Waiting: 4, RankMs: 10}})
		_, recalled := out.credits(1)
		Expect(recalled).To(Equal(4))
		table.Disconnect(epoch, 1) // the session timed out
		table.Flush()
		b, _ := out.credits(2)
		Expect(b).To(BeEquivalentTo(4))
		receive(1, starts(1))
		connect(3, ownerA)
		err := table.Receive(epoch, 3, starts(1))
		Expect(err).To(MatchError(&attempt.ProtocolError{Owner: ownerA, Violation: attempt.StartWithoutCredit, Seq: 1}))
		table.Flush()
		receive(3, starts(1)) // was in transit when the connection was closed
		Expect(out.runCounts).To(BeEmpty())
	})

	// A host is about to be replaced, or its target shuts down. Tasks that still begin
	// there would be interrupted before they finish.
	It("grants no credits and recalls all unspent ones while the target leaves", func() {
		connect(1, ownerA)
		receive(1, starts(1))
		table.Drain(epoch)
		table.Flush()
		total, recalled := out.credits(1)
		Expect(total).To(BeEquivalentTo(4))
		Expect(recalled).To(Equal(3))
		receive(1, starts(2)) // crossed the recall
		Expect(out.runCounts).To(HaveLen(2))
		Expect(table.Receive(epoch.Add(2*time.Second), 1, starts(3))).To(Succeed())
		table.Flush()
		Expect(out.lastReport(1, 3).Reason).To(Equal(wire.ReasonLeaving))
		for _, seq := range []uint64{1, 2} {
			table.CompleteCall(epoch, attempt.Key{Owner: ownerA, Seq: seq}, succeeded)
		}
		receive(1, &wire.ToAgent{Demand: &wire.Demand{Returned: 1}})
		Expect(table.Idle()).To(BeFalse()) // the reports are not acknowledged
		receive(1, &wire.ToAgent{Acks: []uint64{1, 2, 3}})
		Expect(table.Idle()).To(BeTrue())
	})

	// A frame waits in a queue until the deadline has passed, or the worker lacks the
	// resources to run a task beside the running ones. The task must not begin, and its
	// owner must get a report at once.
	It("refuses starts that are past their deadline or exceed the free resources", func() {
		connect(1, ownerA)
		late, big, more := start(1), start(2), start(3)
		late.DeadlineMs = epoch.UnixMilli()
		big.Demand.CPUMilli, more.Demand.CPUMilli = 800, 300
		receive(1, &wire.ToAgent{Starts: []wire.Start{late, big, more}})
		Expect(out.lastReport(1, 1).Reason).To(Equal(wire.ReasonDeadlinePast))
		Expect(out.lastReport(1, 3).Reason).To(Equal(wire.ReasonTargetUnavailable))
		Expect(out.runOrder).To(Equal([]attempt.Key{{Owner: ownerA, Seq: 2}}))
	})

	// Under the push policy starts queue up when no slot is free. Those that were
	// cancelled or expired, or whose owner disconnected, must not begin.
	It("queues starts in order under push and rejects those no longer needed", func() {
		table = newTable(out, attempt.Push, 1)
		connect(1, ownerA)
		connect(2, ownerB)
		receive(1, starts(1, 2, 3))
		receive(2, starts(1))
		receive(1, &wire.ToAgent{Cancels: []uint64{2}})
		table.Disconnect(epoch, 2)
		table.CompleteCall(epoch, attempt.Key{Owner: ownerA, Seq: 1}, succeeded)
		table.CompleteCall(epoch, attempt.Key{Owner: ownerA, Seq: 3}, succeeded)
		table.Flush()
		Expect(out.runOrder).To(Equal([]attempt.Key{{Owner: ownerA, Seq: 1}, {Owner: ownerA, Seq: 3}}))
		Expect(out.lastReport(1, 2).State).To(Equal(wire.NotRun))
		Expect(table.Status().Running).To(BeZero())
		receive(1, &wire.ToAgent{Acks: []uint64{1, 2, 3}})
		table.Drain(epoch)
		Expect(table.Idle()).To(BeFalse()) // a start may be in transit
		table.Disconnect(epoch, 1)
		table.Tick(epoch.Add(6 * time.Second))
		Expect(table.Idle()).To(BeTrue())
	})

	It("rejects the frame of an owner that returns more credits than it held", func() {
		connect(1, ownerA)
		f := &wire.ToAgent{Demand: &wire.Demand{Returned: math.MaxUint64}}
		Expect(table.Receive(epoch, 1, f)).To(MatchError(&attempt.ProtocolError{Owner: ownerA, Violation: attempt.ExcessReturn}))
	})
})
