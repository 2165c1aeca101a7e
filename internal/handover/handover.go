// Package handover forwards submissions that an entry cannot serve well to other entries, its
// peers, and takes those of its peers.
//
// Each direction has sessions of its own. The entry that needs a peer dials it, sends
// submissions and cancellations, and receives the peer's load and its answers. A submission
// belongs to its session: when the session ends, the peer abandons the job, and the first
// entry answers that the outcome is unknown, unless the submission was never written. A
// submission that was taken from a peer is never handed over again, because it goes to the
// control state directly.
//
// The first entry verifies at short intervals that the callers of its submissions wait, and confirms
// that to the peer (see session.Conn). The peer counts a caller as waiting only up to the last
// confirmation, so that it proves nothing to its agents for an entry that is late or cut off.
//
// A job that is handed over is known at the first entry by its ID until its runs are over, so
// that a copy of the request waits for the same answer and no run of it starts here.
package handover

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/peerchoice"
	"github.com/camphorrack/camphorrack/internal/session"
)

const (
	// maxFlights limits the submissions that are in flight or not certainly over. It is that
	// of a peer for each session, and as many that were cancelled or lost.
	maxFlights = 2 * peerchoice.MaxSessions * peerchoice.MaxInFlight
	// maxKept limits the kept answers of completed jobs, at the size of an ID and a few words
	// each.
	maxKept = 4000
	// keptFor is how long the answer to a completed job is kept for later copies of the
	// request, as at the entry that ran it.
	keptFor = 10 * time.Second
	// verifyInterval is how often the callers of jobs at peers are verified.
	verifyInterval = 40 * time.Millisecond
	// idleTimeout is how long a session without submissions stays open.
	idleTimeout = 10 * time.Second
	// dialTimeout bounds a dial with its handshake, and the time to the peer's first frame.
	dialTimeout = 500 * time.Millisecond
	// maxSubmissionBytes is the largest submission that is handed over. Larger ones, which have
	// hundreds of steps, are rare and would delay the others of the session.
	maxSubmissionBytes = 256 << 10
	// maxAttempts is the number of peers that are tried for a submission.
	maxAttempts = 2
)

// Options configure an Endpoint.
type Options struct {
	Log         logr.Logger
	Addr        string // at which this entry accepts sessions
	DataCentre  string
	Incarnation job.Incarnation
	Session     session.Options
	Jobs        Jobs
	// LostRunLimit is the time after a cancellation, or after the end of a session, by which the
	// runs of the job have certainly ended.
	LostRunLimit time.Duration
}

// Counts are the counters of an Endpoint.
type Counts struct {
	Sent     atomic.Uint64 // submissions sent to peers
	Answered atomic.Uint64 // answers of peers, other than refusals
	Refused  atomic.Uint64 // submissions that peers answered as not run
	Lost     atomic.Uint64 // submissions whose session ended without an answer
	Taken    atomic.Uint64 // submissions of peers that were submitted here
}

// Endpoint holds the sessions with peers and the submissions in flight, in both directions.
// Its methods are safe for concurrent use.
type Endpoint struct {
	options Options
	counts  Counts
	ctx     context.Context
	stop    context.CancelFunc
	serving servingSessions
	clock   clock.Clock // of the budget, which counts by wall-clock time; the host's may jump

	mu        sync.Mutex
	budget    peerchoice.Budget
	admitted  uint64 // number of admissions at the last Tick
	draining  bool   // at the last Tick
	peers     map[string]*peer
	flights   map[string]*Flight // by the ID of the job
	inFlight  int                // flights without a result
	kept      int                // flights with the kept answer of a completed job
	neededAt  time.Time          // when a session was last needed
	changed   chan struct{}      // closed and replaced when a session opens or ends
	nextSweep time.Time
	verifyAt  time.Time // when the callers are verified next
}

// New returns an Endpoint without sessions.
func New(o Options) *Endpoint {
	e := &Endpoint{options: o, peers: map[string]*peer{}, flights: map[string]*Flight{}, changed: make(chan struct{}), clock: clock.NewAnchored()}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.serving.sessions = map[*servingSession]struct{}{}
	return e
}

// Counts returns the counters.
func (e *Endpoint) Counts() *Counts { return &e.counts }

// Close closes the sessions that this entry has dialled.
func (e *Endpoint) Close() { e.stop() }

// InFlight returns how many submissions at peers have no result.
func (e *Endpoint) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// Sessions returns the number of open sessions that this entry has dialled.
func (e *Endpoint) Sessions() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if p.open {
			n++
		}
	}
	return n
}

