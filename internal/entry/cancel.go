package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// cancelResult is the result of cancelling one id. Without a failure, the job was
// cancelled or had already ended; a lookup returns its answer.
type cancelResult struct {
	ID      string       `json:"id"`
	Failure *fault.Fault `json:"failure,omitempty"`
}

// cancelResults is the reply to a batch of cancellations, in the order of the request.
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
		r := a.ownerRequest(g, id, nil, 0)
		r.AcceptsWait = false
		a.forwardToOwner(g, id, r)
		return
	}
	if f := a.cancelOwned([]job.ID{id})[0]; f != nil {
		writeFault(g, id.String(), f)
		return
	}
	writeJSON(g, http.StatusOK, cancelResult{ID: id.String()})
}

// cancelChunk is the number of cancellations in one command: a large batch must not delay
// the placement of other callers' tasks.
const cancelChunk = 100

// cancelOwned cancels submissions that this entry owns. The faults are in the order of ids;
// nil means success.
func (a *api) cancelOwned(ids []job.ID) []*fault.Fault {
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
