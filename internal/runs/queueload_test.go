package runs

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/fairshare"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// orderOf sends an order of a queue for 4 cores.
func (h *harness) orderOf(queue string, seq uint64) {
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Orders: []wire.Order{{
		Seq: seq, Job: "j" + strconv.Itoa(int(seq)), RunNumber: seq, Demand: job.Demand{CPUMilli: 4000}, Queue: queue,
		EstimateMs: 100, SlackMs: 100, MaxWaitMs: 300, TimeoutMs: 30_000,
	}}})
}

// queueLoadsSent returns the reports of queue loads that a session was sent.
func (h *harness) queueLoadsSent(conn ConnID) (sent [][]wire.QueueLoad) {
	for _, f := range h.outbox.sent[conn] {
		if f.QueueLoads != nil {
			sent = append(sent, f.QueueLoads)
		}
	}
	return sent
}

// pass lets time pass with a Flush every 10 ms.
func (h *harness) pass(d time.Duration) {
	for until := h.now.Add(d); h.now.Before(until); {
		h.advance(10 * time.Millisecond)
		h.Flush(h.now)
	}
}

// Guards against loads that don't show processor in use, waiting tasks or tasks without a start in
// time, and against loads that outlast the tasks.
func TestQueueLoadsCoverTheLastSecond(t *testing.T) {
	h := newHarness(t)
	h.orderOf("long", 1)
	h.orderOf("long", 2)
	h.orderOf("short", 3) // waits: two tasks of 4 cores fill 10 cores
	h.orderOf("", 4)      // of an older entry: not counted
	h.pass(1200 * time.Millisecond)
	sent := h.queueLoadsSent(testConn)
	h.Expect(sent[len(sent)-1]).To(ContainElement(HaveField("Queue", "long")))
	last := func(queue string) (found wire.QueueLoad) {
		sent := h.queueLoadsSent(testConn)
		for _, l := range sent[len(sent)-1] {
			h.Expect(l.Queue).NotTo(BeEmpty())
			if l.Queue == queue {
				found = l
			}
		}
		return found
	}
	h.Expect(last("long").InUseMilli).To(BeNumerically("~", 8000, 1))
	h.Expect(last("short").InUseMilli).To(BeZero())
	h.Expect(last("short").LateShare).To(Equal(1.0), "it was returned after 300 ms")
	h.Disconnect(h.now, testConn)
	h.renewWithEnds([]EndedRun{h.nextEnd(RunID{task("j1", 0), 1}, Stopped), h.nextEnd(RunID{task("j2", 0), 2}, Stopped)})
	h.Connect(h.now, testConn, wire.DescribedFeatures)
	h.pass(4 * time.Second)
	h.Expect(last("long")).To(Equal(wire.QueueLoad{Queue: "long"}))
	h.Expect(h.queueLoads.byName).To(BeEmpty())
}

// Guards against frames that an older entry can't decode, and against reports that cost entries more
// than five frames a second, or one if nothing changes.
func TestQueueLoadsAreSentRarelyAndToExtendedSessionsOnly(t *testing.T) {
	h := newHarness(t)
	h.Connect(h.now, 2, wire.BaseFeatures)
	h.orderOf("q", 1)
	for seq := uint64(2); seq < 100; seq++ {
		h.orderOf("q", seq)
		h.pass(10 * time.Millisecond)
	}
	h.Expect(len(h.queueLoadsSent(testConn))).To(And(BeNumerically(">=", 3), BeNumerically("<=", 6)))
	h.pass(3 * time.Second)
	before := len(h.queueLoadsSent(testConn))
	h.pass(3 * time.Second)
	h.Expect(len(h.queueLoadsSent(testConn)) - before).To(BeNumerically("~", 3, 1))
	h.Expect(h.queueLoadsSent(2)).To(BeEmpty())
}

// Guards against an entry that has restarted and learns the loads only with their next change.
func TestNewSessionIsSentTheQueueLoadsAtOnce(t *testing.T) {
	h := newHarness(t)
	h.orderOf("q", 1)
	h.pass(3 * time.Second)
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.Flush(h.now)
	h.Expect(h.queueLoadsSent(2)).To(HaveLen(1))
}

// Guards against memory that grows with the names of queues, and against reports that entries reject
// as too long.
func TestQueueLoadsAreBounded(t *testing.T) {
	h := newHarness(t)
	for seq := uint64(1); seq <= 3*fairshare.MaxQueues; seq++ {
		h.orderOf("q"+strconv.Itoa(int(seq)), seq)
		h.pass(10 * time.Millisecond)
	}
	h.Expect(len(h.queueLoads.byName)).To(BeNumerically("<=", fairshare.MaxQueues))
	for _, sent := range h.queueLoadsSent(testConn) {
		h.Expect(len(sent)).To(BeNumerically("<=", fairshare.MaxQueues))
	}
}

// Guards against processor in use that no report shows because 140 teams have more queues than a report
// holds: a queue with a running task is not dropped for others.
func TestQueueInUseOutlivesTheLimit(t *testing.T) {
	h := newHarness(t)
	h.orderOf("long", 1)
	for seq := uint64(2); seq <= 140; seq++ {
		h.orderOf("q"+strconv.Itoa(int(seq)), seq)
		h.Receive(h.now, testConn, &wire.LeasedToAgent{Recalls: []uint64{seq}})
		h.pass(10 * time.Millisecond)
	}
	sent := h.queueLoadsSent(testConn)
	h.Expect(sent[len(sent)-1]).To(ContainElement(And(HaveField("Queue", "long"), HaveField("InUseMilli", BeNumerically("~", 4000, 1)))))
}

// Guards against allocations for each task.
func TestRecordingATaskDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	var l queueLoads
	now := time.Unix(1_800_000_000, 0)
	r := &run{order: wire.Order{Queue: "q", Demand: job.Demand{CPUMilli: 1000}}}
	g.Expect(testing.AllocsPerRun(100, func() {
		now = now.Add(7 * time.Millisecond)
		r.state = queued
		l.recordArrival(now, r)
		l.recordStart(now, r)
		r.state = running
		l.recordRemoval(now, r)
	})).To(BeZero())
}
