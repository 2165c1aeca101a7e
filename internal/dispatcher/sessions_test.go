package dispatcher

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

const ownAddr = "10.1.0.5:7720"

// A fleet of 55 entries starts, and each runner that connects names all that it knows. Each name
// is passed on once, however many runners bring it, and once more when its data centre is known:
// an entry else sends thousands of frames while its first callers wait.
func TestANameIsPassedOnOnce(t *testing.T) {
	g := NewWithT(t)
	s := &state{entries: map[string]string{}}
	named := []wire.Peer{{Addr: ownAddr}, {Addr: "10.1.0.6:7720"}, {Addr: "10.2.0.5:7720", DataCentre: "b"}}
	for range 50 {
		s.learn(ownAddr, named)
	}
	g.Expect(s.fresh).To(Equal(named[1:]))
	s.fresh = nil
	named[1].DataCentre = "a"
	s.learn(ownAddr, named)
	g.Expect(s.fresh).To(Equal(named[1:2]))
	named[1].DataCentre = ""
	s.learn(ownAddr, named)
	g.Expect(s.known()).To(ConsistOf(wire.Peer{Addr: "10.1.0.6:7720", DataCentre: "a"}, wire.Peer{Addr: "10.2.0.5:7720", DataCentre: "b"}))
}

// Names without end, of hosts that come and go or of a peer gone wrong, take no more memory than
// the bound.
func TestNamesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := &state{entries: map[string]string{}}
	for i := range 2 * maxEntries {
		s.learn(ownAddr, []wire.Peer{{Addr: fmt.Sprint(i)}})
	}
	g.Expect(s.known()).To(HaveLen(maxEntries))
}
