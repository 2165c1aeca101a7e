package leased_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/camphorrack/camphorrack/internal/runs"
)

// simTarget is a target that follows the platform's rules for starts, stops, fencing and leases.
type simTarget struct {
	w           *simWorld
	host        *simHost
	n           int // modulo hostCount that of its host
	incarnation runs.Incarnation
	startedAt   time.Time
	token       int64
	leaseUntil  time.Time
	running     map[runs.RunID]time.Time // with the time when it ends
	failing     map[runs.RunID]bool
	fenced      map[runs.Task]uint64
	ended       []runs.EndedRun
	lastEndSeq  uint64
	// capacityMilli is the target's capacity, and announcedMilli the capacity that it last announced,
	// in thousandths of a core.
	capacityMilli, announcedMilli int
	announcedSeq                  uint64 // of the newest announcement that the runner has got
	// renewed is the life that a runner's renewal last reached, renewedBy that runner, and renewedAt when it was
	// reached first, since the start of the schedule.
	renewed                runs.Incarnation
	renewedBy              *runs.Table
	renewedAt              time.Duration
	down                   bool // it has crashed and not restarted yet
	leaving, gone, beating bool
}

// taskCPUMilli is the demand of each task in thousandths of a core.
const taskCPUMilli = 1000

// defaultCPUMilli returns the initial capacity of a target in thousandths of a core: that of four
// tasks, or of two in every second schedule.
func (w *simWorld) defaultCPUMilli() int { return taskCPUMilli * int(4-2*(w.seed%2)) }

// clock returns the target's own clock in milliseconds.
func (s *simTarget) clock() int64 { return s.w.now.Sub(s.startedAt).Milliseconds() + 5000 }

// restart ends all runs and begins a new incarnation.
func (s *simTarget) restart() {
	s.endRuns()
	s.incarnation = runs.Incarnation{Name: fmt.Sprintf("t%d", s.n), StartedMs: s.w.now.UnixMilli()}
	s.w.logf("", "target %d restarts", s.n)
	s.startedAt, s.token, s.leaseUntil = s.w.now, 0, time.Time{}
	s.running, s.failing = map[runs.RunID]time.Time{}, map[runs.RunID]bool{}
	s.announcedSeq = 0
	s.fenced, s.ended, s.lastEndSeq = map[runs.Task]uint64{}, nil, 0
}

// endRuns ends all runs without listing them.
func (s *simTarget) endRuns() {
	for _, id := range slices.SortedFunc(maps.Keys(s.running), compareRuns) {
		s.w.taskEnded(id, s.n)
	}
	clear(s.running)
}

// crasherPrefix is the prefix of the ids of jobs whose tasks crash the targets that start them.
const crasherPrefix = "c"

// maxCrashes is how many targets a task may crash: three, and two more that had started it by then.
const maxCrashes = 5

// crash ends the incarnation in which a crashing task was started, if the task still runs. The
// target restarts, within a few steps in one of two cases, and is announced again after up to 3 s.
func (s *simTarget) crash(id runs.RunID, incarnation runs.Incarnation) {
	if _, running := s.running[id]; !running || s.incarnation != incarnation {
		return
	}
	s.w.crashes[id.Task]++
	s.w.logf(id.Task.Job, "task %d crashes target %d", id.Task.Index, s.n)
	if s.w.crashes[id.Task] > maxCrashes {
		s.w.fail(id.Task.Job, "task %v crashes target after target", id.Task)
	}
	s.restart()
	s.down = true
	if s.w.draw(2) == 0 {
		s.w.schedule(time.Duration(s.w.draw(30))*time.Millisecond, func() { s.down = false })
		s.w.schedule(time.Duration(30+s.w.draw(500))*time.Millisecond, s.announce)
		return
	}
	s.w.schedule(time.Duration(s.w.draw(3000))*time.Millisecond, func() {
		s.down = false
		s.announce()
	})
}

// accepts reports whether the target carries out a call. It can't tell one that was meant for an earlier
// life, because a call names the target alone.
func (s *simTarget) accepts(incarnation runs.Incarnation) bool {
	return !s.down && !s.gone && incarnation.Name == s.incarnation.Name
}

// extendLease extends the lease up to a time of the target's clock, at most by the lease duration.
func (s *simTarget) extendLease(untilMs int64) {
	until := s.w.now.Add(min(time.Duration(untilMs-s.clock())*time.Millisecond, maxLease))
	if until.After(s.leaseUntil) {
		s.leaseUntil = until
	}
}

func (s *simTarget) start(c runs.StartCall) runs.Answer {
	switch {
	case !s.accepts(c.Incarnation):
		return runs.OtherIncarnation
	case c.Token < s.token:
		return runs.StaleToken
	}
	s.token = c.Token
	if _, running := s.running[c.Run]; running {
		return runs.Accepted
	}
	s.extendLease(c.LeaseUntilMs)
	switch {
	case c.Run.Number <= s.fenced[c.Run.Task]:
		return runs.StaleRun
	case c.LeaseUntilMs <= s.clock():
		return runs.LeaseExpired
	}
	if !s.w.applyingLateStart && (len(s.running)+1)*taskCPUMilli > s.announcedMilli {
		s.w.fail(c.Run.Task.Job, "task %v starts on host %d beside %d others, but its target announced a capacity of %d", c.Run.Task, s.n, len(s.running), s.announcedMilli)
	}
	if strings.HasPrefix(c.Run.Task.Job, crasherPrefix) {
		incarnation := s.incarnation
		s.w.schedule(time.Duration(10+s.w.draw(200))*time.Millisecond, func() { s.crash(c.Run, incarnation) })
	}
	runMs := 20 + s.w.draw(400)
	if s.w.draw(4) == 0 {
		runMs += s.w.draw(6000) // the task hangs, in most cases longer than resendDelay
	}
	s.running[c.Run] = s.w.now.Add(time.Duration(runMs) * time.Millisecond)
	s.failing[c.Run] = s.w.draw(15) == 0
	s.w.taskStarted(c.Run, s.n)
	return runs.Accepted
}

func (s *simTarget) stop(c runs.StopCall) runs.Answer {
	switch {
	case !s.accepts(c.Incarnation):
		return runs.OtherIncarnation
	case c.Token < s.token:
		return runs.StaleToken
	}
	s.token = c.Token
	s.fenced[c.Run.Task] = max(s.fenced[c.Run.Task], c.Run.Number)
	if _, running := s.running[c.Run]; running {
		s.finish(c.Run, runs.Stopped)
	}
	return runs.Accepted
}

// finish ends a run and fences it and all earlier runs of its task.
func (s *simTarget) finish(id runs.RunID, end runs.End) {
	delete(s.running, id)
	s.fenced[id.Task] = max(s.fenced[id.Task], id.Number)
	s.lastEndSeq++
	s.ended = append(s.ended, runs.EndedRun{Seq: s.lastEndSeq, Run: id, End: end})
	s.w.taskEnded(id, s.n)
	if end == runs.Done {
		s.w.done[id.Task]++
	}
}

// advance ends the runs whose lease has expired or that are due.
func (s *simTarget) advance() {
	for _, id := range slices.SortedFunc(maps.Keys(s.running), compareRuns) {
		endsAt := s.running[id]
		switch {
		case !s.w.now.Before(s.leaseUntil):
			s.finish(id, runs.Stopped)
		case !s.w.now.Before(endsAt) && s.failing[id]:
			s.finish(id, runs.Failed)
		case !s.w.now.Before(endsAt):
			s.finish(id, runs.Done)
		}
	}
}
