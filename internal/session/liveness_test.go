package session

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const simStep = 10 * time.Millisecond

// Guards against a peer that counts as heard from at a time when it had stopped already.
func TestAcknowledgementHasTheTimeOfItsFrame(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	l := newLiveness(Options{}.withDefaults(), now)
	g.Expect(l.acknowledgedAt().IsZero()).To(BeTrue())
	for n := range 4 {
		l.recordSend(now.Add(time.Duration(n)*time.Second), false)
	}
	for _, ack := range []uint64{2, 2, 4} {
		_, err := l.recordReceive(now.Add(time.Minute), ack, false)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.acknowledgedAt()).To(Equal(now.Add(time.Duration(ack-1) * time.Second)))
	}
	g.Expect(l.unackedSentAt).To(BeEmpty())
}

// simEnd is one end of a simulated connection. It follows the same rules as Conn.write.
type simEnd struct {
	*liveness
	in          []simFrame // in transit to this end, in order
	receivedSeq uint64
	nextCheckAt time.Time
	dropsSends  bool // frames that this end sends are lost
	peer        *simEnd
}

type simFrame struct {
	seq, ack uint64
	content  bool
	at       time.Time
}

func newSim(now time.Time) (a, b *simEnd) {
	o := Options{}.withDefaults()
	a, b = &simEnd{liveness: newLiveness(o, now), nextCheckAt: now}, &simEnd{liveness: newLiveness(o, now), nextCheckAt: now}
	a.peer, b.peer = b, a
	return a, b
}

func (e *simEnd) send(now time.Time, content bool, latency time.Duration) {
	f := simFrame{seq: e.recordSend(now, content), ack: e.receivedSeq, content: content, at: now.Add(latency)}
	if e.dropsSends {
		return
	}
	if n := len(e.peer.in); n > 0 && f.at.Before(e.peer.in[n-1].at) {
		f.at = e.peer.in[n-1].at
	}
	e.peer.in = append(e.peer.in, f)
}

// step delivers arrived frames, sends, and returns the reason to close the connection, or "".
func (e *simEnd) step(now time.Time, content bool, latency time.Duration) Reason {
	activated := false
	for len(e.in) > 0 && !e.in[0].at.After(now) {
		f := e.in[0]
		e.in = e.in[1:]
		w, err := e.recordReceive(now, f.ack, f.content)
		if err != nil {
			return ReasonFrame
		}
		activated = activated || w
		e.receivedSeq = f.seq
	}
	if !content && !activated && now.Before(e.nextCheckAt) {
		return ""
	}
	if content || e.heartbeatDue(now) {
		e.send(now, content, latency)
	}
	e.nextCheckAt = now.Add(e.nextCheckIn(now))
	return e.timeoutReason(now)
}

// Bursts of traffic alternate with idle periods, over a path with varying latency that loses no
// frame. If the connection were closed nevertheless, the state of every attempt on it would
// have to be queried, under load repeatedly.
func TestConnectionWithoutLossStaysOpen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(0)
		a, b := newSim(now)
		a.send(now, true, 0)
		b.send(now, true, 0)
		for range rapid.IntRange(1, 8).Draw(t, "spells") {
			busy := rapid.IntRange(0, 30).Draw(t, "busy steps")
			idle := rapid.IntRange(0, 2000).Draw(t, "idle steps")
			latency := time.Duration(rapid.IntRange(0, 200).Draw(t, "latency ms")) * time.Millisecond
			fromA, fromB := rapid.Bool().Draw(t, "a sends"), rapid.Bool().Draw(t, "b sends")
			for i := range busy + idle {
				now = now.Add(simStep)
				for _, r := range []Reason{a.step(now, fromA && i < busy, latency), b.step(now, fromB && i < busy, latency)} {
					if r != "" {
						t.Fatalf("closed for %q at %s", r, now.Sub(time.UnixMilli(0)))
					}
				}
			}
		}
	})
}

