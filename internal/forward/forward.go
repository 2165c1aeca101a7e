// Package forward forwards a request about a submission to the entry that owns it.
//
// Only the owner encoded in an id may start the submission, so any other entry that the
// balancer picks forwards the request to the owner. A request is forwarded only once, but a
// call to the owner may be repeated, because all requests are idempotent by id. An
// unreachable owner must never be reported as "not run", nor as a failure that the owner's
// own answer could contradict.
package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// HTTP headers between entries.
const (
	// HeaderIncarnation is the incarnation of the entry that wrote the response.
	HeaderIncarnation = "Camphorrack-Incarnation"
	// HeaderForwarded marks a forwarded request. It is not forwarded again, so that entries
	// with stale addresses of each other can't forward it in a loop.
	HeaderForwarded = "Camphorrack-Forwarded"
	// HeaderWithheld marks a look-up by an entry that received a complete answer too late to
	// return it to the caller.
	HeaderWithheld = "Camphorrack-Withheld"
)

// JobPath returns the URL path at which the answer to a submission is looked up.
func JobPath(id string) string { return "/v1/jobs/" + id }

// Timing of calls to the owner.
const (
	// LongPollTimeout is the longest wait for an answer that one call requests. With a longer
	// one, a connection that went silent would only be noticed after that wait.
	LongPollTimeout = 500 * time.Millisecond
	// pastDeadlinePollTimeout is the limit instead of LongPollTimeout from MaxClockSkew after
	// the deadline. It is not zero, so that an owner whose clock is behind is not polled in a
	// busy loop.
	pastDeadlinePollTimeout = 100 * time.Millisecond
	// replyGrace is how long a connection may be silent beyond the requested wait. Wait and
	// grace together stay under 1.5 s, and twice the grace fits into the 2 s that a client
	// allows for a call without a wait.
	replyGrace = 800 * time.Millisecond
	// maxAttempts is how many consecutive calls may fail before the request is answered as
	// undecided. The second call uses a new connection, so that a single silent connection
	// is tolerated; more calls would delay the answer to the caller.
	maxAttempts = 2
	// retryAfter is the delay after which a caller should retry: by then an owner that was
	// paused or disconnected briefly is reachable again, and a restarted one responds.
	retryAfter = 500 * time.Millisecond
)

// MaxClockSkew is the largest supported difference between the clocks of two entries. An entry
// that can't reach the owner reports the outcome as unknown, which is final, only this long
// after the owner has stopped answering "complete". With a larger difference, a caller could
// get both answers.
const MaxClockSkew = 500 * time.Millisecond

// Options configure a Forwarder. A zero field is replaced by its default.
type Options struct {
	Log   logr.Logger
	Clock clock.Clock
	// LongPollTimeout, ReplyGrace and RetryDelay are set only in tests, to shorter times.
	LongPollTimeout, ReplyGrace, RetryDelay time.Duration
	Counters                                *Counters
}

// Forwarder forwards requests to other entries. It is safe for concurrent use.
type Forwarder struct {
	options Options
	peers   *peers
}

// New returns a forwarder with the given options.
func New(o Options) *Forwarder {
	if o.LongPollTimeout == 0 {
		o.LongPollTimeout = LongPollTimeout
	}
	if o.ReplyGrace == 0 {
		o.ReplyGrace = replyGrace
	}
	if o.RetryDelay == 0 {
		o.RetryDelay = 50 * time.Millisecond
	}
	if o.Counters == nil {
		o.Counters = NewCounters()
	}
	return &Forwarder{options: o, peers: newPeers(o.Clock)}
}

// Request is a request about one submission, or about several of the same owner.
type Request struct {
	Owner       job.Owner
	ID          string    // of the submission, for the log and the look-up; empty for several
	Deadline    time.Time // of the id; the latest one of several ids
	Method      string
	Path        string
	Body        []byte
	Wait        time.Duration // how long to wait for a final answer
	AcceptsWait bool          // whether the path accepts the query parameter wait_ms
	Withheld    bool          // sets HeaderWithheld
}

// outcomeUnknownAfter returns the time after which an unreachable owner gives no complete
// answer any more, whichever entry's clock is used.
func (r Request) outcomeUnknownAfter() time.Time {
	return r.Deadline.Add(job.AnswerGrace + MaxClockSkew)
}

// Reply is the owner's reply, to be returned to the caller unchanged.
type Reply struct {
	Status     int
	RetryAfter string // the header of that name
	Body       []byte
}

