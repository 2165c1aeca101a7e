package leased_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/camphorrack/camphorrack/internal/runs"
)

// simTarget is a target that keeps the platform's rules.
type simTarget struct {
	w       *simWorld
	n       int
	life    runs.Incarnation
	born    time.Time
	token   int64
	until   time.Time
	running map[runs.RunID]time.Time // and when it ends
	failing map[runs.RunID]bool
	fenced  map[runs.Task]uint64
	ended   []runs.EndedRun
	ends    uint64
	// capacityMilli is what the target has; saidMilli is what it last said of that.
	capacityMilli, saidMilli int
	silent                   bool // it has crashed and is not back
}

// taskMilli is what each task takes, and usualMilli what a target has as a rule.
const taskMilli, usualMilli = 1000, 4000

func (s *simTarget) clock() int64 { return s.w.now.Sub(s.born).Milliseconds() + 5000 }

func (s *simTarget) reborn() {
	for id := range s.running {
		s.w.over(id, s.n)
	}
	s.life = runs.Incarnation{Name: fmt.Sprintf("t%d", s.n), StartedMs: s.w.now.UnixMilli()}
	s.born, s.token, s.until = s.w.now, 0, time.Time{}
	s.running, s.failing = map[runs.RunID]time.Time{}, map[runs.RunID]bool{}
	s.fenced, s.ended, s.ends = map[runs.Task]uint64{}, nil, 0
}

// crasher begins the ids of jobs whose tasks crash the targets that start them.
const crasher = "c"

// mostCrashes is how many targets a crasher may take down: three, and two more that had started
// it by then.
const mostCrashes = 5

// crashedBy ends the life in which a crasher was started; the next one begins some time later.
func (s *simTarget) crashedBy(id runs.RunID, life runs.Incarnation) {
	if _, there := s.running[id]; !there || s.life != life {
		return
	}
	s.w.crashes[id.Task]++
	s.w.note(id.Task.Job, "task %d crashes target %d", id.Task.Index, s.n)
	if s.w.crashes[id.Task] > mostCrashes {
		s.w.fail(id.Task.Job, "task %v crashes target after target", id.Task)
	}
	s.reborn()
	s.silent = true
	s.w.at(time.Duration(s.w.draw(3000))*time.Millisecond, func() {
		s.silent = false
		s.w.hosts[s.n].announce()
	})
}

func (s *simTarget) take(untilMs int64) {
	until := s.w.now.Add(min(time.Duration(untilMs-s.clock())*time.Millisecond, lease))
	if until.After(s.until) {
		s.until = until
	}
}

func (s *simTarget) start(c runs.StartCall) runs.Answer {
	switch {
	case c.Incarnation != s.life:
		return runs.OtherIncarnation
	case c.Token < s.token:
		return runs.StaleToken
	}
	s.token = c.Token
	if _, there := s.running[c.Run]; there {
		return runs.Accepted
	}
	s.take(c.LeaseUntilMs)
	switch {
	case c.Run.Number <= s.fenced[c.Run.Task]:
		return runs.StaleRun
	case c.LeaseUntilMs <= s.clock():
		return runs.LeaseExpired
	}
	if !s.w.carriedOutLate && (len(s.running)+1)*taskMilli > s.saidMilli {
		s.w.fail(c.Run.Task.Job, "task %v starts on host %d beside %d others, whose target has said that it has %d", c.Run.Task, s.n, len(s.running), s.saidMilli)
	}
	if strings.HasPrefix(c.Run.Task.Job, crasher) {
		life := s.life
		s.w.at(time.Duration(10+s.w.draw(200))*time.Millisecond, func() { s.crashedBy(c.Run, life) })
	}
	took := 20 + s.w.draw(400)
	if s.w.draw(4) == 0 {
		took += s.w.draw(6000) // it stands still: long past the resend
	}
	s.running[c.Run] = s.w.now.Add(time.Duration(took) * time.Millisecond)
	s.failing[c.Run] = s.w.draw(15) == 0
	s.w.began(c.Run, s.n)
	return runs.Accepted
}

func (s *simTarget) stop(c runs.StopCall) runs.Answer {
	switch {
	case c.Incarnation != s.life:
		return runs.OtherIncarnation
	case c.Token < s.token:
		return runs.StaleToken
	}
	s.token = c.Token
	s.fenced[c.Run.Task] = max(s.fenced[c.Run.Task], c.Run.Number)
	if _, there := s.running[c.Run]; there {
		s.finish(c.Run, runs.Stopped)
	}
	return runs.Accepted
}

func (s *simTarget) finish(id runs.RunID, how runs.End) {
	delete(s.running, id)
	s.fenced[id.Task] = max(s.fenced[id.Task], id.Number)
	s.ends++
	s.ended = append(s.ended, runs.EndedRun{Seq: s.ends, Run: id, End: how})
	s.w.over(id, s.n)
	if how == runs.Done {
		s.w.done[id.Task]++
	}
}

func (s *simTarget) pass() {
	for id, at := range s.running {
		switch {
		case !s.w.now.Before(s.until):
			s.finish(id, runs.Stopped)
		case !s.w.now.Before(at) && s.failing[id]:
			s.finish(id, runs.Failed)
		case !s.w.now.Before(at):
			s.finish(id, runs.Done)
		}
	}
}
