package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/job"
)

const contentJSON = "application/json; charset=utf-8"

// failure is the reply to a request that has no answer to a submission. State is set only
// if the fault is itself the final answer.
type failure struct {
	ID      string       `json:"id,omitempty"`
	State   job.State    `json:"state,omitempty"`
	Failure *fault.Fault `json:"failure"`
}

// writeAnswer writes the answer to a submission, final or pending. It returns false if the
// answer could not be written completely.
func writeAnswer(g *gin.Context, a job.Answer) bool {
	switch {
	case a.State == job.Pending:
		return writeJSON(g, http.StatusAccepted, a)
	case a.Failure == nil:
		return writeJSON(g, http.StatusOK, a)
	}
	recordFault(g, a.Failure)
	return writeJSON(g, a.Failure.Code.Status(), a)
}

// writeFault writes the fault that err is or wraps. Any other error leaves the outcome open
// and is reported as "undecided".
func writeFault(g *gin.Context, id string, err error) {
	f := asFault(err)
	recordFault(g, f)
	writeJSON(g, f.Code.Status(), failure{ID: id, State: finalState(f), Failure: f})
}

// asFault returns the fault that err is or wraps, or else an undecided one.
func asFault(err error) *fault.Fault {
	var f *fault.Fault
	if errors.As(err, &f) {
		return f
	}
	undecided := fault.New(fault.Undecided, err.Error())
	undecided.RetryAfterMs = enqueueTimeout.Milliseconds()
	return undecided
}

// finalState returns the final state of a job whose answer is the fault, or "" if the fault is
// not a final answer.
func finalState(f *fault.Fault) job.State {
	switch {
	case f.Code == fault.OwnerGone || f.Code == fault.OutcomeUnknown:
		return job.Failed
	case f.Code == fault.DeadlinePast:
		// While the owner could not be reached, another entry may have replied "failed" to a
		// copy of the request. "Refused" would be a second, different final state.
		return job.Failed
	case f.NotRun:
		return job.Refused
	}
	return ""
}

// contextKeyFault is the key in the request's context for the name of the fault that was
// replied, which the counters use.
const contextKeyFault = "fault"

// recordFault stores the fault's name for the counters and sets the Retry-After header.
func recordFault(g *gin.Context, f *fault.Fault) {
	g.Set(contextKeyFault, f.Code.String())
	if f.RetryAfterMs > 0 {
		seconds := (f.RetryAfterMs + 999) / 1000 // the header takes whole seconds only
		g.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
}

func writeJSON(g *gin.Context, status int, v any) bool {
	body, err := json.Marshal(v)
	if err != nil {
		_ = g.Error(err)
		g.Status(http.StatusInternalServerError)
		return false
	}
	return writeBytes(g, status, body)
}

func writeBytes(g *gin.Context, status int, body []byte) bool {
	g.Header("Content-Type", contentJSON)
	g.Header("Content-Length", strconv.Itoa(len(body)))
	g.Status(status)
	_, err := g.Writer.Write(body)
	return err == nil
}

// writeReply writes an owner's reply unchanged.
func writeReply(g *gin.Context, r *forward.Reply) {
	if r.RetryAfter != "" {
		g.Header("Retry-After", r.RetryAfter)
	}
	writeBytes(g, r.Status, r.Body)
}
