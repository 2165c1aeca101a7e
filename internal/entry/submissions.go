package entry

import (
	"crypto/rand"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
)

const (
	// defaultTimeout is the time to the deadline of a submission without an id:
	// several times the longest usual task.
	defaultTimeout = 30 * time.Second
	// waitSlack is how long a wait for the final answer goes on past the deadline,
	// at which the owner gives it.
	waitSlack = time.Second
	// bodyTimeout bounds the reading of a body, so that a caller that sends a byte
	// a minute can't hold a connection and a buffer for ever.
	bodyTimeout = 30 * time.Second
)

// submit serves POST /v1/jobs and, for single requests, POST /v1/requests.
func (a *api) submit(single bool) gin.HandlerFunc {
	return func(g *gin.Context) {
		wait, given, err := decodeWait(g.Request.URL.Query())
		if err != nil {
			writeFault(g, "", err)
			return
		}
		body, err := a.readBody(g)
		if err != nil {
			writeFault(g, "", err)
			return
		}
		b, err := decodeSubmission(body, single)
		if err != nil {
			a.undecodable(g, body, wait, given, err)
			return
		}
		id, err := a.identify(b.ID)
		if err != nil {
			writeFault(g, b.ID, err)
			return
		}
		if !given {
			wait = a.untilAnswered(id)
		}
		if !a.owns(id) {
			a.pass(g, id, a.request(g, id, body, wait))
			return
		}
		b.Submission.ID = id
		a.accept(g, &b.Submission, wait)
	}
}

// undecodable handles a body that this entry can't decode. Where it names another
// owner, only that one may judge it: entries of two versions side by side would
// otherwise disagree, and one say "not run" of what the other has started.
func (a *api) undecodable(g *gin.Context, body []byte, wait time.Duration, given bool, cause error) {
	id, err := job.ParseID(peekID(body), a.key)
	if err != nil {
		writeFault(g, "", cause)
		return
	}
	if a.owns(id) {
		writeFault(g, id.String(), a.unlessKnown(id, cause))
		return
	}
	if !given {
		wait = a.untilAnswered(id)
	}
	a.pass(g, id, a.request(g, id, body, wait))
}

// accept hands a submission that this entry owns to the control state.
func (a *api) accept(g *gin.Context, s *job.Submission, wait time.Duration) {
	if err := s.Validate(); err != nil {
		writeFault(g, s.ID.String(), a.unlessKnown(s.ID, err))
		return
	}
	a.await(g, s.ID, wait, func(now time.Time, c core, w owner.AnswerFunc) (func(), error) {
		return c.Submit(now, s, w)
	})
}

// unlessKnown withdraws the "not run" of a fault where the id is known: a copy of a
// submission that was garbled on its way says nothing about the one that came
// before, which may have run.
func (a *api) unlessKnown(id job.ID, err error) error {
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
		wait = a.untilAnswered(id)
	}
	if !a.owns(id) {
		a.pass(g, id, a.request(g, id, nil, wait))
		return
	}
	if g.GetHeader(forward.HeaderWithheld) != "" {
		a.await(g, id, wait, withheld(id))
		return
	}
	a.await(g, id, wait, func(now time.Time, c core, w owner.AnswerFunc) (func(), error) {
		return c.Await(now, id, w)
	})
}

// identify parses a submission's id, or makes one where the caller left it out.
func (a *api) identify(text string) (job.ID, error) {
	if text != "" {
		return job.ParseID(text, a.key)
	}
	timeout := min(defaultTimeout, a.maxTimeout)
	return job.NewID(a.token, a.clock.Now().Add(timeout), rand.Text(), a.key)
}

func (a *api) owns(id job.ID) bool { return id.Owner.Incarnation == a.owner.Incarnation }

// untilAnswered is the wait of a caller who named none: the owner gives the final
// answer by the deadline.
func (a *api) untilAnswered(id job.ID) time.Duration {
	return min(max(id.Deadline.Sub(a.clock.Now()), 0), maxWait) + waitSlack
}

func (a *api) readBody(g *gin.Context) ([]byte, error) {
	controller := http.NewResponseController(g.Writer)
	// Neither call fails on a connection that still works.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readBody(g.Request)
	_ = controller.SetReadDeadline(time.Time{})
	return body, err
}
