// Package forward carries a request about a submission to the entry that owns it.
//
// Only the owner named in an id may start the submission, so any other entry that
// the balancer picks passes the request on, once. Sending it again is harmless,
// because everything is idempotent by id. What this package must never do is turn
// "I can't reach the owner" into "it did not run", or into a failure that the
// owner's own answer could contradict.
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

// Headers between entries.
const (
	// HeaderIncarnation names one run of the process that answered.
	HeaderIncarnation = "Camphorrack-Incarnation"
	// HeaderForwarded marks a forwarded request. It is never forwarded again, so
	// two entries with stale ideas of each other can't pass it round for ever.
	HeaderForwarded = "Camphorrack-Forwarded"
	// HeaderWithheld marks a look-up by an entry that was given a complete answer and
	// could not pass it on in time.
	HeaderWithheld = "Camphorrack-Withheld"
)

// JobPath returns where the answer to a submission is looked up.
func JobPath(id string) string { return "/v1/jobs/" + id }

// Timing of the hop.
const (
	// LongPollTimeout is the longest wait asked of the owner at a time. A longer one would
	// hide a connection that went silent until the wait is over.
	LongPollTimeout = 500 * time.Millisecond
	// lateSlice takes the place of LongPollTimeout past the deadline. It is not zero, so that an
	// owner whose clock is behind is not asked without a pause.
	lateSlice = 100 * time.Millisecond
	// replyGrace is the silence allowed beyond the slice. With the slice it stays
	// under 1.5 s; twice it fits into the 2 s that a client gives a call that
	// waits for nothing.
	replyGrace = 800 * time.Millisecond
	// tries is how many calls in a row may fail before the caller is told
	// "undecided". The second call uses a new connection, so one that went silent
	// alone is survived; more would keep the caller waiting without news.
	tries = 2
	// retryAfter is when a caller should ask again: an owner that was paused or
	// cut off briefly is back by then, and a restarted one answers.
	retryAfter = 500 * time.Millisecond
)

// MaxClockSkew is how far two entries' clocks may differ. An entry that can't reach
// the owner declares the outcome unknown, for good, only this much after the owner has
// stopped answering "complete"; with clocks further apart, a caller could get both.
const MaxClockSkew = 500 * time.Millisecond

// Options configures a Forwarder. A zero field takes the default.
type Options struct {
	Log   logr.Logger
	Clock clock.Clock
	// LongPollTimeout, ReplyGrace and RetryDelay are shorter in tests only.
	LongPollTimeout, ReplyGrace, RetryDelay time.Duration
	Counters                                *Counters
}

// Forwarder calls other entries. It is safe for concurrent use.
type Forwarder struct {
	o     Options
	peers *peers
}

// New returns a forwarder.
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
	return &Forwarder{o: o, peers: newPeers(o.Clock)}
}

// Request is one request about a submission, or several of one owner.
type Request struct {
	Owner       job.Owner
	ID          string    // of the submission, for the log; empty for several
	Deadline    time.Time // the id's; the latest where there are several
	Method      string
	Path        string
	Body        []byte
	Wait        time.Duration // how long the caller wants to wait for the answer
	AcceptsWait bool          // whether the path takes wait_ms
	Withheld    bool          // the owner's complete answer came too late to be passed on
}

// unknownFrom returns the time from which an owner that can't be reached gives no
// complete answer any more, by any clock.
func (r Request) unknownFrom() time.Time { return r.Deadline.Add(job.AnswerGrace + MaxClockSkew) }

// Reply is the owner's reply, to be passed on as it is.
type Reply struct {
	Status     int
	RetryAfter string // the header
	Body       []byte
}

// pending reports whether the owner has no final answer yet.
func (r *Reply) pending() bool { return r.Status == http.StatusAccepted }

