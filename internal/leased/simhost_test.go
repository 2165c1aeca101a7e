package leased_test

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/runs"
)

// simHost is a runner's table beside its target.
type simHost struct {
	w      *simWorld
	n      int
	table  *runs.Table
	target *simTarget
	seq    uint64
	belief *evacuation.Replica
	// evacuated are the data centres of which the runner has heard that.
	evacuated map[string]bool
}

// Start implements runs.Target.
func (h *simHost) Start(c runs.StartCall) {
	table := h.table
	if h.evacuated[dataCentre(h.n)] {
		h.w.fail(c.Run.Task.Job, "runner %d calls a start in a data centre of which it knows that it is evacuated", h.n)
	}
	answer := func(a runs.Answer) {
		h.w.at(step, func() {
			if h.table == table {
				table.Started(h.w.now, c, a, h.target.clock())
			}
		})
	}
	if h.target.silent {
		h.w.at(10*time.Millisecond, func() { answer(runs.NoAnswer) })
		return
	}
	switch h.w.draw(12) {
	case 0: // carried out late
		h.w.at(time.Duration(2000+h.w.draw(3000))*time.Millisecond, func() {
			h.w.carriedOutLate = true
			h.target.start(c)
			h.w.carriedOutLate = false
		})
		h.w.at(40*time.Millisecond, func() { answer(runs.NoAnswer) })
	case 1: // the answer is lost
		h.target.start(c)
		h.w.at(40*time.Millisecond, func() { answer(runs.NoAnswer) })
	default:
		answer(h.target.start(c))
	}
}

// Stop implements runs.Target.
func (h *simHost) Stop(c runs.StopCall) {
	table := h.table
	answer := func(a runs.Answer) {
		h.w.at(step, func() {
			if h.table == table {
				table.Stopped(h.w.now, c, a)
			}
		})
	}
	if h.target.silent || h.w.draw(10) == 0 {
		h.w.at(40*time.Millisecond, func() { answer(runs.NoAnswer) })
		return
	}
	answer(h.target.stop(c))
}

// renew makes one renewal.
func (h *simHost) renew() {
	c, known := h.table.NextRenewal(h.w.now)
	if !known {
		return
	}
	asked, table := h.w.now, h.table
	if h.w.draw(12) == 0 {
		h.w.at(60*time.Millisecond, func() {
			if h.table == table {
				table.RenewFailed(h.w.now, c, runs.Unresponsive)
			}
		})
		return
	}
	s := h.target
	if s.silent {
		table.RenewFailed(h.w.now, c, runs.Refused)
		return
	}
	if c.Incarnation != s.life {
		table.RenewFailed(h.w.now, c, runs.Replaced)
		return
	}
	if c.Token < s.token {
		table.Renewed(h.w.now, asked, c, runs.Listing{ClockMs: s.clock(), StartedMs: s.life.StartedMs, StaleToken: true})
		return
	}
	s.token = c.Token
	if c.LeaseUntilMs > 0 {
		s.take(c.LeaseUntilMs)
	}
	for len(s.ended) > 0 && s.ended[0].Seq <= c.AckCursor {
		s.ended = s.ended[1:]
	}
	l := runs.Listing{ClockMs: s.clock(), StartedMs: s.life.StartedMs, Ended: append([]runs.EndedRun(nil), s.ended...)}
	for id := range s.running {
		l.Running = append(l.Running, id)
	}
	h.w.at(step, func() {
		if h.table == table {
			table.Renewed(h.w.now, asked, c, l)
		}
	})
}

func (h *simHost) announce() {
	if h.target.silent {
		return
	}
	h.seq++
	h.target.saidMilli = h.target.capacityMilli
	h.table.Announce(h.w.now, runs.Announcement{
		Incarnation: h.target.life, Service: "s", Capacity: job.Demand{CPUMilli: h.target.capacityMilli, MemoryMB: 1000}, ClockMs: h.target.clock(), Seq: h.seq,
	})
}
