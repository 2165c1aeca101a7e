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

// failure is the reply where there is no answer to a submission. State is set only
// where the fault is a final answer in itself.
type failure struct {
	ID      string       `json:"id,omitempty"`
	State   job.State    `json:"state,omitempty"`
	Failure *fault.Fault `json:"failure"`
}

// writeAnswer writes the answer to a submission, final or pending. It returns
// false where the answer could not be written whole.
func writeAnswer(g *gin.Context, a job.Answer) bool {
	switch {
	case a.State == job.Pending:
		return writeJSON(g, http.StatusAccepted, a)
	case a.Failure == nil:
		return writeJSON(g, http.StatusOK, a)
	}
	noteFault(g, a.Failure)
	return writeJSON(g, a.Failure.Code.Status(), a)
}

// writeFault writes an error that is, or wraps, a *fault.Fault. Anything else
// leaves open what happened and is told as "undecided".
func writeFault(g *gin.Context, id string, err error) {
	f := asFault(err)
	noteFault(g, f)
	writeJSON(g, f.Code.Status(), failure{ID: id, State: stateOf(f), Failure: f})
}

func asFault(err error) *fault.Fault {
	var f *fault.Fault
	if errors.As(err, &f) {
		return f
	}
	undecided := fault.New(fault.Undecided, err.Error())
	undecided.RetryAfterMs = busyAfter.Milliseconds()
	return undecided
}

// stateOf returns the state that a fault is the final answer for, or "".
func stateOf(f *fault.Fault) job.State {
	switch {
	case f.Code == fault.OwnerGone || f.Code == fault.OutcomeUnknown:
		return job.Failed
	case f.Code == fault.DeadlinePast:
		// Another entry may have told a copy of the request that it failed, while the
		// owner could not be reached. "Refused" would be a second, other ending.
		return job.Failed
	case f.NotRun:
		return job.Refused
	}
	return ""
}

// keyFault holds the name of the fault that a request was answered with, for the counters.
const keyFault = "fault"

// noteFault sets what a fault tells besides the body.
func noteFault(g *gin.Context, f *fault.Fault) {
	g.Set(keyFault, f.Code.String())
	if f.RetryAfterMs > 0 {
		seconds := (f.RetryAfterMs + 999) / 1000 // the header knows whole seconds only
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

// writeReply passes an owner's reply on as it is.
func writeReply(g *gin.Context, r *forward.Reply) {
	if r.RetryAfter != "" {
		g.Header("Retry-After", r.RetryAfter)
	}
	writeBytes(g, r.Status, r.Body)
}
