package handover

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/peerchoice"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Jobs submits the jobs that peers hand over. Its methods may block while the control
// goroutine is busy, which delays only the session of the caller.
type Jobs interface {
	// SubmitHandedOver submits a job here and never hands it over. On the control goroutine,
	// just before it, it must call alive, and must not submit the job if that returns false.
	// answer is called at most once; for a job that was not submitted, only as not run or
	// unknown.
	SubmitHandedOver(s *wire.Submission, caller *dispatch.Caller, alive func() bool, answer func(dispatch.Answer))
	// AbandonHandedOver abandons jobs whose callers have left.
	AbandonHandedOver(jobs []TakenJob)
}

// TakenJob is a submission of a peer that was submitted here.
type TakenJob struct {
	ID     string
	Caller *dispatch.Caller
}

const (
	// maxServing limits the sessions of other entries. It is more than twice the entries of
	// the largest deployment that may drain at once.
	maxServing = 128
	// maxRetained limits the taken submissions of a session that have no answer. An entry
	// sends at most peerchoice.MaxInFlight; cancelled ones are not counted.
	maxRetained = 2 * peerchoice.MaxInFlight
	// maxFrameBytes is the largest frame accepted from the dialling entry, which sends each
	// submission in a frame of its own.
	maxFrameBytes = 2 * maxSubmissionBytes
	// maxCallerAge is the age of the last confirmation of an entry after which its jobs are given up
	// here. Until then the leases of all targets are extended only as of that confirmation.
	maxCallerAge = 250 * time.Millisecond
)

// servingSessions are the sessions that other entries have opened to this one.
type servingSessions struct {
	mu       sync.Mutex
	sessions map[*servingSession]struct{}
	state    wire.HandoverState // newest
	// verifiedTo is the newest time that CallersKnownAt has returned.
	verifiedTo time.Time
}

// servingSession is a session that another entry has opened.
type servingSession struct {
	endpoint    *Endpoint
	conn        *session.ToAgentConn
	helloSeen   bool
	lastNumber  uint64
	lastFrameAt time.Time // only used by the reading goroutine

	sent wire.HandoverState // last one sent; guarded by the mutex of servingSessions

	mu   sync.Mutex
	jobs map[uint64]*takenJob // submissions without an answer, by number
	// confirmedAt is the time up to which the entry has confirmed that the callers of its submissions
	// wait. All cancellations that came before the confirmation are removed from jobs.
	confirmedAt time.Time
}

// takenJob is a submission without an answer.
type takenJob struct {
	TakenJob
	// submitted is set when the control state gets the job. One that ends before must not be
	// abandoned: a job with this ID there would be that of another caller.
	submitted bool
	lost      bool // its entry has confirmed nothing for maxCallerAge
}

// Serve handles a request to session.EntryPath. It returns when the connection has ended.
func (e *Endpoint) Serve(w http.ResponseWriter, r *http.Request) {
	s := &servingSession{endpoint: e, jobs: map[uint64]*takenJob{}, lastFrameAt: time.Now()}
	if !e.serving.reserve(s) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.serving.remove(s)
	options := e.options.Session
	options.MaxFrameBytes = maxFrameBytes
	conn, err := session.Accept(w, r, options)
	if err != nil {
		return // Accept has written the response
	}
	e.serving.open(s, conn, &wire.Welcome{Version: wire.Version, Incarnation: e.options.Incarnation, Addr: e.options.Addr, DataCentre: e.options.DataCentre})
	err = conn.Serve(s.receive)
	abandoned := s.close()
	event.Log(e.options.Log, event.EntrySession, "peer", conn.RemoteAddr(), "state", "closed", "reason", "ended", "error", err.Error(), "abandoned", len(abandoned))
	if len(abandoned) > 0 {
		e.options.Jobs.AbandonHandedOver(abandoned)
	}
}

// reserve adds a session that has no connection yet. It returns false if there are too many.
func (v *servingSessions) reserve(s *servingSession) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.sessions) >= maxServing {
		return false
	}
	v.sessions[s] = struct{}{}
	return true
}

func (v *servingSessions) remove(s *servingSession) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.sessions, s)
}

// open sends the first frame of a session.
func (v *servingSessions) open(s *servingSession, conn *session.ToAgentConn, w *wire.Welcome) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s.conn, s.sent = conn, v.state
	s.confirm(time.Now()) // the entry verifies each caller after it has received the first frame
	state := v.state
	conn.Send(&wire.ToAgent{Welcome: w, Handover: &wire.HandoverReply{State: &state}})
}

// UpdateState sends the load of this entry to the peers for which it has changed by a fifth or
// more.
func (e *Endpoint) UpdateState(state wire.HandoverState) {
	v := &e.serving
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state = state
	for s := range v.sessions {
		if s.conn == nil || !significantChange(&s.sent, &state) {
			continue
		}
		s.sent = state
		sent := state
		s.conn.Send(&wire.ToAgent{Handover: &wire.HandoverReply{State: &sent}})
	}
}

// significantChange reports whether a number has changed by a fifth or more. Waits below 2 ms
// and fewer than five jobs make no difference to the choice of a peer.
func significantChange(was, is *wire.HandoverState) bool {
	differs := func(a, b, negligible float64) bool {
		return max(a, b) > negligible && math.Abs(a-b) >= max(a, b)/5
	}
	return was.Draining != is.Draining || differs(float64(was.Targets), float64(is.Targets), 0) ||
		differs(was.LinkMbps, is.LinkMbps, 0) || differs(was.ProcessorShare, is.ProcessorShare, 0) ||
		differs(was.LinkWaitMs, is.LinkWaitMs, 2) || differs(float64(was.Unanswered), float64(is.Unanswered), 5)
}

