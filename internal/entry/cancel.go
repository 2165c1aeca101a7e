package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// cancelResult is what became of the cancelling of one id. Without a failure the
// job was told to stop or had ended; a lookup tells its answer.
type cancelResult struct {
	ID      string       `json:"id"`
	Failure *fault.Fault `json:"failure,omitempty"`
}

// cancelResults is the reply to a wave, in the order of the request.
type cancelResults struct {
	Results []cancelResult `json:"results"`
}

// cancel serves DELETE /v1/jobs/{id}.
func (a *api) cancel(g *gin.Context) {
	id, err := job.ParseID(g.Param("id"), a.key)
	if err != nil {
		writeFault(g, "", err)
		return
	}
	if !a.owns(id) {
		r := a.request(g, id, nil, 0)
		r.AcceptsWait = false
		a.pass(g, id, r)
		return
	}
	if f := a.cancelOwn([]job.ID{id})[0]; f != nil {
		writeFault(g, id.String(), f)
		return
	}
	writeJSON(g, http.StatusOK, cancelResult{ID: id.String()})
}

// cancelChunk is how many cancellations are one command: a wave must not hold up
// the placing of tasks for other callers.
const cancelChunk = 100

// cancelOwn cancels submissions that this entry owns; a nil fault is success.
func (a *api) cancelOwn(ids []job.ID) []*fault.Fault {
	faults := make([]*fault.Fault, len(ids))
	for start := 0; start < len(ids); start += cancelChunk {
		end := min(start+cancelChunk, len(ids))
		err := a.control.do(func(now time.Time, c core) {
			for i := start; i < end; i++ {
				if err := c.Cancel(now, ids[i]); err != nil {
					faults[i] = asFault(err)
				}
			}
		})
		if err != nil {
			for i := start; i < len(ids); i++ {
				faults[i] = asFault(err)
			}
			return faults
		}
	}
	return faults
}
