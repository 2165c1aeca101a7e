package leased_test

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/runs"
)

// simHost is a host: the control state of its runner, and its target.
type simHost struct {
	w           *simWorld
	n           int
	table       *runs.Table
	target      *simTarget
	seq         uint64
	evacuations *evacuation.Replica
	// evacuated are the data centres that are evacuated according to the runner's replica.
	evacuated       map[string]bool
	ordersLostUntil time.Duration // since the start of the schedule
}

// Start implements runs.Target.
func (h *simHost) Start(c runs.StartCall) {
	table := h.table
	if h.evacuated[dataCentre(h.n)] {
		h.w.fail(c.Run.Task.Job, "runner %d starts a task although its replica has its data centre as evacuated", h.n)
	}
	answer := func(a runs.Answer) {
		h.w.schedule(step, func() {
			if h.table == table {
				table.Started(h.w.now, c, a, h.target.clock())
			}
		})
	}
	if h.target.down || h.w.elapsed < h.ordersLostUntil {
		h.w.schedule(10*time.Millisecond, func() { answer(runs.NoAnswer) })
		return
	}
	switch h.w.draw(12) {
	case 0: // the call is executed late
		h.w.schedule(time.Duration(2000+h.w.draw(3000))*time.Millisecond, func() {
			h.w.applyingLateStart = true
			h.target.start(c)
			h.w.applyingLateStart = false
		})
		h.w.schedule(40*time.Millisecond, func() { answer(runs.NoAnswer) })
	case 1: // the answer is lost
		h.target.start(c)
		h.w.schedule(40*time.Millisecond, func() { answer(runs.NoAnswer) })
	default:
		answer(h.target.start(c))
	}
}

// Stop implements runs.Target.
func (h *simHost) Stop(c runs.StopCall) {
	table := h.table
	answer := func(a runs.Answer) {
		h.w.schedule(step, func() {
			if h.table == table {
				table.Stopped(h.w.now, c, a)
			}
		})
	}
	if h.target.down || h.w.elapsed < h.ordersLostUntil || h.w.draw(10) == 0 {
		h.w.schedule(40*time.Millisecond, func() { answer(runs.NoAnswer) })
		return
	}
	answer(h.target.stop(c))
}

// renew makes one renewal of the lease.
func (h *simHost) renew() {
	c, known := h.table.NextRenewal(h.w.now)
	if !known {
		return
	}
	sentAt, table := h.w.now, h.table
	if h.w.draw(12) == 0 {
		h.w.schedule(60*time.Millisecond, func() {
			if h.table == table {
				table.RenewFailed(h.w.now, c, runs.Unresponsive)
			}
		})
		return
	}
	s := h.target
	if s.down {
		table.RenewFailed(h.w.now, c, runs.Refused)
		return
	}
	if c.Incarnation != s.incarnation {
		table.RenewFailed(h.w.now, c, runs.Replaced)
		return
	}
	if c.Token < s.token {
		table.Renewed(h.w.now, sentAt, c, runs.Listing{ClockMs: s.clock(), StartedMs: s.incarnation.StartedMs, StaleToken: true})
		return
	}
	s.token = c.Token
	if c.LeaseUntilMs > 0 {
		s.extendLease(c.LeaseUntilMs)
	}
	for len(s.ended) > 0 && s.ended[0].Seq <= c.AckCursor {
		s.ended = s.ended[1:]
	}
	l := runs.Listing{ClockMs: s.clock(), StartedMs: s.incarnation.StartedMs, Ended: append([]runs.EndedRun(nil), s.ended...)}
	l.Running = slices.SortedFunc(maps.Keys(s.running), compareRuns)
	h.w.schedule(step, func() {
		if h.table == table {
			table.Renewed(h.w.now, sentAt, c, l)
		}
	})
}

func (h *simHost) announce() {
	if h.target.down {
		return
	}
	h.seq++
	h.target.announcedMilli = h.target.capacityMilli
	h.table.Announce(h.w.now, runs.Announcement{
		Incarnation: h.target.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: h.target.capacityMilli, MemoryMB: 1000}, ClockMs: h.target.clock(), Seq: h.seq,
	})
}
