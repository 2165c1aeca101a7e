package dispatch

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/crashloop"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// quarantineRetryAfter is the retry delay for the caller of a quarantined job. Crashed targets
// restart within some seconds; by then it is known whether they had crashed.
const quarantineRetryAfter = 3 * time.Second

// recordCrash passes an agent's report on an incarnation of its target to the crash loop
// detector: that it does not answer, has crashed, or answers again.
func (c *Core) recordCrash(a *agent, crash *wire.Crash) {
	incarnation := crashloop.Incarnation{Target: crash.Target, StartedMs: crash.StartedMs}
	tasks := make([]crashloop.Task, len(crash.Tasks))
	for i, t := range crash.Tasks {
		tasks[i] = crashloop.Task{Job: t.Job, Step: t.Step, Index: t.Index}
	}
	event.Log(c.log, event.TargetCrashed, "host", a.host, "target", crash.Target, "born_ms", crash.StartedMs, "fate", int(crash.Fate), "tasks", len(tasks))
	switch crash.Fate {
	case wire.FateUnresponsive:
		c.crashes.RecordUnresponsive(c.now, incarnation, tasks)
	case wire.FateCrashed:
		c.crashes.RecordCrash(c.now, incarnation, tasks)
	case wire.FateRecovered:
		c.crashes.RecordRecovery(incarnation)
	}
}

// crashLoopVerdict returns the worst verdict on the waiting tasks of the job.
func (c *Core) crashLoopVerdict(l *liveJob) crashloop.Verdict {
	worst := crashloop.Clear
	for i := range l.tasks {
		t := &l.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		verdict, crashes := c.crashes.Classify(c.now, crashloop.Task{Job: l.ID, Step: t.step, Index: t.index})
		if verdict == crashloop.CrashLoop {
			event.Log(c.log, event.TaskCrashLoop, "job", l.ID, "step", t.step, "task", t.index, "crashes", crashes)
		}
		worst = max(worst, verdict)
	}
	return worst
}

// endIfCrashLoop answers a job as failed if one of its waiting tasks crashes the targets that start
// it, and gives it up if that is suspected. It reports whether it did.
func (c *Core) endIfCrashLoop(l *liveJob) bool {
	switch c.crashLoopVerdict(l) {
	case crashloop.CrashLoop:
		c.failCrashLoop(l)
	case crashloop.Suspected:
		c.giveUp(l, fault.New(fault.Suspected, "targets that may have run a task of it have crashed"))
	default:
		return false
	}
	return true
}

// failCrashLoop answers a job as failed because of a crash loop.
func (c *Core) failCrashLoop(l *liveJob) {
	c.finish(l, Answer{Kind: AnswerFailed, Fault: fault.New(fault.TaskFailed, "a task of it crashes the targets that start it")})
}
