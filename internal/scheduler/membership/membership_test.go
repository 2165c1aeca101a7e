package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/camphorrack/camphorrack/internal/platformlog"
	. "github.com/onsi/gomega"
)

var testShard = Shard{DataCentre: "dc0"}

var testNow = time.Unix(1_800_000_000, 0)

// fleetOf returns n entries in data centres of so many.
func fleetOf(n, dataCentres int) []Peer {
	peers := make([]Peer, n)
	for i := range peers {
		peers[i] = Peer{Addr: fmt.Sprintf("10.%d.0.%d:7720", i%dataCentres, i), DataCentre: fmt.Sprint("dc", i%dataCentres)}
	}
	return peers
}

func newTestAgent() *Agent { return NewAgent("host", "dc0", []string{"dc0", "dc1", "dc2", "dc3"}) }

// Guards against reading the list of the whole fleet: two data centres are enough where each has many
// entries. Where they have few, each agent must find all.
func TestListsFollowTheNumberOfEntries(t *testing.T) {
	g := NewWithT(t)
	a := newTestAgent()
	g.Expect(a.Lists(0)).To(HaveLen(initialLists))
	g.Expect(a.Lists(initialLists)).To(HaveLen(3), "the first lists are empty")
	for i, p := range fleetOf(80, 4) {
		a.SetRecord(testShard, fmt.Sprint(i), p)
	}
	g.Expect(a.Lists(4)).To(HaveLen(2), "two are enough")
	g.Expect(a.Lists(2)[0]).To(Equal("dc0"))
	small := newTestAgent()
	for i, p := range fleetOf(4, 4) {
		if slices.Contains(small.Lists(0), p.DataCentre) {
			small.SetRecord(testShard, fmt.Sprint(i), p)
		}
	}
	g.Expect(small.Lists(2)).To(ConsistOf("dc0", "dc1", "dc2", "dc3", CommonList), "found in two steps")
	single := NewAgent("host", "dc0", []string{"dc0"})
	for i, p := range fleetOf(20, 1) {
		single.SetRecord(testShard, fmt.Sprint(i), p)
	}
	g.Expect(single.Lists(2)).To(Equal([]string{"dc0"}))
	ofEarlierBuild := newTestAgent()
	g.Expect(ofEarlierBuild.Lists(4)).To(HaveLen(5), "the common list is read if the others are empty")
}

// Guards against a topic for each data centre: the store limits their number.
func TestListTopicsAreBounded(t *testing.T) {
	g := NewWithT(t)
	topics, shared := map[string]bool{}, map[platformlog.Partition]int{}
	for i := range 1000 {
		list := Shard{fmt.Sprint("dc", i/20), i % 20}.Partition(24)
		topics[list.Topic] = true
		shared[list]++
	}
	g.Expect(len(topics)).To(BeNumerically("<=", listTopics))
	g.Expect(len(shared)).To(BeNumerically(">", 300), "few lists share a partition")
	g.Expect(Shard{"dc0", 0}.Partition(1).Index).To(BeZero())
}

// Guards against lists that an agent reads whole: whatever the size of a data centre, it reads some tens
// of records, finds enough entries in them, and the agents together find all.
func TestAgentsReadAShardOfALargeList(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int{20, 31, 100, 177, 354, 2000} {
		depth := SplitDepth(0, size)
		hostsByShard := map[Shard][]string{}
		for i := range size {
			host := fmt.Sprint("entry", i)
			s := ShardOf("dc0", host, depth)
			hostsByShard[s] = append(hostsByShard[s], host)
		}
		found := map[string]int{}
		for n := range 500 {
			a := NewAgent(fmt.Sprint("host", n), "dc0", []string{"dc0", "dc1"})
			a.SetDepth("dc0", depth)
			read, records := map[Shard]bool{}, 0
			for next := a.Shards("dc0", func(s Shard) bool { return read[s] }); !read[next[len(next)-1]]; next = a.Shards("dc0", func(s Shard) bool { return read[s] }) {
				s := next[len(next)-1]
				read[s] = true
				for _, host := range hostsByShard[s] {
					a.SetRecord(s, host, Peer{Addr: host, DataCentre: "dc0"})
					found[host]++
					records++
				}
			}
			g.Expect(records).To(BeNumerically(">=", min(size, minShardEntries)))
			g.Expect(records).To(BeNumerically("<=", 2*maxShardRecords), "%d entries", size)
		}
		if size <= 354 {
			g.Expect(found).To(HaveLen(size))
		}
	}
}

