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

// recorder is an Outbox that keeps what the table did.
type recorder struct {
	frames  map[attempt.ConnID][]*wire.ToEntry
	closed  []attempt.ConnID
	runs    map[attempt.Key]int
	order   []attempt.Key
	aborted []attempt.Key
}

func newRecorder() *recorder {
	return &recorder{frames: map[attempt.ConnID][]*wire.ToEntry{}, runs: map[attempt.Key]int{}}
}

func (r *recorder) Send(c attempt.ConnID, f *wire.ToEntry) { r.frames[c] = append(r.frames[c], f) }
func (r *recorder) Close(c attempt.ConnID)                 { r.closed = append(r.closed, c) }
func (r *recorder) Abort(k attempt.Key)                    { r.aborted = append(r.aborted, k) }
func (r *recorder) Run(k attempt.Key, _ wire.Start) {
	r.runs[k]++
	r.order = append(r.order, k)
}

// report returns the last report of an attempt on a connection.
func (r *recorder) report(c attempt.ConnID, seq uint64) wire.Report {
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

// credits returns what was granted and recalled on a connection.
func (r *recorder) credits(c attempt.ConnID) (total uint64, recalled int) {
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
		out   *recorder
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
		out = newRecorder()
		table = newTable(out, attempt.Grants, 4)
	})

	// A middlebox forgets a connection, the entry opens a new one, asks about its
	// attempts and moves those that were never seen. Minutes later the old
	// connection delivers the first starts after all. A user would see a column
	// billed twice.
	It("does not obey a connection that was replaced, nor a start it has refused", func() {
		connect(1, ownerA)
		connect(2, ownerA)
		Expect(out.closed).To(Equal([]attempt.ConnID{1}))
		receive(2, &wire.ToAgent{Queries: []uint64{7, 5}})
		Expect(out.report(2, 5)).To(Equal(wire.Report{Seq: 5, State: wire.NotRun, Reason: wire.ReasonNeverSeen}))
		Expect(out.report(2, 7).State).To(Equal(wire.NotRun))

		receive(1, starts(5, 7))
		receive(2, starts(5, 7, 6)) // 6 comes behind 7: out of order, so refused too
		Expect(out.runs).To(BeEmpty())
		Expect(out.report(2, 6).State).To(Equal(wire.NotRun))
		receive(2, starts(8))
		receive(2, starts(8))
		Expect(out.runs).To(Equal(map[attempt.Key]int{{Owner: ownerA, Seq: 8}: 1}))
	})

	// The connection breaks while a task runs, and the entry comes back, soon or
	// after longer than reports are kept. Were the agent to say "not run" of an
	// attempt it has forgotten, the entry would run the task a second time.
	It("keeps final reports for a while and never calls a forgotten attempt not run", func() {
		connect(1, ownerA)
		receive(1, starts(1, 2))
		table.Disconnect(epoch, 1)
		table.CompleteCall(epoch, attempt.Key{Owner: ownerA, Seq: 1}, succeeded)
		connect(2, ownerA)
		receive(2, &wire.ToAgent{Queries: []uint64{1}})
		Expect(out.report(2, 1).Result).To(Equal([]byte("r")))
		Expect(out.frames[2]).To(HaveLen(1), "the result goes out once a connection")
		table.Disconnect(epoch, 2)

		late := epoch.Add(time.Minute)
		table.Tick(late)
		Expect(out.aborted).To(ConsistOf(attempt.Key{Owner: ownerA, Seq: 2}))
		table.CompleteCall(late, attempt.Key{Owner: ownerA, Seq: 2}, attempt.Outcome{State: wire.Unknown})
		table.Tick(late)
		Expect(table.Status().Owners).To(BeEmpty())
		connect(3, ownerA)
		receive(3, &wire.ToAgent{Queries: []uint64{1, 2, 3}})
		Expect(out.report(3, 1).State).To(Equal(wire.Unknown))
		Expect(out.report(3, 2).State).To(Equal(wire.Unknown))
		Expect(out.report(3, 3).State).To(Equal(wire.NotRun))
	})

	// A caller gives up on a wave of jobs, some of whose tasks run and some of
	// whose starts were lost. Slots that are not freed would stay idle while others wait.
	It("aborts what runs and refuses what was not seen in a wave of cancellations", func() {
		connect(1, ownerA)
		receive(1, starts(1, 2, 3, 4))
		receive(1, &wire.ToAgent{Cancels: []uint64{1, 2, 3, 4, 5}})
		Expect(out.aborted).To(HaveLen(4))
		for seq := uint64(1); seq <= 4; seq++ {
			table.CompleteCall(epoch, attempt.Key{Owner: ownerA, Seq: seq}, attempt.Outcome{State: wire.Unknown})
		}
		table.Flush()
		Expect(out.report(1, 1).State).To(Equal(wire.Unknown))
		Expect(out.report(1, 5).Reason).To(Equal(wire.ReasonCancelled))
		total, _ := out.credits(1)
		Expect(total).To(BeEquivalentTo(8))
	})

	// An entry is frozen while it holds credits. Until they come back its slots lie
	// idle; if it still could use them when it wakes, the target would get more
	// tasks than it has slots.
	It("gives a frozen owner's credits to others and refuses its starts when it wakes", func() {
		connect(1, ownerA)
		connect(2, ownerB)
		a, _ := out.credits(1)
		Expect(a).To(BeEquivalentTo(4))
		receive(2, &wire.ToAgent{Demand: &wire.Demand{Waiting: 4, RankMs: 10}})
		_, recalled := out.credits(1)
		Expect(recalled).To(Equal(4))
		table.Disconnect(epoch, 1) // the session found it silent
		table.Flush()
		b, _ := out.credits(2)
		Expect(b).To(BeEquivalentTo(4))
		receive(1, starts(1))
		connect(3, ownerA)
		err := table.Receive(epoch, 3, starts(1))
		Expect(err).To(MatchError(&attempt.ProtocolError{Owner: ownerA, Violation: attempt.StartWithoutCredit, Seq: 1}))
		table.Flush()
		receive(3, starts(1)) // was on its way when the connection was closed
		Expect(out.runs).To(BeEmpty())
	})

	// A host is about to be replaced, or its target goes down. Work that still
	// begins there is cut off half done.
	It("grants nothing and recalls everything while the target leaves", func() {
		connect(1, ownerA)
		receive(1, starts(1))
		table.Drain(epoch)
		table.Flush()
		total, recalled := out.credits(1)
		Expect(total).To(BeEquivalentTo(4))
		Expect(recalled).To(Equal(3))
		receive(1, starts(2)) // crossed the recall
		Expect(out.runs).To(HaveLen(2))
		Expect(table.Receive(epoch.Add(2*time.Second), 1, starts(3))).To(Succeed())
		table.Flush()
		Expect(out.report(1, 3).Reason).To(Equal(wire.ReasonLeaving))
		for _, seq := range []uint64{1, 2} {
			table.CompleteCall(epoch, attempt.Key{Owner: ownerA, Seq: seq}, succeeded)
		}
		receive(1, &wire.ToAgent{Demand: &wire.Demand{Returned: 1}})
		Expect(table.Idle()).To(BeFalse()) // the reports have not arrived
		receive(1, &wire.ToAgent{Acks: []uint64{1, 2, 3}})
		Expect(table.Idle()).To(BeTrue())
	})

	// The entry's frame waited in a queue until the deadline was past, or the
	// worker has no room beside what runs. The task must not begin, and its owner
	// must learn that at once.
	It("refuses starts that are late or do not fit beside what runs", func() {
		connect(1, ownerA)
		late, big, more := start(1), start(2), start(3)
		late.DeadlineMs = epoch.UnixMilli()
		big.Demand.CPUMilli, more.Demand.CPUMilli = 800, 300
		receive(1, &wire.ToAgent{Starts: []wire.Start{late, big, more}})
		Expect(out.report(1, 1).Reason).To(Equal(wire.ReasonDeadlinePast))
		Expect(out.report(1, 3).Reason).To(Equal(wire.ReasonTargetUnavailable))
		Expect(out.order).To(Equal([]attempt.Key{{Owner: ownerA, Seq: 2}}))
	})

	// Under the push policies starts pile up behind the slots. Those cancelled or
	// late meanwhile, or left by an owner that is gone, must not begin.
	It("lets starts wait in order under push and drops those no longer wanted", func() {
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
		Expect(out.order).To(Equal([]attempt.Key{{Owner: ownerA, Seq: 1}, {Owner: ownerA, Seq: 3}}))
		Expect(out.report(1, 2).State).To(Equal(wire.NotRun))
		Expect(table.Status().Running).To(BeZero())
		receive(1, &wire.ToAgent{Acks: []uint64{1, 2, 3}})
		table.Drain(epoch)
		Expect(table.Idle()).To(BeFalse()) // a start may be on its way
		table.Disconnect(epoch, 1)
		table.Tick(epoch.Add(6 * time.Second))
		Expect(table.Idle()).To(BeTrue())
	})

	It("closes the connection of an owner that returns credits it never had", func() {
		connect(1, ownerA)
		f := &wire.ToAgent{Demand: &wire.Demand{Returned: math.MaxUint64}}
		Expect(table.Receive(epoch, 1, f)).To(MatchError(&attempt.ProtocolError{Owner: ownerA, Violation: attempt.ExcessReturn}))
	})
})
