package session

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const simStep = 10 * time.Millisecond

// simEnd is one end of a simulated connection, with the writer's rules.
type simEnd struct {
	*pulse
	in       []simFrame // under way to this end, in order
	heardSeq uint64
	look     time.Time
	lost     bool // what this end sends vanishes
	peer     *simEnd
}

type simFrame struct {
	seq, ack uint64
	content  bool
	at       time.Time
}

func newSim(now time.Time) (a, b *simEnd) {
	o := Options{}.withDefaults()
	a, b = &simEnd{pulse: newPulse(o, now), look: now}, &simEnd{pulse: newPulse(o, now), look: now}
	a.peer, b.peer = b, a
	return a, b
}

func (e *simEnd) send(now time.Time, content bool, latency time.Duration) {
	f := simFrame{seq: e.sending(now, content), ack: e.heardSeq, content: content, at: now.Add(latency)}
	if e.lost {
		return
	}
	if n := len(e.peer.in); n > 0 && f.at.Before(e.peer.in[n-1].at) {
		f.at = e.peer.in[n-1].at
	}
	e.peer.in = append(e.peer.in, f)
}

// step delivers what has arrived, sends, and returns why this end gives up, or "".
func (e *simEnd) step(now time.Time, content bool, latency time.Duration) Reason {
	woken := false
	for len(e.in) > 0 && !e.in[0].at.After(now) {
		f := e.in[0]
		e.in = e.in[1:]
		w, err := e.heard(now, f.ack, f.content)
		if err != nil {
			return ReasonFrame
		}
		woken = woken || w
		e.heardSeq = f.seq
	}
	if !content && !woken && now.Before(e.look) {
		return ""
	}
	if content || e.heartbeatDue(now) {
		e.send(now, content, latency)
	}
	e.look = now.Add(e.nextLook(now))
	return e.silence(now)
}

// Traffic comes in spells with idle times between, over a path that is slow at
// times but loses nothing. A connection given up all the same would cost every
// attempt on it a round of questions, and under load again and again.
func TestNoConnectionIsGivenUpWithoutALoss(t *testing.T) {
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
						t.Fatalf("given up for %q at %s", r, now.Sub(time.UnixMilli(0)))
					}
				}
			}
		}
	})
}

// A path loses one direction, or both, at any moment, and a frame with content is
// sent into it then or later. The sender must notice within a second and a half, or
// the task that the frame starts, or the result that it carries, waits in the dark.
func TestALostFrameIsNoticedSoon(t *testing.T) {
	o := Options{}.withDefaults()
	// One heartbeat may still acknowledge content from before the cut, and the writer
	// looks once a heartbeat.
	allowed := o.SilenceTimeout + 2*o.HeartbeatInterval + 2*simStep
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(0)
		a, b := newSim(now)
		a.send(now, true, 0)
		b.send(now, true, 0)
		run := func(steps int) (gaveUp bool) {
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
		a.lost, b.lost = true, rapid.Bool().Draw(t, "both directions")
		if run(rapid.IntRange(0, 2000).Draw(t, "steps after")) {
			return // noticed before anything was sent
		}
		sent := now
		a.send(now, true, 0)
		a.look = now
		if !run(2000) {
			t.Fatal("never noticed")
		}
		if took := now.Sub(sent); took > allowed {
			t.Fatalf("noticed after %s", took)
		}
	})
}

// The two ends of an idle connection cost the budget for control traffic.
func TestIdleConnectionsAreQuiet(t *testing.T) {
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
	before := a.lastSent
	step(100 * time.Second)
	g.Expect(a.lastSent - before).To(BeNumerically("~", 50, 1))
}