// pending reports whether the submission has no final answer yet.
func (r *Reply) pending() bool { return r.Status == http.StatusAccepted }

// Do calls the owner until it returns a final answer, r.Wait is over (the reply is then the
// last one that was pending) or the owner can't be reached. The error is a *fault.Fault with
// one of the codes OwnerGone and OutcomeUnknown, which are final, and Undecided, which is not.
func (f *Forwarder) Do(ctx context.Context, r Request) (*Reply, error) {
	f.options.Counters.Forwarded.Inc(1)
	event.Log(f.options.Log.V(1), event.JobForwarded, "job", r.ID, "owner", r.Owner.Addr.String(), "method", r.Method)
	until := f.options.Clock.Now().Add(r.Wait)
	failures := 0
	for {
		reply, err := f.attempt(ctx, r, f.pollTimeout(r, until))
		switch {
		case err == nil && (!reply.pending() || !f.options.Clock.Now().Before(until)):
			return reply, nil
		case err == nil:
			failures = 0
			r = r.asLookup()
		case errors.Is(err, errAnotherIncarnation):
			return nil, f.ownerGone(r)
		default:
			failures++
			f.options.Counters.FailedCalls.Inc(1)
			if failures >= maxAttempts || ctx.Err() != nil {
				return nil, f.ownerUnreachable(r, err)
			}
			sleep(ctx, f.options.RetryDelay)
		}
	}
}

// asLookup converts the request for a submission that the owner has accepted into a look-up, so
// that the body is sent only once. It returns other requests unchanged.
func (r Request) asLookup() Request {
	if r.Method == http.MethodPost && r.ID != "" {
		r.Method, r.Path, r.Body = http.MethodGet, JobPath(r.ID), nil
	}
	return r
}

// attempt calls the owner once. pollTimeout is the wait that the call requests.
func (f *Forwarder) attempt(ctx context.Context, r Request, pollTimeout time.Duration) (*Reply, error) {
	p := f.peers.get(r.Owner.Addr)
	reply, err := p.call(ctx, r, pollTimeout, pollTimeout+f.options.ReplyGrace)
	if err != nil && !errors.Is(err, errAnotherIncarnation) {
		// The cause, such as a network device that has lost its connection state, has
		// probably broken the idle connections too. Without them the next call opens a
		// new one.
		p.closeIdle()
	}
	return reply, err
}

// pollTimeout returns how long the owner may delay its reply to the next call. By MaxClockSkew
// after the deadline the owner has a final answer, and a longer wait would only delay the
// detection of its silence.
func (f *Forwarder) pollTimeout(r Request, until time.Time) time.Duration {
	now := f.options.Clock.Now()
	timeout := f.options.LongPollTimeout
	if now.After(r.Deadline.Add(MaxClockSkew)) {
		timeout = min(timeout, pastDeadlinePollTimeout)
	}
	return min(timeout, max(until.Sub(now), 0))
}

// ownerGone returns the fault for a reply of another incarnation from the owner's address. Two
// processes can't listen on the same address, so the owner has ended. It may have started tasks
// before, and the answers it gave remain valid.
func (f *Forwarder) ownerGone(r Request) *fault.Fault {
	f.options.Counters.OwnerGone.Inc(1)
	return OwnerGone(r.Owner)
}

// OwnerGone returns the fault for an owner whose process has certainly ended.
func OwnerGone(o job.Owner) *fault.Fault {
	return fault.Newf(fault.OwnerGone, "the entry %s at %s has ended; what it had accepted may have run",
		o.Incarnation, o.Addr)
}

// ownerUnreachable returns the fault for an owner that can't be reached but may still be
// running. Even a refused connection does not prove that the owner has ended: an earlier call
// may have reached it, and it may be about to listen again after a network failure.
func (f *Forwarder) ownerUnreachable(r Request, cause error) *fault.Fault {
	event.Log(f.options.Log, event.JobUndecided, "job", r.ID, "owner", r.Owner.Addr.String(), "cause", cause.Error())
	if f.options.Clock.Now().After(r.outcomeUnknownAfter()) {
		f.options.Counters.OutcomeUnknown.Inc(1)
		return fault.New(fault.OutcomeUnknown, "the owner could not be reached until past the deadline; tasks may have run")
	}
	f.options.Counters.Undecided.Inc(1)
	undecided := fault.New(fault.Undecided, "the owner can't be reached and is not proved dead; ask again with the same id")
	undecided.RetryAfterMs = retryAfter.Milliseconds()
	return undecided
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func waitQuery(wait time.Duration) string {
	return "wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