// Guards against an entry that no agent finds because it has not moved since a split, and against dropping
// the session with one that moves.
func TestEntriesAreFoundAcrossASplit(t *testing.T) {
	g := NewWithT(t)
	a := NewAgent("side1", "dc0", []string{"dc0"})
	a.SetDepth("dc0", 3)
	shards := ShardsOf("dc0", "side1", 3)
	g.Expect(len(shards)).To(BeNumerically(">", 1))
	g.Expect(a.Shards("dc0", func(Shard) bool { return false })).To(Equal(shards[:1]))
	g.Expect(a.Shards("dc0", func(Shard) bool { return true })).To(Equal(shards), "nothing was found")
	g.Expect(shards[len(shards)-1]).To(Equal(Shard{"dc0", 0}))
	fleet := fleetOf(AgentSessions+1, 1)
	for i, p := range fleet {
		a.SetRecord(shards[1], fmt.Sprint(i), p)
	}
	a.Select(testNow)
	before := a.Selected()
	for i, p := range fleet {
		_, dropped := a.SetRecord(shards[1], fmt.Sprint(i), Peer{})
		if slices.Contains(before, p) {
			g.Expect(dropped).To(BeEmpty())
		}
	}
	a.Select(testNow)
	g.Expect(a.Selected()).To(Equal(before))
	for i, p := range before {
		a.SetRecord(shards[0], fmt.Sprint(i), p)
		g.Expect(a.Records(p.Addr)).To(Equal([]HostRecord{{shards[0], fmt.Sprint(i)}}))
	}
	a.DropShard(shards[0])
	g.Expect(a.Records(before[0].Addr)).To(BeEmpty())
}

// Guards against a depth that grows without bound, or is taken from a damaged record.
func TestDepthIsBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(SplitDepth(0, maxShardRecords)).To(BeZero())
	g.Expect(SplitDepth(0, maxShardRecords+1)).To(Equal(1))
	g.Expect(SplitDepth(2, 177)).To(Equal(5))
	g.Expect(SplitDepth(maxDepth, 1_000_000)).To(Equal(maxDepth))
	g.Expect(ParseDepth(EncodeDepth(7))).To(Equal(7))
	for _, damaged := range []string{"", "x", "-1", "1000"} {
		g.Expect(ParseDepth([]byte(damaged))).To(BeZero())
	}
}

// Guards against a runner that knows as many addresses as it was ever told, and against one that drops
// the entries that it has sessions with.
func TestAddressesWithoutRecordAreBounded(t *testing.T) {
	g := NewWithT(t)
	a := newTestAgent()
	kept := fleetOf(AgentSessions, 1)
	for _, p := range kept {
		a.Learn(p)
	}
	a.Select(testNow)
	dropped := 0
	for i := range 10 * maxUnrecorded {
		if _, addr := a.Learn(Peer{Addr: fmt.Sprint("10.9.0.", i), DataCentre: "dc9"}); addr != "" {
			dropped++
		}
	}
	g.Expect(a.Entries()).To(HaveLen(maxUnrecorded + AgentSessions))
	g.Expect(dropped).To(Equal(9 * maxUnrecorded))
	for _, p := range kept {
		g.Expect(a.Entry(p.Addr)).NotTo(BeNil())
	}
}

// Guards against a limit below the size of the fleet: entries with a record are never dropped.
func TestRecordsAreNotBounded(t *testing.T) {
	g := NewWithT(t)
	a := newTestAgent()
	for i, p := range fleetOf(5000, 1) {
		a.SetRecord(testShard, fmt.Sprint(i), p)
	}
	g.Expect(a.Entries()).To(HaveLen(5000))
}

