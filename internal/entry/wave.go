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
	"github.com/camphorrack/camphorrack/internal/job"
)

// wave is a wave of cancellations being worked off.
type wave struct {
	api     *api
	results []cancelResult
	groups  map[job.Owner]*group
}

// group is the part of a wave that one owner has to cancel.
type group struct {
	ids    []job.ID
	places []int // in the wave's results
}

// cancelMany serves POST /v1/cancel.
func (a *api) cancelMany(g *gin.Context) {
	body, err := a.readBody(g)
	if err != nil {
		writeFault(g, "", err)
		return
	}
	texts, err := decodeCancel(body)
	if err != nil {
		writeFault(g, "", err)
		return
	}
	w := a.newWave(texts)
	var owners sync.WaitGroup
	for o, part := range w.groups {
		owners.Go(func() { w.settle(part, w.cancel(g, o, part)) })
	}
	owners.Wait()
	writeJSON(g, http.StatusOK, cancelResults{w.results})
}

func (a *api) newWave(texts []string) *wave {
	w := &wave{api: a, results: make([]cancelResult, len(texts)), groups: map[job.Owner]*group{}}
	for i, text := range texts {
		w.results[i].ID = text
		id, err := job.ParseID(text, a.key)
		if err != nil {
			w.results[i].Failure = asFault(err)
			continue
		}
		part := w.groups[id.Owner]
		if part == nil {
			part = &group{}
			w.groups[id.Owner] = part
		}
		part.ids = append(part.ids, id)
		part.places = append(part.places, i)
	}
	return w
}

// settle writes a group's outcomes; groups share no places.
func (w *wave) settle(part *group, faults []*fault.Fault) {
	for i, place := range part.places {
		w.results[place].Failure = faults[i]
	}
}

func (w *wave) cancel(g *gin.Context, o job.Owner, part *group) []*fault.Fault {
	if o.Incarnation == w.api.owner.Incarnation {
		return w.api.cancelOwn(part.ids)
	}
	if f := w.api.dontPass(g, o); f != nil {
		return repeated(f, len(part.ids))
	}
	faults, err := w.pass(g.Request.Context(), o, part)
	if err != nil {
		return repeated(asFault(err), len(part.ids))
	}
	return faults
}

func repeated(f *fault.Fault, n int) []*fault.Fault {
	faults := make([]*fault.Fault, n)
	for i := range faults {
		faults[i] = f
	}
	return faults
}

// pass sends a group on to its owner.
func (w *wave) pass(ctx context.Context, o job.Owner, part *group) ([]*fault.Fault, error) {
	request := forward.Request{Owner: o, Method: http.MethodPost, Path: pathCancel}
	texts := make([]string, len(part.ids))
	for i, id := range part.ids {
		texts[i] = id.String()
		if id.Deadline.After(request.Deadline) {
			request.Deadline = id.Deadline
		}
	}
	body, err := json.Marshal(cancelBody{IDs: texts})
	if err != nil {
		return nil, errors.Wrap(err, "encode ids")
	}
	request.Body = body
	reply, err := w.api.forwarder.Do(ctx, request)
	if err != nil {
		return nil, err
	}
	return readCancelled(reply, len(texts))
}

func readCancelled(reply *forward.Reply, want int) ([]*fault.Fault, error) {
	var answer struct {
		cancelResults
		failure
	}
	if err := json.Unmarshal(reply.Body, &answer); err != nil {
		return nil, errors.Wrap(err, "decode the owner's reply")
	}
	if answer.Failure != nil {
		return nil, answer.Failure
	}
	if len(answer.Results) != want {
		return nil, errors.WithStack(&wrongReplyError{Want: want, Got: len(answer.Results)})
	}
	faults := make([]*fault.Fault, want)
	for i := range faults {
		faults[i] = answer.Results[i].Failure
	}
	return faults, nil
}

// wrongReplyError is an owner's reply with another number of results than ids.
type wrongReplyError struct{ Want, Got int }

// Error implements error.
func (e *wrongReplyError) Error() string { return "the owner's reply has another number of results" }
