// Package crashloop detects tasks that crash the targets they run on, from the tasks that
// were running on each target when it crashed.
//
// Occasionally a task crashes every target that starts it. Retried without limit, it takes
// down the whole fleet and all other work with it. But the other tasks on a crashed target
// look just as suspicious, and targets also crash for other reasons, many at a time if a rack
// or a data centre loses power. A sound job that is wrongly answered as failed is lost to its
// caller.
//
// A crash is explained, with regard to a task, if several targets without any task of its job
// crashed at the same moment: these have another cause. A task is in a crash loop after two
// unexplained crashes, or after three of any kind, which bounds the number of targets that one
// task can crash. Only crashes count for which it is known that the task was running: a start that
// was not answered may never have been carried out, and a run on an unresponsive target may have
// ended before the crash. With three targets that crashed or don't respond, of which some only may
// have run it, a task is suspected: it is not started again, but nothing is known of it.
package crashloop

import (
	"slices"
	"time"
)

const (
	// minUnexplainedCrashes is the number of unexplained crashes that make a crash loop.
	minUnexplainedCrashes = 2
	// maxCrashes is the number of crashes that make a crash loop even if they are explained.
	maxCrashes = 3
	// simultaneousWindow is the largest interval between crashes with one cause. A power loss
	// stops all targets at once, and runners detect an unresponsive target within some hundred
	// milliseconds.
	simultaneousWindow = 300 * time.Millisecond
	// minSimultaneousCrashes is the number of other targets crashing at the same moment that
	// explains a crash.
	minSimultaneousCrashes = 2
	// retention is how long a crash counts. It is many times longer than the interval at which
	// callers retry.
	retention = time.Minute
	// maxCrashRecords bounds the number of stored crashes, and maxTaskRecords that of the tasks
	// in them, to some megabytes in total. The oldest crashes are dropped first.
	maxCrashRecords = 1024
	maxTaskRecords  = 32_768
)

// Task identifies a task. It stays the same when the job is submitted again.
type Task struct {
	Job         string
	Step, Index int
}

// Incarnation identifies one process of a target. A target that restarts under the same name is
// another incarnation.
type Incarnation struct {
	Target    string
	StartedMs int64 // start time in milliseconds, as the target reports it
}

// Verdict is the classification of a task.
type Verdict uint8

// Verdicts, in order of severity.
const (
	Clear Verdict = iota
	// Quarantined tasks may have crashed several targets. Some of these are unresponsive, and
	// whether they crashed is known when they respond again.
	Quarantined
	// Suspected tasks may have crashed as many targets as make a crash loop.
	Suspected
	// CrashLoop tasks have crashed the targets that started them.
	CrashLoop
)

// crashRecord is an incarnation that crashed or became unresponsive.
type crashRecord struct {
	incarnation Incarnation
	at          time.Time
	confirmed   bool // crashed, not only unresponsive
	// tasks are those that may have been running; the value states that it is certain. jobs are
	// the jobs of those that were running.
	tasks map[Task]bool
	jobs  map[string]struct{}
}

// evidence is the part of one confirmed crash that counts against one task.
type evidence struct {
	explained  bool
	otherTasks int // number of other tasks that ran on the target
}

// Detector stores crashes and classifies tasks by them. It is not safe for concurrent use.
type Detector struct {
	crashes     []*crashRecord
	byTask      map[Task][]*crashRecord
	taskRecords int // sum of the tasks over crashes
	// isLoop reports whether the confirmed crashes of a task make a crash loop.
	isLoop func([]evidence) bool
}

// New returns a detector without crashes.
func New() *Detector { return newDetector(hasUnexplainedCrashes) }

func newDetector(isLoop func([]evidence) bool) *Detector {
	return &Detector{byTask: map[Task][]*crashRecord{}, isLoop: isLoop}
}

// hasUnexplainedCrashes reports two unexplained crashes, or three of any kind, as a crash loop.
func hasUnexplainedCrashes(crashes []evidence) bool {
	unexplained := 0
	for _, e := range crashes {
		if !e.explained {
			unexplained++
		}
	}
	return unexplained >= minUnexplainedCrashes || len(crashes) >= maxCrashes
}

