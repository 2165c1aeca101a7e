package dispatch

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
)

// On a target where tasks stand still nothing ends and nothing fails: a job with one
// task there is held until its caller leaves, with all its other tasks done. A task
// that takes far longer than predicted is stopped and started elsewhere where that
// still pays, and else its job is given up at once, so that its caller can act.
const (
	// overdueFactor is how many times its predicted time a task may take. Estimates
	// and work are each off by two fifths; were both log-normal, one task in a hundred
	// would take four times as long for that alone.
	overdueFactor = 4
	// shunnedFactor is the same on a target of which its agent says that it stands
	// still.
	shunnedFactor = 2
	// overdueMargin keeps tasks of some tens of milliseconds from being stopped for one
	// slow turn of a host.
	overdueMargin = 60 * time.Millisecond
	// stopWait is how long the stop of an overdue task may go unreported: a stop takes
	// 50 ms at most, and a few more where its answer is lost.
	stopWait = 150 * time.Millisecond
)

// moveOverdue stops the job's tasks that take too long.
func (c *Core) moveOverdue(l *liveJob) {
	if l.answered || l.ending {
		return
	}
	for i := range l.tasks {
		at := l.tasks[i].attempt
		if at == nil || at.agent == nil || !c.overdue(at) {
			continue
		}
		if !at.movedAt.IsZero() {
			if c.now.Sub(at.movedAt) < stopWait {
				continue
			}
			c.giveUp(l, fault.New(fault.OutcomeUnknown, "a task of it stands still, and its stop is not reported"))
			return
		}
		event.Log(c.log, event.TaskOverdue, "job", l.ID, "step", at.task.step, "task", at.task.index, "host", at.agent.host,
			"target", at.agent.targetName(), "after_ms", clock.Millis(c.now.Sub(at.placedAt)), "expected_ms", clock.Millis(at.expected),
			"shunned", at.agent.load.Shunned, "speed", at.agent.load.Speed, "load_age_ms", clock.Millis(c.now.Sub(at.agent.loadAt)))
		if !c.worthPlacing(l, at.task) {
			l.mayHave = true // it was sent, and is not proved not to have begun
			c.giveUp(l, fault.New(fault.DeadlineExceeded, "a task of it stands still, and it can't be done in time elsewhere"))
			return
		}
		at.movedAt = c.now
		l.mayHave = true // it was sent, and is not proved not to have begun
		at.agent.out.Recalls = append(at.agent.out.Recalls, at.seq)
		at.agent.dirty = true
		c.counts.Recalls++
	}
}

func (c *Core) overdue(at *attempt) bool {
	factor := time.Duration(overdueFactor)
	if at.agent.load.Shunned {
		factor = shunnedFactor
	}
	return c.now.Sub(at.placedAt) > factor*at.expected+overdueMargin
}
