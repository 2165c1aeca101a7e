package leased_test

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/runs"
)

// simSuccession is a second target of a host beside the one that was there, until one of them ends.
type simSuccession struct {
	second  *simTarget
	reaches int // which target calls reach
	started int
	ended   *simTarget    // the target that has ended last, or nil
	endedAt time.Duration // since the start of the schedule
}

// Which of the two targets calls reach.
const (
	reachFirst = iota
	reachSecond
	reachEither
	reachNamed
	reachKinds
)

// reached returns the target that a call for the target of a name reaches now.
func (h *simHost) reached(name string) *simTarget {
	second := h.succession.second
	if second == nil {
		return h.target
	}
	switch h.succession.reaches {
	case reachFirst:
		return h.target
	case reachSecond:
		return second
	case reachEither:
		if h.w.draw(2) == 0 {
			return second
		}
		return h.target
	}
	if second.incarnation.Name == name {
		return second
	}
	return h.target
}

// named returns the target of a name, or nil if it has ended.
func (h *simHost) named(name string) *simTarget {
	for _, s := range []*simTarget{h.target, h.succession.second} {
		if s != nil && s.incarnation.Name == name {
			return s
		}
	}
	return nil
}

// succeed starts a second target.
func (h *simHost) succeed() {
	w, first, c := h.w, h.target, &h.succession
	if c.second != nil || first.down {
		return
	}
	c.started++
	second := &simTarget{w: w, host: h, n: h.n + hostCount*c.started, capacityMilli: w.defaultCPUMilli()}
	second.restart()
	startedMs := []int64{second.incarnation.StartedMs, first.incarnation.StartedMs, 0, max(0, first.incarnation.StartedMs-1000)}
	second.incarnation.StartedMs = startedMs[w.draw(len(startedMs))]
	second.startedAt = w.now.Add(-time.Duration(w.draw(10_000)) * time.Millisecond)
	second.announcedMilli = second.capacityMilli
	c.second, c.reaches = second, w.draw(reachKinds)
	w.logf("", "target %d started at %d beside %d, started at %d; calls reach %d", second.n, second.incarnation.StartedMs, first.n, first.incarnation.StartedMs, c.reaches)
	first.beat()
	second.beat()
	lasts := time.Duration(w.draw(5000)) * time.Millisecond
	switch w.draw(5) {
	case 0: // the second one crashes
		w.schedule(lasts, func() { h.end(second) })
	case 1: // the first one has crashed
		h.end(first)
	case 2: // the first one crashes later
		w.schedule(lasts, func() { h.end(first) })
	default: // the first one drains
		w.schedule(time.Duration(w.draw(500))*time.Millisecond, func() { first.leaving = true })
		w.schedule(lasts, func() {
			if w.draw(2) == 0 {
				h.table.Deregister(w.now, first.incarnation.Name)
			}
			h.end(first)
		})
	}
}

// end ends one of two targets, and the calls reach the other one.
func (h *simHost) end(s *simTarget) {
	h.w.logf("", "target %d ends", s.n)
	s.endRuns()
	s.gone = true
	if s == h.target {
		h.target = h.succession.second
	}
	h.succession.second, h.succession.ended, h.succession.endedAt = nil, s, h.w.elapsed
}

// beat announces a target again and again. Announcements are delayed, and some arrive again seconds later.
func (s *simTarget) beat() {
	if s.beating {
		return
	}
	s.beating = true
	var next func()
	next = func() {
		if s.gone {
			return
		}
		if a, alive := s.announcement(); alive {
			receive := func() { s.host.receive(s, a) }
			s.w.schedule(time.Duration(s.w.draw(200))*time.Millisecond, receive)
			if s.w.draw(3) == 0 {
				s.w.schedule(time.Duration(s.w.draw(4000))*time.Millisecond, receive)
			}
		}
		s.w.schedule(time.Duration(150+s.w.draw(400))*time.Millisecond, next)
	}
	next()
}

// restore gives a new runner an announcement of the host's target, or else, after a succession, the record of
// any target.
func (h *simHost) restore() {
	recorded := []*simTarget{h.target}
	for _, s := range []*simTarget{h.succession.second, h.succession.ended} {
		if s != nil {
			recorded = append(recorded, s)
		}
	}
	for _, s := range recorded {
		s.announcedSeq = 0
	}
	if len(recorded) > 1 && h.w.draw(2) == 0 {
		s := recorded[h.w.draw(len(recorded))]
		h.w.logf("", "runner %d has a record of target %d", h.n, s.n)
		h.table.Restore(h.w.now, runs.Announcement{Incarnation: s.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: s.announcedMilli, MemoryMB: 1000}, Leaving: s.leaving})
		return
	}
	h.announce()
}
