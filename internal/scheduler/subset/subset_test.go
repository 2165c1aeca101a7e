package subset

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSubset(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "subset")
}

const dataCentres = 11

func dataCentreOf(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

// fleetEntries returns 30 entries: three in each of eight data centres, two in each of three.
func fleetEntries() []Candidate {
	var all []Candidate
	for i := range 30 {
		all = append(all, Candidate{Addr: fmt.Sprintf("10.%d.0.%d:7400", i%dataCentres, 5+i/dataCentres), DataCentre: dataCentreOf(i)})
	}
	return all
}

// assignment holds the chosen entries by worker.
type assignment map[string][]string

// workers is the number of workers that the system is designed for.
const workers = 5700

// assign chooses entries for every worker; dataCentre returns the data centre of the ith.
func assign(entries []Candidate, dataCentre func(i int) string) assignment {
	return assignSome(entries, dataCentre, workers)
}

// assignSome is assign for a given number of workers.
func assignSome(entries []Candidate, dataCentre func(i int) string, workers int) assignment {
	chosen := assignment{}
	for i := range workers {
		worker := fmt.Sprintf("w%d", i)
		chosen[worker] = Choose(worker, dataCentre(i), entries, DefaultSessions)
	}
	return chosen
}

func (a assignment) loads() map[string]int {
	loads := map[string]int{}
	for _, addrs := range a {
		for _, addr := range addrs {
			loads[addr]++
		}
	}
	return loads
}

// imbalance returns the number of agents of the most loaded entry divided by the mean.
func (a assignment) imbalance(entries int) float64 {
	sum, most := 0, 0
	for _, n := range a.loads() {
		sum, most = sum+n, max(most, n)
	}
	return float64(most) * float64(entries) / float64(sum)
}

// moved returns the share of the sessions of a that are not in b.
func (a assignment) moved(b assignment) float64 {
	moved, all := 0, 0
	for worker, addrs := range a {
		for _, addr := range addrs {
			all++
			if !slices.Contains(b[worker], addr) {
				moved++
			}
		}
	}
	return float64(moved) / float64(all)
}

func report(name string, value float64) { AddReportEntry(name, value) }

var _ = Describe("the entries that an agent keeps sessions with", func() {
	// Guards against an uneven load: an entry with twice the agents of another processes
	// heartbeats while jobs wait, and one with few agents knows too few free targets.
	It("spreads agents evenly at the design size", func() {
		entries := fleetEntries()
		even := assign(entries, dataCentreOf)
		report("imbalance, data centres alike", even.imbalance(30))
		Expect(even.imbalance(30)).To(BeNumerically("<", 1.1))
		unplaced := assign(entries, func(int) string { return "" })
		report("imbalance, no data centres", unplaced.imbalance(30))
		Expect(unplaced.imbalance(30)).To(BeNumerically("<", 1.15))
		// One data centre has twice the workers; its entries carry them.
		skewed := assign(entries, func(i int) string { return dataCentreOf(i % (dataCentres + 1)) })
		report("imbalance, one data centre twice as large", skewed.imbalance(30))
		Expect(skewed.imbalance(30)).To(BeNumerically("<", 1.8))
	})

	// Fifty-five entries and 240 targets in six data centres. An entry with few targets queues
	// its callers' work while other targets are idle; an entry with targets of its own data
	// centre only has no alternative when those are full.
	It("gives each entry of a wide fleet enough targets, local and remote", func() {
		const sessions, targets = 12, 240
		entriesOf := []int{11, 11, 8, 8, 9, 8}
		var entries []Candidate
		for dc, n := range entriesOf {
			for i := range n {
				entries = append(entries, Candidate{Addr: fmt.Sprintf("10.%d.0.%d:7720", dc, i), DataCentre: dataCentreOf(dc)})
			}
		}
		total, remote := map[string]int{}, map[string]int{}
		for i := range targets {
			dataCentre := dataCentreOf(i % len(entriesOf))
			for _, addr := range Choose(fmt.Sprintf("t%d", i), dataCentre, entries, sessions) {
				total[addr]++
				if index := slices.IndexFunc(entries, func(e Candidate) bool { return e.Addr == addr }); entries[index].DataCentre != dataCentre {
					remote[addr]++
				}
			}
		}
		for _, e := range entries {
			Expect(total[e.Addr]).To(BeNumerically(">=", 40), e.Addr)
			Expect(total[e.Addr]).To(BeNumerically("<=", 80), e.Addr)
			Expect(remote[e.Addr]).To(BeNumerically(">=", 4), e.Addr)
		}
	})

	// The hosts of entries are replaced every day. If each replacement made many agents change
	// entries, sessions would open and close across the fleet all the time.
	It("moves few sessions when an entry leaves or joins", func() {
		entries := fleetEntries()
		before := assign(entries, dataCentreOf)
		fewer := assign(entries[1:], dataCentreOf)
		report("sessions moved as an entry leaves", before.moved(fewer))
		report("sessions moved as an entry joins", fewer.moved(before))
		lost := float64(before.loads()[entries[0].Addr]) / (workers * DefaultSessions)
		Expect(before.moved(fewer)).To(BeNumerically("~", lost, 1e-9)) // only those of its own agents
		Expect(fewer.moved(before)).To(BeNumerically("~", lost, 1e-9))
		// An entry that is down is treated like one that has left, so that its agents return
		// when it is up again.
		entries[0].Down = true
		Expect(assign(entries, dataCentreOf)).To(Equal(fewer))
	})

	// All entries of a data centre are lost at once. A worker that had sessions with these only
	// would be idle and could not report the outcomes of its tasks.
	It("disconnects no worker when a data centre is lost", func() {
		entries := fleetEntries()
		before := assign(entries, dataCentreOf)
		for i := range entries {
			entries[i].Down = entries[i].DataCentre == dataCentreOf(0)
		}
		after := assign(entries, dataCentreOf)
		for worker, addrs := range before {
			Expect(after[worker]).To(HaveLen(DefaultSessions))
			Expect(slices.ContainsFunc(addrs, func(addr string) bool { return slices.Contains(after[worker], addr) })).To(BeTrue())
		}
		report("imbalance of the entries left", after.imbalance(27))
		Expect(after.imbalance(27)).To(BeNumerically("<", 1.15))
	})

	// An upgrade replaces the hosts of all entries one after the other. If one step moved
	// several sessions of an agent, or concentrated the load on the first replaced entry,
	// callers would notice the upgrade.
	It("stays balanced while all entries are replaced one by one", func() {
		entries := fleetEntries()
		previous := assignSome(entries, dataCentreOf, workers/4) // a quarter of them: 30 assignments of all would take too long
		worst := 0.0
		for i := range entries {
			entries[i].Addr = fmt.Sprintf("10.%d.1.%d:7400", i%dataCentres, 5+i/dataCentres)
			current := assignSome(entries, dataCentreOf, workers/4)
			worst = max(worst, current.imbalance(30))
			Expect(previous.moved(current)).To(BeNumerically("<", 0.05))
			previous = current
		}
		report("worst imbalance during the replacement", worst)
		Expect(worst).To(BeNumerically("<", 1.15))
	})

	It("uses every entry of a small fleet", func() {
		entries := fleetEntries()[:DefaultSessions]
		Expect(Choose("w", dataCentreOf(0), entries, DefaultSessions)).To(HaveLen(DefaultSessions))
		Expect(Choose("w", dataCentreOf(0), nil, DefaultSessions)).To(BeEmpty())
	})

	// The data centres of most entries are not known yet. If these entries took every session,
	// the only entry known to be remote would be dropped, and with it the protection against
	// the loss of the local data centre.
	It("chooses unknown entries and still keeps a remote one", func() {
		var entries []Candidate
		for i := range 20 {
			entries = append(entries, Candidate{Addr: fmt.Sprintf("10.0.0.%d:1", i)})
		}
		entries[7].DataCentre, entries[8].DataCentre = "here", "there"
		Expect(Choose("w", "here", entries, 4)).To(And(HaveLen(4), ContainElements("10.0.0.7:1", "10.0.0.8:1")))
		Expect(Choose("w", "here", entries, 1)).To(Equal([]string{"10.0.0.7:1"}))
		Expect(Choose("w", "there", entries, 2)).To(Equal([]string{"10.0.0.8:1", "10.0.0.7:1"}))
	})
})
