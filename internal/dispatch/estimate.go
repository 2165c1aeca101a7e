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

// maxQueues limits the number of calibrations, and that of margins. It suffices for 140 teams
// with a few queues each. Configurations add and remove queues, so at the limit the whole map
// is cleared; a queue in use is calibrated again after some tens of tasks.
const maxQueues = 1024

// calibration returns the correction of a queue's estimates, and creates it if needed.
func (c *Core) calibration(queue string) *calibration.Regression {
	cal := c.calibrations[queue]
	if cal != nil {
		return cal
	}
	if len(c.calibrations) >= maxQueues {
		clear(c.calibrations)
	}
	cal = &calibration.Regression{}
	c.calibrations[queue] = cal
	return cal
}

// margin returns the admission margin of a queue, and creates it if needed. It states how
// much earlier than their limit jobs that must wait have to be predicted to end.
func (c *Core) margin(q *routing.Queue) *headroom.Margin {
	m := c.margins[q.Name]
	if m == nil {
		if len(c.margins) >= maxQueues {
			clear(c.margins)
		}
		m = &headroom.Margin{}
		c.margins[q.Name] = m
	}
	m.Priority = q.Priority // a configuration may have changed it
	return m
}

// updateMargins adjusts the margins of all queues by the answer to an admitted job: whether
// it was in time, or late or given up for lack of time. Jobs that failed, lost their host
// or were abandoned by their caller are ignored, because they say nothing about the
// accuracy of predictions.
func (c *Core) updateMargins(l *liveJob, answer Answer) {
	late := answer.Kind == AnswerComplete && c.now.After(l.objective)
	givenUp := answer.Fault != nil && (answer.Fault.Code == fault.Overloaded || answer.Fault.Code == fault.DeadlineExceeded)
	if answer.Kind != AnswerComplete && !givenUp {
		return
	}
	c.margin(l.Queue) // ensures that the queue has a margin
	for _, m := range c.margins {
		m.RecordOutcome(c.now, l.Queue.Priority, late || givenUp)
	}
}

// calibrated records the estimates of a submitted job in the calibration of its queue, and
// returns a copy of the job with corrected ones.
func (c *Core) calibrated(j *Job) *Job {
	cal := c.calibration(j.Queue.Name)
	for i := range j.Steps {
		cal.AddEstimate(clock.Millis(j.Steps[i].Estimate))
	}
	return c.expected(j)
}

// expected returns a copy of the job with its estimates corrected by the calibration of its queue.
func (c *Core) expected(j *Job) *Job {
	cal := c.calibration(j.Queue.Name)
	corrected := *j
	corrected.Steps = slices.Clone(j.Steps)
	for i := range corrected.Steps {
		s := &corrected.Steps[i]
		s.Estimate = clock.FromMillis(cal.ExpectedMs(clock.Millis(s.Estimate)))
	}
	return &corrected
}

// learnRunTime adds the run time of a completed task, converted to a target of speed 1, to
// the calibration of its queue. The speed of a former target is not known any more.
func (c *Core) learnRunTime(at *attempt, out *wire.RunOutcome, a *agent) {
	if out.End != wire.EndDone || at.onFormerTarget(a) {
		return
	}
	declaredMs := clock.Millis(at.job.submitted.Steps[at.task.step].Estimate)
	c.calibration(at.job.Queue.Name).AddRunTime(declaredMs, out.RunMs*max(a.load.Speed, minSpeed))
}
