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

// inProcess is a fleet of the real daemons inside this process, on loopback.
type inProcess struct {
	entries, agents []*daemon
	targets         []string // addresses
}

// daemon is one running daemon; stop works once.
type daemon struct {
	addr string
	stop func(context.Context) error
}

// newDaemon returns a daemon that is stopped at the end of the test at the latest,
// then without waiting for what a failed test may have left behind.
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

func newInProcess(workers int) *inProcess {
	f := &inProcess{}
	for range entryCount {
		f.addEntry()
	}
	for i := range workers {
		f.addWorker(i)
	}
	return f
}

func (f *inProcess) addEntry() {
	set := entry.Options{
		Listen: anyPort, Entries: strings.Join(f.entryAddrs(), ","), Key: "0123456789abcdef",
		MaxTimeout: usualDeadline * 2, MaxJobs: 1000, Policy: "least-work",
	}
	e, err := entry.New(set, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	e.Start()
	f.entries = append(f.entries, newDaemon(e.Addr(), e.Stop))
}

func (f *inProcess) addWorker(i int) {
	a, err := agent.New(agent.Options{
		Listen: anyPort, Worker: fmt.Sprintf("worker-%d", i), Entries: strings.Join(f.entryAddrs(), ","),
		MaxEntries: 8, Policy: "grants", DrainTimeout: usualDeadline,
	}, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	a.Start()
	t, err := target.New(target.Options{
		Listen: anyPort, Agent: a.Addr(), Name: fmt.Sprintf("target-%d", i), Slots: slots, Speed: 2, Connections: 64,
		CPUMilli: 1000, MemoryMB: 1000,
	}, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	t.Start()
	newDaemon(t.Addr(), t.Stop)
	f.agents = append(f.agents, newDaemon(a.Addr(), a.Stop))
	f.targets = append(f.targets, t.Addr())
}

func (f *inProcess) entryAddrs() []string {
	var all []string
	for _, e := range f.entries {
		all = append(all, e.addr)
	}
	return all
}

const anyPort = "127.0.0.1:0"

var _ = Describe("the whole path", func() {
	// An operator replaces an agent and an entry in the middle of the day. Work
	// that they had accepted must end as if nothing had happened: a job that was
	// cut off would bill its finished tasks again when its caller starts it anew.
	It("completes every job in progress when an agent and an entry leave", func(ctx context.Context) {
		f := newInProcess(3)
		Expect(awaitTargets(ctx, f.entryAddrs(), 3)).To(Succeed())
		callers, err := newCallers(ctx, f.entryAddrs())
		Expect(err).NotTo(HaveOccurred())
		defer callers.close()

		generator := newGenerator(1, entryCount, capacity(), 1)
		for range 30 {
			next := generator.plan()
			next.deadline, next.cancelled = usualDeadline, false
			callers.place(ctx, next)
		}
		Eventually(func() uint64 {
			counts, err := sumCounts(ctx, f.entryAddrs())
			Expect(err).NotTo(HaveOccurred())
			return counts.Accepted
		}).WithTimeout(usualDeadline).Should(BeNumerically("==", 30))
		var agentErr, entryErr error
		var leaving sync.WaitGroup
		leaving.Go(func() { agentErr = f.agents[0].stop(ctx) })
		leaving.Go(func() { entryErr = f.entries[1].stop(ctx) })
		callers.calls.Wait()
		leaving.Wait()
		Expect(agentErr).NotTo(HaveOccurred())
		Expect(entryErr).NotTo(HaveOccurred())

		counted, _, err := countStarts(ctx, f.targets)
		Expect(err).NotTo(HaveOccurred())
		verdict := judge(callers.history.list(), counted, 2, never)
		Expect(verdict.Breaches).To(BeEmpty())
		Expect(verdict.Complete).To(Equal(30), "%s", verdict.SummaryLine())
	})
})
