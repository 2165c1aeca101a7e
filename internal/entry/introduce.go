package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	pathPeer = "/internal/peer"
	// introduceEvery is how often an entry repeats itself to those in its settings;
	// one of them that was restarted has forgotten it. While one can't be reached,
	// it is tried again after introduceRetry.
	introduceEvery   = time.Minute
	introduceRetry   = 2 * time.Second
	introduceTimeout = time.Second
	// introduction stands in the place of a submission's unique part.
	introduction = "introduction"
)

// peerBody is how an entry makes itself known to another. The id carries its
// address under the fleet's signature.
type peerBody struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
}

// introduce makes this entry known to those in its settings until it drains. They
// tell their agents. Without this, a new entry that no agent was given the address
// of would own submissions and have no targets for them.
func (e *Entry) introduce(addr string) {
	for !e.draining.Load() {
		wait := introduceEvery/2 + rand.N(introduceEvery)
		if !e.introduceOnce(addr) {
			wait = introduceRetry/2 + rand.N(introduceRetry)
		}
		select {
		case <-time.After(wait):
		case <-e.drainedCh:
			return
		}
	}
}

func (e *Entry) introduceOnce(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), introduceTimeout)
	defer cancel()
	id, err := job.NewID(e.api.token, e.clock.Now().Add(introduceEvery), introduction, e.o.key())
	if err != nil {
		return false
	}
	body, err := json.Marshal(peerBody{ID: id.String(), DataCentre: e.o.DataCentre})
	if err != nil {
		return false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+pathPeer, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Close = true // the next one is a minute away
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false // tried again soon
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// takePeer serves POST /internal/peer.
func (a *api) takePeer(g *gin.Context) {
	peer, err := a.decodePeer(g.Request)
	if err == nil {
		err = a.control.do(func(now time.Time, c core) { c.Learn(now, []wire.Peer{peer}) })
	}
	if err != nil {
		writeFault(g, "", err)
		return
	}
	writeJSON(g, http.StatusOK, struct{}{})
}

// decodePeer reads an introduction and checks its signature. The error is a *fault.Fault.
func (a *api) decodePeer(r *http.Request) (wire.Peer, error) {
	body, err := readBody(r)
	if err != nil {
		return wire.Peer{}, err
	}
	b := peerBody{}
	if err := decodeStrict(body, &b); err != nil {
		return wire.Peer{}, err
	}
	if len(b.DataCentre) > job.MaxNameBytes {
		return wire.Peer{}, fault.Input(fault.BadField, "data_centre", "takes up to 64 bytes")
	}
	id, err := job.ParseID(b.ID, a.key)
	if err != nil {
		return wire.Peer{}, err
	}
	return wire.Peer{Addr: id.Owner.Addr.String(), DataCentre: b.DataCentre}, nil
}
