package dispatcher

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/routing"
)

// Routes returns the configuration in force, or nil.
func (d *Dispatcher) Routes() *routing.Table { return d.routes.Load() }

// Leaving reports whether the process is about to end.
func (d *Dispatcher) Leaving() bool { return d.leaving.Load() }

// Counted notes a request's answer.
func (d *Dispatcher) Counted(status int, took time.Duration) { d.metrics.request(status, took) }

// Answer takes a job and returns its one answer. When the caller leaves first, the
// job is ended.
func (d *Dispatcher) Answer(ctx context.Context, j *dispatch.Job) dispatch.Answer {
	d.setDeadline(j)
	answers := make(chan dispatch.Answer, 1)
	err := d.loop.Post(submitPatience, func(now time.Time, s *state) {
		if hungUp(ctx) {
			// The request lay in a buffer while the process or the network stood still.
			// Its caller may be asking elsewhere by now.
			event.Log(d.log, event.JobAbandoned, "job", j.ID, "before", "submit")
			answers <- dispatch.Answer{Kind: dispatch.AnswerUnknown, Fault: fault.New(fault.Cancelled, "the caller has left")}
			return
		}
		s.core.Submit(now, j, func(a dispatch.Answer) { answers <- a })
	})
	if err != nil {
		f := fault.Refused(fault.TooManyJobs, "this entry is busy", time.Second)
		event.Log(d.log, event.JobRefused, "job", j.ID, "queue", j.Queue.Name, "code", int(f.Code), "reason", f.Name, "error", err.Error())
		return dispatch.Answer{Kind: dispatch.AnswerNotRun, Fault: f, RetryAfter: time.Second}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		// An error means that the process ends; the sessions end with it, and the runs.
		_ = d.loop.Push(func(now time.Time, s *state) { s.core.Abandon(now, j.ID) })
		return dispatch.Answer{Kind: dispatch.AnswerUnknown, Fault: fault.New(fault.Cancelled, "the caller has left")}
	}
}

// setDeadline tells the job's deadline by the clock that decisions are made by. The host's
// time of day may jump: with a deadline told by it, a jump of three seconds back made
// every job seem to be past its time until the clock was right again.
func (d *Dispatcher) setDeadline(j *dispatch.Job) { j.Deadline = d.clock.Now().Add(j.Timeout) }

// ask runs a question on the control goroutine; one that finds no room is answered
// like one about a job that is not known.
func (d *Dispatcher) ask(question func(now time.Time, c *dispatch.Core)) {
	if err := d.loop.Do(lookPatience, func(now time.Time, s *state) { question(now, s.core) }); err != nil {
		event.Log(d.log, event.JobUndecided, "error", err.Error())
	}
}

// State returns how a job stands; false: it is not known here.
func (d *Dispatcher) State(id string) (st dispatch.JobState, known bool) {
	d.ask(func(_ time.Time, c *dispatch.Core) { st, known = c.State(id) })
	return st, known
}

// Cancel ends a job; false: it is not known here.
func (d *Dispatcher) Cancel(id string) (known bool) {
	d.ask(func(now time.Time, c *dispatch.Core) { known = c.Cancel(now, id) })
	return known
}

// Pending returns how many jobs of a queue have not begun.
func (d *Dispatcher) Pending(queue string) (n int) {
	d.ask(func(_ time.Time, c *dispatch.Core) { n = c.Pending(queue) })
	return n
}

// connKey is the context's key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

var errNoConn = errors.New("the request has no connection")
