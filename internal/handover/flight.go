package handover

import (
	"context"
	"time"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/peerchoice"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Flight is the hand-over of one job. Its result is not taken if no peer has run or will run a
// task of the job.
type Flight struct {
	endpoint   *Endpoint
	submission wire.Submission
	outlook    peerchoice.Outlook
	reason     peerchoice.Reason
	startedAt  time.Time
	deadline   time.Time // when the caller stops waiting
	done       chan struct{}
	cancelled  chan struct{} // closed when its caller has cancelled the job

	// Guarded by the endpoint's mutex.
	waiters  int
	joined   int           // requests that have waited for it, those that have left included
	callers  []func() bool // report whether the caller of such a request has left
	attended bool          // the request that began it still waits
	attempt  chan verdict  // result of the current attempt, for the request that began it
	peer     *peer         // that has it; nil: none
	number   uint64        // in the session of the peer
	excluded []string      // addresses of peers that have refused it
	finished bool
	// Set before done is closed, and not changed later.
	holdsUntil time.Time // when it is forgotten
	result     verdict
}

// verdict is the result of an attempt, or of a hand-over as a whole.
type verdict struct {
	taken  bool // false: no task has run or will run at the peer, and the job may be tried elsewhere
	answer dispatch.Answer
}

// Attach returns the hand-over of a job that is in flight, whose answer is kept or whose runs
// may not be over, which is when held is true; nil if there is none. The caller must call Wait,
// WaitSettled if it is held, or Leave.
func (e *Endpoint) Attach(id string) (f *Flight, held bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	f = e.flights[id]
	if f == nil {
		return nil, false
	}
	if !f.finished {
		f.waiters++
		f.joined++
		return f, false
	}
	if !now.Before(f.holdsUntil) {
		e.forget(f)
		return nil, false
	}
	return f, f.result.answer.Kind == dispatch.AnswerUnknown
}

// Knows reports whether Attach would return a hand-over.
func (e *Endpoint) Knows(id string) bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flights[id]
	return f != nil && !(f.finished && !now.Before(f.holdsUntil))
}

