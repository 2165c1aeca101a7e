package handover

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/scheduler/peerchoice"
)

// tickUntilStopped runs the ticks of an entry, as its control goroutine does, until the test ends or the
// function that it returns is called.
func (n *entry) tickUntilStopped(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			n.Tick(0, false)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return cancel
}

// handOver hands a job over for a caller that leaves when left is set, and returns it as the peer sees it.
func (n *entry) handOver(g *WithT, peer *entry, id string, left *atomic.Bool) (*dispatch.Caller, <-chan result) {
	f := n.Begin(newJob(id), 5*time.Second, peerchoice.Outlook{Draining: true, SlackMs: 1000})
	f.Watch(left.Load)
	done := make(chan result, 1)
	go func() {
		answer, taken := f.Run(context.Background(), left.Load)
		done <- result{answer, taken}
	}()
	g.Eventually(func() any { return peer.answerFunc(id) }).ShouldNot(BeNil())
	peer.jobsMu.Lock()
	defer peer.jobsMu.Unlock()
	return peer.callers[id], done
}

// waitingAt returns the time up to which a caller is known to have waited; zero: it has left.
func waitingAt(c *dispatch.Caller) time.Time {
	at, left := c.WaitingAt(time.Now())
	if left {
		return time.Time{}
	}
	return at
}

// Guards against a job that runs on at a peer because the request of its caller has not noticed yet that
// the caller has left.
func TestCallersOfJobsAtPeersAreVerified(t *testing.T) {
	g := NewWithT(t)
	first, peer := newEntry(t, nil), newEntry(t, nil)
	first.know(peer.addr())
	first.tickUntilStopped(t)
	var firstLeft, copyLeft atomic.Bool
	caller, done := first.handOver(g, peer, "1", &firstLeft)
	copied, _ := first.Attach("1")
	copied.Watch(copyLeft.Load)
	firstLeft.Store(true)
	g.Consistently(func() time.Time { return waitingAt(caller) }, "100ms").ShouldNot(BeZero(), "a copy still waits")
	copyLeft.Store(true)
	g.Eventually(func() time.Time { return waitingAt(caller) }).Should(BeZero())
	g.Eventually(peer.abandonedIDs).Should(Equal([]string{"1"}))
	g.Eventually(done).Should(Receive(HaveField("Answer.Kind", dispatch.AnswerUnknown)))
}

// Guards against a job that counts as wanted while the entry with its caller is late: its session still
// acknowledges frames and sends heartbeats.
func TestCallersOfALateEntryCountAsWaitingUpToItsLastConfirmation(t *testing.T) {
	g := NewWithT(t)
	first, peer := newEntry(t, nil), newEntry(t, nil)
	first.know(peer.addr())
	g.Expect(peer.CallersKnownAt()).To(BeZero(), "there is no session")
	stop := first.tickUntilStopped(t)
	var left atomic.Bool
	caller, _ := first.handOver(g, peer, "1", &left)
	submittedAt := time.Now()
	g.Eventually(func() time.Time { return waitingAt(caller) }).Should(BeTemporally(">", submittedAt))
	g.Expect(peer.CallersKnownAt()).To(BeTemporally("~", time.Now(), 200*time.Millisecond))
	stop()
	stoppedAt := time.Now()
	time.Sleep(maxCallerAge / 2)
	g.Expect(waitingAt(caller)).To(BeTemporally("<", stoppedAt.Add(20*time.Millisecond)))
	g.Expect(peer.CallersKnownAt()).To(BeTemporally("<", stoppedAt.Add(20*time.Millisecond)))
	time.Sleep(maxCallerAge)
	g.Expect(waitingAt(caller)).NotTo(BeZero(), "decided by CallersKnownAt alone")
	g.Expect(peer.CallersKnownAt()).To(BeZero(), "the entry is not considered any more")
	g.Expect(waitingAt(caller)).To(BeZero(), "its callers count as left")

	// What runs at the peer is confirmed as wanted since, so a run for a caller that is known to have
	// waited only before would be bounded too late.
	again := first.begin(context.Background(), "2")
	g.Eventually(again).Should(Receive(Equal(result{})), "refused")
	first.tickUntilStopped(t)
	known := time.Now()
	g.Eventually(peer.CallersKnownAt).Should(BeTemporally(">", known))
	caller, _ = first.handOver(g, peer, "3", &left)
	g.Expect(waitingAt(caller)).To(BeTemporally(">", known))
}
