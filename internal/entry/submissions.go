package entry

import (
	"crypto/rand"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/httpconn"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
)

const (
	// defaultTimeout is the time to the deadline of a submission without an id:
	// several times the longest usual task.
	defaultTimeout = 30 * time.Second
	// waitSlack is how long a wait for the final answer continues past the deadline, at
	// which the owner gives it.
	waitSlack = time.Second
)

// submit serves POST /v1/jobs and, for single requests, POST /v1/requests.
func (a *api) submit(single bool) gin.HandlerFunc {
	return func(g *gin.Context) {
		wait, given, err := decodeWait(g.Request.URL.Query())
		if err != nil {
			writeFault(g, "", err)
			return
		}
		body, err := readBody(g.Request)
		if err != nil {
			writeFault(g, "", err)
			return
		}
		b, err := decodeSubmission(body, single)
		httpconn.ReleaseBody(g.Request)
		if err != nil {
			a.handleUndecodable(g, body, wait, given, err)
			return
		}
		id, err := a.parseOrCreateID(b.ID)
		if err != nil {
			writeFault(g, b.ID, err)
			return
		}
		if !given {
			wait = a.defaultWait(id)
		}
		if !a.owns(id) {
			a.forwardToOwner(g, id, a.ownerRequest(g, id, body, wait))
			return
		}
		b.Submission.ID = id
		a.accept(g, &b.Submission, wait)
	}
}

// handleUndecodable handles a body that this entry can't decode. If its id names another
// owner, only that owner may reject it: entries of two versions side by side would otherwise
// disagree, and one could report "not run" for a submission that the other has started.
func (a *api) handleUndecodable(g *gin.Context, body []byte, wait time.Duration, given bool, cause error) {
	id, err := job.ParseID(peekID(body), a.key)
	if err != nil {
		writeFault(g, "", cause)
		return
	}
	if a.owns(id) {
		writeFault(g, id.String(), a.clearNotRunIfKnown(id, cause))
		return
	}
	if !given {
		wait = a.defaultWait(id)
	}
	a.forwardToOwner(g, id, a.ownerRequest(g, id, body, wait))
}

// accept validates a submission that this entry owns, submits it to the control state and
// writes the answer.
func (a *api) accept(g *gin.Context, s *job.Submission, wait time.Duration) {
	if err := s.Validate(); err != nil {
		writeFault(g, s.ID.String(), a.clearNotRunIfKnown(s.ID, err))
		return
	}
	a.await(g, s.ID, wait, func(now time.Time, c core, w owner.AnswerFunc) (func(), error) {
		return c.Submit(now, s, w)
	})
}

// clearNotRunIfKnown returns a copy of the fault without "not run" if the id is known, or if
// the control state can't be asked: a copy of a submission that was corrupted in transit
// says nothing about an earlier copy, which may have run.
func (a *api) clearNotRunIfKnown(id job.ID, err error) error {
	f := *asFault(err)
	known := true
	if doErr := a.control.do(func(_ time.Time, c core) { known = c.HasID(id) }); doErr != nil {
		known = true
	}
	f.NotRun = f.NotRun && !known
	return &f
}

// lookup serves GET /v1/jobs/{id}.
func (a *api) lookup(g *gin.Context) {
	wait, given, err := decodeWait(g.Request.URL.Query())
	if err != nil {
		writeFault(g, "", err)
		return
	}
	id, err := job.ParseID(g.Param("id"), a.key)
	if err != nil {
		writeFault(g, "", err)
		return
	}
	if !given {
		wait = a.defaultWait(id)
	}
	if !a.owns(id) {
		a.forwardToOwner(g, id, a.ownerRequest(g, id, nil, wait))
		return
	}
	if g.GetHeader(forward.HeaderWithheld) != "" {
		a.await(g, id, wait, markUndeliveredAndAwait(id))
		return
	}
	a.await(g, id, wait, func(now time.Time, c core, w owner.AnswerFunc) (func(), error) {
		return c.Await(now, id, w)
	})
}

// parseOrCreateID parses a submission's id, or creates one if the caller left it out.
func (a *api) parseOrCreateID(text string) (job.ID, error) {
	if text != "" {
		return job.ParseID(text, a.key)
	}
	timeout := min(defaultTimeout, a.maxTimeout)
	return job.NewID(a.token, a.clock.Now().Add(timeout), rand.Text(), a.key)
}

// owns reports whether this run of the process is the owner in the id.
func (a *api) owns(id job.ID) bool { return id.Owner.Incarnation == a.owner.Incarnation }

// defaultWait returns the wait for a request that specifies none: until the deadline, by
// which the owner gives the final answer, and waitSlack more.
func (a *api) defaultWait(id job.ID) time.Duration {
	return min(max(id.Deadline.Sub(a.clock.Now()), 0), maxWait) + waitSlack
}
