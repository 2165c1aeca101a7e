package demo

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/agent"
	"github.com/camphorrack/camphorrack/internal/entry"
	"github.com/camphorrack/camphorrack/internal/standin/target"
)

// inProcessFleet is a fleet whose real daemons run inside the test process, on loopback.
type inProcessFleet struct {
	entries, agents []*daemon
	targets         []string // addresses
}

// daemon is a running daemon. Only the first call of stop has an effect.
type daemon struct {
	addr string
	stop func(context.Context) error
}

// newDaemon returns a daemon that is stopped at the latest when the test ends. That stop does
// not wait for work in progress, which a failed test may have left behind.
func newDaemon(addr string, stop func(context.Context) error) *daemon {
	var once sync.Once
	d := &daemon{addr: addr, stop: func(ctx context.Context) (err error) {
		once.Do(func() { err = stop(ctx) })
		return err
	}}
	DeferCleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.stop(ctx)
	})
	return d
}

func newInProcessFleet(workers int) *inProcessFleet {
	f := &inProcessFleet{}
	for range entryCount {
		f.addEntry()
	}
	for i := range workers {
		f.addWorker(i)
	}
	return f
}

func (f *inProcessFleet) addEntry() {
	options := entry.Options{
		Listen: anyPort, Entries: strings.Join(f.entryAddrs(), ","), Key: "0123456789abcdef",
		MaxTimeout: defaultDeadline * 2, MaxJobs: 1000, Policy: "least-work",
	}
	e, err := entry.New(options, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	e.Start()
	f.entries = append(f.entries, newDaemon(e.Addr(), e.Stop))
}

func (f *inProcessFleet) addWorker(i int) {
	a, err := agent.New(agent.Options{
		Listen: anyPort, Worker: fmt.Sprintf("worker-%d", i), Entries: strings.Join(f.entryAddrs(), ","),
		MaxEntries: 8, Policy: "grants", DrainTimeout: defaultDeadline,
	}, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	a.Start()
	t, err := target.New(target.Options{
		Listen: anyPort, Agent: a.Addr(), Name: fmt.Sprintf("target-%d", i), Slots: slotsPerTarget, Speed: 2, Connections: 64,
		CPUMilli: 1000, MemoryMB: 1000,
	}, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	t.Start()
	newDaemon(t.Addr(), t.Stop)
	f.agents = append(f.agents, newDaemon(a.Addr(), a.Stop))
	f.targets = append(f.targets, t.Addr())
}

func (f *inProcessFleet) entryAddrs() []string {
	var all []string
	for _, e := range f.entries {
		all = append(all, e.addr)
	}
	return all
}

const anyPort = "127.0.0.1:0"

var _ = Describe("a fleet with real daemons in one process", func() {
	// Guards against losing accepted work when an operator replaces an agent and an entry under
	// load. A caller would submit an interrupted job again, and its finished tasks would be billed
	// twice.
	It("completes every job in progress when an agent and an entry drain", func(ctx context.Context) {
		f := newInProcessFleet(3)
		Expect(awaitTargets(ctx, f.entryAddrs(), 3)).To(Succeed())
		callers, err := newCallers(ctx, f.entryAddrs())
		Expect(err).NotTo(HaveOccurred())
		defer callers.close()

		generator := newGenerator(1, entryCount, capacity(), 1)
		for range 30 {
			next := generator.nextPlan()
			next.deadline, next.cancelled = defaultDeadline, false
			callers.submitPlan(ctx, next)
		}
		Eventually(func() uint64 {
			counts, err := sumCounts(ctx, f.entryAddrs())
			Expect(err).NotTo(HaveOccurred())
			return counts.Accepted
		}).WithTimeout(defaultDeadline).Should(BeNumerically("==", 30))
		var agentErr, entryErr error
		var draining sync.WaitGroup
		draining.Go(func() { agentErr = f.agents[0].stop(ctx) })
		draining.Go(func() { entryErr = f.entries[1].stop(ctx) })
		callers.calls.Wait()
		draining.Wait()
		Expect(agentErr).NotTo(HaveOccurred())
		Expect(entryErr).NotTo(HaveOccurred())

		counted, _, err := countStarts(ctx, f.targets)
		Expect(err).NotTo(HaveOccurred())
		result := verify(callers.history.list(), counted, 2, never)
		Expect(result.Breaches).To(BeEmpty())
		Expect(result.Complete).To(Equal(30), "%s", result.SummaryLine())
	})
})