// Do asks the owner until it has a final answer, the wait is over (the reply is
// then the last "pending") or the owner can't be reached. The error is a
// *fault.Fault: OwnerGone and OutcomeUnknown are final, Undecided is not.
func (f *Forwarder) Do(ctx context.Context, r Request) (*Reply, error) {
	f.o.Counters.Forwarded.Inc(1)
	event.Log(f.o.Log.V(1), event.JobForwarded, "job", r.ID, "owner", r.Owner.Addr.String(), "method", r.Method)
	until := f.o.Clock.Now().Add(r.Wait)
	failures := 0
	for {
		reply, err := f.once(ctx, r, f.slice(r, until))
		switch {
		case err == nil && (!reply.pending() || !f.o.Clock.Now().Before(until)):
			return reply, nil
		case err == nil:
			failures = 0
			r = r.lookup()
		case errors.Is(err, errAnotherIncarnation):
			return nil, f.ownerGone(r)
		default:
			failures++
			f.o.Counters.FailedCalls.Inc(1)
			if failures >= tries || ctx.Err() != nil {
				return nil, f.unreachable(r, err)
			}
			pause(ctx, f.o.RetryDelay)
		}
	}
}

// lookup turns a submission that the owner has accepted into a question about it,
// so that the body crosses the network once. Other requests stay as they are.
func (r Request) lookup() Request {
	if r.Method == http.MethodPost && r.ID != "" {
		r.Method, r.Path, r.Body = http.MethodGet, JobPath(r.ID), nil
	}
	return r
}

// once makes one call, for one slice of the wait.
func (f *Forwarder) once(ctx context.Context, r Request, slice time.Duration) (*Reply, error) {
	p := f.peers.get(r.Owner.Addr)
	reply, err := p.call(ctx, r, slice, slice+f.o.ReplyGrace)
	if err != nil && !errors.Is(err, errAnotherIncarnation) {
		// Whatever took this connection's bytes has likely forgotten the idle ones too;
		// without them the next call makes a new one.
		p.closeIdle()
	}
	return reply, err
}

// slice returns how long the owner may hold its reply back. Past the deadline it has a
// final answer, and to wait for one would only put off finding that it is silent.
func (f *Forwarder) slice(r Request, until time.Time) time.Duration {
	now := f.o.Clock.Now()
	most := f.o.LongPollTimeout
	if now.After(r.Deadline.Add(MaxClockSkew)) {
		most = min(most, lateSlice)
	}
	return min(most, max(until.Sub(now), 0))
}

// ownerGone is the answer once another incarnation replied from the owner's
// address: no two processes can listen there, so the owner has ended. It may have
// started tasks before, and what it answered before stands.
func (f *Forwarder) ownerGone(r Request) *fault.Fault {
	f.o.Counters.OwnerGone.Inc(1)
	return OwnerGone(r.Owner)
}

// OwnerGone returns the fault for an owner that is proved to have ended.
func OwnerGone(o job.Owner) *fault.Fault {
	return fault.Newf(fault.OwnerGone, "the entry %s at %s has ended; what it had accepted may have run",
		o.Incarnation, o.Addr)
}

// unreachable is the answer while nothing proves the owner dead. A refused
// connection proves nothing: an earlier copy of the request may have got through,
// and the owner may be about to listen again after a cut.
func (f *Forwarder) unreachable(r Request, cause error) *fault.Fault {
	event.Log(f.o.Log, event.JobUndecided, "job", r.ID, "owner", r.Owner.Addr.String(), "cause", cause.Error())
	if f.o.Clock.Now().After(r.unknownFrom()) {
		f.o.Counters.OutcomeUnknown.Inc(1)
		return fault.New(fault.OutcomeUnknown, "the owner could not be reached until past the deadline; tasks may have run")
	}
	f.o.Counters.Undecided.Inc(1)
	undecided := fault.New(fault.Undecided, "the owner can't be reached and is not proved dead; ask again with the same id")
	undecided.RetryAfterMs = retryAfter.Milliseconds()
	return undecided
}

func pause(ctx context.Context, d time.Duration) {
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
