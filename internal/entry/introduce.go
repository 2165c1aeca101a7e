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
	// introduceInterval is the mean interval at which an entry repeats its introduction to
	// each entry in its settings, which loses it in a restart. An entry that can't be
	// reached is retried after introduceRetryInterval, also a mean.
	introduceInterval      = time.Minute
	introduceRetryInterval = 2 * time.Second
	introduceTimeout       = time.Second
	// notifyPeerCount is how many other entries are notified of a change read from the log.
	// One that stays up is enough to inform the successor of an entry that is killed next;
	// with all of them, messages would grow with the square of the number of entries.
	notifyPeerCount = 2
	// maxPeerAnswerBytes bounds the answer to an introduction, which carries a state in base64.
	maxPeerAnswerBytes = 2 * config.MaxStateBytes
	// queryConfig is the query parameter with the position of the introducer's configuration.
	queryConfig = "config"
	// introductionUnique is the unique part of an introduction's id.
	introductionUnique = "introduction"
)

// peerBody is the body of an introduction, by which one entry becomes known to another. The
// id carries the introducer's address, signed with the fleet's key.
type peerBody struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
}

// peerAnswer is the answer to an introduction.
type peerAnswer struct {
	// Config is the encoded changes that the introducer lacks; empty if it is up to date.
	Config []byte `json:"config,omitempty"`
}

// introduce introduces this entry, again and again until it drains, to one of the entries in
// its settings, which passes the address on to its agents. Without this, a new entry whose
// address is in no agent's settings would own submissions and have no targets for them.
func (e *Entry) introduce(addr string) {
	for !e.draining.Load() {
		wait := introduceInterval/2 + rand.N(introduceInterval)
		if e.introduceOnce(context.Background(), addr) != nil {
			wait = introduceRetryInterval/2 + rand.N(introduceRetryInterval)
		}
		select {
		case <-time.After(wait):
		case <-e.done:
			return
		}
	}
}

// errIntroductionRefused reports that the other entry replied to an introduction with an
// HTTP status other than 200.
var errIntroductionRefused = errors.New("the introduction was refused")

// introduceOnce introduces this entry to another one and applies the configuration changes
// that the reply carries. The error is errIntroductionRefused, or one of the network.
func (e *Entry) introduceOnce(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	request, err := e.newIntroduction(ctx, addr)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "introduce")
	}
	defer func() { _ = response.Body.Close() }() // the body was read or is of no use
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(errIntroductionRefused, "HTTP status %d", response.StatusCode)
	}
	var answer peerAnswer
	err = json.NewDecoder(io.LimitReader(response.Body, maxPeerAnswerBytes)).Decode(&answer)
	if err == nil && len(answer.Config) > 0 {
		err = e.api.config.replica.ApplyUpdate(answer.Config)
	}
	if err != nil {
		event.Log(e.log, event.BadFrame, "peer", addr, "reason", "answer to an introduction", "error", err.Error())
	}
	return nil
}

func (e *Entry) newIntroduction(ctx context.Context, addr string) (*http.Request, error) {
	id, err := job.NewID(e.api.token, e.clock.Now().Add(introduceInterval), introductionUnique, e.options.key())
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(peerBody{ID: id.String(), DataCentre: e.options.DataCentre})
	if err != nil {
		return nil, err
	}
	// The position is in the query, because entries of an older release ignore unknown query
	// parameters but reject bodies with unknown fields.
	query := url.Values{queryConfig: {strconv.FormatUint(e.api.config.replica.Position(), 10)}}
	target := "http://" + addr + pathPeer + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Close = true // the next one follows about a minute later
	return request, nil
}

// announceChanges notifies some other entries at once of each change read from the log.
// Entries poll the log seconds apart: if the log went down now and this entry were killed,
// no other process would know the configuration that it had in force.
func (e *Entry) announceChanges() {
	for {
		select {
		case <-e.api.config.changed:
		case <-e.done:
			return
		}
		_ = e.control.Push(func(_ time.Time, c core) { go e.notifyPeers(c.Peers()) }) // fails only when the process ends
	}
}

// notifyPeers sends an introduction, which carries the position of this entry's configuration, to
// notifyPeerCount of the peers, chosen at random. A peer that doesn't accept it, because it
// has ended or is frozen, is replaced by the next.
func (e *Entry) notifyPeers(peers []wire.Peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	remaining := make(chan string, len(peers))
	for _, p := range peers {
		remaining <- p.Addr
	}
	close(remaining)
	for range notifyPeerCount {
		go func() {
			for addr := range remaining {
				if e.introduceOnce(context.Background(), addr) == nil {
					return
				}
			}
		}()
	}
}

// registerPeer serves POST /internal/peer, the introduction of another entry. It fetches the
// introducer's configuration if that is newer, and replies with the changes that the
// introducer lacks.
func (a *api) registerPeer(g *gin.Context) {
	peer, err := a.decodePeer(g.Request)
	if err == nil && a.config.isBehind(g.Query(queryConfig)) {
		go a.pullConfiguration(peer.Addr)
	}
	if err == nil {
		err = a.control.do(func(now time.Time, c core) { c.AddPeers(now, []wire.Peer{peer}) })
	}
	if err != nil {
		writeFault(g, "", err)
		return
	}
	writeJSON(g, http.StatusOK, peerAnswer{Config: a.config.updateSince(g.Query(queryConfig))})
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
