package runner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const testEntries = 55

// newTestDialers returns dialers that are shut down, so that they select entries but dial none.
func newTestDialers(t *testing.T) *dialers {
	d := newDialers(&Runner{options: Options{Host: "host-1", DataCentre: "dc-0"}, log: logr.Discard()})
	d.stop() // nothing is dialled
	t.Cleanup(d.shutdown)
	return d
}

// sortedSelection returns the sorted addresses of the selected entries.
func (d *dialers) sortedSelection() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known.Select(time.Now())
	var chosen []string
	for _, p := range d.known.Selected() {
		chosen = append(chosen, p.Addr)
	}
	slices.Sort(chosen)
	return chosen
}

// addFleet adds n entries in six data centres.
func (d *dialers) addFleet(n int) {
	peers := make([]wire.Peer, n)
	for i := range peers {
		peers[i] = wire.Peer{Addr: fmt.Sprintf("127.0.0.1:%d", 1+i), DataCentre: fmt.Sprintf("dc-%d", i%6)}
	}
	d.addPeers(peers)
}

// Guards against a session to every entry of a large fleet. With 55 entries and 240 runners, both
// sides spent their processor time on heartbeats and load reports, and six of seven callers got no
// answer although nothing had failed.
func TestRunnerLimitsItsEntrySessions(t *testing.T) {
	g := NewWithT(t)
	d := newTestDialers(t)
	d.addFleet(testEntries)
	g.Expect(d.sortedSelection()).To(HaveLen(membership.AgentSessions))
	small := newTestDialers(t)
	small.addFleet(membership.AgentSessions)
	g.Expect(small.sortedSelection()).To(HaveLen(membership.AgentSessions))
}

// Guards against a runner that ends up with sessions to all entries it ever selected: the replacement
// of an unreachable entry is deselected when the entry returns.
func TestUnreachableEntryIsReplacedUntilItReturns(t *testing.T) {
	g := NewWithT(t)
	d := newTestDialers(t)
	d.addFleet(testEntries)
	before := d.sortedSelection()
	unreachable := d.known.Entry(before[0])
	d.conns[unreachable.Addr] = &entryConn{addr: unreachable.Addr, cancel: func() {}}
	d.markDown(unreachable.Addr)
	during := d.sortedSelection()
	g.Expect(during).To(HaveLen(membership.AgentSessions))
	g.Expect(during).NotTo(ContainElement(unreachable.Addr))
	d.sessionOpened(unreachable.Addr, unreachable.DataCentre, 7, func([]wire.Peer) {})
	g.Expect(d.sortedSelection()).To(Equal(before))
}

// Guards against moving sessions when all entries lose power together: the runner keeps dialling the
// selected ones, which return at the same time as all others.
func TestSelectionIsUnchangedIfAllEntriesAreUnreachable(t *testing.T) {
	g := NewWithT(t)
	d := newTestDialers(t)
	d.addFleet(testEntries)
	before := d.sortedSelection()
	for _, e := range d.known.Entries() {
		d.markDown(e.Addr)
	}
	g.Expect(d.sortedSelection()).To(Equal(before))
}

// Guards against an entry that knows no others because its sessions are older than theirs: it refuses
// what it could hand over to them.
func TestEntryIsToldOfEntriesSelectedLater(t *testing.T) {
	g := NewWithT(t)
	d := newDialers(&Runner{options: Options{Host: "host-1", DataCentre: "dc-0"}, log: logr.Discard()})
	t.Cleanup(d.shutdown)
	d.runSession = func(ctx context.Context, _ string) error { <-ctx.Done(); return ctx.Err() }
	shard := membership.Root("dc-0")
	first, second, heard := membership.Peer{Addr: "127.0.0.1:1", DataCentre: "dc-0"}, membership.Peer{Addr: "127.0.0.1:2", DataCentre: "dc-0"}, wire.Peer{Addr: "127.0.0.1:3"}
	d.updateRecord(shard, "entry-1", first)
	g.Eventually(func() []wire.Peer { return d.helloNames(first.Addr) }, time.Second).Should(Equal([]wire.Peer{wire.Peer(first)}))
	named := make(chan []wire.Peer, 1)
	d.sessionOpened(first.Addr, first.DataCentre, 7, func(peers []wire.Peer) { named <- peers })
	d.addPeers([]wire.Peer{heard})
	d.updateRecord(shard, "entry-2", second)
	g.Eventually(named, time.Second).Should(Receive(Equal([]wire.Peer{wire.Peer(first), wire.Peer(second)})), "an address that was only heard of is not passed on")
	d.applySelection()
	g.Expect(named).NotTo(Receive(), "it has been told")
}

// Guards against deleting the record of an entry that answers, because it is connected at another address.
func TestRecordOfAnAliasIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := newSimStore()
		d := newDialers(&Runner{options: Options{Host: "host-1", DataCentre: "dc-0", Store: store}, log: logr.Discard()})
		defer d.shutdown()
		d.runSession = func(context.Context, string) error { return &aliasError{} }
		g.Expect(d.registerSession(1, 7)).To(Succeed())
		d.updateRecord(membership.Root("dc-0"), "entry-1", membership.Peer{Addr: "127.0.0.1:1", DataCentre: "dc-0"})
		time.Sleep(2 * (goneAfter + goneSpread))
		g.Expect(store.calls).To(BeZero())
	})
}

// Guards against an entry that stays without a data centre after it was learned from the settings by
// its address alone, and against keeping an address that its host's record no longer names.
func TestRecordSetsTheDataCentre(t *testing.T) {
	g := NewWithT(t)
	d := newTestDialers(t)
	d.addPeers([]wire.Peer{{Addr: "127.0.0.1:9"}})
	d.updateRecord(membership.Shard{DataCentre: "dc-0"}, "entry-1", membership.Peer{Addr: "127.0.0.1:9", DataCentre: "dc-0"})
	g.Expect(d.known.Entry("127.0.0.1:9").DataCentre).To(Equal("dc-0"))
	d.updateRecord(membership.Shard{DataCentre: "dc-0"}, "entry-1", membership.Peer{Addr: "127.0.0.1:10", DataCentre: "dc-0"})
	g.Expect(d.known.Entry("127.0.0.1:9")).To(BeNil(), "another host may get the address")
	g.Eventually(func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.selectionPending }, time.Second).Should(BeFalse())
}