// stale reports whether a frame that was received, or handled, so long after the previous one
// may come from a session that its sender has already closed as silent. A process that was
// frozen reads such frames from its buffers when it continues; the caller may have
// resubmitted the job meanwhile.
func (s *servingSession) stale(pause time.Duration) bool {
	o := s.endpoint.options.Session
	return o.SilenceTimeout > 0 && pause > o.SilenceTimeout+o.HeartbeatInterval
}

// receive handles a frame of the dialling entry. An error closes the connection.
func (s *servingSession) receive(f *wire.ToEntry) error {
	now := time.Now()
	pause := now.Sub(s.lastFrameAt)
	s.lastFrameAt = now
	if s.stale(pause) {
		return &protocolError{"a frame after a silence"}
	}
	if f.IsHeartbeat() {
		s.confirm(s.conn.ConfirmedAt())
		return nil
	}
	request := f.Handover
	if request == nil {
		return &protocolError{"a frame without content for an entry"}
	}
	if !s.helloSeen {
		return s.handleHello(request.Hello)
	}
	for i := range request.Submissions {
		if err := s.take(now, &request.Submissions[i]); err != nil {
			return err
		}
	}
	cancelled := s.cancel(request.Cancels)
	s.confirm(s.conn.ConfirmedAt())
	if len(cancelled) > 0 {
		s.endpoint.options.Jobs.AbandonHandedOver(cancelled)
	}
	return nil
}

// handleHello validates the first frame.
func (s *servingSession) handleHello(h *wire.HandoverHello) error {
	switch {
	case h == nil:
		return &protocolError{"the hello is missing from the first frame"}
	case h.Version != wire.Version:
		return &protocolError{"unsupported protocol version"}
	case h.Incarnation == s.endpoint.options.Incarnation:
		return &protocolError{"an entry has dialled itself"}
	}
	s.helloSeen = true
	event.Log(s.endpoint.options.Log, event.EntrySession, "peer", s.conn.RemoteAddr(), "state", "opened", "reason", "accepted", "data_centre", h.DataCentre)
	return nil
}

// take submits a job, or answers that it has not run. An error closes the connection.
func (s *servingSession) take(now time.Time, sub *wire.Submission) error {
	if sub.Number <= s.lastNumber {
		return &protocolError{"the number of a submission is not above the previous one"}
	}
	s.lastNumber = sub.Number
	if f := validateSubmission(sub); f != nil {
		s.send(sub.Number, dispatch.Answer{Kind: dispatch.AnswerNotRun, Fault: f})
		return nil
	}
	number := sub.Number
	caller := &dispatch.Caller{WaitingAt: func(now time.Time) (time.Time, bool) { return s.waitingAt(now, number) }}
	s.mu.Lock()
	full := len(s.jobs) >= maxRetained
	if !full {
		s.jobs[number] = &takenJob{TakenJob: TakenJob{sub.ID, caller}}
	}
	s.mu.Unlock()
	if full {
		s.send(sub.Number, dispatch.Answer{Kind: dispatch.AnswerNotRun, Fault: fault.Refused(fault.TooManyJobs, "this entry has taken as many jobs as it may", time.Second)})
		return nil
	}
	alive := func() bool {
		if s.stale(time.Since(now)) || s.behind() {
			s.answer(number, dispatch.Answer{Kind: dispatch.AnswerNotRun, Fault: fault.Refused(fault.TooManyJobs, "this entry is busy", time.Second)})
			return false
		}
		if !s.markSubmitted(number) {
			return false
		}
		s.endpoint.counts.Taken.Add(1)
		return true
	}
	s.endpoint.options.Jobs.SubmitHandedOver(sub, caller, alive, func(a dispatch.Answer) { s.answer(number, a) })
	return nil
}

// markSubmitted records that the control state gets a submission. It returns false if the
// submission was cancelled or its session has ended.
func (s *servingSession) markSubmitted(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[number]
	if j == nil || s.conn.Err() != nil {
		return false
	}
	j.submitted = true
	return true
}

// answer sends the answer to a submission, unless it was cancelled or its session has ended.
func (s *servingSession) answer(number uint64, a dispatch.Answer) {
	s.mu.Lock()
	_, wanted := s.jobs[number]
	delete(s.jobs, number)
	s.mu.Unlock()
	if wanted {
		s.send(number, a)
	}
}

func (s *servingSession) send(number uint64, a dispatch.Answer) {
	out := wire.HandoverAnswer{Number: number, Kind: uint8(a.Kind), RetryAfterMs: a.RetryAfter.Milliseconds()}
	if a.Fault != nil {
		out.Fault, out.Detail = int(a.Fault.Code), truncate(a.Fault.Detail, maxDetailBytes)
		out.RetryAfterMs = max(out.RetryAfterMs, a.Fault.RetryAfterMs)
	}
	s.conn.Send(&wire.ToAgent{Handover: &wire.HandoverReply{Answers: []wire.HandoverAnswer{out}}})
}

// cancel forgets submissions and returns the jobs to abandon.
func (s *servingSession) cancel(numbers []uint64) (abandoned []TakenJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, number := range numbers {
		if j := s.jobs[number]; j != nil && j.submitted {
			abandoned = append(abandoned, j.TakenJob)
		}
		delete(s.jobs, number)
	}
	return abandoned
}

// close forgets all submissions and returns the jobs to abandon.
func (s *servingSession) close() (abandoned []TakenJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if j.submitted {
			abandoned = append(abandoned, j.TakenJob)
		}
	}
	s.jobs = nil
	return abandoned
}
