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
	"github.com/camphorrack/camphorrack/internal/scheduler/peerchoice"
	"github.com/camphorrack/camphorrack/internal/scheduler/warmup"
)

// Routes returns the routing table of the configuration in force, or nil if there is none yet.
func (d *Dispatcher) Routes() *routing.Table { return d.routes.Load() }

// AwaitRoutes is like Routes, but waits for the first configuration shortly after the start, in which
// time the store sends it.
func (d *Dispatcher) AwaitRoutes(ctx context.Context) *routing.Table {
	if table := d.Routes(); table != nil {
		return table
	}
	timer := time.NewTimer(time.Until(d.startedAt.Add(warmup.Limit)))
	defer timer.Stop()
	select {
	case <-d.routesKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.Routes()
}

// Draining reports whether the daemon is shutting down.
func (d *Dispatcher) Draining() bool { return d.draining.Load() }

// ObserveResponse records the HTTP status and the duration of a response in the metrics.
func (d *Dispatcher) ObserveResponse(status int, took time.Duration) {
	d.metrics.observeResponse(status, took)
}

// Execute submits a job and waits for its only answer. The job is handed over to another entry
// if that serves it better. If ctx ends first, because the caller has disconnected, the job is
// abandoned and its outcome is unknown. If the command queue is full for submitTimeout, the
// answer is that the job was not run.
func (d *Dispatcher) Execute(ctx context.Context, j *dispatch.Job) dispatch.Answer {
	d.setDeadline(j)
	mayHandOver, conn := true, newCallerConn(ctx)
	for range maxDecisions {
		decided := d.submit(ctx, j, conn, mayHandOver)
		if decided.flight == nil {
			return decided.answer
		}
		answer, taken := decided.wait(ctx, conn.left)
		if taken {
			return answer
		}
		// While an entry drains, its core still takes what no peer takes, as without peers.
		if reason := decided.flight.Reason(); decided.began && reason != peerchoice.Draining && !decided.flight.InTime(time.Now()) {
			return d.refuseLate(j, reason)
		}
		mayHandOver = mayHandOver && !decided.began
	}
	return dispatch.Answer{Kind: dispatch.AnswerUnknown, Fault: fault.New(fault.OutcomeUnknown, "other copies of the request are in progress")}
}

// submit decides on the control goroutine what happens to a job, and waits for the answer
// unless the job is handed over.
func (d *Dispatcher) submit(ctx context.Context, j *dispatch.Job, conn *callerConn, mayHandOver bool) decision {
	caller := &dispatch.Caller{WaitingAt: func(now time.Time) (time.Time, bool) { return now, conn.left() }}
	decisions := make(chan decision, 1)
	err := d.loop.Post(submitTimeout, func(now time.Time, s *state) {
		if conn.left() {
			// The request waited in a buffer while the process or the network was stalled.
			// The caller may have sent the job to another entry since.
			event.Log(d.log, event.JobAbandoned, "job", j.ID, "before", "submit")
			decisions <- decision{answer: dispatch.Answer{Kind: dispatch.AnswerUnknown, Fault: fault.New(fault.Cancelled, "the caller has left")}}
			return
		}
		if handedOver := d.tryHandover(now, s, j, conn.left, mayHandOver); handedOver.flight != nil {
			decisions <- handedOver
			return
		}
		s.core.Submit(now, j, caller, func(a dispatch.Answer) { decisions <- decision{answer: a} })
	})
	if err != nil {
		f := fault.Refused(fault.TooManyJobs, "this entry is busy", time.Second)
		event.Log(d.log, event.JobRefused, "job", j.ID, "queue", j.Queue.Name, "code", int(f.Code), "reason", f.Name, "error", err.Error())
		return decision{answer: dispatch.Answer{Kind: dispatch.AnswerNotRun, Fault: f, RetryAfter: time.Second}}
	}
	select {
	case decided := <-decisions:
		return decided
	case <-ctx.Done():
		// Push fails only if the control loop has stopped. The process then exits, which
		// ends its sessions and the runs.
		_ = d.loop.Push(func(now time.Time, s *state) {
			select {
			case decided := <-decisions:
				decided.leave()
			default:
				s.core.Abandon(now, caller)
			}
		})
		return decision{answer: dispatch.Answer{Kind: dispatch.AnswerUnknown, Fault: fault.New(fault.Cancelled, "the caller has left")}}
	}
}

// setDeadline sets the job's deadline by the clock that scheduling decisions use. The host's
// wall clock may jump: with deadlines taken from it, a jump of three seconds back made every
// job look overdue until the clock was corrected.
func (d *Dispatcher) setDeadline(j *dispatch.Job) { j.Deadline = d.clock.Now().Add(j.Timeout) }

// runOnCore runs a command on the control goroutine and waits for it. It logs an error, which
// means that the command queue was full for queryTimeout or that the control loop has stopped.
// The caller then returns the same as for an unknown job.
func (d *Dispatcher) runOnCore(command func(now time.Time, c *dispatch.Core)) {
	if err := d.loop.Do(queryTimeout, func(now time.Time, s *state) { command(now, s.core) }); err != nil {
		event.Log(d.log, event.JobUndecided, "error", err.Error())
	}
}

// State returns the state of a job, or false if the job is not known here.
func (d *Dispatcher) State(id string) (st dispatch.JobState, known bool) {
	if st, known = d.handover.State(id); known {
		return st, known
	}
	d.runOnCore(func(_ time.Time, c *dispatch.Core) { st, known = c.State(id) })
	return st, known
}

// Cancel cancels a job and reports whether the job is known here.
func (d *Dispatcher) Cancel(id string) bool {
	handedOver, known := d.handover.Cancel(id), false
	d.runOnCore(func(now time.Time, c *dispatch.Core) { known = c.Cancel(now, id) })
	return handedOver || known
}

// Pending returns how many unanswered jobs of a queue have no finished task.
func (d *Dispatcher) Pending(queue string) (n int) {
	d.runOnCore(func(_ time.Time, c *dispatch.Core) { n = c.Pending(queue) })
	return n + d.handover.Pending(queue)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn stores a connection in the context of its requests, for newCallerConn.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// errNoConn is returned for a request that was not served over TCP.
var errNoConn = errors.New("the request has no connection")
