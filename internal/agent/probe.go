package agent

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// probeEvery is how often an agent asks through a balancer which entry answers.
	// 5,700 agents ask about 100 times a second in all, 3 times an entry, so a new
	// entry behind the balancer is found by some agent within about a second, and
	// the others are told by the entries that they know.
	probeEvery   = time.Minute
	probeTimeout = time.Second
	// maxProbeBytes caps the answer, of which two names are read.
	maxProbeBytes = 64 << 10
)

// probeWait spreads the probes of agents that were started at the same time.
func probeWait() time.Duration { return probeEvery/2 + rand.N(probeEvery) }

// probe asks which entry answers behind a balancer and learns its own address.
// Nothing else tells agents of an entry that was added behind the balancer and
// named to nobody; it would own submissions and have no targets for them.
func (d *dialers) probe(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/status", nil)
	if err != nil {
		return
	}
	request.Close = true // a kept connection would lead to the same entry again
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // the next probe may find one
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		Addr       string `json:"addr"`
		DataCentre string `json:"data_centre"`
	}
	if json.NewDecoder(io.LimitReader(response.Body, maxProbeBytes)).Decode(&status) == nil {
		d.learn(wire.Peer{Addr: status.Addr, DataCentre: status.DataCentre})
	}
}