// A path fails in one direction or both at any time, and a frame with content is sent then or
// later. The sender must detect the loss within 1.5 s. Otherwise the task that the frame
// starts, or the result that it carries, is delayed and the sender does not detect it.
func TestLostFrameIsDetectedWithinTheTimeout(t *testing.T) {
	o := Options{}.withDefaults()
	// One heartbeat may still acknowledge content from before the failure, and the writer
	// checks once per heartbeat interval.
	allowed := o.SilenceTimeout + 2*o.HeartbeatInterval + 2*simStep
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(0)
		a, b := newSim(now)
		a.send(now, true, 0)
		b.send(now, true, 0)
		run := func(steps int) (closed bool) {
			for range steps {
				now = now.Add(simStep)
				if a.step(now, false, time.Millisecond) != "" {
					return true
				}
				b.step(now, false, time.Millisecond)
			}
			return false
		}
		run(rapid.IntRange(0, 2000).Draw(t, "steps before"))
		a.dropsSends, b.dropsSends = true, rapid.Bool().Draw(t, "both directions")
		if run(rapid.IntRange(0, 2000).Draw(t, "steps after")) {
			return // detected before anything was sent
		}
		sent := now
		a.send(now, true, 0)
		a.nextCheckAt = now
		if !run(2000) {
			t.Fatal("never detected")
		}
		if took := now.Sub(sent); took > allowed {
			t.Fatalf("detected after %s", took)
		}
	})
}

// Guards against an idle connection that exceeds the budget for control traffic: each end sends
// one heartbeat per two seconds.
func TestIdleConnectionSendsOnlyIdleHeartbeats(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(0)
	a, b := newSim(now)
	a.send(now, true, 0)
	b.send(now, true, 0)
	step := func(d time.Duration) {
		for range d / simStep {
			now = now.Add(simStep)
			g.Expect(a.step(now, false, 0)).To(BeEmpty())
			g.Expect(b.step(now, false, 0)).To(BeEmpty())
		}
	}
	step(10 * time.Second)
	before := a.lastSentSeq
	step(100 * time.Second)
	g.Expect(a.lastSentSeq - before).To(BeNumerically("~", 50, 1))
}

// Guards against a proof that is newer than the frame that was confirmed, and against memory that grows
// with each frame sent to a peer that confirms nothing.
func TestConfirmations(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	l := newLiveness(Options{}.withDefaults(), now)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	g.Expect(l.recordConfirmation(0)).To(Succeed())
	g.Expect(l.confirmedAt()).To(BeZero())
	for _, ms := range []int{0, 2, 4, 6, 30} {
		l.recordSend(at(ms), true)
	}
	g.Expect(l.recordConfirmation(3)).To(Succeed())
	g.Expect(l.confirmedAt()).To(Equal(at(0)), "frames within 5 ms count as sent with the first")
	g.Expect(l.recordConfirmation(4)).To(Succeed())
	g.Expect(l.confirmedAt()).To(Equal(at(6)))
	g.Expect(l.recordConfirmation(3)).NotTo(Succeed(), "it falls")
	g.Expect(l.recordConfirmation(6)).NotTo(Succeed(), "frame 6 was not sent")
	g.Expect(l.recordConfirmation(5)).To(Succeed())
	g.Expect(l.confirmedAt()).To(Equal(at(30)))
	for i := range 10 * maxMarks {
		l.recordSend(at(100+10*i), true)
	}
	g.Expect(len(l.sentMarks)).To(BeNumerically("<=", maxMarks))
	g.Expect(l.recordConfirmation(100)).To(Succeed())
	g.Expect(l.confirmedAt()).To(Equal(at(30)), "its mark was dropped")
	g.Expect(l.recordConfirmation(5 + 10*maxMarks)).To(Succeed())
	g.Expect(l.confirmedAt()).To(Equal(at(100 + 10*(10*maxMarks-1))))
}
