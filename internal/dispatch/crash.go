package dispatch

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/suspicion"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// heldRetryAfter is when the caller of a held job is asked to come back: targets that crash are
// back after some seconds, and then it is known whether they had.
const heldRetryAfter = 3 * time.Second

// hearCrash takes what an agent tells of a life of its target.
func (c *Core) hearCrash(a *agent, crash *wire.Crash) {
	life := suspicion.Life{Target: crash.Target, BornMs: crash.BornMs}
	tasks := make([]suspicion.Task, len(crash.Tasks))
	for i, t := range crash.Tasks {
		tasks[i] = suspicion.Task{Job: t.Job, Step: t.Step, Index: t.Index}
	}
	event.Log(c.log, event.TargetCrashed, "host", a.host, "target", crash.Target, "born_ms", crash.BornMs, "fate", int(crash.Fate), "tasks", len(tasks))
	switch crash.Fate {
	case wire.FateSilent:
		c.suspects.Silent(c.now, life, tasks)
	case wire.FateCrashed:
		c.suspects.Crashed(c.now, life, tasks)
	case wire.FateBack:
		c.suspects.Back(life)
	}
}

// judge returns the worst verdict on the tasks of the job that wait to be started.
func (c *Core) judge(l *liveJob) suspicion.Verdict {
	worst := suspicion.Innocent
	for i := range l.tasks {
		t := &l.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		verdict, crashes := c.suspects.Judge(c.now, suspicion.Task{Job: l.ID, Step: t.step, Index: t.index})
		if verdict == suspicion.Condemned {
			event.Log(c.log, event.TaskCondemned, "job", l.ID, "step", t.step, "task", t.index, "crashes", crashes)
		}
		worst = max(worst, verdict)
	}
	return worst
}

// condemn answers a job as failed where a task of it is not to be started again, since it
// crashes the targets that do.
func (c *Core) condemn(l *liveJob) bool {
	if c.judge(l) != suspicion.Condemned {
		return false
	}
	c.finishCondemned(l)
	return true
}

func (c *Core) finishCondemned(l *liveJob) {
	c.finish(l, Answer{Kind: AnswerFailed, Fault: fault.New(fault.TaskFailed, "a task of it crashes the targets that start it")})
}
