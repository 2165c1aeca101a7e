// Package crashloop decides which tasks crash the targets that start them, from what ran
// where when targets crashed.
//
// The load it answers: now and then a task comes that takes down each target on which it
// starts. Tried again and again it empties the fleet, and everybody's work with it. But
// whatever else ran on a crashed target looks alike, and targets also crash by themselves,
// many at a time where a rack or a data centre loses power. A sound job that is answered
// as failed is lost to its caller.
//
// A crash counts less against a task where several targets without any task of its job
// crashed at the same moment: something else took those down. Two crashes that stand for
// themselves make a crash loop, and so do three of any kind, which bounds what a task can take
// down in the worst case.
package crashloop

import (
	"slices"
	"time"
)

const (
	// enoughCrashes make a crash loop where nothing else explains them.
	enoughCrashes = 2
	// mostCrashes make one in any case.
	mostCrashes = 3
	// sameMoment is how far apart crashes with one cause may be: a loss of power takes all
	// down at once, and runners find a silent target within some hundred milliseconds.
	sameMoment = 300 * time.Millisecond
	// explainedBy is how many other targets that crash at the same moment explain a crash.
	explainedBy = 2
	// remembered is how long a crash counts: many times longer than callers ask again.
	remembered = time.Minute
	// mostRemembered bounds the crashes that are remembered, and mostTasks the tasks that they
	// name, some megabytes; the oldest go first.
	mostRemembered = 1024
	mostTasks      = 32_768
)

// Task names a task, in whichever coming of its job.
type Task struct {
	Job         string
	Step, Index int
}

// Incarnation names one life of a target.
type Incarnation struct {
	Target    string
	StartedMs int64
}

// Verdict is what is known of a task.
type Verdict uint8

// Verdicts.
const (
	Clear Verdict = iota
	// Quarantined tasks may have crashed several targets: some of these don't answer, and whether
	// they have crashed is known once they are back.
	Quarantined
	// CrashLoop tasks have crashed the targets that started them.
	CrashLoop
)

// crash is a target that crashed, or that does not answer, with tasks at work.
type crash struct {
	life   Incarnation
	at     time.Time
	proven bool
	tasks  map[Task]struct{}
	jobs   map[string]struct{}
}

// row is what one crash says of one task.
type row struct {
	explained bool
	others    int // other tasks that were at work there
}

// Detector remembers crashes. It is not safe for concurrent use.
type Detector struct {
	crashes []*crash
	byTask  map[Task][]*crash
	tasks   int // that the crashes name
	// isLoop decides from the proven crashes under a task.
	isLoop func([]row) bool
}

// New returns an empty ledger.
func New() *Detector { return newLedger(standAlone) }

func newLedger(isLoop func([]row) bool) *Detector {
	return &Detector{byTask: map[Task][]*crash{}, isLoop: isLoop}
}

// standAlone takes two crashes that nothing else explains, or three of any kind, for a loop.
func standAlone(rows []row) bool {
	alone := 0
	for _, r := range rows {
		if !r.explained {
			alone++
		}
	}
	return alone >= enoughCrashes || len(rows) >= mostCrashes
}

// RecordUnresponsive takes that a target with tasks at work does not answer.
func (l *Detector) RecordUnresponsive(now time.Time, life Incarnation, tasks []Task) {
	l.note(now, life, tasks, false)
}

// RecordCrash takes that a target's life has ended with tasks at work. A crash that was said to
// be a silence before keeps the time of that.
func (l *Detector) RecordCrash(now time.Time, life Incarnation, tasks []Task) {
	l.note(now, life, tasks, true)
}

// RecordRecovery takes that a target that did not answer has gone on with its life.
func (l *Detector) RecordRecovery(life Incarnation) {
	for i, c := range l.crashes {
		if c.life == life && !c.proven {
			l.crashes = slices.Delete(l.crashes, i, i+1)
			l.forget(c)
			return
		}
	}
}

func (l *Detector) forget(c *crash) {
	l.tasks -= len(c.tasks)
	for t := range c.tasks {
		left := slices.DeleteFunc(l.byTask[t], func(o *crash) bool { return o == c })
		if len(left) == 0 {
			delete(l.byTask, t)
			continue
		}
		l.byTask[t] = left
	}
}

func (l *Detector) note(now time.Time, life Incarnation, tasks []Task, proven bool) {
	l.expire(now)
	c := l.find(life)
	if c == nil {
		c = &crash{life: life, at: now, tasks: map[Task]struct{}{}, jobs: map[string]struct{}{}}
		l.crashes = append(l.crashes, c)
	}
	c.proven = c.proven || proven
	for _, t := range tasks {
		if _, there := c.tasks[t]; there {
			continue
		}
		l.tasks++
		c.tasks[t] = struct{}{}
		c.jobs[t.Job] = struct{}{}
		l.byTask[t] = append(l.byTask[t], c)
	}
}

func (l *Detector) find(life Incarnation) *crash {
	for _, c := range l.crashes {
		if c.life == life {
			return c
		}
	}
	return nil
}

func (l *Detector) expire(now time.Time) {
	for len(l.crashes) > 0 && (now.Sub(l.crashes[0].at) > remembered || len(l.crashes) >= mostRemembered || l.tasks >= mostTasks) {
		l.forget(l.crashes[0])
		l.crashes = slices.Delete(l.crashes, 0, 1)
	}
}

// Classify returns what is thought of a task, and how many targets have crashed under it.
func (l *Detector) Classify(now time.Time, t Task) (v Verdict, crashes int) {
	var rows []row
	silent := 0
	for _, c := range l.byTask[t] {
		if now.Sub(c.at) > remembered {
			continue
		}
		if !c.proven {
			silent++
			continue
		}
		rows = append(rows, row{explained: l.explained(c, t.Job), others: len(c.tasks) - 1})
	}
	switch {
	case l.isLoop(rows):
		return CrashLoop, len(rows)
	case silent > 0 && len(rows)+silent >= enoughCrashes:
		return Quarantined, len(rows)
	}
	return Clear, len(rows)
}

// explained reports whether enough other targets crashed, or fell silent, at the same moment that
// ran nothing of the job. The tasks of a job start together, so several may each crash a target at
// once; these don't explain each other.
func (l *Detector) explained(c *crash, job string) bool {
	others := 0
	for _, o := range l.crashes {
		if o == c || o.at.Sub(c.at).Abs() > sameMoment {
			continue
		}
		if _, shared := o.jobs[job]; !shared {
			others++
		}
	}
	return others >= explainedBy
}
