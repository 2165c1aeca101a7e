package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// Guards against a list full of addresses of removed entries: the hosts of entries are
// replaced over weeks, each time with a new address. No agent would then connect to a new
// entry.
func TestNewEntriesReplaceThoseNoLongerReported(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Log: logr.Discard(), PeerAddrs: []string{"10.9.9.9:7400"}})
	start := time.UnixMilli(1_800_000_000_000)
	steady := wire.Peer{Addr: "10.0.1.1:7400", DataCentre: "a"}
	for i := range 3 * maxPeers {
		now := start.Add(time.Duration(i) * time.Hour)
		c.AddPeers(now, []wire.Peer{steady, {Addr: fmt.Sprintf("10.1.0.%d:7400", i+1)}, {Addr: "nonsense"}, {Addr: "10.2.2.2:0"}})
	}
	list := c.peers.list()
	g.Expect(list).To(HaveLen(maxPeers))
	g.Expect(list).To(ContainElements(steady, wire.Peer{Addr: "10.9.9.9:7400"}, wire.Peer{Addr: fmt.Sprintf("10.1.0.%d:7400", 3*maxPeers)}))
	g.Expect(list).NotTo(ContainElement(wire.Peer{Addr: "10.1.0.1:7400"}))
}