// Guards against an address of a removed host to which the agent connects when another host has it.
func TestMovedRecordDropsTheOldAddress(t *testing.T) {
	g := NewWithT(t)
	a := newTestAgent()
	a.SetRecord(testShard, "e1", Peer{"10.0.0.1:1", "dc0"})
	a.SetRecord(testShard, "e2", Peer{"10.0.0.1:1", "dc0"}) // reused
	_, dropped := a.SetRecord(testShard, "e1", Peer{"10.0.0.2:1", "dc0"})
	g.Expect(dropped).To(BeEmpty(), "e2 has it")
	_, dropped = a.SetRecord(testShard, "e2", Peer{})
	g.Expect(dropped).To(Equal("10.0.0.1:1"))
	g.Expect(a.Entry("10.0.0.2:1").Recorded()).To(BeTrue())
}

// Guards against a runner that keeps dialling an entry that has no room, and one that never returns.
func TestFullEntryIsReplacedForAWhile(t *testing.T) {
	g := NewWithT(t)
	a := newTestAgent()
	for i, p := range fleetOf(20, 1) {
		a.SetRecord(testShard, fmt.Sprint(i), p)
	}
	a.Select(testNow)
	before := a.Selected()
	first := a.SetFull(testNow, before[0].Addr)
	a.Select(testNow)
	g.Expect(a.Selected()).To(And(HaveLen(AgentSessions), Not(ContainElement(before[0]))))
	now := testNow.Add(first)
	a.Select(now)
	g.Expect(a.Selected()).To(ConsistOf(before))
	g.Expect(a.SetFull(now, before[0].Addr)).To(BeNumerically(">", first))
	a.SetOpen(before[0].Addr)
	g.Expect(a.SetFull(now, before[0].Addr)).To(Equal(first))
}

