package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/event"
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
	// newsPeers is how many other entries are told of a change that the log brings. One
	// that lives is enough to tell the successor of an entry that is killed next; all of
	// them would be messages that rise with the square of the entries.
	newsPeers = 2
	// maxPeerAnswer bounds the answer to an introduction: a state in base64.
	maxPeerAnswer = 2 * config.MaxStateBytes
	// queryConfig carries the mark of the introducer's configuration.
	queryConfig = "config"
	// introduction stands in the place of a submission's unique part.
	introduction = "introduction"
)

// peerBody is how an entry makes itself known to another. The id carries its
// address under the fleet's signature.
type peerBody struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
}

// peerAnswer is the answer to an introduction.
type peerAnswer struct {
	// Config is what the introducer's configuration lacks; empty: nothing.
	Config []byte `json:"config,omitempty"`
}

// introduce makes this entry known to those in its settings until it drains. They
// tell their agents. Without this, a new entry that no agent was given the address
// of would own submissions and have no targets for them.
func (e *Entry) introduce(addr string) {
	for !e.draining.Load() {
		wait := introduceEvery/2 + rand.N(introduceEvery)
		if e.introduceOnce(context.Background(), addr) != nil {
			wait = introduceRetry/2 + rand.N(introduceRetry)
		}
		select {
		case <-time.After(wait):
		case <-e.drainedCh:
			return
		}
	}
}

// errIntroductionRefused is an introduction that the other entry did not take.
var errIntroductionRefused = errors.New("the introduction was refused")

// introduceOnce makes this entry known to another and takes what that one's configuration
// has more. The error is errIntroductionRefused, or the network's.
func (e *Entry) introduceOnce(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	request, err := e.introduction(ctx, addr)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "introduce")
	}
	defer func() { _ = response.Body.Close() }() // read to its end, or given up
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(errIntroductionRefused, "HTTP status %d", response.StatusCode)
	}
	var answer peerAnswer
	err = json.NewDecoder(io.LimitReader(response.Body, maxPeerAnswer)).Decode(&answer)
	if err == nil && len(answer.Config) > 0 {
		err = e.api.config.holder.ApplyUpdate(answer.Config)
	}
	if err != nil {
		event.Log(e.log, event.BadFrame, "peer", addr, "reason", "answer to an introduction", "error", err.Error())
	}
	return nil
}

func (e *Entry) introduction(ctx context.Context, addr string) (*http.Request, error) {
	id, err := job.NewID(e.api.token, e.clock.Now().Add(introduceEvery), introduction, e.o.key())
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(peerBody{ID: id.String(), DataCentre: e.o.DataCentre})
	if err != nil {
		return nil, err
	}
	// In the query, which entries of an older release pass over; they refuse bodies
	// with fields that they don't know.
	query := url.Values{queryConfig: {strconv.FormatUint(e.api.config.holder.Position(), 10)}}
	target := "http://" + addr + pathPeer + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Close = true // the next one is a minute away
	return request, nil
}

// spreadNews tells some other entries at once of each change that the log brings. They
// poll the log seconds apart: were the log to go down now and this entry to be killed,
// nobody else would know what it had in force.
func (e *Entry) spreadNews() {
	for {
		select {
		case <-e.api.config.news:
		case <-e.drainedCh:
			return
		}
		_ = e.control.Push(func(_ time.Time, c core) { go e.tell(c.Peers()) }) // fails only at the end
	}
}

// tell introduces this entry, and with it what it has, to newsPeers of the others. One that
// does not take it, because it is gone or stands still, is passed over for the next.
func (e *Entry) tell(peers []wire.Peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	untold := make(chan string, len(peers))
	for _, p := range peers {
		untold <- p.Addr
	}
	close(untold)
	for range newsPeers {
		go func() {
			for addr := range untold {
				if e.introduceOnce(context.Background(), addr) == nil {
					return
				}
			}
		}()
	}
}

// takePeer serves POST /internal/peer. An introducer whose configuration is newer is
// asked for it in turn.
func (a *api) takePeer(g *gin.Context) {
	peer, err := a.decodePeer(g.Request)
	if err == nil && a.config.behind(g.Query(queryConfig)) {
		go a.pull(peer.Addr)
	}
	if err == nil {
		err = a.control.do(func(now time.Time, c core) { c.AddPeers(now, []wire.Peer{peer}) })
	}
	if err != nil {
		writeFault(g, "", err)
		return
	}
	writeJSON(g, http.StatusOK, peerAnswer{Config: a.config.lacking(g.Query(queryConfig))})
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