// RecordUnresponsive records that a target does not respond or has crashed, and tasks that may have
// been running.
func (d *Detector) RecordUnresponsive(now time.Time, incarnation Incarnation, tasks []Task) {
	d.record(now, incarnation, tasks, false)
}

// RecordCrash records that an incarnation has ended, and the tasks that were running. If it was
// recorded as unresponsive before, it keeps the time of that, and the tasks of that record may have
// been running.
func (d *Detector) RecordCrash(now time.Time, incarnation Incarnation, tasks []Task) {
	d.record(now, incarnation, tasks, true)
}

// RecordRecovery drops the record of an unresponsive target that responds again in the same
// incarnation.
func (d *Detector) RecordRecovery(incarnation Incarnation) {
	for i, c := range d.crashes {
		if c.incarnation == incarnation && !c.confirmed {
			d.crashes = slices.Delete(d.crashes, i, i+1)
			d.unindex(c)
			return
		}
	}
}

// unindex removes a crash from byTask and taskRecords.
func (d *Detector) unindex(c *crashRecord) {
	d.taskRecords -= len(c.tasks)
	for t := range c.tasks {
		left := slices.DeleteFunc(d.byTask[t], func(o *crashRecord) bool { return o == c })
		if len(left) == 0 {
			delete(d.byTask, t)
			continue
		}
		d.byTask[t] = left
	}
}

func (d *Detector) record(now time.Time, incarnation Incarnation, tasks []Task, confirmed bool) {
	d.expire(now)
	c := d.find(incarnation)
	if c == nil {
		c = &crashRecord{incarnation: incarnation, at: now, tasks: map[Task]bool{}, jobs: map[string]struct{}{}}
		d.crashes = append(d.crashes, c)
	}
	c.confirmed = c.confirmed || confirmed
	for _, t := range tasks {
		running, known := c.tasks[t]
		c.tasks[t] = running || confirmed
		if confirmed {
			c.jobs[t.Job] = struct{}{}
		}
		if !known {
			d.taskRecords++
			d.byTask[t] = append(d.byTask[t], c)
		}
	}
}

func (d *Detector) find(incarnation Incarnation) *crashRecord {
	for _, c := range d.crashes {
		if c.incarnation == incarnation {
			return c
		}
	}
	return nil
}

func (d *Detector) expire(now time.Time) {
	for len(d.crashes) > 0 && (now.Sub(d.crashes[0].at) > retention || len(d.crashes) >= maxCrashRecords || d.taskRecords >= maxTaskRecords) {
		d.unindex(d.crashes[0])
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
}

// Classify returns the verdict on a task and the number of crashes of targets that were
// running it.
func (d *Detector) Classify(now time.Time, t Task) (v Verdict, crashes int) {
	var confirmed []evidence
	unresponsive, possible := 0, 0
	for _, c := range d.byTask[t] {
		switch {
		case now.Sub(c.at) > retention:
		case !c.confirmed:
			unresponsive++
		case !c.tasks[t]:
			possible++
		default:
			confirmed = append(confirmed, evidence{explained: d.explained(c, t.Job), otherTasks: len(c.tasks) - 1})
		}
	}
	switch {
	case d.isLoop(confirmed):
		return CrashLoop, len(confirmed)
	case len(confirmed)+possible+unresponsive >= maxCrashes:
		return Suspected, len(confirmed)
	case unresponsive > 0 && len(confirmed)+unresponsive >= minUnexplainedCrashes:
		return Quarantined, len(confirmed)
	}
	return Clear, len(confirmed)
}

// explained reports whether enough other targets that ran no task of the job crashed, or became
// unresponsive, at the same moment. Targets that ran tasks of the job don't count: its tasks start
// together, and several of them may crash a target each.
func (d *Detector) explained(c *crashRecord, job string) bool {
	others := 0
	for _, o := range d.crashes {
		if o == c || o.at.Sub(c.at).Abs() > simultaneousWindow {
			continue
		}
		if _, shared := o.jobs[job]; !shared {
			others++
		}
	}
	return others >= minSimultaneousCrashes
}
