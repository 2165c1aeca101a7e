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
	// probeInterval is the mean time between requests by which an agent asks through a load
	// balancer which entry answers. 5,700 agents send about 100 requests a second in all, 3 a
	// second per entry, so some agent finds a new entry behind the balancer within about a
	// second. The others get its address from the entries that they know.
	probeInterval = time.Minute
	probeTimeout  = time.Second
	// maxProbeBytes limits the answer, of which two fields are read.
	maxProbeBytes = 64 << 10
)

// randomProbeDelay returns 0.5 to 1.5 probe intervals, to spread the probes of agents that
// were started together.
func randomProbeDelay() time.Duration { return probeInterval/2 + rand.N(probeInterval) }

// probe requests the status of the entry that answers behind a load balancer, and adds the
// entry's own address. Otherwise no agent would find an entry that was added behind the balancer
// and is in no settings; it would own submissions and have no targets for them.
func (d *dialers) probe(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/status", nil)
	if err != nil {
		return
	}
	request.Close = true // a reused connection would reach the same entry again
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // the next probe may succeed
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		Addr       string `json:"addr"`
		DataCentre string `json:"data_centre"`
	}
	if json.NewDecoder(io.LimitReader(response.Body, maxProbeBytes)).Decode(&status) == nil {
		d.addPeer(wire.Peer{Addr: status.Addr, DataCentre: status.DataCentre})
	}
}
