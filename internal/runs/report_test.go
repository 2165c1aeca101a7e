package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// play starts and ends a task every 20 ms for that long, for the first session, and returns the
// frames that each session was sent.
func (w *world) play(d time.Duration) map[ConnID]int {
	for until := w.now.Add(d); w.now.Before(until); {
		seq := w.ends + 1
		id := RunID{task("j", int(seq)), seq}
		w.order(session, seq, id.Task, seq)
		w.Started(w.now, w.target.starts[len(w.target.starts)-1], Accepted, 60_000)
		w.Flush(w.now)
		w.pass(10 * time.Millisecond)
		w.Flush(w.now)
		w.listEnds([]EndedRun{w.end(id, Done)})
		w.pass(9 * time.Millisecond)
		w.Flush(w.now)
	}
	frames := map[ConnID]int{}
	for conn, sent := range w.out.sent {
		frames[conn] = len(sent)
	}
	return frames
}

// Callers reach one entry of twelve; the others have sessions and choose nothing. Each start
// and each end used to cost a frame to every one of them: the runners of a large fleet spent
// more on telling than on work, and small entry hosts had no processor left to answer with.
func TestEntriesWithoutCallersCostFewReports(t *testing.T) {
	w := newWorld(t)
	for conn := ConnID(2); conn <= 12; conn++ {
		w.Connect(w.now, conn)
	}
	w.play(3 * time.Second)
	clear(w.out.sent)
	frames := w.play(3 * time.Second)
	w.Expect(frames[session]).To(BeNumerically(">=", 150), "the one that sends work hears of each end at least")
	for conn := ConnID(2); conn <= 12; conn++ {
		w.Expect(frames[conn]).To(BeNumerically("~", 10, 2))
	}
}

// An entry on a small host has asked for a report every 60 ms. It gets no more of them, but an
// outcome goes out at once, and so does the word that the target is away.
func TestAnEntryHearsAsOftenAsItWants(t *testing.T) {
	w := newWorld(t)
	w.Connect(w.now, 2)
	w.Receive(w.now, 2, &wire.LeasedToAgent{LoadEveryMs: 60})
	w.Flush(w.now)
	clear(w.out.sent)
	frames := w.play(1200 * time.Millisecond)
	w.Expect(frames[2]).To(BeNumerically("~", 20, 2))

	before := len(w.out.sent[2])
	w.loseRenewals(8, 40*time.Millisecond, Unresponsive)
	w.Flush(w.now)
	w.Expect(w.out.sent[2]).To(HaveLen(before + 1))
	w.Expect(w.out.sent[2][before].Load.Down).To(BeTrue())
}

// A runner changes to another entry while the one that it leaves has a task at work there and
// an order on its way. The task ends and is reported, the order comes back as not run, and only
// then does the session end: its callers notice nothing.
func TestARetiredSessionEndsAfterItsWork(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.Retire(w.now, session)
	w.Flush(w.now)
	told := w.out.sent[session]
	w.Expect(told[len(told)-1].Load.Leaving).To(BeTrue())
	w.order(session, 2, task("b", 0), 8)
	w.pass(2 * retireAfter)
	w.Expect(w.out.closed).To(BeEmpty())
	w.listEnds([]EndedRun{w.end(RunID{task("a", 0), 7}, Done)})
	w.pass(retireAfter - time.Millisecond)
	w.Expect(w.out.closed).To(BeEmpty(), "the outcome may be on its way")
	w.pass(time.Millisecond)
	w.Expect(w.out.closed).To(Equal([]ConnID{session}))
	outcomes := w.outcomes(session)
	w.Expect(outcomes[1].End).To(Equal(wire.EndDone))
	w.Expect(outcomes[2]).To(Equal(wire.RunOutcome{Seq: 2, End: wire.EndNotRun, Reason: wire.NotRunLeaving}))
}
