package dispatch

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
)

// On a target where tasks make no progress, tasks neither end nor fail. A job with one task
// there would wait until its caller disconnects, although all its other tasks are done.
// Therefore a task that takes far longer than predicted is stopped and started on another
// target if it can still end in time. Otherwise its job is given up immediately, so that
// the caller can react. A run past this limit continues while it is more likely long than
// hung (keepRunning).
const (
	// overdueFactor times the predicted time is how long a task may take. Estimates and
	// actual work each deviate by two fifths. If both were log-normal, one task in a
	// hundred would take four times as long for that reason alone.
	overdueFactor = 4
	// rejectingFactor is the same factor for a target whose agent asks for no new
	// tasks, because the target rejects starts or most of its tasks are stalled.
	rejectingFactor = 2
	// overdueMargin is added to the limit, so that tasks of some tens of milliseconds
	// are not stopped because of one short stall of a host.
	overdueMargin = 60 * time.Millisecond
	// maxStopWait is how long the report of an overdue task's stop may take. A stop takes
	// at most 50 ms, and a few more if its reply is lost.
	maxStopWait = 150 * time.Millisecond
)

// recallOverdueTasks recalls the overdue tasks of the job; they are placed again once their
// stop is reported. It gives the job up if a stop is not reported in time or another run
// could not end in time.
func (c *Core) recallOverdueTasks(l *liveJob) {
	if l.answered || l.givingUp {
		return
	}
	for i := range l.tasks {
		at := l.tasks[i].attempt
		if at == nil || at.agent == nil || !c.isOverdue(at) {
			continue
		}
		if !at.recalledAt.IsZero() {
			if c.now.Sub(at.recalledAt) < maxStopWait {
				continue
			}
			c.giveUp(l, fault.New(fault.OutcomeUnknown, "a task of it stands still, and its stop is not reported"))
			return
		}
		if c.keepRunning(l, at) {
			continue
		}
		event.Log(c.log, event.TaskOverdue, "job", l.ID, "step", at.task.step, "task", at.task.index, "host", at.agent.host,
			"target", at.target, "after_ms", clock.Millis(c.now.Sub(at.placedAt)), "expected_ms", clock.Millis(at.expectedTime),
			"shunned", at.targetRejecting(), "speed", at.agent.load.Speed, "load_age_ms", clock.Millis(c.now.Sub(at.agent.loadAt)))
		if !c.worthPlacing(l, at.task) {
			l.mayHaveRun = true // the order was sent and may have started
			c.giveUp(l, fault.New(fault.DeadlineExceeded, "a task of it stands still, and it can't be done in time elsewhere"))
			return
		}
		at.recalledAt = c.now
		l.mayHaveRun = true // the order was sent and may have started
		at.agent.outgoing.Recalls = append(at.agent.outgoing.Recalls, at.seq)
		at.agent.hasOutgoing = true
		c.counts.Recalls++
	}
}

// isOverdue reports whether an attempt takes far longer than predicted by the first estimate of its
// job. Nothing is predicted for a step without an estimate.
func (c *Core) isOverdue(at *attempt) bool {
	if at.job.Steps[at.task.step].Estimate <= 0 {
		return false
	}
	factor := time.Duration(overdueFactor)
	if at.targetRejecting() {
		factor = rejectingFactor
	}
	return c.now.Sub(at.placedAt) > factor*at.firstExpectedTime()+overdueMargin
}
