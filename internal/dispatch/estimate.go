package dispatch

import (
	"slices"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/routing"
	"github.com/camphorrack/camphorrack/internal/scheduler/calibration"
	"github.com/camphorrack/camphorrack/internal/scheduler/headroom"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxLines bounds the queues that are remembered: 140 teams with a few queues each. Queues
// come and go with configurations, so at the bound all are forgotten; those in use are
// known again after some tens of tasks.
const maxLines = 1024

// line returns what is known of a queue's estimates.
func (c *Core) line(queue string) *calibration.Regression {
	line := c.lines[queue]
	if line != nil {
		return line
	}
	if len(c.lines) >= maxLines {
		clear(c.lines)
	}
	line = &calibration.Regression{}
	c.lines[queue] = line
	return line
}

// margin returns how much earlier than their limit jobs of a queue must be predicted to end.
func (c *Core) margin(q *routing.Queue) *headroom.Margin {
	m := c.margins[q.Name]
	if m == nil {
		if len(c.margins) >= maxLines {
			clear(c.margins)
		}
		m = &headroom.Margin{}
		c.margins[q.Name] = m
	}
	m.Priority = q.Priority // a configuration may have changed it
	return m
}

// ended learns from the answer to a job that was let in whether predictions hold. What failed, was
// lost with a host or was left by its caller tells nothing of that.
func (c *Core) ended(l *liveJob, answer Answer) {
	late := answer.Kind == AnswerComplete && c.now.After(l.objective)
	givenUp := answer.Fault != nil && (answer.Fault.Code == fault.Overloaded || answer.Fault.Code == fault.DeadlineExceeded)
	if answer.Kind != AnswerComplete && !givenUp {
		return
	}
	c.margin(l.Queue) // there is one from now on
	for _, m := range c.margins {
		m.RecordOutcome(c.now, l.Queue.Priority, late || givenUp)
	}
}

// calibrated returns the job with its estimates corrected by what those of its queue
// were worth before. The job itself stays as it was sent.
func (c *Core) calibrated(j *Job) *Job {
	line := c.line(j.Queue.Name)
	corrected := *j
	corrected.Steps = slices.Clone(j.Steps)
	for i := range corrected.Steps {
		s := &corrected.Steps[i]
		declaredMs := clock.Millis(s.Estimate)
		line.AddEstimate(declaredMs)
		s.Estimate = clock.FromMillis(line.ExpectedMs(declaredMs))
	}
	return &corrected
}

// learn takes how long a task took, reckoned back to a target of speed 1.
func (c *Core) learn(at *attempt, out *wire.RunOutcome, a *agent) {
	if out.End != wire.EndDone {
		return
	}
	declaredMs := clock.Millis(at.job.asSent.Steps[at.task.step].Estimate)
	c.line(at.job.Queue.Name).AddRunTime(declaredMs, out.RunMs*max(a.load.Speed, minSpeed))
}
