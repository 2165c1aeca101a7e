package runner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

const fleetEntries = 55

// newChooser returns the dialers of a host whose entries all lie where nobody listens.
func newChooser(t *testing.T) *dialers {
	d := newDialers(&Runner{o: Options{Host: "host-1", DataCentre: "dc-0"}, log: logr.Discard()})
	d.stop() // nothing is dialled
	t.Cleanup(d.end)
	return d
}

// choices returns what the runner would keep sessions with, sorted.
func (d *dialers) choices() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	chosen := d.chosenAddrs()
	slices.Sort(chosen)
	return chosen
}

func (d *dialers) learnFleet(n int) {
	peers := make([]wire.Peer, n)
	for i := range peers {
		peers[i] = wire.Peer{Addr: fmt.Sprintf("127.0.0.1:%d", 1+i), DataCentre: fmt.Sprintf("dc-%d", i%6)}
	}
	d.learn(peers)
}

// A fleet has 55 entries. With a session to each of them a runner spent its processor on
// heartbeats and reports, and so did the entries on those of 240 runners: on a day without any
// trouble six callers of seven had no answer.
func TestARunnerKeepsSessionsWithSomeOfManyEntries(t *testing.T) {
	g := NewWithT(t)
	d := newChooser(t)
	d.learnFleet(fleetEntries)
	g.Expect(d.choices()).To(HaveLen(entrySessions))
	small := newChooser(t)
	small.learnFleet(entrySessions)
	g.Expect(small.choices()).To(HaveLen(entrySessions))
}

// An entry is out of reach for seconds. Another one takes its place, and the first one has it
// back when it is: the runner would else end with sessions to all that were ever chosen.
func TestAnEntryOutOfReachIsReplacedForThatTime(t *testing.T) {
	g := NewWithT(t)
	d := newChooser(t)
	d.learnFleet(fleetEntries)
	before := d.choices()
	gone := d.entries[before[0]]
	d.lost(gone)
	during := d.choices()
	g.Expect(during).To(HaveLen(entrySessions))
	g.Expect(during).NotTo(ContainElement(gone.addr))
	d.opened(gone.addr, gone.dataCentre, 7)
	g.Expect(d.choices()).To(Equal(before))
}

// All entries lose power together. The runner goes on dialling those that it had, which come
// back at the same time as all others.
func TestWhereAllAreOutOfReachTheChoiceStands(t *testing.T) {
	g := NewWithT(t)
	d := newChooser(t)
	d.learnFleet(fleetEntries)
	before := d.choices()
	for _, e := range d.entries {
		d.lost(e)
	}
	g.Expect(d.choices()).To(Equal(before))
}

// A neighbour is named by its address alone, and the store's record tells its data centre later.
func TestARecordTellsTheDataCentre(t *testing.T) {
	g := NewWithT(t)
	d := newChooser(t)
	d.learn([]wire.Peer{{Addr: "127.0.0.1:9"}})
	d.place("entry-1", "127.0.0.1:9", "dc-0")
	g.Expect(d.entries["127.0.0.1:9"].dataCentre).To(Equal("dc-0"))
	d.place("entry-1", "127.0.0.1:10", "dc-0")
	g.Expect(d.entries).NotTo(HaveKey("127.0.0.1:9"), "another host may get the address")
	g.Eventually(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.waiting }, time.Second).Should(BeFalse())
}
