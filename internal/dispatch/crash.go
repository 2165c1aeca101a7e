package dispatch

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/crashloop"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// quarantineRetryAfter is when the caller of a quarantined job is asked to come back: targets that
// crash are back after some seconds, and then it is known whether they had.
const quarantineRetryAfter = 3 * time.Second

// hearCrash takes what an agent tells of a life of its target.
func (c *Core) hearCrash(a *agent, crash *wire.Crash) {
	life := crashloop.Incarnation{Target: crash.Target, StartedMs: crash.BornMs}
	tasks := make([]crashloop.Task, len(crash.Tasks))
	for i, t := range crash.Tasks {
		tasks[i] = crashloop.Task{Job: t.Job, Step: t.Step, Index: t.Index}
	}
	event.Log(c.log, event.TargetCrashed, "host", a.host, "target", crash.Target, "born_ms", crash.BornMs, "fate", int(crash.Fate), "tasks", len(tasks))
	switch crash.Fate {
	case wire.FateSilent:
		c.crashes.RecordUnresponsive(c.now, life, tasks)
	case wire.FateCrashed:
		c.crashes.RecordCrash(c.now, life, tasks)
	case wire.FateBack:
		c.crashes.RecordRecovery(life)
	}
}

// judge returns the worst verdict on the tasks of the job that wait to be started.
func (c *Core) judge(l *liveJob) crashloop.Verdict {
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

// endCrashLoop answers a job as failed where a task of it is not to be started again, since it
// crashes the targets that do.
func (c *Core) endCrashLoop(l *liveJob) bool {
	if c.judge(l) != crashloop.CrashLoop {
		return false
	}
	c.finishCrashLoop(l)
	return true
}

func (c *Core) finishCrashLoop(l *liveJob) {
	c.finish(l, Answer{Kind: AnswerFailed, Fault: fault.New(fault.TaskFailed, "a task of it crashes the targets that start it")})
}