// Cancel ends a job at its caller's request. It returns false for a job that is not handed
// over.
func (e *Endpoint) Cancel(id string) bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flights[id]
	if f == nil {
		return false
	}
	select {
	case <-f.cancelled:
	default:
		close(f.cancelled)
	}
	if !f.finished {
		e.cancelAtPeer(now, f)
		e.finishLocked(now, f, verdict{true, dispatch.CancelledAnswer()})
	}
	return true
}

// State returns the state of a job that is handed over; false for others and for a job whose
// outcome is unknown.
func (e *Endpoint) State(id string) (dispatch.JobState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flights[id]
	switch {
	case f == nil:
		return 0, false
	case !f.finished:
		return dispatch.Active, true
	case f.result.answer.Kind == dispatch.AnswerComplete:
		return dispatch.Completed, true
	case f.result.answer.Kind == dispatch.AnswerFailed:
		return dispatch.Failed, true
	}
	return 0, false
}

// CancelAll ends all hand-overs without a result, before the process exits. Their outcome is unknown.
func (e *Endpoint) CancelAll() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.flights {
		if f.finished {
			continue
		}
		e.cancelAtPeer(now, f)
		e.finishLocked(now, f, verdict{true, dispatch.Answer{
			Kind: dispatch.AnswerUnknown, Fault: fault.New(fault.OutcomeUnknown, "this entry exits before the entry that has the job has answered"),
		}})
	}
}

// Pending returns how many jobs of a queue are handed over and have no answer.
func (e *Endpoint) Pending(queue string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.flights {
		if !f.finished && f.submission.Queue == queue {
			n++
		}
	}
	return n
}

// finish records the result.
func (e *Endpoint) finish(f *Flight, v verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLocked(time.Now(), f, v)
}

// settle passes on the result of an attempt. The caller holds the lock.
func (e *Endpoint) settle(now time.Time, f *Flight, v verdict) {
	f.peer = nil
	if f.attended {
		f.attempt <- v // has room, because the request reads it before the next attempt
		return
	}
	e.finishLocked(now, f, v)
}

// finishLocked records the result and how long it is kept. The caller holds the lock.
func (e *Endpoint) finishLocked(now time.Time, f *Flight, v verdict) {
	if f.finished {
		return
	}
	f.finished, f.result, f.peer, f.callers = true, v, nil, nil
	e.inFlight--
	switch {
	case !v.taken || v.answer.Kind == dispatch.AnswerNotRun:
		f.holdsUntil = now
		delete(e.flights, f.submission.ID)
	case v.answer.Kind == dispatch.AnswerUnknown:
		f.holdsUntil = now.Add(e.options.LostRunLimit)
	case e.kept >= maxKept:
		f.holdsUntil = now
		delete(e.flights, f.submission.ID)
	default:
		f.holdsUntil = now.Add(keptFor)
		f.submission.Spec, f.submission.Steps = "", nil
		e.kept++
	}
	close(f.done)
}

// forget removes a finished flight. The caller holds the lock.
func (e *Endpoint) forget(f *Flight) {
	if e.flights[f.submission.ID] != f {
		return
	}
	delete(e.flights, f.submission.ID)
	if f.result.answer.Kind != dispatch.AnswerUnknown {
		e.kept--
	}
}

// Tick does the work that depends on time: it forgets old results, closes sessions that were
// unused for idleTimeout or whose peer can take nothing, opens those that are needed, and
// verifies the callers.
// admitted is the number of jobs that the entry has admitted since its start.
func (e *Endpoint) Tick(admitted uint64, draining bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.RecordAdmissions(e.clock.Now(), int(admitted-e.admitted))
	e.admitted = admitted
	if draining && !e.draining {
		e.neededAt = now // the first submissions of the drain need not wait for a dial
	}
	e.draining = draining
	for _, p := range e.peers {
		e.closeIfUnused(now, p)
	}
	if now.Sub(e.neededAt) < neededWindow {
		e.dial(now)
	}
	if !now.Before(e.verifyAt) {
		e.verifyAt = now.Add(verifyInterval)
		e.verifyCallers(now)
	}
	if now.Before(e.nextSweep) {
		return
	}
	e.nextSweep = now.Add(time.Second)
	for _, f := range e.flights {
		if f.finished && !now.Before(f.holdsUntil) {
			e.forget(f)
		}
	}
}
