package dispatcher

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

const ownAddr = "10.1.0.5:7720"

// Guards against thousands of announcement frames while the first callers wait. When a fleet of
// 55 entries starts, each runner that connects reports all entries it knows. Each entry must be
// announced once, however many runners report it, and once more when its data centre is known.
func TestEntryIsAnnouncedOnce(t *testing.T) {
	g := NewWithT(t)
	s := &state{entries: map[string]string{}}
	peers := []wire.Peer{{Addr: ownAddr}, {Addr: "10.1.0.6:7720"}, {Addr: "10.2.0.5:7720", DataCentre: "b"}}
	for range 50 {
		s.addEntries(ownAddr, peers)
	}
	g.Expect(s.unannounced).To(Equal(peers[1:]))
	s.unannounced = nil
	peers[1].DataCentre = "a"
	s.addEntries(ownAddr, peers)
	g.Expect(s.unannounced).To(Equal(peers[1:2]))
	peers[1].DataCentre = ""
	s.addEntries(ownAddr, peers)
	g.Expect(s.knownEntries()).To(ConsistOf(wire.Peer{Addr: "10.1.0.6:7720", DataCentre: "a"}, wire.Peer{Addr: "10.2.0.5:7720", DataCentre: "b"}))
}

// Guards against unbounded memory use by addresses of short-lived hosts or from a faulty peer.
func TestKnownEntriesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := &state{entries: map[string]string{}}
	for i := range 2 * maxEntries {
		s.addEntries(ownAddr, []wire.Peer{{Addr: fmt.Sprint(i)}})
	}
	g.Expect(s.knownEntries()).To(HaveLen(maxEntries))
}