// Begin records the hand-over of a job for which Attach has returned nil, and which the
// control state does not know; remaining is how long its caller still waits. It returns nil if
// the job is not to be handed over. The caller must call Run, or Leave.
func (e *Endpoint) Begin(j *dispatch.Job, remaining time.Duration, o peerchoice.Outlook) *Flight {
	now := time.Now()
	reason := o.Reason()
	if reason == peerchoice.None {
		return nil
	}
	f := &Flight{endpoint: e, submission: newSubmission(j), outlook: o, reason: reason,
		startedAt: now, deadline: now.Add(remaining), done: make(chan struct{}), cancelled: make(chan struct{}), waiters: 1, joined: 1, attended: true, attempt: make(chan verdict, 1)}
	if !sendable(&f.submission) {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.neededAt = now
	if len(e.peers) == 0 || len(e.flights)-e.kept >= maxFlights || e.ctx.Err() != nil || !e.budget.Take(e.clock.Now(), reason) {
		return nil
	}
	e.flights[j.ID] = f
	e.inFlight++
	return f
}

// sendable reports whether a peer can decode a submission. The decoder limits the length of
// lists, and a rejected frame ends the session with all its jobs. Only dependencies that repeat
// make a longer list than there are steps.
func sendable(s *wire.Submission) bool {
	for i := range s.Steps {
		if len(s.Steps[i].DependsOn) > maxSteps {
			return false
		}
	}
	return s.EstimatedBytes() <= maxSubmissionBytes
}

// newSubmission describes a job for a peer; Number and RemainingMs are set when it is sent.
func newSubmission(j *dispatch.Job) wire.Submission {
	s := wire.Submission{ID: j.ID, Queue: j.Queue.Name, ConfigVersion: j.ConfigVersion, Spec: j.Spec, Steps: make([]wire.SubmissionStep, len(j.Steps))}
	for i := range j.Steps {
		step := &j.Steps[i]
		s.Steps[i] = wire.SubmissionStep{Count: step.Count, Demand: step.Demand, EstimateMs: float64(step.Estimate) / float64(time.Millisecond),
			DependsOn: step.DependsOn, Label: step.Label, DataRack: step.DataRack, MaxPerTarget: step.MaxPerTarget}
	}
	return s
}

// Run hands the job over and waits for the result; the request that called Begin calls it. taken
// is false if the job has not run and the caller of Run must serve or refuse it; otherwise the
// answer is that of the job. callerLeft detects on the caller's connection that it has left, which
// ctx may not reflect yet after the process was frozen.
func (f *Flight) Run(ctx context.Context, callerLeft func() bool) (answer dispatch.Answer, taken bool) {
	e := f.endpoint
	for range maxAttempts {
		if !e.send(ctx, f, callerLeft) {
			break
		}
		select {
		case v := <-f.attempt:
			if v.taken {
				e.finish(f, v)
				return v.answer, true
			}
		case <-f.done: // cancelled
			return f.result.answer, f.result.taken
		case <-ctx.Done():
			f.Leave(true)
			return disconnected(), true
		}
		if !f.InTime(time.Now()) {
			break
		}
	}
	if ctx.Err() != nil {
		f.Leave(true)
		return disconnected(), true
	}
	e.finish(f, verdict{})
	return f.result.answer, f.result.taken // taken if it was cancelled before
}

// InTime reports whether the job could still meet its objective if it started now.
func (f *Flight) InTime(now time.Time) bool {
	return f.outlook.InTime(float64(now.Sub(f.startedAt)) / float64(time.Millisecond))
}

// Reason returns why the job is handed over.
func (f *Flight) Reason() peerchoice.Reason { return f.reason }

// Wait waits for the result of a hand-over that another request began. taken is false if the
// job has not run and may be submitted again.
func (f *Flight) Wait(ctx context.Context) (answer dispatch.Answer, taken bool) {
	select {
	case <-f.done:
		return f.result.answer, f.result.taken
	case <-ctx.Done():
		f.Leave(false)
		return disconnected(), true
	}
}

// WaitSettled waits until the runs of a job whose outcome is unknown are over. ended is true, with the answer, if
// the job was cancelled or the context has ended before.
func (f *Flight) WaitSettled(ctx context.Context) (answer dispatch.Answer, ended bool) {
	timer := time.NewTimer(time.Until(f.holdsUntil))
	defer timer.Stop()
	select {
	case <-f.cancelled:
		return dispatch.CancelledAnswer(), true
	case <-ctx.Done():
		return disconnected(), true
	case <-timer.C:
		return dispatch.Answer{}, false
	}
}

// disconnected is the answer to a request whose caller has left.
func disconnected() dispatch.Answer {
	return dispatch.Answer{Kind: dispatch.AnswerUnknown, Fault: fault.New(fault.Cancelled, "the caller has left")}
}

// Leave ends the wait of one request; began states that it is the one that called Begin. When
// the last one leaves, the job is cancelled at the peer.
func (f *Flight) Leave(began bool) {
	e, now := f.endpoint, time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.finished {
		return
	}
	f.waiters--
	if began {
		f.attended = false
		select {
		case v := <-f.attempt: // not read before it left
			e.finishLocked(now, f, v)
			return
		default:
		}
	}
	p := f.peer
	switch {
	case p == nil && !f.attended:
		e.finishLocked(now, f, verdict{}) // it was at no peer, and no further one is tried
	case f.waiters > 0:
	default:
		e.cancelAtPeer(now, f)
		e.finishLocked(now, f, verdict{taken: true, answer: disconnected()})
	}
}

// cancelAtPeer makes the peer abandon the job, if it is at one. The caller holds the lock.
func (e *Endpoint) cancelAtPeer(now time.Time, f *Flight) {
	p := f.peer
	if p == nil {
		return
	}
	delete(p.flights, f.number)
	p.conn.Send(&wire.ToEntry{Handover: &wire.HandoverRequest{Cancels: []uint64{f.number}}})
	event.Log(e.options.Log, event.JobAbandoned, "job", f.submission.ID, "peer", p.addr, "after_ms", now.Sub(f.startedAt).Milliseconds())
}