// Guards against all agents dialling the same address of the settings first.
func TestSeedsAreTriedInDifferentOrders(t *testing.T) {
	g := NewWithT(t)
	first := map[string]int{}
	for i := range 300 {
		a := NewAgent(fmt.Sprint("host", i), "dc0", nil)
		a.SetSeeds([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
		seen := map[string]bool{}
		for n := range 3 {
			addr, ok := a.NextSeed()
			g.Expect(ok).To(BeTrue())
			seen[addr] = true
			if n == 0 {
				first[addr]++
			}
		}
		g.Expect(seen).To(HaveLen(3))
		_, ok := a.NextSeed()
		g.Expect(ok).To(BeFalse())
	}
	for _, n := range first {
		g.Expect(n).To(BeNumerically("~", 100, 40))
	}
}

// Guards against addresses of hosts that are gone, which an entry would name forever, and against one
// agent that fills the directory.
func TestDirectoryFollowsItsSources(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory(Peer{"10.0.0.99:1", "dc0"})
	fleet := fleetOf(100, 2)
	d.Name(testNow, FromStore, fleet[:2])
	d.Name(testNow, 1, fleet[:10])
	d.Name(testNow, 2, fleet[5:])
	g.Expect(d.Len()).To(Equal(5+MaxNames), "agents name MaxNames at the most")
	added, removed := d.TakeChanges()
	g.Expect(added).To(HaveLen(d.Len()))
	g.Expect(removed).To(BeEmpty())
	d.Forget(testNow, 2)
	d.Expire(testNow.Add(unnamedTTL - 1))
	g.Expect(d.Len()).To(Equal(5+MaxNames), "an entry without agents needs them")
	d.Expire(testNow.Add(unnamedTTL))
	g.Expect(d.Len()).To(Equal(10))
	d.Forget(testNow, 1)
	d.Name(testNow, 3, fleet[:4])
	d.Expire(testNow.Add(unnamedTTL))
	g.Expect(d.Len()).To(Equal(4), "two are of the store")
	_, removed = d.TakeChanges()
	g.Expect(removed).To(HaveLen(5 + MaxNames - 4))
}

// Guards against a directory that keeps the first names of an agent, and not those that it selects now.
func TestNewestNamesOfAnAgentCount(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory(Peer{"10.0.0.99:1", "dc0"})
	fleet := fleetOf(MaxNames+3, 1)
	d.Name(testNow, 1, fleet[:MaxNames])
	d.Name(testNow, 1, fleet[MaxNames:])
	d.Expire(testNow.Add(unnamedTTL))
	g.Expect(d.Len()).To(Equal(MaxNames))
	_, removed := d.TakeChanges()
	g.Expect(removed).To(Equal([]string{fleet[0].Addr, fleet[1].Addr, fleet[2].Addr}))
}

// Guards against thousands of announcement frames while the first callers wait. When a fleet starts,
// many agents name the same entries. Each entry is announced once, and once more when its data centre
// is known.
func TestEntryIsAnnouncedOnce(t *testing.T) {
	g := NewWithT(t)
	own := Peer{Addr: "10.1.0.5:7720"}
	d := NewDirectory(own)
	peers := []Peer{own, {Addr: "10.1.0.6:7720"}, {Addr: "10.2.0.5:7720", DataCentre: "b"}}
	for agent := range Source(50) {
		d.Name(testNow, 1+agent, peers)
	}
	added, _ := d.TakeChanges()
	g.Expect(added).To(Equal(peers[1:]))
	peers[1].DataCentre = "a"
	d.Name(testNow, 51, peers)
	added, _ = d.TakeChanges()
	g.Expect(added).To(Equal(peers[1:2]))
	peers[1].DataCentre = ""
	d.Name(testNow, 52, peers)
	added, _ = d.TakeChanges()
	g.Expect(added).To(BeEmpty())
	g.Expect(d.For("host", "a")).To(ConsistOf(Peer{Addr: "10.1.0.6:7720", DataCentre: "a"}, peers[2]))
}

// Guards against a welcome with all entries of the fleet: the names are those that the agent selects.
func TestNamesAreThoseThatTheAgentSelects(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(1000, 4)
	d, a := NewDirectory(Peer{"10.0.0.99:1", "dc0"}), newTestAgent()
	d.Name(testNow, FromStore, fleet)
	for i, p := range fleet {
		a.SetRecord(testShard, fmt.Sprint(i), p)
	}
	a.Select(testNow)
	named := d.For("host", "dc0")
	g.Expect(named).To(HaveLen(MaxNames))
	inside := 0
	for _, p := range a.Selected() {
		if p.DataCentre == "dc0" {
			inside++
			g.Expect(named).To(ContainElement(p))
		}
	}
	g.Expect(inside).To(Equal(AgentSessions - 1))
}

// Guards against announcing each new entry to all agents of every entry. Those that select it hear of
// it from the entry that it displaces.
func TestNewEntryIsAnnouncedToTheAgentsThatSelectIt(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(200, 1)
	newcomer := Peer{"10.0.7.7:1", "dc0"}
	told, selecting, sessions := 0, 0, 0
	for n := range 500 {
		host := fmt.Sprint("host", n)
		a := NewAgent(host, "dc0", []string{"dc0"})
		for i, p := range fleet {
			a.SetRecord(testShard, fmt.Sprint(i), p)
		}
		a.Select(testNow)
		isTold := false
		for _, own := range a.Selected() {
			sessions++
			d := NewDirectory(own)
			d.Name(testNow, FromStore, fleet)
			if len(d.Preferred(host, "dc0", []Peer{newcomer})) > 0 {
				told++
				isTold = true
			}
		}
		a.SetRecord(testShard, "new", newcomer)
		a.Select(testNow)
		if a.Entry(newcomer.Addr).Selected {
			selecting++
			g.Expect(isTold).To(BeTrue())
		}
	}
	g.Expect(selecting).To(BeNumerically(">", 10))
	g.Expect(told).To(BeNumerically("<", sessions/20))
}
