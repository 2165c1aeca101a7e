package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/httpconn"
	"github.com/camphorrack/camphorrack/internal/job"
)

// cancelBatch is a batch of cancellations in progress.
type cancelBatch struct {
	api     *api
	results []cancelResult
	groups  map[job.Owner]*ownerGroup
}

// ownerGroup is the part of a batch that one owner has to cancel.
type ownerGroup struct {
	ids     []job.ID
	indexes []int // in the batch's results
}

// cancelMany serves POST /v1/cancel.
func (a *api) cancelMany(g *gin.Context) {
	body, err := readBody(g.Request)
	if err != nil {
		writeFault(g, "", err)
		return
	}
	idTexts, err := decodeCancel(body)
	httpconn.ReleaseBody(g.Request)
	if err != nil {
		writeFault(g, "", err)
		return
	}
	batch := a.newCancelBatch(idTexts)
	var owners sync.WaitGroup
	for o, group := range batch.groups {
		owners.Go(func() { batch.setFaults(group, batch.cancel(g, o, group)) })
	}
	owners.Wait()
	writeJSON(g, http.StatusOK, cancelResults{batch.results})
}

// newCancelBatch groups the ids by their owners. An invalid id gets its fault at once.
func (a *api) newCancelBatch(idTexts []string) *cancelBatch {
	b := &cancelBatch{api: a, results: make([]cancelResult, len(idTexts)), groups: map[job.Owner]*ownerGroup{}}
	for i, idText := range idTexts {
		b.results[i].ID = idText
		id, err := job.ParseID(idText, a.key)
		if err != nil {
			b.results[i].Failure = asFault(err)
			continue
		}
		group := b.groups[id.Owner]
		if group == nil {
			group = &ownerGroup{}
			b.groups[id.Owner] = group
		}
		group.ids = append(group.ids, id)
		group.indexes = append(group.indexes, i)
	}
	return b
}

// setFaults stores a group's outcomes in the results. Groups share no indexes, so they may be
// stored concurrently.
func (b *cancelBatch) setFaults(group *ownerGroup, faults []*fault.Fault) {
	for i, index := range group.indexes {
		b.results[index].Failure = faults[i]
	}
}

// cancel cancels a group, here or at another entry. The faults are in the order of its ids;
// nil means success.
func (b *cancelBatch) cancel(g *gin.Context, o job.Owner, group *ownerGroup) []*fault.Fault {
	if o.Incarnation == b.api.owner.Incarnation {
		return b.api.cancelOwned(group.ids)
	}
	if f := b.api.checkForwardable(g, o); f != nil {
		return repeatFault(f, len(group.ids))
	}
	faults, err := b.forward(g.Request.Context(), o, group)
	if err != nil {
		return repeatFault(asFault(err), len(group.ids))
	}
	return faults
}

func repeatFault(f *fault.Fault, n int) []*fault.Fault {
	faults := make([]*fault.Fault, n)
	for i := range faults {
		faults[i] = f
	}
	return faults
}

// forward forwards a group to its owner. The faults are in the order of its ids; nil means
// success.
func (b *cancelBatch) forward(ctx context.Context, o job.Owner, group *ownerGroup) ([]*fault.Fault, error) {
	request := forward.Request{Owner: o, Method: http.MethodPost, Path: pathCancel}
	idTexts := make([]string, len(group.ids))
	for i, id := range group.ids {
		idTexts[i] = id.String()
		if id.Deadline.After(request.Deadline) {
			request.Deadline = id.Deadline
		}
	}
	body, err := json.Marshal(cancelBody{IDs: idTexts})
	if err != nil {
		return nil, errors.Wrap(err, "encode ids")
	}
	request.Body = body
	reply, err := b.api.forwarder.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	return decodeCancelReply(reply, len(idTexts))
}

// decodeCancelReply returns the faults in an owner's reply, which must have want results. An
// error applies to all ids.
func decodeCancelReply(reply *forward.Reply, want int) ([]*fault.Fault, error) {
	var body struct {
		cancelResults
		failure
	}
	if err := json.Unmarshal(reply.Body, &body); err != nil {
		return nil, errors.Wrap(err, "decode the owner's reply")
	}
	if body.Failure != nil {
		return nil, body.Failure
	}
	if len(body.Results) != want {
		return nil, errors.WithStack(&resultCountError{Want: want, Got: len(body.Results)})
	}
	faults := make([]*fault.Fault, want)
	for i := range faults {
		faults[i] = body.Results[i].Failure
	}
	return faults, nil
}

// resultCountError reports an owner's reply whose number of results is not that of the ids.
type resultCountError struct{ Want, Got int }

// Error implements error.
func (e *resultCountError) Error() string { return "the owner's reply has another number of results" }
