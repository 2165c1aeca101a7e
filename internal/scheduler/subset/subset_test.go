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

func place(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

// fleetEntries returns 30 entries: three in eight data centres and two in three.
func fleetEntries() []Candidate {
	var all []Candidate
	for i := range 30 {
		all = append(all, Candidate{Addr: fmt.Sprintf("10.%d.0.%d:7400", i%dataCentres, 5+i/dataCentres), DataCentre: place(i)})
	}
	return all
}

type assignment map[string][]string // by worker

// workers is the design size.
const workers = 5700

// assign chooses for every worker, place telling the data centre of the ith.
func assign(entries []Candidate, place func(i int) string) assignment {
	return assignSome(entries, place, workers)
}

func assignSome(entries []Candidate, place func(i int) string, workers int) assignment {
	chosen := assignment{}
	for i := range workers {
		worker := fmt.Sprintf("w%d", i)
		chosen[worker] = Choose(worker, place(i), entries, DefaultSessions)
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

// imbalance is the most loaded entry's agents over the mean.
func (a assignment) imbalance(entries int) float64 {
	sum, most := 0, 0
	for _, n := range a.loads() {
		sum, most = sum+n, max(most, n)
	}
	return float64(most) * float64(entries) / float64(sum)
}

// moved is the share of sessions of a that are not in b.
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
	// An entry with twice the agents of another works through its heartbeats while
	// callers' jobs wait; one with few sees too few free targets.
	It("spreads agents evenly at the design size", func() {
		entries := fleetEntries()
		even := assign(entries, place)
		report("imbalance, data centres alike", even.imbalance(30))
		Expect(even.imbalance(30)).To(BeNumerically("<", 1.1))
		unplaced := assign(entries, func(int) string { return "" })
		report("imbalance, no data centres", unplaced.imbalance(30))
		Expect(unplaced.imbalance(30)).To(BeNumerically("<", 1.15))
		// Twice the workers in one data centre, whose entries carry them.
		skewed := assign(entries, func(i int) string { return place(i % (dataCentres + 1)) })
		report("imbalance, one data centre twice as large", skewed.imbalance(30))
		Expect(skewed.imbalance(30)).To(BeNumerically("<", 1.8))
	})

	// Fifty-five entries and 240 targets in six data centres. An entry that few targets
	// know queues its callers' work while others are idle; one that knows only those of
	// its own data centre has nowhere to go when that is full.
	It("gives each entry of a wide fleet targets enough, at home and outside", func() {
		const sessions, targets = 12, 240
		entriesOf := []int{11, 11, 8, 8, 9, 8}
		var entries []Candidate
		for dc, n := range entriesOf {
			for i := range n {
				entries = append(entries, Candidate{Addr: fmt.Sprintf("10.%d.0.%d:7720", dc, i), DataCentre: place(dc)})
			}
		}
		total, outside := map[string]int{}, map[string]int{}
		for i := range targets {
			home := place(i % len(entriesOf))
			for _, addr := range Choose(fmt.Sprintf("t%d", i), home, entries, sessions) {
				total[addr]++
				if at := slices.IndexFunc(entries, func(e Candidate) bool { return e.Addr == addr }); entries[at].DataCentre != home {
					outside[addr]++
				}
			}
		}
		for _, e := range entries {
			Expect(total[e.Addr]).To(BeNumerically(">=", 40), e.Addr)
			Expect(total[e.Addr]).To(BeNumerically("<=", 80), e.Addr)
			Expect(outside[e.Addr]).To(BeNumerically(">=", 4), e.Addr)
		}
	})

	// Entries' hosts are replaced every day. If each replacement made many agents
	// change entries, sessions would open and close across the fleet all the time.
	It("moves little when an entry leaves or joins", func() {
		entries := fleetEntries()
		before := assign(entries, place)
		fewer := assign(entries[1:], place)
		report("sessions moved as an entry leaves", before.moved(fewer))
		report("sessions moved as an entry joins", fewer.moved(before))
		lost := float64(before.loads()[entries[0].Addr]) / (workers * DefaultSessions)
		Expect(before.moved(fewer)).To(BeNumerically("~", lost, 1e-9)) // its own agents alone
		Expect(fewer.moved(before)).To(BeNumerically("~", lost, 1e-9))
		// Down is the same as gone, so that the agents come back when it is up again.
		entries[0].Down = true
		Expect(assign(entries, place)).To(Equal(fewer))
	})

	// A data centre loses all its entries at once. A worker whose sessions were all
	// with them would stand idle, and what it has run could not be reported.
	It("strands no worker when a data centre is lost", func() {
		entries := fleetEntries()
		before := assign(entries, place)
		for i := range entries {
			entries[i].Down = entries[i].DataCentre == place(0)
		}
		after := assign(entries, place)
		for worker, addrs := range before {
			Expect(after[worker]).To(HaveLen(DefaultSessions))
			Expect(slices.ContainsFunc(addrs, func(addr string) bool { return slices.Contains(after[worker], addr) })).To(BeTrue())
		}
		report("imbalance of the entries left", after.imbalance(27))
		Expect(after.imbalance(27)).To(BeNumerically("<", 1.15))
	})

	// An upgrade replaces every entry's host, one after the other. Were several of an
	// agent's sessions moved in one step, or the load heaped on the first that came
	// up, the upgrade would show to callers.
	It("stays balanced while all entries are replaced one by one", func() {
		entries := fleetEntries()
		was := assignSome(entries, place, workers/4) // thirty times; all would take long
		worst := 0.0
		for i := range entries {
			entries[i].Addr = fmt.Sprintf("10.%d.1.%d:7400", i%dataCentres, 5+i/dataCentres)
			is := assignSome(entries, place, workers/4)
			worst = max(worst, is.imbalance(30))
			Expect(was.moved(is)).To(BeNumerically("<", 0.05))
			was = is
		}
		report("worst imbalance on the way", worst)
		Expect(worst).To(BeNumerically("<", 1.15))
	})

	It("uses every entry of a small fleet", func() {
		entries := fleetEntries()[:DefaultSessions]
		Expect(Choose("w", place(0), entries, DefaultSessions)).To(HaveLen(DefaultSessions))
		Expect(Choose("w", place(0), nil, DefaultSessions)).To(BeEmpty())
	})

	// Most entries' data centres are not known yet. If they took every session, the
	// one that is known to be outside would be given up, and with it the protection.
	It("tries unknown entries and still keeps one outside", func() {
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
